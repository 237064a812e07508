package forwarder_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/forwarder"
)

// TestDrainingRefusesWhatItCannotAwait guards against requests that a host passes on at the end
// of its graceful stop and cuts before their response. The route's timeout is 2 s.
func TestDrainingRefusesWhatItCannotAwait(t *testing.T) {
	tests := []struct {
		name                string
		acceptsFor, endsIn  time.Duration
		wantStatus, wantRun int
	}{
		{"clients may still be sent here", time.Minute, time.Minute, fasthttp.StatusOK, 1},
		{"clients may still be sent here, short of time", time.Minute, time.Second, fasthttp.StatusOK, 1},
		{"the response is due before the end", 0, time.Minute, fasthttp.StatusOK, 1},
		{"the response may be due after the end", 0, time.Second, fasthttp.StatusServiceUnavailable, 0},
		{"the end has passed", 0, 0, fasthttp.StatusServiceUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &fakeUpstream{response: completeResponse}
			h := newHost(t, orderRoute, u)
			now := time.Now()
			h.StartDraining(core.DrainSchedule{AcceptsUntil: now.Add(tt.acceptsFor), End: now.Add(tt.endsIn)})
			response := sendRequest(t, h, "/o/1")
			is.Equal(response.StatusCode(), tt.wantStatus)
			is.True(response.ConnectionClose())
			is.Equal(int(u.requests.Load()), tt.wantRun)
			if tt.wantRun == 0 {
				is.Equal(h.lastFailure.Load().Cause, "host-stopping")
				is.True(len(response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
			}
		})
	}
}

// TestDrainingDuringBody guards against a request that is passed on, and later cut, because
// its head came before the stop and its body at its end. The connection must also be closed.
func TestDrainingDuringBody(t *testing.T) {
	for _, framed := range []struct{ first, second string }{
		{"Content-Length: 4\r\n\r\nbo", "dy"},
		{"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"},
	} {
		is := is.New(t)
		u := &fakeUpstream{response: completeResponse}
		h := newHost(t, orderRoute, u)
		c := h.dial(t)
		_, err := fmt.Fprintf(c, "POST /o/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: o1\r\nDeadline-Ms: 3000\r\n%s", framed.first)
		is.NoErr(err)
		for h.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		now := time.Now()
		h.StartDraining(core.DrainSchedule{AcceptsUntil: now, End: now.Add(time.Second)})
		_, err = io.WriteString(c, framed.second)
		is.NoErr(err)
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
		is.True(response.ConnectionClose())
		is.Equal(int(u.requests.Load()), 0)
	}
}

// TestNoRetryNearTheEnd guards against a second attempt, after an upstream shed the first one,
// for whose response a stopping host has no time left.
func TestNoRetryNearTheEnd(t *testing.T) {
	is := is.New(t)
	full, other := &fakeUpstream{response: notExecutedResponse}, &fakeUpstream{response: notExecutedResponse}
	h := newHost(t, orderRoute, full, other)
	h.OnRetry = func(forwarder.Event) {
		now := time.Now()
		h.StartDraining(core.DrainSchedule{AcceptsUntil: now, End: now.Add(time.Second)})
	}
	response := sendRequest(t, h, "/o/1")
	is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(h.lastFailure.Load().Cause, "host-stopping")
	is.Equal(full.requests.Load()+other.requests.Load(), int32(1))
}

// holdRequest makes the upstream of a host cold, uses the host's share of its warm-up limit, and
// returns the client of a request that the host then holds.
func (h *testHost) holdRequest(t *testing.T) *client {
	t.Helper()
	is := is.New(t)
	h.pacer.SetLimit(0, 5) // Five requests a second.
	h.placer.MarkCold("desk-0", time.Minute, time.Now())
	is.Equal(sendRequest(t, h, "/o/1").StatusCode(), fasthttp.StatusOK)
	c := h.dial(t)
	c.send("/o/2")
	waitFor(t, func() bool { return h.InFlight() > 0 })
	return c
}

// TestHeldRequestNearTheEnd guards against a request that is held for a cold upstream until the
// host no longer accepts connections, and is then passed on although there is no time left for
// the response.
func TestHeldRequestNearTheEnd(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	h := newHost(t, orderRoute, u)
	c := h.holdRequest(t)
	now := time.Now()
	h.StartDraining(core.DrainSchedule{AcceptsUntil: now.Add(100 * time.Millisecond), End: now.Add(time.Second)})
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(h.lastFailure.Load().Cause, "host-stopping")
	is.Equal(int(u.requests.Load()), 1)
}

// TestFailureNearTheEndIsForwarded guards against an upstream's own error response that a
// stopping host replaces by its own, since it makes no further attempt.
func TestFailureNearTheEndIsForwarded(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: errorResponse, delay: 50 * time.Millisecond}
	other := &fakeUpstream{response: errorResponse, delay: 50 * time.Millisecond}
	h := newHost(t, lookupRoute, u, other)
	c := h.dial(t)
	c.send("/o/1")
	for u.requests.Load()+other.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	h.StartDraining(core.DrainSchedule{AcceptsUntil: now, End: now.Add(time.Second)})
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(response.StatusCode(), fasthttp.StatusInternalServerError)
	is.Equal(string(response.Header.Peek("Signature")), "s")
	is.Equal(u.requests.Load()+other.requests.Load(), int32(1))
}

