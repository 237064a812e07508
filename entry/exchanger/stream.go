package exchanger

import (
	"io"
	"sync"
	"time"
)

// prefetchSize is how many bytes of a long response body are read before any of
// them is passed to the client. If the upstream breaks off earlier, the request
// can still be retried at another one. Only bodies that state their length are streamed, so
// that the client can tell a truncated body from a complete one.
const prefetchSize = 128 << 10

// BodyStream is the body of a long response, of which the first part has been read.
// Its user reads it to the end and closes it.
type BodyStream struct {
	exchanger *Exchanger
	attempt   Attempt
	conn      *connection
	// prefetched is the unread rest of the part that was read in advance, and
	// remaining reads the part that is still to come from the connection.
	prefetched []byte
	remaining  io.LimitedReader
	// size is the length of the whole body in bytes.
	size int
	// isReusable says that the connection may be kept once the body has been read.
	isReusable bool
	closeOnce  sync.Once
	// OnTruncated is called by Close if the body was not read to its end, either because
	// the upstream broke off or because the user stopped reading; nil ignores it.
	OnTruncated func()
}

// newStream reads the first part of a body of size bytes and returns the body.
func (e *Exchanger) newStream(conn *connection, attempt Attempt, size int) (*BodyStream, error) {
	s := &BodyStream{exchanger: e, attempt: attempt, conn: conn, size: size, prefetched: make([]byte, prefetchSize)}
	if _, err := io.ReadFull(conn.reader, s.prefetched); err != nil {
		return nil, err
	}
	s.remaining = io.LimitedReader{R: conn.reader, N: int64(size - prefetchSize)}
	return s, nil
}

// begin sets the deadline for the rest of the body. The body no longer counts in
// the byte budget, since it is passed on as it arrives.
func (s *BodyStream) begin() {
	s.conn.metered.release()
	if !s.attempt.BodyDeadline.IsZero() {
		// If the deadline cannot be set, the next read fails too.
		_ = s.conn.SetDeadline(s.attempt.BodyDeadline)
	}
}

// Size returns the length of the whole body in bytes.
func (s *BodyStream) Size() int {
	return s.size
}

// Read reads the body. It returns io.ErrUnexpectedEOF if the upstream closed the
// connection before the end of the body.
func (s *BodyStream) Read(p []byte) (int, error) {
	if len(s.prefetched) > 0 {
		n := copy(p, s.prefetched)
		s.prefetched = s.prefetched[n:]
		return n, nil
	}
	if s.remaining.N == 0 {
		return 0, io.EOF
	}
	n, err := s.remaining.Read(p)
	if err == io.EOF && s.remaining.N > 0 { //nolint:errorlint // readers return io.EOF itself
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close ends the exchange with the upstream. The connection is kept if the body was read
// to its end.
func (s *BodyStream) Close() error {
	s.closeOnce.Do(s.finish)
	return nil
}

// finish returns the connection to the pool or closes it.
func (s *BodyStream) finish() {
	isComplete := len(s.prefetched) == 0 && s.remaining.N == 0
	isClean := s.conn.releaseReader() == 0
	if isComplete && isClean && s.isReusable {
		s.exchanger.pool.put(endpointOf(s.attempt.Upstream), s.conn, time.Now())
	} else {
		s.exchanger.pool.discard(endpointOf(s.attempt.Upstream), s.conn)
	}
	if !isComplete && s.OnTruncated != nil {
		s.OnTruncated()
	}
}
