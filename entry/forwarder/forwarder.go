// Package forwarder proxies client requests to upstreams.
//
// It matches a request with a route, chooses an upstream, forwards the request
// and returns the response. An attempt that the upstream certainly did not run is
// followed by another attempt. An attempt of which it is unknown whether it ran is
// followed by another one only if requests of the route may run more than once. When
// no further attempt is made, the client gets an error response at once: 503 with
// Retry-After if the request did not run, 504 if its time limit has passed, 502 if
// it is unknown whether it ran.
//
// # Usage
//
//	f := &forwarder.Forwarder{HeaderNames: names, Placer: p, RetryBudget: r, Exchanger: e}
//	f.SetPolicy(policy)
//	go func() { ended <- f.Run(ctx, listener) }()
//	f.StartDraining(schedule)
//	stop() // Ends ctx.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/assessor"
	"github.com/endiverun/endiverun/core/authenticator"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/retrier"
	"github.com/endiverun/endiverun/entry/acceptor"
	"github.com/endiverun/endiverun/entry/budgeter"
	"github.com/endiverun/endiverun/entry/creditor"
	"github.com/endiverun/endiverun/entry/detector"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/tracer"
)

// Limits of client connections.
const (
	// readBufferSize also limits the request header, in bytes.
	readBufferSize  = 17 << 10
	writeBufferSize = 4 << 10
	readTimeout     = 30 * time.Second
	idleTimeout     = 90 * time.Second
	// maxConnections is the maximum number of client connections.
	maxConnections = 3000
)

// lastAnswersPollInterval is the time between two checks whether all requests have been answered.
const lastAnswersPollInterval = 2 * time.Millisecond

// HeaderNames are the names of the header fields exchanged between clients and hosts.
type HeaderNames struct {
	// RequestID is the header with the client's identifier of one attempt.
	RequestID string
	// Deadline is the header with the time that the client waits, in milliseconds.
	Deadline string
	// AffinityKey is the header with the affinity key of a request. On routes with
	// affinity, requests with the same key should go to the same upstream.
	AffinityKey string
	// Credentials is the header with the API key of the client.
	Credentials string
}

// Event describes the result of a request or of one attempt, for logs and metrics.
type Event struct {
	RequestID string
	Route     core.RouteName
	Service   core.ServiceName
	Upstream  core.UpstreamName
	// Organisation is empty if the request needs no key.
	Organisation core.Organisation
	// PolicyVersion is the version of the routing policy that was applied.
	PolicyVersion uint64
	// Cause is the reason of the result, one of those listed in docs/EVENTS.md. For a
	// retry it is the upstream and the error of its attempt. Detail has more about it.
	Cause  string
	Detail string
	// Limit is the rate limit of Upstream that was known when it was selected, and
	// LimitInterval the shortest time between two attempts of this host that it allows.
	Limit         placer.KnownLimit
	LimitInterval time.Duration
	// MovedFrom is the upstream that would have got the last attempt, if its rate limit or its
	// pause kept the attempt away, and MovedBy which of them.
	MovedFrom core.UpstreamName
	MovedBy   placer.Closure
	// Status is the HTTP status code sent to the client.
	Status int
	// Duration is the time since the request arrived.
	Duration time.Duration
	// Attempt is set only in the events for OnAttempt.
	Attempt AttemptResult
}

// AttemptResult describes the result of one attempt: the zone of its upstream, and the
// outcome as package placer counts it for that upstream.
type AttemptResult struct {
	Zone    core.ZoneName
	Outcome placer.Outcome
	// ResponseTime is the time from sending the request to its response. QueueTime is an
	// estimate: the time for which the attempt was expected to queue at the upstream.
	ResponseTime, QueueTime time.Duration
	// IsRepeat says that the attempt followed another one of the same request.
	IsRepeat bool
}