// TestSilentConnectionIsNoFailure guards against a stop that counts as failed because of a
// connection on which no request arrived.
func TestSilentConnectionIsNoFailure(t *testing.T) {
	is := is.New(t)
	h := newHost(t, orderRoute, &fakeUpstream{response: completeResponse})
	silent := h.dial(t)
	is.Equal(sendRequest(t, h, "/o/1").StatusCode(), fasthttp.StatusOK) // The silent connection was accepted before.
	h.stopWithin(200 * time.Millisecond)
	is.NoErr(<-h.done)
	is.Equal(len(h.Pending()), 0)
	is.NoErr(silent.Close())
}

// TestPendingUntilWritten guards against a response that is cut at the end of the host while it
// is written to a slow client, and that nothing names: the handler has returned by then.
func TestPendingUntilWritten(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20
	u := &fakeUpstream{response: fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))}
	h := newHost(t, orderRoute, u)
	c := h.dial(t) // It does not read.
	c.send("/o/1")
	for {
		if pending := h.Pending(); len(pending) == 1 && pending[0].IsAnswered {
			break
		}
		time.Sleep(time.Millisecond)
	}
	h.stopWithin(100 * time.Millisecond)
	is.NoErr(<-h.done)
	pending := h.Pending()
	is.Equal(len(pending), 1)
	is.True(pending[0].IsAnswered)
	response, err := c.receive()
	is.NoErr(err) // The connection ends with the process.
	is.Equal(len(response.Body()), size)
	for len(h.Pending()) > 0 || h.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestEndAnswersWhatItBreaksOff guards against a stop that ends without an answer to a request
// that an upstream has not answered, perhaps because it still waits in the upstream's queue. Its
// upstream is told to cancel it.
func TestEndAnswersWhatItBreaksOff(t *testing.T) {
	for _, route := range []core.Route{orderRoute, lookupRoute} {
		is := is.New(t)
		u := &fakeUpstream{} // It never responds.
		h := newHost(t, route, u)
		c := h.dial(t)
		c.send("/o/1")
		for u.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		h.stopWithin(50 * time.Millisecond)
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode(), fasthttp.StatusBadGateway) // It may have run.
		is.True(response.ConnectionClose())
		is.NoErr(<-h.done)
		is.Equal(h.lastFailure.Load().Cause, "outcome-unknown")
		is.Equal(len(h.Pending()), 0)
		is.Equal(len(h.Cut()), 1)
		for u.disconnects.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(u.requests.Load(), int32(1))
	}
}

// TestDrainingAnswersPipelinedRequest guards against a request that is read ahead while an
// upstream works on the one before, and then dropped since the connection is closed after that.
func TestDrainingAnswersPipelinedRequest(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse, delay: 100 * time.Millisecond}
	h := newHost(t, orderRoute, u)
	c := h.dial(t)
	c.send("/o/1")
	for u.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	end := time.Now().Add(time.Minute)
	h.StartDraining(core.DrainSchedule{AcceptsUntil: end, End: end})
	c.send("/o/2")
	for n := range 2 {
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode(), fasthttp.StatusOK)
		is.Equal(response.ConnectionClose(), n == 1)
	}
}

// TestDrainingKeepsResponseBeforePipelinedRequest guards against a response that is lost because
// the connection is reset after it: a part of the client's next request was never read.
func TestDrainingKeepsResponseBeforePipelinedRequest(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20
	u := &fakeUpstream{delay: 50 * time.Millisecond, response: fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))}
	h := newHost(t, orderRoute, u)
	c := h.dial(t)
	c.send("/o/1")
	for u.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	h.StartDraining(core.DrainSchedule{AcceptsUntil: now, End: now.Add(time.Minute)})
	for range 20 {
		c.send("/o/2")
	}
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(len(response.Body()), size)
	is.True(response.ConnectionClose())
}

// TestPendingNamesRequests checks the description of a request that an upstream still works
// on when its host ends.
func TestPendingNamesRequests(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{} // It never responds.
	h := newHost(t, orderRoute, u)
	is.Equal(len(h.Pending()), 0)
	h.dial(t).send("/o/1")
	for u.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	pending := h.Pending()
	is.Equal(len(pending), 1)
	is.Equal(pending[0].RequestID, "ror1")
	is.Equal(string(pending[0].Upstream), "desk-0")
	is.Equal(pending[0].PolicyVersion, uint64(3))
	is.True(!pending[0].Received.Before(pending[0].Started))
}
