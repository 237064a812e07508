// Package caller sends requests to upstreams over HTTP/1.1, in the protocol of the
// program endiverun-entry: its header names are constants and it sends a
// core.Request. Package exchanger forwards a client's own header and body instead,
// with header names that its user sets.
//
// Package caller uses fasthttp's requests and responses but manages the connections
// itself, because the run state of an attempt (whether the upstream ran it, see
// core.RunState) depends on whether a connection was opened and written to. A
// request carries the id, deadline and trace of its attempt. The upstream echoes
// the id in its response. A response with another id is late or belongs to another
// request, and is discarded. A connection that fails or delivers an invalid response
// is closed and not reused.
//
// The package also has the dialers that other packages use, and StoreCall and
// StoreClient, which make the HTTP calls of the clients of the store.
//
// # Usage
//
//	c := &caller.Caller{Dial: caller.DialTCP}
//	result := c.Do(caller.Attempt{Upstream: u, ID: id, Request: request}, time.Now)
//	if result.RunState == core.NotRun { /* another attempt is safe */ }
package caller

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/receiver"
)

// Names of the header fields between hosts and upstreams. A request carries the id of
// its attempt, the remaining time in milliseconds, the SHA-256 digest of its body, the
// client's idempotency key, the organisation (see core.Organisation) that sent it and
// the trace context. A response carries the id of the attempt again, the run state if
// the request did not run, the phase if the upstream is draining, and a digest.
const (
	HeaderAttempt        = "Endiverun-Attempt"
	HeaderDeadline       = "Endiverun-Deadline-Ms"
	HeaderRunState       = "Endiverun-Run-State"
	HeaderPhase          = "Endiverun-Phase"
	HeaderContentDigest  = "Content-Digest"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOrganisation   = "Endiverun-Organisation"
	HeaderTraceparent    = "traceparent"
)

// Values of HeaderRunState and HeaderPhase.
const (
	// RunStateNotRun says that the upstream did not run the request.
	RunStateNotRun = "not-run"
	// PhaseDraining says that the upstream is draining: it finishes its requests and
	// accepts no more. On the wire this phase is called leaving, as in core.PhaseLeaving.
	PhaseDraining = "leaving"
)

// Attempt is one attempt to run a request at an upstream.
type Attempt struct {
	ID       core.AttemptID
	Upstream core.Upstream
	Request  core.Request
	// ProgressTimeout is the timeout of each read and write; 0 or less means that only the
	// request's deadline counts.
	ProgressTimeout time.Duration
	// AtMostOnce says that the request must run at most once. A connection that was idle is
	// then probed with a health request before it is used.
	AtMostOnce bool
	// Traceparent is the value of the traceparent field sent to the upstream; empty sends none.
	Traceparent string
}

// Result is the result of an attempt.
type Result struct {
	RunState core.RunState
	// Response is set if RunState is Answered.
	Response *core.Response
	Duration time.Duration
	// Shed says that the upstream rejected the request without running it, because it is
	// overloaded (load shedding).
	Shed bool
	// StaleConnection says that RunState is RunUnknown and that the connection was a reused
	// one, which the upstream may have closed before the request was sent.
	StaleConnection bool
	// IsMalformed says that the upstream sent bytes that are no valid response.
	IsMalformed bool
	// IsDraining says that the upstream announced that it is draining.
	IsDraining bool
	// FailureReason is why the attempt failed, for logs and traces.
	FailureReason string
}

// Caller sends requests to upstreams over a connection pool.
type Caller struct {
	// Dial opens connections.
	Dial DialFunc
	// MaxResponseBody is the largest response body that is read, in bytes. A larger one
	// fails the attempt; 0 means the limit of package receiver.
	MaxResponseBody core.Bytes

	pool connectionPool
}

// Do runs an attempt and returns its result. Clock returns the current time.
func (c *Caller) Do(attempt Attempt, clock func() time.Time) Result {
	start := clock()
	conn, err := c.pool.take(c.Dial, attempt, start)
	if err != nil {
		return Result{RunState: core.NotRun, FailureReason: "connect: " + err.Error(), Duration: clock().Sub(start)}
	}
	result, isReusable := c.exchange(conn, attempt, clock)
	result.Duration = clock().Sub(start)
	if isReusable {
		c.pool.put(attempt.Upstream.Address, conn, clock())
		return result
	}
	_ = conn.Close()
	if result.RunState == core.RunUnknown {
		result.StaleConnection = conn.isReused
		c.pool.closeAddress(attempt.Upstream.Address)
	}
	return result
}

