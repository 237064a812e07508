package exchanger

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/entry/caller"
)

// newRequest returns a request with the client's header, without its hop-by-hop
// fields and with the fields that the host adds. Its caller releases it.
func (e *Exchanger) newRequest(attempt Attempt) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	attempt.Header.CopyTo(&request.Header)
	header := &request.Header
	header.SetNoDefaultContentType(true)
	for _, name := range hopByHopFields {
		header.Del(name)
	}
	header.ResetConnectionClose()
	header.Set(e.HeaderNames.Target, string(attempt.Upstream.Name))
	remaining := max(time.Until(attempt.UpstreamDeadline).Milliseconds(), 1)
	header.Set(e.HeaderNames.Deadline, strconv.FormatInt(remaining, 10))
	if attempt.HasOrganisations {
		header.Del(e.HeaderNames.Credentials)
		header.Del(e.HeaderNames.Organisation)
	}
	if attempt.Organisation != "" {
		header.Set(e.HeaderNames.Organisation, string(attempt.Organisation))
	}
	if attempt.Traceparent != "" {
		header.Set(caller.HeaderTraceparent, attempt.Traceparent)
	}
	header.SetContentLength(attempt.Body.Len())
	return request
}

// hopByHopFields are the request header fields that are meant for one connection
// and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// Body is a request body in consecutive pieces.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int {
	length := 0
	for _, piece := range b {
		length += len(piece)
	}
	return length
}

// requestWrite is the writing of a request, which may run in a goroutine.
type requestWrite struct {
	done chan struct{}
	// result is set once done is closed.
	result writeResult
}

// writeResult is the end of a write: the bytes written and the error.
type writeResult struct {
	n   int64
	err error
}

func (w *requestWrite) wait() writeResult {
	<-w.done
	return w.result
}

func (w *requestWrite) isDone() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// startWrite writes the request. A body of more than maxSyncWrite bytes is
// written in a goroutine.
func startWrite(conn *connection, request *fasthttp.Request, body Body) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	write := func() {
		defer close(w.done)
		w.result = writeRequest(conn, request, body)
	}
	if body.Len() > maxSyncWrite {
		go write()
	} else {
		write()
	}
	return w
}

func writeRequest(conn *connection, request *fasthttp.Request, body Body) writeResult {
	head := request.Header.Header()
	length := body.Len()
	if length > 0 && (request.Header.IsGet() || request.Header.IsHead()) {
		// fasthttp omits Content-Length for GET and HEAD, which rarely have a body.
		head = fmt.Appendf(head[:len(head)-len("\r\n")], "Content-Length: %d\r\n\r\n", length)
	}
	buffers := append(net.Buffers{head}, body...)
	if length <= maxSyncWrite {
		buffers = net.Buffers{bytes.Join(buffers, nil)}
	}
	n, err := buffers.WriteTo(conn.Conn)
	return writeResult{n: n, err: err}
}
