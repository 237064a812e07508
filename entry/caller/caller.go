// Package caller runs attempts at upstreams over HTTP/1.1.
//
// It uses fasthttp's requests and answers but keeps the connections itself,
// because the state of an attempt depends on whether its connection was opened
// and written to. An attempt carries its id, deadline and trace; the upstream
// echoes the id, so that a crossed or late answer is noticed. A connection
// that fails, or brings a wrong answer, is closed and not used again.
//
// # Usage
//
//	c := &caller.Caller{Dial: net.DialTimeout}
//	result := c.Do(caller.Attempt{Upstream: u, ID: id, Request: request}, time.Now)
//	if result.State == core.NotRun { /* another attempt is safe */ }
package caller

import (
	"bufio"
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// Header fields between hosts and upstreams.
const (
	HeaderAttempt  = "Endiverun-Attempt"
	HeaderDeadline = "Endiverun-Deadline-Ms"
	HeaderRunState = "Endiverun-Run-State"
	HeaderPhase    = "Endiverun-Phase"
	HeaderDigest   = "Content-Digest"
	HeaderKey      = "Idempotency-Key"
	HeaderOrg      = "Endiverun-Organisation"
	HeaderTrace    = "traceparent"
)

// Values of HeaderRunState and HeaderPhase.
const (
	RunStateNotRun = "not-run"
	PhaseLeaving   = "leaving"
)

// Attempt is one attempt to run a request.
type Attempt struct {
	ID       core.AttemptID
	Upstream core.Upstream
	Request  core.Request
	// Progress is the longest silence.
	Progress time.Duration
	// Once says that the request must not run twice, so that an idle
	// connection proves itself first.
	Once  bool
	Trace string
}

// Result is what became of an attempt.
type Result struct {
	State    core.RunState
	Answer   *core.Answer
	Duration time.Duration
	// Shed says that the upstream refused for lack of room.
	Shed bool
	// Stale says that a connection used before brought no answer.
	Stale bool
	// Leaving says that the upstream announced that it drains.
	Leaving bool
	// Fault names what was wrong, for logs and traces.
	Fault string
}

// Caller runs attempts.
type Caller struct {
	// Dial opens a connection.
	Dial Dialer
	// MaxAnswer bounds an answer's body.
	MaxAnswer core.Bytes

	pools pools
}

// Do runs an attempt and returns when its outcome is known.
func (c *Caller) Do(attempt Attempt, clock func() time.Time) Result {
	start := clock()
	conn, err := c.pools.take(c.Dial, attempt, start)
	if err != nil {
		return Result{State: core.NotRun, Fault: "connect: " + err.Error(), Duration: clock().Sub(start)}
	}
	result, reusable := c.exchange(conn, attempt, clock)
	result.Duration = clock().Sub(start)
	if reusable {
		c.pools.put(attempt.Upstream.Address, conn, clock())
		return result
	}
	_ = conn.Close()
	if result.State == core.RunUnknown {
		result.Stale = conn.isReused
		c.pools.closeAddress(attempt.Upstream.Address)
	}
	return result
}

// exchange sends the request and reads the answer. It reports whether the
// connection may be used again.
func (c *Caller) exchange(conn *connection, attempt Attempt, clock func() time.Time) (Result, bool) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request, attempt, clock())
	conn.limit(attempt.Progress, attempt.Request.Deadline)
	if err := write(conn.writer, request); err != nil {
		return unknown("send: " + err.Error()), false
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.SkipBody = attempt.Request.Method == fasthttp.MethodHead
	if fault := read(response, conn.reader, c.MaxAnswer); fault != "" {
		return unknown(fault), false
	}
	return judge(response, attempt)
}

func write(w *bufio.Writer, request *fasthttp.Request) error {
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// fill writes the attempt into an HTTP request.
func fill(request *fasthttp.Request, attempt Attempt, now time.Time) {
	request.Header.SetMethod(attempt.Request.Method)
	request.SetRequestURI(attempt.Request.Path)
	request.Header.SetHost(attempt.Upstream.Address)
	request.Header.SetNoDefaultContentType(true)
	for _, h := range attempt.Request.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	left := max(attempt.Request.Deadline.Sub(now).Milliseconds(), 1)
	request.Header.Set(HeaderAttempt, string(attempt.ID))
	request.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	if attempt.Request.Key.Text != "" {
		request.Header.Set(HeaderKey, attempt.Request.Key.Text)
	}
	if attempt.Request.Organisation != "" {
		request.Header.Set(HeaderOrg, string(attempt.Request.Organisation))
	}
	if attempt.Trace != "" {
		request.Header.Set(HeaderTrace, attempt.Trace)
	}
	if len(attempt.Request.Body) > 0 {
		request.Header.Set(HeaderDigest, Digest(attempt.Request.Body))
		request.SetBodyRaw(attempt.Request.Body)
	}
}

// readToClose is how fasthttp tells that an answer declares no length, so that
// a truncated one would look whole.
const readToClose = -2

// read reads an answer and returns what is wrong with it.
func read(response *fasthttp.Response, r *bufio.Reader, limit core.Bytes) string {
	for {
		if err := response.Header.Read(r); err != nil {
			return "receive: " + err.Error()
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	isEmpty := response.StatusCode() == fasthttp.StatusNoContent || response.StatusCode() == fasthttp.StatusNotModified
	if response.SkipBody || isEmpty {
		return ""
	}
	if response.Header.ContentLength() == readToClose {
		return "the answer declares no length"
	}
	if err := response.ReadBody(r, int(limit)); err != nil {
		return "receive: " + err.Error()
	}
	return ""
}

// judge decides what a received answer proves.
func judge(response *fasthttp.Response, attempt Attempt) (Result, bool) {
	header := &response.Header
	if string(header.Peek(HeaderAttempt)) != string(attempt.ID) {
		return unknown("the answer belongs to another attempt"), false
	}
	leaving := string(header.Peek(HeaderPhase)) == PhaseLeaving
	reusable := !header.ConnectionClose()
	if string(header.Peek(HeaderRunState)) == RunStateNotRun {
		return Result{State: core.NotRun, Shed: true, Leaving: leaving, Fault: "shed"}, reusable
	}
	if fault := checkWhole(response); fault != "" {
		return unknown(fault), false
	}
	answer := &core.Answer{
		Status:  response.StatusCode(),
		Headers: passable(header),
		Body:    bytes.Clone(response.Body()),
	}
	return Result{State: core.Answered, Answer: answer, Leaving: leaving}, reusable
}

// checkWhole returns what is wrong with an answer that was read to its end.
func checkWhole(response *fasthttp.Response) string {
	if response.SkipBody {
		return ""
	}
	declared := response.Header.Peek(HeaderDigest)
	if len(declared) > 0 && string(declared) != Digest(response.Body()) {
		return "the answer does not match its digest"
	}
	return ""
}

// unknown returns the result of an attempt that may have been run.
func unknown(fault string) Result {
	return Result{State: core.RunUnknown, Fault: fault}
}

// passable returns the header fields of an answer that go to the client.
func passable(header *fasthttp.ResponseHeader) []core.Header {
	var headers []core.Header
	for k, v := range header.All() {
		name := string(k)
		if IsHopHeader(name) {
			continue
		}
		headers = append(headers, core.Header{Name: name, Value: string(v)})
	}
	return headers
}
