package exchanger

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/entry/caller"
)

// head returns the header for the upstream.
func (e *Exchanger) head(attempt Attempt) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	attempt.Head.CopyTo(&request.Header)
	header := &request.Header
	header.SetNoDefaultContentType(true)
	for _, name := range hopFields {
		header.Del(name)
	}
	header.ResetConnectionClose()
	header.Set(e.Fields.Target, string(attempt.Upstream.Name))
	left := max(time.Until(attempt.Deadline).Milliseconds(), 1)
	header.Set(e.Fields.Deadline, strconv.FormatInt(left, 10))
	if attempt.Trace != "" {
		header.Set(caller.HeaderTrace, attempt.Trace)
	}
	header.SetContentLength(len(attempt.Body))
	return request
}

// hopFields concern only one connection.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// sending is the writing of a request.
type sending struct {
	done   chan struct{}
	result sent
}

type sent struct {
	n   int64
	err error
}

func (s *sending) wait() sent {
	<-s.done
	return s.result
}

func (s *sending) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// send writes the request, beside the caller's further work if it is long.
func send(conn *connection, request *fasthttp.Request, body []byte) *sending {
	s := &sending{done: make(chan struct{})}
	write := func() {
		defer close(s.done)
		s.result = writeRequest(conn, request, body)
	}
	if len(body) > wholeWrite {
		go write()
	} else {
		write()
	}
	return s
}

func writeRequest(conn *connection, request *fasthttp.Request, body []byte) sent {
	head := request.Header.Header()
	if len(body) > 0 && (request.Header.IsGet() || request.Header.IsHead()) {
		// The library leaves the length out for methods that rarely have a body.
		head = fmt.Appendf(head[:len(head)-len("\r\n")], "Content-Length: %d\r\n\r\n", len(body))
	}
	buffers := net.Buffers{head, body}
	if len(body) <= wholeWrite {
		buffers = net.Buffers{append(head, body...)}
	}
	n, err := buffers.WriteTo(conn.Conn)
	return sent{n: n, err: err}
}