// Forwarder is an HTTP server that forwards client requests to upstreams.
type Forwarder struct {
	HeaderNames HeaderNames
	Placer      *placer.Placer
	RetryBudget *retrier.Budget
	Exchanger   *exchanger.Exchanger
	// Authenticator decides to which organisations requests belong.
	Authenticator *authenticator.Authenticator
	// Creditor obtains credits for requests of organisations with quotas; nil refuses them.
	Creditor *creditor.Creditor
	// MaxBodyBytes limits the total bytes of all request bodies in memory; 0 means
	// no limit. Small bodies may exceed it by a sixteenth, so that they pass beside large
	// ones. A request whose body exceeds the total is rejected with 503 before the body is
	// read, or before a further part of it is if its length is not stated. The limit of one
	// body is part of the routing policy.
	MaxBodyBytes core.Bytes
	// IsReady reports whether the host has all the state that it needs to serve;
	// if nil, the host is ready as soon as it has a policy.
	IsReady func() bool
	// IsPolicyCurrent reports whether the policy is known to be the newest. Only then
	// is a request without a matching route rejected with 404, and otherwise with 503,
	// since a newer policy may have the route. If nil, the policy counts as the newest.
	IsPolicyCurrent func() bool
	// Tracer creates spans; nil disables tracing.
	Tracer *tracer.Tracer
	// OnResponse is called when a client gets an upstream's response, OnAttempt when an
	// attempt ends, OnRetry when an attempt is followed by another one, and
	// OnFailure when a request ends without a complete response of an upstream.
	// Each may be nil.
	OnResponse func(Event)
	OnAttempt  func(Event)
	OnRetry    func(Event)
	OnFailure  func(Event)
	// OnAcceptError is called when a connection could not be accepted, after which the
	// forwarder tries again; it may be nil.
	OnAcceptError func(error)

	policy   atomic.Pointer[core.RoutingPolicy]
	splitter splitter
	assessor assessor.Assessor
	held     heldRequests
	returns  returnSchedule
	pending  pendingRequests
	bodies   budgeter.Budget
	// drain is nil until StartDraining is called.
	drain  atomic.Pointer[core.DrainSchedule]
	server *fasthttp.Server
	// attempts ends at the end of the schedule, and with it all attempts.
	attempts context.Context
	// cut holds the requests that were in flight then.
	cut []Pending
}

// SetPolicy replaces the routing policy.
func (f *Forwarder) SetPolicy(policy *core.RoutingPolicy) {
	f.policy.Store(policy)
}

// InFlight returns the number of requests in flight, from their header to the end of their
// response.
func (f *Forwarder) InFlight() int64 {
	return int64(f.pending.count())
}

// BodyBytes returns the bytes of all request bodies that are in memory or on their way.
func (f *Forwarder) BodyBytes() core.Bytes {
	return f.bodies.Used()
}

// Pending returns the requests that have been read and whose response has not been written, in
// no order.
func (f *Forwarder) Pending() []Pending {
	return f.pending.list()
}

// Cut returns the requests that were in flight at the end of Run's schedule and got no response
// of an upstream for that reason. It may be called after Run.
func (f *Forwarder) Cut() []Pending {
	return f.cut
}

