// Package receiver reads HTTP/1.1 responses strictly. All programs read the responses of
// upstreams, of the platform's store and of other hosts with it.
//
// A response is accepted only if RFC 9110 and RFC 9112 allow each of its bytes: the status
// line, the field lines, the framing of the body, the chunks, the trailer, and informational
// (1xx) responses before it. Anything else is an error of type core.ErrMalformed, and then
// nothing that was read may be used: the peer may have run the request or not. Where the RFCs
// let a recipient choose, the package refuses what two readers could take in different ways
// (line feeds alone, values over several lines, a length beside chunks) and accepts the rest
// (a missing reason with the blank before it, one length stated twice).
//
// A body without a length ends with its connection, which must be closed cleanly. If a request
// is still being written then, the system may report a reset of the connection to the writer
// alone, and the reader finds a clean end. Whoever writes must then ask IsCut.
//
// Memory is bounded whatever a peer sends: a head must fit in the read buffer, and so must the
// line before a chunk. Informational responses, trailers, chunk extensions and bodies
// have limits.
//
// The fields of a trailer are validated and discarded. They must not be taken for header
// fields (RFC 9110, section 6.5.1).
//
// # Usage
//
// Whoever manages connections reads from them:
//
//	r := receiver.Receiver{Response: response, Source: reader, Method: fasthttp.MethodGet}
//	if err := r.ReadHead(); err != nil {
//		return err
//	}
//	return r.ReadBody(limit)
//
// Others let a fasthttp.Client do that:
//
//	client := fasthttp.Client{Transport: &receiver.Transport{}, MaxResponseBodySize: limit}
package receiver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

const (
	// maxInformational is the largest number of informational responses before a response.
	maxInformational = 64
	// defaultMaxBody limits bodies whose reader states no limit.
	defaultMaxBody = 16 * core.Mebibyte
	// firstBufferSize is the initial size in bytes of the buffer of a body without a length.
	// firstLengthSize is the largest one of a body that states its length, which may be wrong.
	firstBufferSize = 4 << 10
	firstLengthSize = 128 << 10
)

// ErrBodyTooLarge reports that a body exceeds the limit of its reader.
var ErrBodyTooLarge = errors.New("the response body is too large")

// IsMalformed reports whether err says that a peer sent bytes that are no valid response.
func IsMalformed(err error) bool { return errorx.IsOfType(err, core.ErrMalformed) }

// IsTimeout reports whether an error of a connection is the end of a deadline or of the TCP user
// timeout.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// IsCut reports whether the error of a write shows that the peer reset the connection before
// the end of its response. A body that ended with the connection then has no known end. A
// reset that follows the clean end of a body is reported as a broken pipe, and cuts nothing.
func IsCut(writeErr error) bool {
	return errors.Is(writeErr, syscall.ECONNRESET) || errors.Is(writeErr, syscall.ETIMEDOUT)
}

// Receiver reads one response.
type Receiver struct {
	// Response gets the head and the body.
	Response *fasthttp.Response
	// Source is where the response is read from. Its buffer limits the size of the head.
	Source *bufio.Reader
	// Method is the method of the request.
	Method string

	body body
}

// ReadHead reads the heads of informational responses and of the response. The error is
// io.EOF if the connection ended before the first byte.
func (r *Receiver) ReadHead() error {
	for n := range maxInformational + 1 {
		var h head
		err := h.read(r.Source)
		if errors.Is(err, io.EOF) && n > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if !h.isInformational() {
			return r.accept(&h)
		}
		if err := h.checkInformational(); err != nil {
			return err
		}
		if _, err := r.Source.Discard(h.size); err != nil {
			return err
		}
	}
	return core.ErrMalformed.New("more than %d informational responses", maxInformational)
}

// accept determines where the body ends and fills the header of the response.
func (r *Receiver) accept(h *head) error {
	framing, err := h.framing(r.Method)
	if err != nil {
		return err
	}
	if err := h.fill(&r.Response.Header, r.Source); err != nil {
		return core.ErrMalformed.Wrap(err, "head")
	}
	// The response may hold the body of an earlier one, or the note that that had none.
	r.Response.ResetBody()
	r.Response.SkipBody = framing == withoutBody
	r.body = body{source: r.Source, framing: framing, remaining: h.length}
	return nil
}

// Body returns the body, to be read after the head. Read returns io.EOF at its end only, and
// an error of another type wherever it breaks off. It can be read once.
func (r *Receiver) Body() io.Reader {
	return &r.body
}

// Length returns the length of the body in bytes, and whether the head states it.
func (r *Receiver) Length() (core.Bytes, bool) {
	return core.Bytes(r.body.remaining), r.body.framing == framedByLength
}

// EndsWithConnection reports whether the body ends where the connection does.
func (r *Receiver) EndsWithConnection() bool {
	return r.body.framing == framedByConnection
}

// ReadBody reads the whole body into the response. It may have limit bytes; 0 means
// defaultMaxBody. A longer one yields ErrBodyTooLarge.
func (r *Receiver) ReadBody(limit core.Bytes) error {
	if r.body.framing == withoutBody {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	length, hasLength := r.Length()
	if hasLength && length > limit {
		return ErrBodyTooLarge
	}
	buffer := r.Response.SwapBody(nil)[:0]
	if hasLength {
		buffer = grow(buffer, int(min(length, firstLengthSize)))
	}
	buffer, err := r.body.appendTo(buffer, int(limit))
	r.Response.SwapBody(buffer)
	return err
}
