package forwarder

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/detector"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/tracer"
)

const (
	// maxTries bounds the attempts for one request, those without a run too.
	maxTries = 5
	// maxQueue is the longest wait before a run, as a multiple of the route's
	// objective.
	maxQueue = 1.5
	// minRetry and maxRetry bound the time after which a refused client
	// should come back.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Second
	// lateAnswer is how long after the route's time an answer is waited for.
	// The upstream's own report that the time is over arrives within it.
	lateAnswer = 100 * time.Millisecond
)

// exchange is the state of one request while it is served.
type exchange struct {
	forwarder *Forwarder
	request   *fasthttp.RequestCtx
	route     *core.Route
	service   core.ServiceName
	body      []byte
	event     Event
	key       string

	start time.Time
	// clientDeadline is when the client stops waiting, deadline when it or the
	// route does.
	clientDeadline time.Time
	deadline       time.Time
	// until is when the final answer must be on its way.
	until time.Time
	// hold is until when the request may wait for an upstream.
	hold time.Time

	span  tracer.Span
	tried []core.UpstreamName
	// runs counts the attempts that may have run the request.
	runs int
	// arrivals counts the attempts that reached an upstream.
	arrivals int
	wait     time.Duration
	// isAnswered says that the client gets an upstream's answer.
	isAnswered bool
}

// serve finds an answer for a request and writes it.
func (f *Forwarder) serve(ctx *fasthttp.RequestCtx, policy *core.RoutingPolicy, route *core.Route, body []byte, now time.Time) {
	x := f.newExchange(ctx, policy, route, body, now)
	x.span = f.Tracer.Start(string(ctx.Request.Header.Peek(caller.HeaderTrace)), "entry.request")
	defer func() { x.span.End(x.failure()) }()
	f.Retrier.Count(x.service, now)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	if conn, ok := ctx.Conn().(*detector.Conn); ok {
		conn.Watch(cancel)
		defer conn.Unwatch()
	}
	x.run(work)
}

func (f *Forwarder) newExchange(
	ctx *fasthttp.RequestCtx, policy *core.RoutingPolicy, route *core.Route, body []byte, now time.Time,
) *exchange {
	x := &exchange{forwarder: f, request: ctx, route: route, service: f.splitter.next(route), body: body, start: now}
	x.hold = f.holdLimit(ctx, now)
	client := f.deadline(ctx, now)
	x.clientDeadline, x.deadline, x.until = client, client, client.Add(-answerMargin)
	if route.Timeout > 0 {
		limit := now.Add(route.Timeout)
		x.deadline = earlier(client, limit)
		x.until = earlier(x.until, limit.Add(lateAnswer))
	}
	x.event = Event{RequestID: f.id(ctx), Route: route.Name, Service: x.service, Version: policy.Version}
	x.key = string(ctx.Request.Header.Peek(f.Fields.Key))
	if x.key == "" {
		x.key = x.event.RequestID
	}
	return x
}

// run makes attempts until one of them ends the request.
func (x *exchange) run(work context.Context) {
	for len(x.tried) < maxTries && work.Err() == nil {
		now := time.Now()
		choice, ok := x.choose(work, now)
		if !ok {
			break
		}
		result := x.attempt(work, choice)
		if work.Err() != nil {
			result.Close()
			break
		}
		isFinal := x.take(&result, choice)
		result.Close()
		if isFinal {
			return
		}
	}
	if work.Err() != nil {
		x.abandon()
		return
	}
	x.giveUp()
}

// choose returns the upstream for the next attempt. It returns false where no
// upstream can answer in time, or the budget allows no further attempt.
func (x *exchange) choose(work context.Context, now time.Time) (placer.Choice, bool) {
	if !now.Before(x.deadline) {
		return placer.Choice{}, false
	}
	query := placer.Query{
		Service:     x.service,
		Key:         x.key,
		HasAffinity: x.route.HasAffinity,
		Homes:       x.route.Homes,
		Exclude:     x.tried,
	}
	choice, ok := x.place(work, query)
	now = time.Now()
	if !ok {
		x.event.Detail = "no upstream may get it"
		return choice, false
	}
	x.wait = choice.Wait
	if x.isQueueTooLong(choice, now) {
		x.forwarder.Placer.Release(choice)
		x.event.Detail = "the queues are too long"
		return choice, false
	}
	if x.arrivals > 0 && !x.forwarder.Retrier.Spend(x.service, now) {
		x.forwarder.Placer.Release(choice)
		x.event.Detail = "the retry budget is spent"
		return choice, false
	}
	return choice, true
}

// isQueueTooLong reports whether the request should not queue for the chosen
// upstream: its time would be over, or it would be late and delay others that
// can still be in time. A request that an upstream rejected has been late
// anyway and may queue.
func (x *exchange) isQueueTooLong(choice placer.Choice, now time.Time) bool {
	delay := choice.Trip + choice.Wait
	if now.Add(delay).After(x.deadline) {
		return true
	}
	limit := time.Duration(maxQueue * float64(x.route.Objective))
	return limit > 0 && len(x.tried) == 0 && delay > limit
}

