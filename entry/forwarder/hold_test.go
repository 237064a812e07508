package forwarder_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestHostThatJustStarted checks that a request is held until a host that has just
// started is ready, and rejected if that takes too long. After all hosts were
// killed, clients reconnect before the hosts have read the state that they need.
func TestHostThatJustStarted(t *testing.T) {
	const shortDelay = 100 * time.Millisecond
	tests := []struct {
		name       string
		readyAfter time.Duration
		want       int
	}{
		{"ready soon", shortDelay, fasthttp.StatusOK},
		{"not ready in time", time.Minute, fasthttp.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &fakeUpstream{response: completeResponse}
			h := newHost(t, orderRoute, u)
			h.isNotReady.Store(true)
			time.AfterFunc(tt.readyAfter, func() { h.isNotReady.Store(false) })
			response := sendRequest(t, h, "/o/1")
			is.Equal(response.StatusCode(), tt.want)
			if tt.want == fasthttp.StatusServiceUnavailable {
				is.True(len(response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
				is.Equal(u.requests.Load(), int32(0))
			}
		})
	}
}

// TestColdUpstreamIsAwaited checks that requests are held while the rate limit of a
// cold upstream is reached. An upstream that has just started may get only a few
// requests per second.
func TestColdUpstreamIsAwaited(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	h := newHost(t, orderRoute, u)
	h.placer.MarkCold("desk-0", time.Minute, time.Now())
	for i := range 4 {
		is.Equal(sendRequest(t, h, "/o/"+strconv.Itoa(i)).StatusCode(), fasthttp.StatusOK)
	}
}
