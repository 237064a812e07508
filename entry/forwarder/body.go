package forwarder

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/budgeter"
	"github.com/endiverun/endiverun/entry/detector"
	"github.com/endiverun/endiverun/entry/exchanger"
)

const (
	// defaultMaxBodySize limits a request body if the policy states no limit.
	defaultMaxBodySize = 16 * core.Mebibyte
	// smallBodySize is the largest body that may use the reserve of small bodies.
	smallBodySize = 256 * core.Kibibyte
	// smallBodiesDivisor divides MaxBodyBytes into the reserve of small bodies, which is
	// added to it.
	smallBodiesDivisor = 16
	// A body is kept in pieces, so that memory is taken as the body arrives. The pieces of
	// a body without a stated length grow from firstPieceSize to maxPieceSize.
	firstPieceSize = 4 * core.Kibibyte
	maxPieceSize   = 256 * core.Kibibyte
	// bodyRetryAfter is the Retry-After time of a request whose body does not fit in
	// memory now. The bodies before it take about a second or more to arrive.
	bodyRetryAfter = time.Second
	// refusalLinger is how long a client may still send a body that is not read.
	refusalLinger = 5 * time.Second
)

// The errors of readBody.
var (
	errBodyTooLarge  = errors.New("the body exceeds the limit of one body")
	errBodyTruncated = errors.New("the body ends early")
	errBodiesFull    = errors.New("the bodies in memory leave no room")
)

// bodyReader reads one request body into memory.
type bodyReader struct {
	stream io.Reader
	// limit is the greatest size of the body, and budgetLimit the most bytes of all bodies
	// while this one has size bytes.
	limit       core.Bytes
	budgetLimit func(size core.Bytes) core.Bytes
	claim       *budgeter.Claim
}

// readBody reads the whole request body. Its bytes count in the budget from before they are
// read until the claim is released.
func (f *Forwarder) readBody(
	ctx *fasthttp.RequestCtx, limit core.Bytes, claim *budgeter.Claim, deadline time.Time,
) (exchanger.Body, error) {
	length := core.Bytes(ctx.Request.Header.ContentLength())
	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 {
		return nil, nil
	}
	if err := ctx.Conn().SetReadDeadline(deadline); err != nil {
		return nil, errors.Join(errBodyTruncated, err)
	}
	if limit <= 0 {
		limit = defaultMaxBodySize
	}
	r := bodyReader{stream: stream, limit: limit, budgetLimit: f.budgetLimit, claim: claim}
	var body exchanger.Body
	var err error
	if length > 0 {
		body, err = r.readLength(length)
	} else {
		body, err = r.readToEnd()
	}
	if err != nil {
		claim.Release()
		if !time.Now().Before(deadline) {
			// fasthttp's errors of chunks do not wrap that of the read.
			err = errors.Join(err, os.ErrDeadlineExceeded)
		}
		return nil, err
	}
	return body, nil
}

// budgetLimit returns the most bytes of all bodies of which one may have the given size.
func (f *Forwarder) budgetLimit(size core.Bytes) core.Bytes {
	if size <= smallBodySize {
		return f.MaxBodyBytes + f.MaxBodyBytes/smallBodiesDivisor
	}
	return f.MaxBodyBytes
}

// readLength reads a body of a stated length.
func (r bodyReader) readLength(length core.Bytes) (exchanger.Body, error) {
	if length > r.limit {
		return nil, errBodyTooLarge
	}
	if !r.claim.Grow(length, r.budgetLimit(length)) {
		return nil, errBodiesFull
	}
	var body exchanger.Body
	for remaining := length; remaining > 0; {
		piece := make([]byte, min(remaining, maxPieceSize))
		n, err := r.fill(piece)
		if n < len(piece) {
			return nil, errors.Join(errBodyTruncated, err)
		}
		body = append(body, piece)
		remaining -= core.Bytes(n)
	}
	return body, nil
}

// readToEnd reads a body without a stated length.
func (r bodyReader) readToEnd() (exchanger.Body, error) {
	var body exchanger.Body
	size := core.Bytes(0)
	for {
		piece := make([]byte, min(max(size, firstPieceSize), maxPieceSize))
		if !r.claim.Grow(core.Bytes(len(piece)), r.budgetLimit(size+core.Bytes(len(piece)))) {
			return nil, errBodiesFull
		}
		n, err := r.fill(piece)
		size += core.Bytes(n)
		if size > r.limit {
			return nil, errBodyTooLarge
		}
		if n > 0 {
			body = append(body, piece[:n])
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, errors.Join(errBodyTruncated, err)
		}
	}
}

// fill reads until the piece is full. It returns io.EOF only at the end of the body.
func (r bodyReader) fill(piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		read, err := r.stream.Read(piece[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// rejectBody responds to a request whose body was not read to its end.
func (f *Forwarder) rejectBody(ctx *fasthttp.RequestCtx, event Event, err error) {
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*detector.Conn); ok {
		conn.LingerOnClose(refusalLinger)
	}
	switch {
	case errors.Is(err, errBodiesFull):
		f.respondUnavailable(ctx, event, "bodies-full", bodyRetryAfter)
	case errors.Is(err, errBodyTooLarge):
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}
