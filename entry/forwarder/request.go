package forwarder

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// defaultDeadline bounds a request whose client states no deadline.
const defaultDeadline = 30 * time.Second

// defaultBodyLimit bounds a body where the policy states no limit.
const defaultBodyLimit = 16 * core.Mebibyte

// answerMargin is kept for the way of the answer back to the client.
const answerMargin = 10 * time.Millisecond

// hostOf returns the host name that the client asked for, without a port.
func hostOf(ctx *fasthttp.RequestCtx) string {
	host := string(ctx.Request.Header.Host())
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// pathOf returns the path as the client sent it, without the query.
func pathOf(ctx *fasthttp.RequestCtx) string {
	uri := ctx.Request.Header.RequestURI()
	if i := bytes.IndexByte(uri, '?'); i >= 0 {
		uri = uri[:i]
	}
	return string(uri)
}

// readBody reads the request's body. The status is 0 where it was read whole.
func (f *Forwarder) readBody(ctx *fasthttp.RequestCtx, limit core.Bytes) ([]byte, int) {
	length := ctx.Request.Header.ContentLength()
	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 {
		return nil, 0
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if length > int(limit) {
		return nil, fasthttp.StatusRequestEntityTooLarge
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(length, 0)))
	bounded := io.LimitReader(stream, int64(limit)+1)
	if _, err := buffer.ReadFrom(bounded); err != nil {
		return nil, fasthttp.StatusBadRequest
	}
	if buffer.Len() > int(limit) {
		return nil, fasthttp.StatusRequestEntityTooLarge
	}
	if held := f.bodies.Add(int64(buffer.Len())); f.MaxBodies > 0 && held > int64(f.MaxBodies) {
		f.bodies.Add(-int64(buffer.Len()))
		return nil, fasthttp.StatusServiceUnavailable
	}
	return buffer.Bytes(), 0
}

// deadline returns when the client stops waiting.
func (f *Forwarder) deadline(ctx *fasthttp.RequestCtx, now time.Time) time.Time {
	text := ctx.Request.Header.Peek(f.Fields.Deadline)
	ms, err := strconv.ParseFloat(string(text), 64)
	if err != nil || ms <= 0 {
		return now.Add(defaultDeadline)
	}
	return now.Add(min(time.Duration(ms*float64(time.Millisecond)), defaultDeadline))
}
