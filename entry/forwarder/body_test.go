package forwarder_test

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// newBodyHost returns a host whose memory for request bodies has the given size. One body
// may have up to 8 MiB.
func newBodyHost(t *testing.T, limit core.Bytes, upstreams ...*fakeUpstream) *testHost {
	t.Helper()
	h := newHost(t, orderRoute, upstreams...)
	route := orderRoute
	route.Hostname, route.WeightedServices = "desk.example", []core.WeightedService{{Service: "desk", Weight: 1}}
	h.SetPolicy(core.NewRoutingPolicy(4, []core.Route{route}, nil, core.ClientLimits{BodyBytes: 8 * core.Mebibyte}))
	h.MaxBodyBytes = limit
	return h
}

// pattern returns a body of which no two parts are the same.
func pattern(size int) []byte {
	body := make([]byte, 0, size+16)
	for i := 0; len(body) < size; i++ {
		body = strconv.AppendInt(append(body, ' '), int64(i), 10)
	}
	return body[:size]
}

// sendStart sends the header of a request with a body of the stated length, and the body's
// first byte, without which the server does not call the handler.
func (c *client) sendStart(id string, length int) {
	head := "POST /o/%s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
	_, _ = fmt.Fprintf(c, head, id, id, length, pattern(1))
}

// sendRest sends the rest of a body, up to the given size, after sendStart.
func (c *client) sendRest(t *testing.T, size int) {
	t.Helper()
	_, err := c.Write(pattern(size)[1:])
	is.New(t).NoErr(err)
}

// sendChunks sends a request whose body comes in chunks of 64 KiB.
func (c *client) sendChunks(id string, body []byte) {
	_, _ = fmt.Fprintf(c, "POST /o/%s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	const chunkSize = 64 << 10
	for len(body) > 0 {
		n := min(chunkSize, len(body))
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// awaitBodyBytes waits until the bodies in memory have the given size.
func (h *testHost) awaitBodyBytes(t *testing.T, want core.Bytes) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if h.BodyBytes() == want {
			return
		}
	}
	t.Fatalf("the bodies have %d bytes, not %d", h.BodyBytes(), want)
}

// checkRefused checks that the client receives a refusal that names a time to return, and
// that its connection is closed.
func (c *client) checkRefused(t *testing.T) {
	t.Helper()
	is := is.New(t)
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.True(len(response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
	is.True(response.ConnectionClose())
	_, err = c.r.ReadByte()
	is.Equal(err, io.EOF)
}

// TestBodyWithoutRoomIsRefused guards against a host that is killed because the bodies that
// are on their way exceed its memory: a body that does not fit is refused before it is sent.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	const limit = 2 * core.Mebibyte
	h := newBodyHost(t, limit, u)
	large := int(limit) - 1000
	first := h.dial(t)
	first.sendStart("first", large)
	h.awaitBodyBytes(t, core.Bytes(large))

	second := h.dial(t)
	second.sendStart("second", large) // No more of the body follows.
	second.checkRefused(t)
	is.Equal(h.lastFailure.Load().Cause, "bodies-full")
	is.Equal(u.requests.Load(), int32(0))

	// The memory of the first body is its own, and can be used again afterwards.
	for range 2 {
		first.sendRest(t, large)
		response, err := first.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode(), fasthttp.StatusOK)
		h.awaitBodyBytes(t, 0)
		first.sendStart("again", large)
	}
}

// TestSmallBodyBesideLargeOnes guards against small bodies that are refused as long as large
// ones fill the memory.
func TestSmallBodyBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	h := newBodyHost(t, 2*core.Mebibyte, &fakeUpstream{response: completeResponse})
	large := h.dial(t)
	large.sendStart("large", int(2*core.Mebibyte))
	h.awaitBodyBytes(t, 2*core.Mebibyte)
	for i := range 50 {
		is.Equal(sendRequest(t, h, "/o/"+strconv.Itoa(i)).StatusCode(), fasthttp.StatusOK)
	}
}

// TestBodyInChunksCountsAsItGrows guards against a body without a stated length that counts
// only when it is complete. The client sends all of it before it reads the refusal.
func TestBodyInChunksCountsAsItGrows(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	h := newBodyHost(t, 2*core.Mebibyte, u)
	chunks := h.dial(t)
	chunks.sendChunks("chunks", pattern(int(7*core.Mebibyte)))
	chunks.checkRefused(t)
	is.Equal(u.requests.Load(), int32(0))
	h.awaitBodyBytes(t, 0)
}

