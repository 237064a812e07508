package forwarder_test

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// pauseResponse refuses a request and asks for a pause of 0.5 s.
const pauseResponse = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Run: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"

// TestPausesOfAllUpstreams guards against requests that wait for, or reach, upstreams that are
// all in a pause, and against clients that come back before its end or all together.
func TestPausesOfAllUpstreams(t *testing.T) {
	is := is.New(t)
	const pause, burst = 500 * time.Millisecond, 24
	u := &fakeUpstream{response: pauseResponse}
	h := newHost(t, orderRoute, u)
	began := time.Now()
	is.Equal(sendRequest(t, h, "/o/first").StatusCode(), fasthttp.StatusServiceUnavailable)
	learnt := time.Now()
	returns := make([]time.Duration, burst)
	var group sync.WaitGroup
	for i := range returns {
		group.Go(func() {
			response := sendRequest(t, h, "/o/"+strconv.Itoa(i))
			seconds, err := strconv.ParseFloat(string(response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
			is.NoErr(err)
			returns[i] = time.Since(learnt) + time.Duration(seconds*float64(time.Second))
		})
	}
	group.Wait()
	is.Equal(u.requests.Load(), int32(1))
	earliest, latest := slices.Min(returns), slices.Max(returns)
	is.True(earliest >= pause-learnt.Sub(began))
	is.True(latest-earliest >= 450*time.Millisecond)
	failure := h.lastFailure.Load()
	is.Equal(failure.Cause, "upstreams-closed")
	is.True(strings.Contains(failure.Detail, "desk-0 for "))
}