// exchange sends the request and reads the response. It reports whether the
// connection may be reused.
func (c *Caller) exchange(conn *connection, attempt Attempt, clock func() time.Time) (Result, bool) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fillRequest(request, attempt, clock())
	conn.setLimits(attempt.ProgressTimeout, attempt.Request.Deadline)
	if err := writeRequest(conn.writer, request); err != nil {
		return unknownResult("send: " + err.Error()), false
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := readResponse(response, conn.reader, attempt.Request.Method, c.MaxResponseBody); err != nil {
		result := unknownResult("receive: " + err.Error())
		result.IsMalformed = receiver.IsMalformed(err)
		return result, false
	}
	return classify(response, attempt)
}

func writeRequest(w *bufio.Writer, request *fasthttp.Request) error {
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// fillRequest sets the method, path, header and body of the HTTP request for an
// attempt.
func fillRequest(request *fasthttp.Request, attempt Attempt, now time.Time) {
	request.Header.SetMethod(attempt.Request.Method)
	request.SetRequestURI(attempt.Request.Path)
	request.Header.SetHost(attempt.Upstream.Address)
	request.Header.SetNoDefaultContentType(true)
	for _, h := range attempt.Request.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	remaining := max(attempt.Request.Deadline.Sub(now).Milliseconds(), 1)
	request.Header.Set(HeaderAttempt, string(attempt.ID))
	request.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	if attempt.Request.Key.Text != "" {
		request.Header.Set(HeaderIdempotencyKey, attempt.Request.Key.Text)
	}
	if attempt.Request.Organisation != "" {
		request.Header.Set(HeaderOrganisation, string(attempt.Request.Organisation))
	}
	if attempt.Traceparent != "" {
		request.Header.Set(HeaderTraceparent, attempt.Traceparent)
	}
	if len(attempt.Request.Body) > 0 {
		request.Header.Set(HeaderContentDigest, ContentDigest(attempt.Request.Body))
		request.SetBodyRaw(attempt.Request.Body)
	}
}

// errNoLength reports a response whose body ends with its connection. A truncated body would
// look complete.
var errNoLength = errors.New("the response states no length")

// readResponse reads a response that states its length or is in chunks.
func readResponse(response *fasthttp.Response, source *bufio.Reader, method string, limit core.Bytes) error {
	r := receiver.Receiver{Response: response, Source: source, Method: method}
	if err := r.ReadHead(); err != nil {
		return err
	}
	if r.EndsWithConnection() {
		return errNoLength
	}
	return r.ReadBody(limit)
}

// classify derives the result of an attempt from a response. It reports whether the
// connection may be reused.
func classify(response *fasthttp.Response, attempt Attempt) (Result, bool) {
	header := &response.Header
	if string(header.Peek(HeaderAttempt)) != string(attempt.ID) {
		return unknownResult("the response belongs to another attempt"), false
	}
	isDraining := string(header.Peek(HeaderPhase)) == PhaseDraining
	isReusable := !header.ConnectionClose()
	if string(header.Peek(HeaderRunState)) == RunStateNotRun {
		return Result{RunState: core.NotRun, Shed: true, IsDraining: isDraining, FailureReason: "shed"}, isReusable
	}
	if failure := verifyDigest(response); failure != "" {
		return unknownResult(failure), false
	}
	answer := &core.Response{
		Status:  response.StatusCode(),
		Headers: forwardedHeaders(header),
		Body:    bytes.Clone(response.Body()),
	}
	return Result{RunState: core.Answered, Response: answer, IsDraining: isDraining}, isReusable
}

// verifyDigest compares the body with the response's Content-Digest field, if there
// is one. It returns why that failed, or an empty string.
func verifyDigest(response *fasthttp.Response) string {
	if response.SkipBody {
		return ""
	}
	digest := response.Header.Peek(HeaderContentDigest)
	if len(digest) > 0 && string(digest) != ContentDigest(response.Body()) {
		return "the response body does not match its digest"
	}
	return ""
}

// unknownResult returns the result of an attempt that the upstream may have run.
func unknownResult(failure string) Result {
	return Result{RunState: core.RunUnknown, FailureReason: failure}
}

// forwardedHeaders returns the header fields of a response that are forwarded to the
// client.
func forwardedHeaders(header *fasthttp.ResponseHeader) []core.Header {
	var headers []core.Header
	for k, v := range header.All() {
		name := string(k)
		if IsHopByHopHeader(name) {
			continue
		}
		headers = append(headers, core.Header{Name: name, Value: string(v)})
	}
	return headers
}