// attempt sends the request to the chosen upstream.
func (x *exchange) attempt(work context.Context, choice placer.Choice) exchanger.Result {
	x.tried = append(x.tried, choice.Upstream.Name)
	x.event.Upstream = choice.Upstream.Name
	span := x.forwarder.Tracer.Start(x.span.Parent(), "entry.attempt")
	span.Set("upstream", string(choice.Upstream.Name))
	result := x.forwarder.Exchanger.Do(work, exchanger.Attempt{
		Upstream:  choice.Upstream,
		Head:      &x.request.Request.Header,
		Body:      x.body,
		RequestID: x.event.RequestID,
		Deadline:  x.deadline.Add(-choice.Trip / 2),
		Until:     x.until,
		BodyUntil: x.clientDeadline,
		Trip:      choice.Trip,
		Trace:     span.Parent(),
	})
	span.End(result.Fault)
	x.noteAttempt(choice, result.Report)
	x.forwarder.Placer.Report(choice, result.Report, time.Now())
	if result.HasArrived {
		x.arrivals++
	}
	return result
}

// noteAttempt tells of the end of an attempt.
func (x *exchange) noteAttempt(choice placer.Choice, report placer.Report) {
	event := x.event
	event.Attempt = AttemptEnd{
		Zone:    choice.Upstream.Zone,
		Outcome: report.Outcome,
		Run:     report.Run,
		Wait:    choice.Wait,
	}
	notify(x.forwarder.OnAttempt, event)
}

// failure returns why the request has no answer of an upstream; empty where it
// has one.
func (x *exchange) failure() string {
	if x.isAnswered {
		return ""
	}
	return x.event.Cause
}

// take decides what a result means for the request and reports whether the
// request has its answer.
func (x *exchange) take(result *exchanger.Result, choice placer.Choice) bool {
	if result.State != core.NotRun {
		x.runs++
	}
	if result.State == core.Answered && (result.Report.Outcome == placer.Done || !x.mayRepeat()) {
		x.answer(result)
		return true
	}
	if result.State == core.RunUnknown && (result.IsLate || !x.mayRepeat()) {
		x.fail(result)
		return true
	}
	if result.State == core.Answered && !x.canSpend() {
		x.answer(result)
		return true
	}
	x.event.Cause = string(choice.Upstream.Name) + ": " + result.Fault
	notify(x.forwarder.OnRetry, x.event)
	return false
}

// mayRepeat reports whether the request may run at one more upstream.
func (x *exchange) mayRepeat() bool {
	return x.route.Class.IsRepeatable() && x.runs < max(x.route.MaxAttempts, 1)
}

// canSpend reports whether an upstream's own failure is worth one more attempt.
func (x *exchange) canSpend() bool {
	return x.forwarder.Retrier.CanSpend(x.service, time.Now())
}

// answer writes an upstream's answer as it is.
func (x *exchange) answer(result *exchanger.Result) {
	response := result.Response
	for _, name := range answerHopFields {
		response.Header.Del(name)
	}
	response.Header.ResetConnectionClose()
	closes := x.forwarder.isLeaving.Load()
	response.Header.CopyTo(&x.request.Response.Header)
	x.request.Response.SkipBody = response.SkipBody
	x.passBody(result)
	if closes {
		x.request.SetConnectionClose()
	}
	x.isAnswered = true
	x.event.Status = response.StatusCode()
	x.event.Took = time.Since(x.start)
	notify(x.forwarder.OnEnd, x.event)
}

// passBody passes an answer's body on: whole, or as a stream that the server reads
// once the header is written. A stream that ends early ends the client's connection
// before the length that the header states.
func (x *exchange) passBody(result *exchanger.Result) {
	stream := result.Stream
	if stream == nil {
		x.request.Response.SwapBody(result.Response.SwapBody(nil))
		return
	}
	result.Stream = nil // the server closes it
	event := x.event
	event.Cause, event.Status = "answer-cut", result.Response.StatusCode()
	stream.OnCut = func() { notify(x.forwarder.OnRefusal, event) }
	x.request.Response.SetBodyStream(stream, stream.Size())
}

// answerHopFields concern only the connection to the upstream.
var answerHopFields = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection"}

// fail answers a request whose outcome is unknown.
func (x *exchange) fail(result *exchanger.Result) {
	x.event.Cause, x.event.Detail = "outcome-unknown", result.Fault
	x.event.Status = fasthttp.StatusBadGateway
	if result.IsLate {
		x.event.Cause = "timeout"
		x.event.Status = fasthttp.StatusGatewayTimeout
	}
	x.request.SetStatusCode(x.event.Status)
	x.event.Took = time.Since(x.start)
	notify(x.forwarder.OnRefusal, x.event)
}

// giveUp answers a request that gets no further attempt.
func (x *exchange) giveUp() {
	x.event.Took = time.Since(x.start)
	if x.runs > 0 {
		x.event.Cause = "outcome-unknown"
		x.event.Status = fasthttp.StatusBadGateway
		x.request.SetStatusCode(x.event.Status)
		notify(x.forwarder.OnRefusal, x.event)
		return
	}
	x.forwarder.refuse(x.request, x.event, "no-room", min(max(x.wait/2, minRetry), maxRetry))
}

// abandon ends a request whose client has left.
func (x *exchange) abandon() {
	x.event.Cause = "client-left"
	x.event.Took = time.Since(x.start)
	x.request.SetConnectionClose()
	x.request.SetStatusCode(fasthttp.StatusBadGateway)
	notify(x.forwarder.OnRefusal, x.event)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
