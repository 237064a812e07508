package forwarder_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestHostThatJustStarted is the pattern of hosts that were all killed: clients
// come back at once, before the hosts have read what they need to serve.
func TestHostThatJustStarted(t *testing.T) {
	const soon = 100 * time.Millisecond
	tests := []struct {
		name       string
		readyAfter time.Duration
		want       int
	}{
		{"ready soon", soon, fasthttp.StatusOK},
		{"not ready in time", time.Minute, fasthttp.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &upstream{answer: wholeAnswer}
			h := newHost(t, order, u)
			h.isStarting.Store(true)
			time.AfterFunc(tt.readyAfter, func() { h.isStarting.Store(false) })
			answer := ask(t, h, "/o/1")
			is.Equal(answer.StatusCode(), tt.want)
			if tt.want == fasthttp.StatusServiceUnavailable {
				is.True(len(answer.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
				is.Equal(u.requests.Load(), int32(0))
			}
		})
	}
}

// TestColdUpstreamIsAwaited is the pattern of an upstream that just started and
// may get few requests a second: the next request waits for its turn.
func TestColdUpstreamIsAwaited(t *testing.T) {
	is := is.New(t)
	u := &upstream{answer: wholeAnswer}
	h := newHost(t, order, u)
	h.placer.MarkCold("desk-0", time.Minute, time.Now())
	for i := range 4 {
		is.Equal(ask(t, h, "/o/"+strconv.Itoa(i)).StatusCode(), fasthttp.StatusOK)
	}
}
