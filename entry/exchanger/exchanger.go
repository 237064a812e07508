// Package exchanger forwards client requests to upstreams over pooled connections and
// reads their responses. One request and its response are an exchange. The user of the
// package sets the names of the header fields. Package caller, in contrast, sends
// requests in the protocol of the program endiverun-entry, with constant names.
//
// Package exchanger forwards the client's header, without its hop-by-hop fields, and
// body unchanged and adds the name of the intended upstream and the remaining time. A
// connection goes back to the pool only if its response was complete and belongs to the
// request. It is closed after surplus bytes, if only responses with other request ids
// arrive, or after a response that arrived before the whole body was sent. A request
// without an id accepts any response, so it gets a connection that carried no other.
//
// The result of an attempt decides whether the request may be retried. NotRun
// means that nothing was sent, or that the upstream said that it did not run the
// request. RunUnknown means any other attempt without a complete response that
// belongs to the request.
//
// # Usage
//
//	e := &exchanger.Exchanger{HeaderNames: names, Dial: caller.NewDialer(limit)}
//	result := e.Do(ctx, exchanger.Attempt{Upstream: u, Header: &request.Header, Body: body})
//	defer result.Close()
package exchanger

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/budgeter"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/receiver"
)

// HeaderNames are the names of the header fields between hosts and upstreams.
type HeaderNames struct {
	// RequestID holds the id that the client sent, which identifies one attempt of the
	// client. Upstreams echo it in their response.
	RequestID string
	// Deadline holds the remaining time of the request in milliseconds.
	Deadline string
	// Target, in requests, names the upstream that the request is meant for.
	Target string
	// Load, in responses, holds the upstream's number of running requests, of waiting
	// requests and of slots (requests that it can run at the same time), separated by
	// commas. A fourth number says how long a request takes on its machine at this moment, in
	// percent of the usual time. Further numbers are ignored.
	Load string
	// NotRun is present, with any value that is not empty, in responses to requests that
	// were not run.
	NotRun string
	// RemainingWarmUp holds the remaining time of the upstream's warm-up in milliseconds.
	RemainingWarmUp string
	// RateLimit, in responses, holds the requests a second that the upstream takes from all
	// hosts together, a decimal number. Without it the upstream names no limit.
	RateLimit string
	// Leaving, in responses, is 1 if the upstream drains.
	Leaving string
	// Instance, in responses to health checks, names the upstream that responds.
	Instance string
	// Organisation, in requests, names the organisation of the client.
	Organisation string
	// Credentials is the field of the client's request that holds its API key.
	Credentials string
}

// Limits of exchanges.
const (
	// maxSyncWrite is the largest body in bytes that is written before the response
	// is read. Larger ones are written in a goroutine while the response is read,
	// since an upstream may respond before it has read the whole body.
	maxSyncWrite = 4 << 10
	// maxMismatchedResponses is how many responses to other requests are skipped.
	maxMismatchedResponses = 2
	// minDialTimeout is the shortest timeout for opening a connection.
	minDialTimeout = 250 * time.Millisecond
	// dialRoundTrips is the timeout for opening a connection in round trips.
	dialRoundTrips = 3
)

// Attempt is one attempt to run a request at an upstream.
type Attempt struct {
	Upstream core.Upstream
	// Header is the client's request header. It is not modified.
	Header *fasthttp.RequestHeader
	Body   Body
	// RequestID is empty if the client sent none.
	RequestID string
	// UpstreamDeadline is when the upstream should stop working on the request. It is sent
	// to the upstream as the remaining time.
	UpstreamDeadline time.Time
	// ResponseDeadline is when the host stops waiting for the response.
	ResponseDeadline time.Time
	// BodyDeadline is the deadline for the body of a streamed response; zero means
	// ResponseDeadline.
	BodyDeadline time.Time
	// RoundTrip is the usual round-trip time to the upstream. The timeout for opening a
	// connection is a multiple of it.
	RoundTrip time.Duration
	// Traceparent is the value of the traceparent field sent to the upstream; empty keeps the
	// client's field, unlike in package caller, where empty sends none.
	Traceparent string
	// HasOrganisations says that clients have API keys: the client's credentials, and what it
	// sent in the field of the organisation, are not forwarded.
	HasOrganisations bool
	// Organisation is sent to the upstream; empty if the request belongs to none.
	Organisation core.Organisation
}