// Run serves clients until ctx ends. Then it closes the listener and idle connections, and
// waits for requests in flight until the end of the schedule of StartDraining, or not at all
// if that was not called. It breaks off those that remain, and answers them if it still can.
func (f *Forwarder) Run(ctx context.Context, listener net.Listener) error {
	f.server = &fasthttp.Server{
		Handler:                       f.handle,
		ReadBufferSize:                readBufferSize,
		WriteBufferSize:               writeBufferSize,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		Concurrency:                   maxConnections,
		MaxRequestBodySize:            1,
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		ReduceMemoryUsage:             true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		CloseOnShutdown:               true,
		DisableHeaderNamesNormalizing: false,
		ErrorHandler:                  rejectMalformed,
		Logger:                        discardLogger{},
	}
	var breakOff context.CancelFunc
	f.attempts, breakOff = context.WithCancel(context.Background())
	defer breakOff()
	accepting := detector.Listener{Listener: acceptor.Listener{Listener: listener, OnRetry: f.OnAcceptError}}
	failed := make(chan error, 1)
	go func() { failed <- f.server.Serve(accepting) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return f.shutDown(time.Now(), breakOff)
}

// shutDown ends the server. Connections on which no whole request arrives in time are closed;
// they are no error. Requests whose upstreams have not responded at the end are broken off: a
// client that is told so need not guess, and may send an idempotent request again.
func (f *Forwarder) shutDown(now time.Time, breakOff func()) error {
	if !f.isDraining() {
		f.StartDraining(core.DrainSchedule{AcceptsUntil: now, End: now})
	}
	ctx, cancel := context.WithDeadline(context.Background(), f.drain.Load().End)
	defer cancel()
	err := f.server.ShutdownWithContext(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	f.cut = f.Pending()
	breakOff()
	for len(f.Pending()) > 0 && time.Now().Before(f.drain.Load().AnswersUntil) {
		time.Sleep(lastAnswersPollInterval)
	}
	return nil
}

// discardLogger discards the log lines of the HTTP library. The host logs its
// own events instead.
type discardLogger struct{}

// Printf discards a log line.
func (discardLogger) Printf(string, ...any) {}

// rejectMalformed responds to a request that cannot be parsed, with status 431
// if its header is too large and 400 otherwise.
func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooLarge *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooLarge) {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

// handle serves one request.
func (f *Forwarder) handle(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	request := f.pending.add(f.requestID(ctx), now)
	defer f.pending.removeAfterResponse(ctx, request)
	defer func() { f.closeIfDraining(ctx, time.Now()) }()
	policy := f.awaitPolicy(f.holdDeadline(ctx, now))
	if policy == nil {
		f.respondUnavailable(ctx, Event{RequestID: f.requestID(ctx)}, "no-policy", notReadyRetryAfter)
		return
	}
	request.matchInput = f.readMatchInput(ctx)
	matched, refused := f.match(policy, request.matchInput)
	if refused == nil {
		refused = f.refusedByQuota(matched, now)
	}
	event := matched.eventOf(f.requestID(ctx))
	if refused != nil {
		f.refuse(ctx, event, *refused)
		return
	}
	request.claim = f.bodies.NewClaim()
	body, err := f.readBody(ctx, policy.Limits.BodyBytes, &request.claim, f.clientDeadline(ctx, now))
	if err != nil {
		event.Detail = err.Error()
		f.rejectBody(ctx, event, err)
		return
	}
	f.serve(f.newRequestState(ctx, matched, body, request))
}

const (
	// notReadyRetryAfter is the Retry-After time of a host without a policy.
	notReadyRetryAfter = 300 * time.Millisecond
	// invalidRouteRetryAfter is the Retry-After time for a route that cannot be
	// read. It is longer, since only a new version of the policy can repair the
	// route.
	invalidRouteRetryAfter = 5 * time.Second
)

// respondUnavailable responds with 503 and a Retry-After of about the given time to a request
// that was not executed.
func (f *Forwarder) respondUnavailable(ctx *fasthttp.RequestCtx, event Event, cause string, retryAfter time.Duration) {
	f.respondUnavailableFor(ctx, event, cause, withJitter(retryAfter))
}

// respondUnavailableFor is respondUnavailable with an exact Retry-After.
func (f *Forwarder) respondUnavailableFor(ctx *fasthttp.RequestCtx, event Event, cause string, retryAfter time.Duration) {
	event.Cause = cause
	event.Status = fasthttp.StatusServiceUnavailable
	f.respondLater(ctx, event, retryAfter)
}

// respondLater responds with the status of the event and a Retry-After.
func (f *Forwarder) respondLater(ctx *fasthttp.RequestCtx, event Event, retryAfter time.Duration) {
	seconds := strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds)
	ctx.SetStatusCode(event.Status)
	notify(f.OnFailure, event)
}

// withJitter changes a duration randomly by up to a quarter in either direction,
// so that clients rejected at the same time do not retry at the same time.
func withJitter(d time.Duration) time.Duration {
	const divisor = 4
	return d - d/divisor + rand.N(d/(divisor/2)+1) //nolint:gosec // Not used for security.
}

func notify(callback func(Event), event Event) {
	if callback != nil {
		callback(event)
	}
}

func (f *Forwarder) requestID(ctx *fasthttp.RequestCtx) string {
	return string(ctx.Request.Header.Peek(f.HeaderNames.RequestID))
}
