package forwarder

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// maxClientTimeout is the time limit of a request whose client states none, and
// the longest one that a client may state.
const maxClientTimeout = 30 * time.Second

// defaultMaxBodySize limits a request body if the policy states no limit.
const defaultMaxBodySize = 16 * core.Mebibyte

// responseMargin is reserved for sending the response back to the client.
const responseMargin = 10 * time.Millisecond

// requestHostname returns the host name of the request in lower case, without a
// port.
func requestHostname(ctx *fasthttp.RequestCtx) string {
	hostname := string(ctx.Request.Header.Host())
	if i := strings.LastIndexByte(hostname, ':'); i >= 0 {
		hostname = hostname[:i]
	}
	return strings.ToLower(hostname)
}

// requestPath returns the path as the client sent it, without the query.
func requestPath(ctx *fasthttp.RequestCtx) string {
	uri := ctx.Request.Header.RequestURI()
	if i := bytes.IndexByte(uri, '?'); i >= 0 {
		uri = uri[:i]
	}
	return string(uri)
}

// readBody reads the whole request body. It returns the status code of the
// response if the request is rejected, and 0 otherwise.
func (f *Forwarder) readBody(ctx *fasthttp.RequestCtx, limit core.Bytes) ([]byte, int) {
	length := ctx.Request.Header.ContentLength()
	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 {
		return nil, 0
	}
	if limit <= 0 {
		limit = defaultMaxBodySize
	}
	if length > int(limit) {
		return nil, fasthttp.StatusRequestEntityTooLarge
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(length, 0)))
	limited := io.LimitReader(stream, int64(limit)+1)
	if _, err := buffer.ReadFrom(limited); err != nil {
		return nil, fasthttp.StatusBadRequest
	}
	if buffer.Len() > int(limit) {
		return nil, fasthttp.StatusRequestEntityTooLarge
	}
	if total := f.bodyBytes.Add(int64(buffer.Len())); f.MaxBodyBytes > 0 && total > int64(f.MaxBodyBytes) {
		f.bodyBytes.Add(-int64(buffer.Len()))
		return nil, fasthttp.StatusServiceUnavailable
	}
	return buffer.Bytes(), 0
}

// clientDeadline returns when the client stops waiting for a response.
func (f *Forwarder) clientDeadline(ctx *fasthttp.RequestCtx, now time.Time) time.Time {
	timeout, ok := core.ParseMilliseconds(string(ctx.Request.Header.Peek(f.HeaderNames.Deadline)), maxClientTimeout)
	if !ok {
		timeout = maxClientTimeout
	}
	return now.Add(timeout)
}
