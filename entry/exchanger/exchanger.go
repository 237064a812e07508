// Package exchanger sends requests to upstreams and reads their answers.
//
// It passes on the client's header and body as they are, adds who is expected
// at the address and how much time is left, and proves that an answer is whole
// and belongs to the request. Whatever is not proved closes the connection:
// surplus bytes, an answer without its id, one that came before the whole body
// was sent.
//
// What an attempt proves decides whether it may be repeated. NotRun means that
// nothing was sent, or that the upstream said so; RunUnknown means anything
// else without a usable answer.
//
// # Usage
//
//	e := &exchanger.Exchanger{Fields: fields, Dial: caller.NewDialer(limit)}
//	result := e.Do(ctx, exchanger.Attempt{Upstream: u, Head: &request.Header, Body: body})
//	defer result.Close()
package exchanger

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/caller"
)

// Fields are the names of the header fields between hosts and upstreams.
type Fields struct {
	// RequestID names the request. Upstreams echo it.
	RequestID string
	// Deadline carries the milliseconds that are left.
	Deadline string
	// Target names the upstream that is expected at the address.
	Target string
	// Load tells running and waiting requests and slots, separated by commas.
	Load string
	// NotRun is set in answers to requests that were not run.
	NotRun string
	// Cold tells for how many milliseconds the upstream stays cold.
	Cold string
	// Instance names the upstream that answers a health check.
	Instance string
}

// Bounds of exchanges.
const (
	// wholeWrite is the most bytes of a body that are written before the
	// answer is read. Longer ones are written beside the reading, since an
	// upstream may answer before it has read them.
	wholeWrite = 4 << 10
	// maxStrayAnswers is how many answers to other requests are passed over.
	maxStrayAnswers = 2
	// minDialTimeout is the least time for opening a connection.
	minDialTimeout = 250 * time.Millisecond
	// dialTrips is the time for opening a connection in round trips.
	dialTrips = 3
)

// Attempt is one attempt to run a request.
type Attempt struct {
	Upstream core.Upstream
	// Head is the client's header. It is not changed.
	Head *fasthttp.RequestHeader
	Body []byte
	// RequestID is empty where the client sent none.
	RequestID string
	// Deadline is when the upstream should stop the work.
	Deadline time.Time
	// Until is when the wait for the answer ends.
	Until time.Time
	// BodyUntil is when a long answer must have ended; zero means Until.
	BodyUntil time.Time
	// Trip is the usual round trip to the upstream.
	Trip time.Duration
	// Trace is the traceparent for the upstream; empty leaves the client's.
	Trace string
}

// Result is what became of an attempt.
type Result struct {
	State core.RunState
	// Report is what the attempt says of the upstream.
	Report placer.Report
	// Response is set when State is Answered.
	Response *fasthttp.Response
	// Stream is the body of a long answer, which Response then lacks. Whoever takes
	// it over closes it.
	Stream *Stream
	// Fault names what was wrong, for logs.
	Fault string
	// IsLate says that the time was over before the answer.
	IsLate bool
	// HasArrived says that the upstream may have got the request.
	HasArrived bool
}

// Close gives the response's memory back, and closes a stream that nobody took.
func (r *Result) Close() {
	if r.Stream != nil {
		_ = r.Stream.Close() // it has no error
		r.Stream = nil
	}
	if r.Response != nil {
		fasthttp.ReleaseResponse(r.Response)
		r.Response = nil
	}
}

// Exchanger sends attempts over kept connections.
type Exchanger struct {
	Fields Fields
	// Dial opens connections.
	Dial caller.Dialer
	// MaxAnswer bounds the body of an answer that is held whole, and MaxHeld the
	// bytes of all of them; 0 means no bound for all.
	MaxAnswer core.Bytes
	MaxHeld   core.Bytes
	// MaxConnections returns the most connections to one upstream; nil means
	// no bound.
	MaxConnections func(service core.ServiceName) int

	pool pool
	held budget
	// idleLimits are the times for which the upstreams of a service keep idle
	// connections, as their answers stated last.
	idleLimits table[core.ServiceName, time.Duration]
}

