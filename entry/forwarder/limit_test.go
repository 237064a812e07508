package forwarder_test

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// limitedResponse is a complete response that names a limit of two requests a second.
const limitedResponse = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: s\r\nRate-Limit: 2\r\nContent-Length: 2\r\n\r\nok"

// TestLimitOfAllUpstreams guards against a burst of requests for which no upstream has room
// under its rate limit and that wait until their deadline, or come back all together. The
// host holds as many as the limit allows in time and refuses the rest with times of return
// that follow the limit.
func TestLimitOfAllUpstreams(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: limitedResponse}
	h := newHost(t, orderRoute, u)
	is.Equal(sendRequest(t, h, "/o/first").StatusCode(), fasthttp.StatusOK)
	const burst = 8
	responses := make([]*fasthttp.Response, burst)
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() { responses[i] = sendRequest(t, h, "/o/"+strconv.Itoa(i)) })
	}
	group.Wait()
	served := 0
	var returns []float64
	for _, response := range responses {
		if response.StatusCode() == fasthttp.StatusOK {
			served++
			continue
		}
		is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(string(response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
		is.NoErr(err)
		returns = append(returns, seconds)
	}
	is.True(served >= 1)
	is.Equal(int(u.requests.Load()), 1+served)
	is.True(len(returns) >= burst/2)
	earliest, latest := returns[0], returns[0]
	for _, seconds := range returns {
		earliest, latest = min(earliest, seconds), max(latest, seconds)
	}
	is.True(latest-earliest >= 1) // two a second return, with jitter
	failure := h.lastFailure.Load()
	is.Equal(failure.Cause, "rate-limit")
	is.True(strings.Contains(failure.Detail, "may send 2 requests a second"))
}

// TestLimitedUpstreamIsSpared guards against requests that are refused, or sent to the
// upstream all the same, when one upstream names a limit and another has room.
func TestLimitedUpstreamIsSpared(t *testing.T) {
	is := is.New(t)
	limited, other := &fakeUpstream{response: limitedResponse}, &fakeUpstream{response: completeResponse}
	h := newHost(t, orderRoute, limited, other)
	const requests = 40
	began := time.Now()
	for i := range requests {
		is.Equal(sendRequest(t, h, "/o/"+strconv.Itoa(i)).StatusCode(), fasthttp.StatusOK)
	}
	is.True(float64(limited.requests.Load()) <= 2+2*time.Since(began).Seconds())
	is.Equal(limited.requests.Load()+other.requests.Load(), int32(requests))
}

// TestHostWithoutShareOfLimit guards against a request that waits in vain at a host that
// has no share in the limit of any upstream. Others do, so the client is told to return soon.
func TestHostWithoutShareOfLimit(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: limitedResponse}
	h := newHost(t, orderRoute, u)
	is.Equal(sendRequest(t, h, "/o/first").StatusCode(), fasthttp.StatusOK)
	peers := []core.Host{{Name: "other-0", Zone: core.Zone{Region: "for"}}}
	for i := range 50 {
		peers = append(peers, core.Host{Name: core.HostName("other-" + strconv.Itoa(i+1)), Zone: core.Zone{Region: "for"}})
	}
	h.pacer.SetHosts(peers) // The host itself is not among them.
	response := sendRequest(t, h, "/o/second")
	is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(h.lastFailure.Load().Cause, "rate-limit")
	is.Equal(u.requests.Load(), int32(1))
}