// Result is the result of an attempt.
type Result struct {
	State core.RunState
	// Report holds the outcome, the times and the upstream's load and warm-up, for
	// placer.Placer.Report.
	Report placer.Report
	// Response is set if State is Answered.
	Response *fasthttp.Response
	// Stream is the body of a long response, and nil for others. Response then has
	// no body. To keep the stream after Close, copy this field, set it to nil, and
	// close the copy when the body has been read.
	Stream *BodyStream
	// FailureReason is why the attempt failed, for logs.
	FailureReason string
	// TimedOut says that the attempt ran out of time before a response arrived.
	TimedOut bool
	// MayHaveArrived says that the upstream may have received the request. Unlike
	// RunUnknown, this includes the case that the upstream rejected it without running it.
	MayHaveArrived bool
}

// Close releases the response and closes Stream unless a user took it over.
func (r *Result) Close() {
	if r.Stream != nil {
		_ = r.Stream.Close() // always nil
		r.Stream = nil
	}
	if r.Response != nil {
		fasthttp.ReleaseResponse(r.Response)
		r.Response = nil
	}
}

// Unlimited is a result of Exchanger.MaxConnections.
const Unlimited = math.MaxInt

// Exchanger sends requests to upstreams over a connection pool.
type Exchanger struct {
	HeaderNames HeaderNames
	// Dial opens connections.
	Dial caller.DialFunc
	// MaxResponseBody is the largest body in bytes of a response that is read as a whole. A
	// larger one fails the attempt. Long responses that state their length are streamed, and
	// not limited by it.
	MaxResponseBody core.Bytes
	// MaxBufferedBytes limits the bytes of all responses that are in memory at one time; 0
	// means no limit. An attempt whose response exceeds it fails.
	MaxBufferedBytes core.Bytes
	// MaxConnections returns how many connections this host may have open to an upstream,
	// Unlimited if there is no limit; nil means no limit. It must not call the Exchanger.
	MaxConnections func(upstream core.Upstream) int
	// OnLeaving is called as soon as the head of a response to an attempt says that its
	// upstream drains; nil ignores it.
	OnLeaving func(upstream core.Upstream)
	// OnMalformed is called for each response, also to a health check, that is no valid one;
	// nil ignores it.
	OnMalformed func(upstream core.Upstream, err error)
	// OnLoadUnreadable is called for each response whose Load field cannot be read, with what is
	// wrong with it; nil ignores it.
	OnLoadUnreadable func(upstream core.Upstream, finding string)

	pool     pool
	buffered budgeter.Budget
	// idleTimeouts holds the idle timeout from the latest response of each service's
	// upstreams. New connections start with it.
	idleTimeouts lockedMap[core.ServiceName, time.Duration]
}

