package forwarder_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// longBody is longer than the part of an answer that is held before any of it goes
// to the client.
const longBody = 400 << 10

// longAnswer states a long body of which the given part is sent.
func longAnswer(sent int) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\nContent-Length: %d\r\n\r\n", longBody)
	return head + strings.Repeat("x", sent)
}

// TestLongAnswer is the pattern of a large download: it reaches the client whole,
// runs again where it broke off before any of it went out, and ends the client's
// connection where it broke off later, so that a part cannot pass for all.
func TestLongAnswer(t *testing.T) {
	download := core.Route{Prefix: "/o/", Class: core.Download, MaxAttempts: 2, Timeout: 2 * time.Second}
	tests := []struct {
		name     string
		upstream *upstream
		// wantWhole says that the client gets the whole answer, from wantRuns runs.
		wantWhole bool
		wantRuns  int32
	}{
		{"whole", &upstream{answer: longAnswer(longBody)}, true, 1},
		{"broken off in its first part", &upstream{answer: longAnswer(1000), isCut: true}, true, 2},
		{"broken off midway", &upstream{answer: longAnswer(longBody - 1), isCut: true}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sound := &upstream{answer: longAnswer(longBody)}
			h := newHost(t, download, tt.upstream, sound)
			for i := 0; tt.upstream.requests.Load() == 0; i++ {
				if i == 50 {
					t.Fatal("no request met the upstream")
				}
				runs := sound.requests.Load()
				c := h.dial(t)
				c.send(fmt.Sprintf("/o/%d", i))
				response, err := c.receive()
				if tt.upstream.requests.Load() == 0 {
					is.NoErr(err) // the sound one was asked
					continue
				}
				is.Equal(err == nil, tt.wantWhole)
				is.Equal(sound.requests.Load()-runs+1, tt.wantRuns)
				if tt.wantWhole {
					is.Equal(len(response.Body()), longBody)
				}
			}
			if !tt.wantWhole {
				is.Equal(h.refused.Load().Cause, "answer-cut")
			}
		})
	}
}

// TestNextRequestAfterLongAnswer checks that a client's connection serves on after
// a long answer.
func TestNextRequestAfterLongAnswer(t *testing.T) {
	is := is.New(t)
	h := newHost(t, lookup, &upstream{answer: longAnswer(longBody)})
	c := h.dial(t)
	for i := range 3 {
		c.send(fmt.Sprintf("/o/%d", i))
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(len(response.Body()), longBody)
		is.Equal(string(response.Header.Peek("Request-Id")), fmt.Sprintf("ror%d", i))
	}
}