// Do runs an attempt and returns when its outcome is known. When ctx ends the
// connection is closed, which cancels the work at the upstream.
func (e *Exchanger) Do(ctx context.Context, attempt Attempt) Result {
	start := time.Now()
	conn, fault := e.connect(ctx, attempt, start)
	if fault != nil {
		return *fault
	}
	dialed := time.Duration(0)
	if !conn.isReused {
		dialed = conn.dialed
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	conn.acquireReader(&e.held, e.MaxHeld)
	result, reusable := e.exchange(conn, attempt)
	isCanceled := !stop()
	result.HasArrived = result.HasArrived || result.State != core.NotRun
	result.Report.Run = time.Since(start) - dialed
	result.Report.Dial = dialed
	result.Report.Reopened = conn.isReplacement && !conn.isReused
	if isCanceled && result.State != core.Answered {
		result.Report.Outcome = placer.Abandoned
		result.Fault = "canceled"
	}
	if result.Stream != nil {
		result.Stream.reusable = reusable
		if isCanceled {
			result.endStream()
		}
		return result
	}
	e.finish(conn, attempt, &result, reusable && !isCanceled)
	return result
}

// endStream makes the result that of an attempt that was canceled before any of
// its answer was passed on.
func (r *Result) endStream() {
	r.Close()
	r.State = core.RunUnknown
	r.Report.Outcome = placer.Abandoned
}

// finish keeps the connection of an attempt or closes it.
func (e *Exchanger) finish(conn *connection, attempt Attempt, result *Result, reusable bool) {
	// Surplus bytes belong to no request, so the connection is not kept.
	isClean := conn.releaseReader() == 0
	if reusable && isClean {
		e.pool.put(endpointOf(attempt.Upstream), conn, time.Now())
		return
	}
	e.pool.discard(endpointOf(attempt.Upstream), conn)
	isLost := result.Report.Outcome == placer.Broken || result.Report.Outcome == placer.Unreachable
	if isLost && conn.isReused {
		// Others of the same age have probably gone silent with it.
		e.pool.closeIdle(endpointOf(attempt.Upstream))
	}
}

func (e *Exchanger) connect(ctx context.Context, attempt Attempt, now time.Time) (*connection, *Result) {
	conn, wasClosed := e.pool.take(endpointOf(attempt.Upstream), now)
	if conn != nil {
		return conn, nil
	}
	if ctx.Err() != nil {
		return nil, unsent(placer.Abandoned, "canceled")
	}
	timeout := max(minDialTimeout, dialTrips*attempt.Trip)
	timeout = min(timeout, attempt.Until.Sub(now))
	if timeout <= 0 {
		return nil, unsent(placer.Abandoned, "no time left")
	}
	conn, err := e.open(attempt.Upstream, timeout, now)
	if err == nil {
		conn.isReplacement = wasClosed
	}
	if errors.Is(err, errFull) {
		return nil, unsent(placer.Shed, err.Error())
	}
	if err != nil {
		return nil, unsent(placer.Unreachable, "connect: "+err.Error())
	}
	return conn, nil
}

// errFull reports that all connections to an upstream are in use.
var errFull = errors.New("all connections are in use")

// open opens a connection within the host's share of the upstream's.
func (e *Exchanger) open(upstream core.Upstream, timeout time.Duration, now time.Time) (*connection, error) {
	limit := 0
	if e.MaxConnections != nil {
		limit = e.MaxConnections(upstream.Service)
	}
	if !e.pool.reserve(endpointOf(upstream), limit) {
		return nil, errFull
	}
	raw, err := e.Dial("tcp", upstream.Address, timeout)
	if err != nil {
		e.pool.release(endpointOf(upstream))
		return nil, err
	}
	conn := newConnection(raw)
	conn.dialed = time.Since(now)
	if limit, ok := e.idleLimits.get(upstream.Service); ok {
		conn.idle = limit
	}
	return conn, nil
}

// Prepare opens a connection to an upstream that has no idle one, so that the
// next request need not wait for it.
func (e *Exchanger) Prepare(upstream core.Upstream, timeout time.Duration) error {
	if e.pool.idleCount(endpointOf(upstream)) > 0 {
		return nil
	}
	now := time.Now()
	conn, err := e.open(upstream, timeout, now)
	if err != nil {
		return err
	}
	e.pool.put(endpointOf(upstream), conn, time.Now())
	return nil
}

func unsent(outcome placer.Outcome, fault string) *Result {
	return &Result{State: core.NotRun, Report: placer.Report{Outcome: outcome}, Fault: fault}
}

// exchange sends the request and reads the answer. It reports whether the
// connection may be used again.
func (e *Exchanger) exchange(conn *connection, attempt Attempt) (Result, bool) {
	if err := conn.SetDeadline(attempt.Until); err != nil {
		return unknown(err, attempt), false
	}
	head := e.head(attempt)
	defer fasthttp.ReleaseRequest(head)
	sending := send(conn, head, attempt.Body)
	response, stream, err := e.receive(conn, attempt)
	if err != nil {
		_ = conn.Close()
		sent := sending.wait()
		if sent.err != nil && sent.n == 0 {
			return *unsent(placer.Broken, "send: "+sent.err.Error()), false
		}
		return unknown(err, attempt), false
	}
	result := e.judge(response)
	result.Stream = stream
	reusable := !response.ConnectionClose() && conn.setIdleLimit(response)
	if reusable {
		e.idleLimits.put(attempt.Upstream.Service, conn.idle)
	}
	if result.Response == nil {
		fasthttp.ReleaseResponse(response)
	}
	if stream != nil {
		stream.begin()
		return result, reusable && sending.isDone() && sending.wait().err == nil
	}
	if !sending.isDone() {
		// The rest of the body must not reach the upstream as a new request.
		_ = conn.Close()
		sending.wait()
		return result, false
	}
	return result, reusable && sending.wait().err == nil
}

// unknown returns the result of an attempt that has no usable answer and may
// have been run.
func unknown(err error, attempt Attempt) Result {
	outcome := placer.Broken
	isLate := !time.Now().Before(attempt.Until)
	switch {
	case isLate:
		outcome = placer.Abandoned
	case errors.Is(err, fasthttp.ErrTimeout):
		// The other end no longer acknowledges anything.
		outcome = placer.Unreachable
	}
	return Result{
		State:  core.RunUnknown,
		Report: placer.Report{Outcome: outcome},
		Fault:  "receive: " + err.Error(),
		IsLate: isLate,
	}
}
