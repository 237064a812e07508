package forwarder_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// longBodySize is larger than the first part of a response body, which is buffered
// before anything is sent to the client. In bytes.
const longBodySize = 400 << 10

// longResponse returns a response with a content length of longBodySize and a body
// of the given number of bytes.
func longResponse(sent int) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\nContent-Length: %d\r\n\r\n", longBodySize)
	return head + strings.Repeat("x", sent)
}

// TestLongAnswer checks large downloads. A response that breaks off before anything
// was sent to the client is requested again from another upstream. One that breaks
// off later closes the client's connection, so that the client cannot take a
// truncated body for a complete one.
func TestLongAnswer(t *testing.T) {
	download := core.Route{Prefix: "/o/", Class: core.Download, MaxAttempts: 2, Timeout: 2 * time.Second}
	tests := []struct {
		name     string
		upstream *fakeUpstream
		// wantComplete says that the client gets the complete response, and
		// wantExecutions how many upstreams execute the request.
		wantComplete   bool
		wantExecutions int32
	}{
		{"whole", &fakeUpstream{response: longResponse(longBodySize)}, true, 1},
		{"broken off in its first part", &fakeUpstream{response: longResponse(1000), closesConnection: true}, true, 2},
		{"broken off midway", &fakeUpstream{response: longResponse(longBodySize - 1), closesConnection: true}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			healthy := &fakeUpstream{response: longResponse(longBodySize)}
			h := newHost(t, download, tt.upstream, healthy)
			for i := 0; tt.upstream.requests.Load() == 0; i++ {
				if i == 50 {
					t.Fatal("no request met the upstream")
				}
				before := healthy.requests.Load()
				c := h.dial(t)
				c.send(fmt.Sprintf("/o/%d", i))
				response, err := c.receive()
				if tt.upstream.requests.Load() == 0 {
					is.NoErr(err) // The healthy upstream was chosen.
					continue
				}
				is.Equal(err == nil, tt.wantComplete)
				is.Equal(healthy.requests.Load()-before+1, tt.wantExecutions)
				if tt.wantComplete {
					is.Equal(len(response.Body()), longBodySize)
				}
			}
			if !tt.wantComplete {
				is.Equal(h.lastFailure.Load().Cause, "answer-cut")
			}
		})
	}
}

// TestNextRequestAfterLongAnswer checks that a client connection can be reused after
// a long response.
func TestNextRequestAfterLongAnswer(t *testing.T) {
	is := is.New(t)
	h := newHost(t, lookupRoute, &fakeUpstream{response: longResponse(longBodySize)})
	c := h.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("/o/%d", i))
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(len(response.Body()), longBodySize)
		is.Equal(string(response.Header.Peek("Request-Id")), fmt.Sprintf("ror%d", i))
	}
}
