package forwarder

import (
	"bytes"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// maxClientTimeout is the time limit of a request whose client states none, and
// the longest one that a client may state.
const maxClientTimeout = 30 * time.Second

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

// clientDeadline returns when the client stops waiting for a response.
func (f *Forwarder) clientDeadline(ctx *fasthttp.RequestCtx, now time.Time) time.Time {
	timeout, ok := core.ParseMilliseconds(string(ctx.Request.Header.Peek(f.HeaderNames.Deadline)), maxClientTimeout)
	if !ok {
		timeout = maxClientTimeout
	}
	return now.Add(timeout)
}
