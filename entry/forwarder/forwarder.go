// Package forwarder serves clients' requests at upstreams of their choice.
//
// It matches a request with a route, chooses an upstream, passes the request
// on and returns the answer. An attempt that proves that the request was not
// run is followed by another; one with an unknown outcome only where requests
// of the route may repeat. A request that is given up gets its final answer
// at once: 503 with Retry-After where it was not run, 504 where its time is
// over, 502 where its outcome is unknown.
//
// # Usage
//
//	f := &forwarder.Forwarder{Fields: fields, Placer: p, Retrier: r, Exchanger: e}
//	f.SetPolicy(policy)
//	err := f.Run(ctx, listener, grace)
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
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/retrier"
	"github.com/endiverun/endiverun/entry/detector"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/tracer"
)

// Bounds of client connections.
const (
	readBuffer  = 17 << 10
	writeBuffer = 4 << 10
	readTimeout = 30 * time.Second
	idleTimeout = 90 * time.Second
	// maxConnections bounds the connections of clients.
	maxConnections = 3000
)

// Fields are the names of the header fields between clients and hosts.
type Fields struct {
	// RequestID names one attempt of a client.
	RequestID string
	// Deadline carries the milliseconds that the client waits.
	Deadline string
	// Key names the object of a request.
	Key string
}

// Event is what became of a request, for logs and metrics.
type Event struct {
	RequestID string
	Route     core.RouteName
	Service   core.ServiceName
	Upstream  core.UpstreamName
	Version   uint64
	// Cause says why, in the words of the catalogue.
	Cause  string
	Detail string
	Status int
	Took   time.Duration
	// Attempt is set for the end of an attempt.
	Attempt AttemptEnd
}

// AttemptEnd is what became of one attempt.
type AttemptEnd struct {
	Zone    core.ZoneName
	Outcome placer.Outcome
	// Run is the time from the send to the answer, Wait that for which the
	// attempt was expected to queue.
	Run, Wait time.Duration
}

// Forwarder serves clients.
type Forwarder struct {
	Fields    Fields
	Placer    *placer.Placer
	Retrier   *retrier.Retrier
	Exchanger *exchanger.Exchanger
	// MaxBodies bounds the bytes of all request bodies held at a time.
	MaxBodies core.Bytes
	// IsReady reports whether the host knows enough to serve; nil means that a
	// policy is enough.
	IsReady func() bool
	// IsConfirmed reports whether the policy is known to be the newest, so
	// that a request without a route may be denied.
	IsConfirmed func() bool
	// Tracer makes spans; nil makes none.
	Tracer *tracer.Tracer
	// OnEnd, OnAttempt, OnRetry and OnRefusal are told of requests; nil ignores
	// them.
	OnEnd     func(Event)
	OnAttempt func(Event)
	OnRetry   func(Event)
	OnRefusal func(Event)

	policy    atomic.Pointer[core.RoutingPolicy]
	splitter  splitter
	inFlight  atomic.Int64
	bodies    atomic.Int64
	isLeaving atomic.Bool
	server    *fasthttp.Server
}

// SetPolicy puts a routing policy in force.
func (f *Forwarder) SetPolicy(policy *core.RoutingPolicy) {
	f.policy.Store(policy)
}

// InFlight returns the number of requests being served.
func (f *Forwarder) InFlight() int64 {
	return f.inFlight.Load()
}

// Leave makes every answer close its connection.
func (f *Forwarder) Leave() {
	f.isLeaving.Store(true)
}

// Run serves clients until ctx ends, then closes idle connections and waits
// for open requests, for the given time at most.
func (f *Forwarder) Run(ctx context.Context, listener net.Listener, grace func() time.Duration) error {
	f.server = &fasthttp.Server{
		Handler:                       f.handle,
		ReadBufferSize:                readBuffer,
		WriteBufferSize:               writeBuffer,
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
		Logger:                        silent{},
	}
	failed := make(chan error, 1)
	go func() { failed <- f.server.Serve(detector.Listener{Listener: listener}) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	f.Leave()
	stop, cancel := context.WithTimeout(context.Background(), grace())
	defer cancel()
	return f.server.ShutdownWithContext(stop)
}

// silent drops the library's own lines; the host logs what it decides.
type silent struct{}

// Printf drops a line.
func (silent) Printf(string, ...any) {}

// rejectMalformed answers a request that cannot be parsed.
func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

// handle serves one request.
func (f *Forwarder) handle(ctx *fasthttp.RequestCtx) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.isLeaving.Load() {
		ctx.SetConnectionClose()
	}
	now := time.Now()
	policy := f.awaitPolicy(f.holdLimit(ctx, now))
	if policy == nil {
		f.refuse(ctx, Event{RequestID: f.id(ctx)}, "no-policy", notReadyRetry)
		return
	}
	route, ok := policy.Match(hostOf(ctx), pathOf(ctx))
	if !ok {
		f.deny(ctx, policy)
		return
	}
	if route.Fault != "" {
		event := Event{RequestID: f.id(ctx), Route: route.Name, Version: policy.Version, Detail: route.Fault}
		f.refuse(ctx, event, "route-unreadable", unreadableRetry)
		return
	}
	body, status := f.readBody(ctx, policy.Limits.BodyBytes)
	if status != 0 {
		ctx.SetStatusCode(status)
		ctx.SetConnectionClose()
		return
	}
	defer f.bodies.Add(-int64(len(body)))
	f.serve(ctx, policy, route, body, now)
}

const (
	// notReadyRetry is when a client comes back to a host without a policy.
	notReadyRetry = 300 * time.Millisecond
	// unreadableRetry is when it comes back to a route that cannot be read: only
	// another version of the policy serves it.
	unreadableRetry = 5 * time.Second
)

// deny answers a request that no route takes. Unless the policy is known to be
// the newest, the route may only be unknown here.
func (f *Forwarder) deny(ctx *fasthttp.RequestCtx, policy *core.RoutingPolicy) {
	event := Event{RequestID: f.id(ctx), Version: policy.Version}
	if f.IsConfirmed != nil && !f.IsConfirmed() {
		f.refuse(ctx, event, "policy-unconfirmed", notReadyRetry)
		return
	}
	event.Cause = "no-route"
	event.Status = fasthttp.StatusNotFound
	ctx.SetStatusCode(fasthttp.StatusNotFound)
	notify(f.OnRefusal, event)
}

// refuse answers that the request was not run and when to come back.
func (f *Forwarder) refuse(ctx *fasthttp.RequestCtx, event Event, cause string, retry time.Duration) {
	event.Cause = cause
	event.Status = fasthttp.StatusServiceUnavailable
	seconds := strconv.FormatFloat(spread(retry).Seconds(), 'f', 3, 64)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	notify(f.OnRefusal, event)
}

// spread varies a time by up to a quarter, so that clients that were refused
// together do not return together.
func spread(d time.Duration) time.Duration {
	const part = 4
	return d - d/part + rand.N(d/(part/2)+1) //nolint:gosec // No secret depends on it.
}

func notify(on func(Event), event Event) {
	if on != nil {
		on(event)
	}
}

func (f *Forwarder) id(ctx *fasthttp.RequestCtx) string {
	return string(ctx.Request.Header.Peek(f.Fields.RequestID))
}
