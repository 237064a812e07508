package exchanger

import (
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// firstPart is how much of a long answer is read before any of it goes to the
// client. An upstream that breaks off sooner can be replaced by another.
const firstPart = 128 << 10

// Stream is the body of a long answer whose first part was read. It is read until
// its end and closed.
type Stream struct {
	exchanger *Exchanger
	attempt   Attempt
	conn      *connection
	// first is what was read already, rest what the connection still brings.
	first []byte
	rest  io.LimitedReader
	size  int
	// reusable says that the connection may be kept once the body is read.
	reusable bool
	once     sync.Once
	// OnCut is told when the body was not read to its end; nil ignores it.
	OnCut func()
}

// newStream returns the body of an answer of the given length, with its first part
// read.
func (e *Exchanger) newStream(conn *connection, attempt Attempt, size int) (*Stream, error) {
	s := &Stream{exchanger: e, attempt: attempt, conn: conn, size: size, first: make([]byte, firstPart)}
	if _, err := io.ReadFull(conn.reader, s.first); err != nil {
		return nil, err
	}
	s.rest = io.LimitedReader{R: conn.reader, N: int64(size - firstPart)}
	return s, nil
}

// begin allows the rest of the body the time that it has. It is passed on and not
// held.
func (s *Stream) begin() {
	s.conn.metered.free()
	if !s.attempt.BodyUntil.IsZero() {
		// A connection that cannot be bounded any more fails at the next read.
		_ = s.conn.SetDeadline(s.attempt.BodyUntil)
	}
}

// Size returns the length of the whole body.
func (s *Stream) Size() int {
	return s.size
}

// Read reads the body. A body that ends early is an error.
func (s *Stream) Read(p []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(p, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	if s.rest.N == 0 {
		return 0, io.EOF
	}
	n, err := s.rest.Read(p)
	if err == io.EOF && s.rest.N > 0 { //nolint:errorlint // readers return io.EOF itself
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the body was read whole.
func (s *Stream) Close() error {
	s.once.Do(s.end)
	return nil
}

func (s *Stream) end() {
	isWhole := len(s.first) == 0 && s.rest.N == 0
	isClean := s.conn.releaseReader() == 0
	if isWhole && isClean && s.reusable {
		s.exchanger.pool.put(endpointOf(s.attempt.Upstream), s.conn, time.Now())
	} else {
		s.exchanger.pool.discard(endpointOf(s.attempt.Upstream), s.conn)
	}
	if !isWhole && s.OnCut != nil {
		s.OnCut()
	}
}

// isLong reports whether the body of an answer is passed on before it is whole:
// it states its length, so that a part of it cannot be taken for all.
func isLong(response *fasthttp.Response, isHead bool) bool {
	return !isHead && response.Header.ContentLength() > firstPart && hasBody(response)
}

func hasBody(response *fasthttp.Response) bool {
	switch response.StatusCode() {
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return false
	}
	return true
}