// Do runs an attempt and returns its result. If ctx ends, Do closes the connection,
// which tells the upstream to cancel the request.
func (e *Exchanger) Do(ctx context.Context, attempt Attempt) Result {
	start := time.Now()
	conn, failure := e.connect(ctx, attempt, start)
	if failure != nil {
		return *failure
	}
	dialTime := time.Duration(0)
	if !conn.isReused {
		dialTime = conn.dialTime
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	conn.acquireReader(&e.buffered, e.MaxBufferedBytes)
	result, isReusable := e.exchange(conn, attempt)
	isCanceled := !stop()
	result.MayHaveArrived = result.MayHaveArrived || result.State != core.NotRun
	result.Report.ResponseTime = time.Since(start) - dialTime
	result.Report.DialTime = dialTime
	result.Report.ConnectionsClosed = conn.isReplacement && !conn.isReused
	if isCanceled && result.State != core.Answered {
		result.Report.Outcome = placer.Abandoned
		result.FailureReason = "canceled"
	}
	if result.Stream != nil {
		result.Stream.isReusable = isReusable
		if isCanceled {
			result.cancelStream()
		}
		return result
	}
	e.finish(conn, attempt, &result, isReusable && !isCanceled)
	return result
}

// cancelStream turns a streamed response into the result of an attempt that was
// canceled before any of the response was forwarded.
func (r *Result) cancelStream() {
	r.Close()
	r.State = core.RunUnknown
	r.Report.Outcome = placer.Abandoned
}

// finish returns the connection of an attempt to the pool or closes it.
func (e *Exchanger) finish(conn *connection, attempt Attempt, result *Result, isReusable bool) {
	// Unread bytes belong to no request, so the connection is not kept.
	isClean := conn.releaseReader() == 0
	if isReusable && isClean {
		e.pool.put(endpointOf(attempt.Upstream), conn, time.Now())
		return
	}
	e.pool.discard(endpointOf(attempt.Upstream), conn)
	isLost := result.Report.Outcome == placer.Broken || result.Report.Outcome == placer.Unreachable
	if isLost && conn.isReused {
		// Idle connections of the same age have probably failed too.
		e.pool.closeIdle(endpointOf(attempt.Upstream))
	}
}

// connect returns a pooled or a new connection, or the result of the attempt if
// there is none.
func (e *Exchanger) connect(ctx context.Context, attempt Attempt, now time.Time) (*connection, *Result) {
	var wasClosed bool
	// Without an id, a late response to an earlier request on a kept connection would pass
	// for the response to this one.
	if attempt.RequestID != "" {
		var conn *connection
		conn, wasClosed = e.pool.take(endpointOf(attempt.Upstream), now)
		if conn != nil {
			return conn, nil
		}
	}
	if ctx.Err() != nil {
		return nil, notSent(placer.Abandoned, "canceled")
	}
	timeout := max(minDialTimeout, dialRoundTrips*attempt.RoundTrip)
	timeout = min(timeout, attempt.ResponseDeadline.Sub(now))
	if timeout <= 0 {
		return nil, notSent(placer.Abandoned, "deadline exceeded before connecting")
	}
	conn, err := e.open(attempt.Upstream, e.maxConnections(attempt.Upstream), timeout, now)
	if err == nil {
		conn.isReplacement = wasClosed
	}
	if errors.Is(err, errConnectionLimit) {
		return nil, notSent(placer.Shed, err.Error())
	}
	if err != nil {
		return nil, notSent(placer.Unreachable, "connect: "+err.Error())
	}
	return conn, nil
}

// errConnectionLimit reports that this host has as many open connections to an
// upstream as MaxConnections allows.
var errConnectionLimit = errors.New("connection limit reached")

// maxConnections returns this host's share of the upstream's connection limit.
func (e *Exchanger) maxConnections(upstream core.Upstream) int {
	if e.MaxConnections == nil {
		return Unlimited
	}
	return e.MaxConnections(upstream)
}

// open opens a connection unless the limit or more are open.
func (e *Exchanger) open(upstream core.Upstream, limit int, timeout time.Duration, now time.Time) (*connection, error) {
	if !e.pool.reserve(upstream, limit) {
		return nil, errConnectionLimit
	}
	raw, err := e.Dial("tcp", upstream.Address, timeout)
	if err != nil {
		e.pool.release(endpointOf(upstream))
		return nil, err
	}
	conn := newConnection(raw)
	conn.dialTime = time.Since(now)
	if idleTimeout, ok := e.idleTimeouts.get(upstream.Service); ok {
		conn.idleTimeout = idleTimeout
	}
	return conn, nil
}

// Preconnect opens a connection to an upstream that has no idle one, so that the next
// request does not wait for the dial.
func (e *Exchanger) Preconnect(upstream core.Upstream, timeout time.Duration) error {
	if e.pool.idleCount(endpointOf(upstream)) > 0 {
		return nil
	}
	now := time.Now()
	conn, err := e.open(upstream, e.maxConnections(upstream), timeout, now)
	if err != nil {
		return err
	}
	e.pool.put(endpointOf(upstream), conn, time.Now())
	return nil
}

// notSent returns the result of an attempt of which nothing was sent.
func notSent(outcome placer.Outcome, reason string) *Result {
	return &Result{State: core.NotRun, Report: placer.Report{Outcome: outcome}, FailureReason: reason}
}

// exchange sends the request and reads the response. It reports whether the
// connection may be reused.
func (e *Exchanger) exchange(conn *connection, attempt Attempt) (Result, bool) {
	if err := conn.SetDeadline(attempt.ResponseDeadline); err != nil {
		return noResponse(err, attempt), false
	}
	request := e.newRequest(attempt)
	defer fasthttp.ReleaseRequest(request)
	write := startWrite(conn, request, attempt.Body)
	answer, err := e.receive(conn, attempt)
	if err == nil && answer.endsWithConnection {
		err = e.confirmEnd(conn, write, answer)
	}
	if err != nil {
		_ = conn.Close()
		written := write.wait()
		if written.err != nil && written.n == 0 {
			return *notSent(placer.Broken, "send: "+written.err.Error()), false
		}
		e.notifyMalformed(attempt.Upstream, err)
		return noResponse(err, attempt), false
	}
	return e.conclude(conn, attempt, write, answer)
}

// confirmEnd returns an error if the connection was reset before the end of a body that ends
// with it. The system may have told only the writer of the request of the reset.
func (e *Exchanger) confirmEnd(conn *connection, write *requestWrite, answer *received) error {
	_ = conn.Close()
	written := write.wait()
	if !receiver.IsCut(written.err) {
		return nil
	}
	fasthttp.ReleaseResponse(answer.response)
	return written.err
}

// conclude returns the result of an attempt with a response. It reports whether the
// connection may be reused.
func (e *Exchanger) conclude(conn *connection, attempt Attempt, write *requestWrite, answer *received) (Result, bool) {
	response := answer.response
	result := e.classify(attempt.Upstream, response)
	result.Stream = answer.stream
	isReusable := !response.ConnectionClose() && conn.updateIdleTimeout(response)
	if isReusable {
		e.idleTimeouts.put(attempt.Upstream.Service, conn.idleTimeout)
	}
	if result.Response == nil {
		fasthttp.ReleaseResponse(response)
	}
	if result.Stream != nil {
		result.Stream.begin()
		return result, isReusable && write.isDone() && write.wait().err == nil
	}
	if !write.isDone() {
		// The upstream could take the rest of the body for a new request.
		_ = conn.Close()
		write.wait()
		return result, false
	}
	return result, isReusable && write.wait().err == nil
}

// notifyMalformed calls OnMalformed if the error says that an upstream sent bytes that are no
// valid response.
func (e *Exchanger) notifyMalformed(upstream core.Upstream, err error) {
	if e.OnMalformed != nil && receiver.IsMalformed(err) {
		e.OnMalformed(upstream, err)
	}
}

// noResponse returns the result of an attempt without a usable response, which the
// upstream may have run.
func noResponse(err error, attempt Attempt) Result {
	outcome := placer.Broken
	isLate := !time.Now().Before(attempt.ResponseDeadline)
	switch {
	case isLate:
		outcome = placer.Abandoned
	case receiver.IsTimeout(err):
		// The TCP user timeout or the keep-alive probes expired: the upstream no longer
		// acknowledges anything.
		outcome = placer.Unreachable
	}
	return Result{
		State:         core.RunUnknown,
		Report:        placer.Report{Outcome: outcome},
		FailureReason: "receive: " + err.Error(),
		TimedOut:      isLate,
	}
}