// TestRefusalArrives guards against a refusal that is lost because the connection is reset:
// the client sends its whole body before it reads.
func TestRefusalArrives(t *testing.T) {
	h := newBodyHost(t, core.Mebibyte, &fakeUpstream{response: completeResponse})
	c := h.dial(t)
	const size = int(8 * core.Mebibyte)
	c.sendStart("large", size)
	c.sendRest(t, size)
	c.checkRefused(t)
}

// TestBodyCountsUntilResponse guards against memory that counts as free while the body of a
// request at work still uses it.
func TestBodyCountsUntilResponse(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse, delay: 200 * time.Millisecond}
	h := newBodyHost(t, core.Mebibyte, u)
	c := h.dial(t)
	const size = 500_000
	c.sendStart("slow", size)
	c.sendRest(t, size)
	for u.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(h.BodyBytes(), core.Bytes(size))
	_, err := c.receive()
	is.NoErr(err)
	h.awaitBodyBytes(t, 0)
}

// TestBodyOfClientThatLeaves guards against memory that is lost when a client leaves before
// it has sent its whole body, and against the part of the body being taken for the whole.
func TestBodyOfClientThatLeaves(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{response: completeResponse}
	h := newBodyHost(t, core.Mebibyte, u)
	c := h.dial(t)
	c.sendStart("left", 500_000)
	c.sendRest(t, 300_000)
	h.awaitBodyBytes(t, 500_000)
	is.NoErr(c.Close())
	h.awaitBodyBytes(t, 0)
	is.Equal(u.requests.Load(), int32(0))
}

// TestBodyOfClientThatStalls guards against memory that is kept for a body after the client
// has stopped waiting for the response.
func TestBodyOfClientThatStalls(t *testing.T) {
	is := is.New(t)
	h := newBodyHost(t, core.Mebibyte, &fakeUpstream{response: completeResponse})
	c := h.dial(t)
	head := "POST /o/1 HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 200\r\nContent-Length: 500000\r\n\r\n"
	_, err := io.WriteString(c, head+"the start of the body")
	is.NoErr(err)
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(response.StatusCode(), fasthttp.StatusRequestTimeout)
	h.awaitBodyBytes(t, 0)
}

// TestChunksOfClientThatStalls guards against a refusal with 400 in place of 408 of a body that
// stops within the framing of its chunks: a client does not repeat a request after 400.
func TestChunksOfClientThatStalls(t *testing.T) {
	const body = "4\r\nbody\r\n0\r\n\r\n"
	h := newBodyHost(t, core.Mebibyte, &fakeUpstream{response: completeResponse})
	for sent := range len(body) {
		t.Run(fmt.Sprintf("after %q", body[:sent]), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := h.dial(t)
			head := "POST /o/1 HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 200\r\nTransfer-Encoding: chunked\r\n\r\n"
			_, err := io.WriteString(c, head+body[:sent])
			is.NoErr(err)
			response, err := c.receive()
			is.NoErr(err)
			is.Equal(response.StatusCode(), fasthttp.StatusRequestTimeout)
		})
	}
}

// TestBodyArrivesWhole guards against a body that is changed on its way, also when a second
// upstream gets it after the first did not run the request.
func TestBodyArrivesWhole(t *testing.T) {
	for _, size := range []int{1, 4095, 4096, 4097, 8192, 256 << 10, 256<<10 + 1, 2_000_000} {
		for _, isChunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, chunked %v", size, isChunked), func(t *testing.T) {
				is := is.New(t)
				busy, healthy := &fakeUpstream{response: notExecutedResponse}, &fakeUpstream{response: completeResponse}
				h := newBodyHost(t, 4*core.Mebibyte, busy, healthy)
				body := pattern(size)
				c := h.dial(t)
				// Either upstream may be chosen first.
				for i := 0; i < 50 && busy.requests.Load() == 0; i++ {
					id := strconv.Itoa(i)
					if isChunked {
						c.sendChunks(id, body)
					} else {
						c.sendStart(id, size)
						c.sendRest(t, size)
					}
					response, err := c.receive()
					is.NoErr(err)
					is.Equal(response.StatusCode(), fasthttp.StatusOK)
					is.True(bytes.Equal(*healthy.body.Load(), body))
				}
				is.True(bytes.Equal(*busy.body.Load(), body))
				h.awaitBodyBytes(t, 0)
			})
		}
	}
}
