package forwarder_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// leave makes the host know that an upstream said that it drains, as from a health check.
func (h *testHost) leave(t *testing.T, name core.UpstreamName) {
	t.Helper()
	now := time.Now()
	for _, u := range h.placer.LocalUpstreams(now) {
		if u.Name == name {
			h.placer.RecordAvailability(u, placer.Availability{IsLeaving: true}, now)
			return
		}
	}
	t.Fatalf("%s is not listed", name)
}

// TestHeldRequestAvoidsLeavingUpstream guards against a request that was held for an upstream
// and is sent to it although it has said meanwhile that it drains.
func TestHeldRequestAvoidsLeavingUpstream(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	h := newHost(t, orderRoute, u)
	c := h.holdRequest(t)
	h.leave(t, "desk-0")
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(int(u.requests.Load()), 1)
}

// TestUploadAvoidsLeavingUpstream guards against a body that took long to arrive and then
// goes to an upstream that has said meanwhile that it drains.
func TestUploadAvoidsLeavingUpstream(t *testing.T) {
	is := is.New(t)
	upstreams := []*fakeUpstream{{response: completeResponse}, {response: completeResponse}}
	const size = 1 << 20
	h := newBodyHost(t, 64*core.Mebibyte, upstreams...)
	var uploads []*client
	for i := range 8 { // Their keys belong to both upstreams.
		c := h.dial(t)
		c.sendStart(fmt.Sprint("upload-", i), size)
		uploads = append(uploads, c)
	}
	h.awaitBodyBytes(t, core.Bytes(len(uploads)*size))
	h.leave(t, "desk-0")
	for _, c := range uploads {
		c.sendRest(t, size)
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode(), fasthttp.StatusOK)
	}
	is.Equal(int(upstreams[0].requests.Load()), 0)
	is.Equal(int(upstreams[1].requests.Load()), len(uploads))
}

// TestRetryAvoidsLeavingUpstream guards against another attempt at an upstream that said that
// it drains while the first attempt ran.
func TestRetryAvoidsLeavingUpstream(t *testing.T) {
	is := is.New(t)
	upstreams := []*fakeUpstream{
		{response: notExecutedResponse, delay: 200 * time.Millisecond}, {response: notExecutedResponse, delay: 200 * time.Millisecond},
	}
	h := newHost(t, orderRoute, upstreams...)
	c := h.dial(t)
	c.send("/o/1")
	waitFor(t, func() bool { return upstreams[0].requests.Load()+upstreams[1].requests.Load() > 0 })
	other := core.UpstreamName("desk-1")
	if upstreams[1].requests.Load() > 0 {
		other = "desk-0"
	}
	h.leave(t, other)
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(int(upstreams[0].requests.Load()+upstreams[1].requests.Load()), 1)
}

// TestRunningRequestsOfLeavingUpstream guards against requests that are cut off, or sent a
// second time, because their upstream says that it drains while it runs them. Requests that
// come while it passes on a long response go elsewhere.
func TestRunningRequestsOfLeavingUpstream(t *testing.T) {
	is := is.New(t)
	head := strings.Replace(completeResponse, "Signature", "Leaving: 1\r\nSignature", 1)
	slow := &fakeUpstream{response: head, delay: 300 * time.Millisecond}
	h := newHost(t, orderRoute, slow)
	var running []*client
	for i := range 3 {
		c := h.dial(t)
		c.send(fmt.Sprintf("/o/%d", i))
		running = append(running, c)
	}
	waitFor(t, func() bool { return int(slow.requests.Load()) == len(running) })
	h.leave(t, "desk-0")
	for _, c := range running {
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode(), fasthttp.StatusOK)
	}
	is.Equal(sendRequest(t, h, "/o/9").StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(int(slow.requests.Load()), len(running))
}

// TestLeavingDuringLongAnswer guards against requests that go to an upstream while the body
// of the response that said that it drains is still on its way.
func TestLeavingDuringLongAnswer(t *testing.T) {
	is := is.New(t)
	stalled := strings.Replace(longResponse(10), "Signature", "Leaving: 1\r\nSignature", 1)
	upstreams := []*fakeUpstream{{response: stalled}, {response: stalled}}
	h := newHost(t, orderRoute, upstreams...)
	for i := range 2 {
		h.dial(t).send(fmt.Sprintf("/o/%d", i))
		waitFor(t, func() bool { return h.placer.LeavingUpstreams() == i+1 })
	}
	is.Equal(sendRequest(t, h, "/o/9").StatusCode(), fasthttp.StatusServiceUnavailable)
	is.Equal(int(upstreams[0].requests.Load()), 1)
	is.Equal(int(upstreams[1].requests.Load()), 1)
}
