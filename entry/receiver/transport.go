package receiver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// Transport makes a fasthttp.Client read responses strictly. The timeout of a request limits
// the exchange, and MaxResponseBodySize of the client the body; 0 means defaultMaxBody. With
// StreamResponseBody the body is a stream that its user reads and closes, and whose size is
// the user's to limit.
type Transport struct {
	// OnMalformed is called with the address of a peer that sent bytes that are no valid
	// response; nil ignores it.
	OnMalformed func(address string, err error)
}

// RoundTrip sends a request and reads its response. It reports whether the request may be
// retried if it is idempotent. The error is fasthttp.ErrTimeout after the timeout.
func (t *Transport) RoundTrip(client *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (bool, error) {
	timeout := request.GetTimeOut()
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	pooled, err := client.AcquireConn(timeout, request.ConnectionClose())
	if err != nil {
		return false, err
	}
	e := exchange{
		conn: pooled.Conn(), client: client,
		keep:  func() { client.ReleaseConn(pooled) },
		close: func() { client.CloseConn(pooled) },
	}
	err = e.run(request, response, deadline)
	if IsMalformed(err) && t.OnMalformed != nil {
		t.OnMalformed(client.Addr, err)
	}
	if IsTimeout(err) {
		return false, fasthttp.ErrTimeout
	}
	return errors.Is(err, io.EOF), err
}

// exchange is one request and its response on a connection of a client.
type exchange struct {
	conn   net.Conn
	client *fasthttp.HostClient
	// keep returns the connection to the client, and close closes it.
	keep, close func()

	reader   *bufio.Reader
	receiver Receiver
	// isReusable says that the connection may be kept once the body has been read.
	isReusable bool
}

// run sends the request and reads the response, or its head if the body is to be streamed.
func (e *exchange) run(request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	if err := e.conn.SetDeadline(deadline); err != nil {
		e.close()
		return err
	}
	writeErr := e.write(request)
	if writeErr != nil && !isLost(writeErr) {
		e.close()
		return writeErr
	}
	e.reader = e.client.AcquireReader(e.conn)
	e.receiver = Receiver{Response: response, Source: e.reader, Method: string(request.Header.Method())}
	err := e.receiver.ReadHead()
	if err == nil && e.receiver.EndsWithConnection() && IsCut(writeErr) {
		err = writeErr
	}
	if err != nil {
		e.end(false)
		return err
	}
	e.isReusable = writeErr == nil && !response.ConnectionClose() && !request.ConnectionClose()
	if response.StreamBody && e.receiver.body.framing != withoutBody {
		response.SetBodyStream(&bodyStream{exchange: e}, e.streamSize())
		return nil
	}
	err = e.receiver.ReadBody(core.Bytes(e.client.MaxResponseBodySize))
	e.end(err == nil)
	return err
}

// isLost reports whether a write failed because the peer had closed the connection. It may have
// responded before.
func isLost(writeErr error) bool {
	return errors.Is(writeErr, syscall.ECONNRESET) || errors.Is(writeErr, syscall.EPIPE)
}

// write writes the request.
func (e *exchange) write(request *fasthttp.Request) error {
	writer := e.client.AcquireWriter(e.conn)
	defer e.client.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// end returns the connection to the client, or closes it if the response was not read whole
// or other bytes follow it.
func (e *exchange) end(isWhole bool) {
	isClean := e.reader.Buffered() == 0
	e.client.ReleaseReader(e.reader)
	if isWhole && isClean && e.isReusable {
		e.keep()
		return
	}
	e.close()
}

// streamSize returns the size of the streamed body, -1 if the head does not state it.
func (e *exchange) streamSize() int {
	if length, hasLength := e.receiver.Length(); hasLength {
		return int(length)
	}
	return -1
}

// bodyStream is a body that its user reads from the connection.
type bodyStream struct {
	exchange *exchange
	isClosed bool
	isWhole  bool
}

// Read reads a part of the body.
func (s *bodyStream) Read(p []byte) (int, error) {
	n, err := s.exchange.receiver.Body().Read(p)
	s.isWhole = errors.Is(err, io.EOF)
	return n, err
}

// Close ends the exchange.
func (s *bodyStream) Close() error {
	if !s.isClosed {
		s.isClosed = true
		s.exchange.end(s.isWhole)
	}
	return nil
}
