package forwarder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/assessor"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/creditor"
	"github.com/endiverun/endiverun/entry/detector"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/tracer"
)

const (
	// maxAttempts limits the attempts of one request, including those that were
	// not executed.
	maxAttempts = 5
	// minRetryAfter and maxRetryAfter are the bounds of the Retry-After time.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// lateResponseGrace is how long the host waits for a response after the
	// route's timeout. It is long enough to receive the upstream's own report of
	// the timeout.
	lateResponseGrace = 100 * time.Millisecond
)

// requestState is the state of one request in flight.
type requestState struct {
	forwarder  *Forwarder
	requestCtx *fasthttp.RequestCtx
	match      match
	service    core.ServiceName
	body       exchanger.Body
	event      Event
	pending    *pendingRequest
	// affinityKey is the client's affinity key, or the request ID if there is none.
	affinityKey string

	start time.Time
	// clientDeadline is when the client stops waiting. deadline is the earlier of
	// that and the route's timeout.
	clientDeadline time.Time
	deadline       time.Time
	// responseDeadline is when the host must start to send the final response.
	responseDeadline time.Time
	// holdDeadline is until when the request may be held for a cold upstream.
	holdDeadline time.Time

	span tracer.Span
	// tried are the upstreams of all attempts so far.
	tried []core.UpstreamName
	// executions counts the attempts that may have been executed.
	executions int
	// delivered counts the attempts that may have reached an upstream.
	delivered int
	// queueWait is the expected queueing time at the upstream chosen last.
	queueWait time.Duration
	// room is what upstreams left for the last attempt if rate limits or pauses prevented it,
	// otherwise nil.
	room *placer.Room
	// isLeftToOthers says that other hosts hold all connections that the upstreams take.
	isLeftToOthers bool
	// credit allows an attempt of an organisation with a quota; nil if there is none.
	credit *creditor.Credit
	// refused is why the policy in force does not allow another attempt; nil if it does.
	refused *refusal
	// hasResponse says that the client gets an upstream's response.
	hasResponse bool
}

// serve forwards a request and writes the response.
func (f *Forwarder) serve(r *requestState) {
	ctx := r.requestCtx
	r.span = f.Tracer.Start(string(ctx.Request.Header.Peek(caller.HeaderTraceparent)), "entry.request")
	defer func() { r.span.End(r.failureCause()) }()
	defer r.returnCredit()
	f.RetryBudget.RecordRequest(r.service, r.start)
	attemptsCtx, cancel := context.WithCancelCause(f.attempts)
	defer cancel(nil)
	if conn, ok := ctx.Conn().(*detector.Conn); ok {
		conn.Watch(func() { cancel(errClientLeft) })
		defer conn.Unwatch()
	}
	r.forward(attemptsCtx)
}

// newRequestState returns the state of a request whose body has been read.
func (f *Forwarder) newRequestState(
	ctx *fasthttp.RequestCtx, matched match, body exchanger.Body, pending *pendingRequest,
) *requestState {
	now, route := pending.describe().Started, matched.route
	r := &requestState{
		forwarder: f, requestCtx: ctx, match: matched, service: f.splitter.next(route), body: body, start: now, pending: pending,
	}
	r.holdDeadline = f.holdDeadline(ctx, now)
	clientDeadline := f.clientDeadline(ctx, now)
	r.clientDeadline, r.deadline, r.responseDeadline = clientDeadline, clientDeadline, clientDeadline.Add(-responseMargin)
	if route.Timeout > 0 {
		routeDeadline := now.Add(route.Timeout)
		r.deadline = earlier(clientDeadline, routeDeadline)
		r.responseDeadline = earlier(r.responseDeadline, routeDeadline.Add(lateResponseGrace))
	}
	r.event = matched.eventOf(f.requestID(ctx))
	r.event.Service = r.service
	pending.update(func(description *Pending) {
		description.Route, description.Service, description.PolicyVersion = route.Name, r.service, matched.policy.Version
		description.Received = time.Now()
	})
	r.affinityKey = string(ctx.Request.Header.Peek(f.HeaderNames.AffinityKey))
	if r.affinityKey == "" {
		r.affinityKey = r.event.RequestID
	}
	return r
}

// errClientLeft is the cause of the end of a request whose client has disconnected.
var errClientLeft = errors.New("the client has left")

func hasClientLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errClientLeft)
}

// forward makes attempts until one of them yields the final response, no further
// attempt is possible, or ctx ends because the client has disconnected or the host ends.
func (r *requestState) forward(ctx context.Context) {
	for len(r.tried) < maxAttempts && ctx.Err() == nil {
		now := time.Now()
		choice, ok := r.chooseUpstream(ctx, now)
		if !ok {
			break
		}
		result := r.sendAttempt(ctx, choice)
		if hasClientLeft(ctx) {
			result.Close()
			break
		}
		isFinal := r.handleResult(&result, choice)
		result.Close()
		if isFinal {
			return
		}
	}
	if hasClientLeft(ctx) {
		r.abandon()
		return
	}
	r.giveUp()
}

// chooseUpstream returns the upstream for the next attempt. It returns false if no
// upstream is expected to respond in time or the retry budget allows no further
// attempt.
func (r *requestState) chooseUpstream(ctx context.Context, now time.Time) (placer.Choice, bool) {
	if !now.Before(r.deadline) || r.isRefusedByStop(now) {
		return placer.Choice{}, false
	}
	choice, ok := r.chooseAsAllowed(ctx)
	if ok && !r.ensureCredit(ctx) {
		r.forwarder.Placer.Release(choice)
	}
	if r.refused != nil {
		return choice, false
	}
	now = time.Now()
	r.room, r.isLeftToOthers = choice.Room, choice.IsLeftToOthers
	if !ok {
		r.event.Detail = "no upstream is available"
		return choice, false
	}
	r.queueWait = choice.QueueTime
	r.event.MovedFrom, r.event.MovedBy = choice.MovedFrom, choice.MovedBy
	// The request may have been held until the host no longer accepts connections.
	if r.isRefusedByStop(now) {
		r.forwarder.Placer.Release(choice)
		return choice, false
	}
	if !r.isWorthSending(choice, now) {
		r.forwarder.Placer.Release(choice)
		r.event.Detail = "the expected queueing time is too long"
		return choice, false
	}
	if r.delivered > 0 && !r.forwarder.RetryBudget.TryRetry(r.service, now) {
		r.forwarder.Placer.Release(choice)
		r.event.Detail = "the retry budget is exhausted"
		return choice, false
	}
	return choice, true
}

// chooseAsAllowed chooses an upstream among those that the policy in force allows. It chooses
// again if the policy changed while the request was held.
func (r *requestState) chooseAsAllowed(ctx context.Context) (placer.Choice, bool) {
	for {
		if !r.matchAgain() || !r.ensureCredit(ctx) {
			return placer.Choice{}, false
		}
		choice, ok := r.awaitUpstream(ctx, placer.Query{
			Service:     r.service,
			Key:         r.affinityKey,
			HasAffinity: r.match.route.HasAffinity,
			HomeRegions: r.match.homeRegions,
			Exclude:     r.tried,
		})
		if !ok || r.match.policy == r.forwarder.policy.Load() {
			return choice, ok
		}
		r.forwarder.Placer.Release(choice)
	}
}

// matchAgain matches the request by the policy in force. It returns false, and sets refused, if
// that does not allow the request. The request keeps its service if the route still has it, and
// its deadlines.
func (r *requestState) matchAgain() bool {
	f := r.forwarder
	matched, refused := f.match(f.policy.Load(), r.pending.matchInput)
	if r.refused = refused; refused != nil {
		return false
	}
	if matched.policy == r.match.policy {
		return true
	}
	r.match = matched
	if !matched.route.HasService(r.service) {
		r.service = f.splitter.next(matched.route)
	}
	event := matched.eventOf(r.event.RequestID)
	r.event.Route, r.event.Organisation, r.event.PolicyVersion = event.Route, event.Organisation, event.PolicyVersion
	r.event.Service = r.service
	r.pending.update(func(description *Pending) {
		description.Route, description.Service, description.PolicyVersion = event.Route, r.service, event.PolicyVersion
	})
	return true
}

// isWorthSending reports whether the request should be sent to the chosen upstream.
func (r *requestState) isWorthSending(choice placer.Choice, now time.Time) bool {
	request := assessor.Request{
		Service:       r.service,
		Priority:      core.PriorityOf(r.match.route, r.match.organisation),
		TargetLatency: r.match.route.TargetLatency,
		Left:          r.deadline.Sub(now),
		IsContended:   r.match.policy.HasOrganisations(),
		IsFirst:       len(r.tried) == 0,
	}
	expected := assessor.Expectation{RoundTrip: choice.RoundTrip, QueueTime: choice.QueueTime}
	return r.forwarder.assessor.Accepts(request, expected, now)
}

// sendAttempt sends the request to the chosen upstream and waits for the result.
func (r *requestState) sendAttempt(ctx context.Context, choice placer.Choice) exchanger.Result {
	r.tried = append(r.tried, choice.Upstream.Name)
	r.event.Upstream = choice.Upstream.Name
	r.pending.update(func(description *Pending) { description.Upstream = choice.Upstream.Name })
	r.event.Limit, r.event.LimitInterval = choice.Limit, choice.LimitInterval
	span := r.forwarder.Tracer.Start(r.span.Traceparent(), "entry.attempt")
	span.SetAttribute("upstream", string(choice.Upstream.Name))
	result := r.forwarder.Exchanger.Do(ctx, exchanger.Attempt{
		Upstream:         choice.Upstream,
		Header:           &r.requestCtx.Request.Header,
		Body:             r.body,
		RequestID:        r.event.RequestID,
		UpstreamDeadline: r.deadline.Add(-choice.RoundTrip / 2),
		ResponseDeadline: r.responseDeadline,
		BodyDeadline:     r.clientDeadline,
		RoundTrip:        choice.RoundTrip,
		Traceparent:      span.Traceparent(),
		Organisation:     r.event.Organisation,
		HasOrganisations: r.match.policy.HasOrganisations(),
	})
	span.End(result.FailureReason)
	r.notifyAttempt(choice, result.Report)
	r.forwarder.Placer.Report(choice, result.Report, time.Now())
	if result.MayHaveArrived {
		r.delivered++
	}
	if result.State != core.NotRun {
		r.credit = nil // It is used.
	}
	return result
}

// notifyAttempt calls OnAttempt with the result of an attempt.
func (r *requestState) notifyAttempt(choice placer.Choice, report placer.Report) {
	event := r.event
	event.Attempt = AttemptResult{
		Zone:         choice.Upstream.Zone,
		Outcome:      report.Outcome,
		ResponseTime: report.ResponseTime,
		QueueTime:    choice.QueueTime,
		IsRepeat:     len(r.tried) > 1,
	}
	notify(r.forwarder.OnAttempt, event)
}

// failureCause returns why the client got no response of an upstream. It returns
// an empty string if it got one.
func (r *requestState) failureCause() string {
	if r.hasResponse {
		return ""
	}
	return r.event.Cause
}

// handleResult sends the final response if the result of an attempt permits no
// further attempt, and reports whether it did.
func (r *requestState) handleResult(result *exchanger.Result, choice placer.Choice) bool {
	if result.State != core.NotRun {
		r.executions++
	}
	if result.State == core.Answered && (result.Report.Outcome == placer.Done || !r.mayExecuteAgain()) {
		r.forwardResponse(result)
		return true
	}
	if result.State == core.RunUnknown && (result.TimedOut || !r.mayExecuteAgain() || r.isRefusedByStop(time.Now())) {
		r.respondUnknownOutcome(result)
		return true
	}
	if result.State == core.Answered && (!r.hasRetryBudget() || r.isRefusedByStop(time.Now())) {
		r.forwardResponse(result)
		return true
	}
	r.event.Cause = string(choice.Upstream.Name) + ": " + result.FailureReason
	notify(r.forwarder.OnRetry, r.event)
	return false
}

// mayExecuteAgain reports whether one more upstream may execute the request.
func (r *requestState) mayExecuteAgain() bool {
	return r.match.route.Class.IsRepeatable() && r.executions < max(r.match.route.MaxAttempts, 1)
}

// hasRetryBudget reports whether the retry budget allows another attempt after an
// upstream's error response.
func (r *requestState) hasRetryBudget() bool {
	return r.forwarder.RetryBudget.CanRetry(r.service, time.Now())
}

// forwardResponse sends an upstream's response to the client, without its
// hop-by-hop headers.
func (r *requestState) forwardResponse(result *exchanger.Result) {
	response := result.Response
	for _, name := range hopByHopHeaders {
		response.Header.Del(name)
	}
	response.Header.ResetConnectionClose()
	response.Header.CopyTo(&r.requestCtx.Response.Header)
	r.requestCtx.Response.SkipBody = response.SkipBody
	r.forwardBody(result)
	r.hasResponse = true
	r.event.Status = response.StatusCode()
	r.event.Duration = time.Since(r.start)
	notify(r.forwarder.OnResponse, r.event)
}

// forwardBody sends a response body to the client, either from memory or as a
// stream that the server reads after it has written the header. If a stream ends
// early, the client's connection is closed before the stated content length is
// reached.
func (r *requestState) forwardBody(result *exchanger.Result) {
	stream := result.Stream
	if stream == nil {
		r.requestCtx.Response.SwapBody(result.Response.SwapBody(nil))
		return
	}
	result.Stream = nil // The server closes the stream.
	event := r.event
	event.Cause, event.Status = "answer-cut", result.Response.StatusCode()
	stream.OnTruncated = func() { notify(r.forwarder.OnFailure, event) }
	r.requestCtx.Response.SetBodyStream(stream, stream.Size())
}

// hopByHopHeaders are the response headers that apply only to the connection with
// the upstream.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection"}

// respondUnknownOutcome responds to a request that may have been executed, with
// 504 after a timeout and 502 otherwise.
func (r *requestState) respondUnknownOutcome(result *exchanger.Result) {
	r.event.Cause, r.event.Detail = "outcome-unknown", result.FailureReason
	r.event.Status = fasthttp.StatusBadGateway
	if result.TimedOut {
		r.event.Cause = "timeout"
		r.event.Status = fasthttp.StatusGatewayTimeout
	}
	r.requestCtx.SetStatusCode(r.event.Status)
	r.event.Duration = time.Since(r.start)
	notify(r.forwarder.OnFailure, r.event)
}

// giveUp responds to a request that gets no further attempt, with 502 if it may
// have been executed and 503 otherwise.
func (r *requestState) giveUp() {
	r.event.Duration = time.Since(r.start)
	if r.executions > 0 {
		r.event.Cause = "outcome-unknown"
		r.event.Status = fasthttp.StatusBadGateway
		r.requestCtx.SetStatusCode(r.event.Status)
		notify(r.forwarder.OnFailure, r.event)
		return
	}
	if r.refused != nil {
		r.forwarder.refuse(r.requestCtx, r.event, *r.refused)
		return
	}
	if r.isRefusedByStop(time.Now()) {
		r.event.Detail = "the host stops and could not await the response"
		r.forwarder.respondUnavailable(r.requestCtx, r.event, "host-stopping", minRetryAfter)
		return
	}
	if r.room != nil {
		r.refuseWithoutRoom(*r.room, time.Now())
		return
	}
	if r.isLeftToOthers {
		r.event.Detail = "all connections that the upstreams take are left to other hosts"
		r.forwarder.respondUnavailable(r.requestCtx, r.event, "no-connections", minRetryAfter)
		return
	}
	r.forwarder.respondUnavailable(r.requestCtx, r.event, "no-room", min(max(r.queueWait/2, minRetryAfter), maxRetryAfter))
}

// refuseWithoutRoom responds to a request that the rate limits or the pauses of all upstreams
// prevent. Clients return when there will be room, one after the other.
func (r *requestState) refuseWithoutRoom(room placer.Room, now time.Time) {
	held := r.forwarder.held.count(r.service)
	cause, detail := explainRefusal(room, held)
	r.event.Detail = detail
	retryAfter := r.forwarder.returns.assign(r.service, room, held, now)
	if room.Reason == placer.Paused {
		// Before the end of the pause the client would only be refused again.
		r.forwarder.respondUnavailableFor(r.requestCtx, r.event, cause, room.OpensIn+withJitter(retryAfter-room.OpensIn))
		return
	}
	r.forwarder.respondUnavailable(r.requestCtx, r.event, cause, retryAfter)
}

// explainRefusal returns the cause and the detail of a refusal while the host holds a number
// of requests.
func explainRefusal(room placer.Room, held int) (cause, detail string) {
	opensIn := room.OpensIn.Milliseconds()
	switch room.Reason {
	case placer.Paused:
		return "upstreams-closed", fmt.Sprintf("all upstreams want no requests, %s for %d ms more, the others for longer", room.Next, opensIn)
	case placer.Returning:
		return "upstreams-closed", fmt.Sprintf(
			"requests return to upstreams after pauses, first to %s, and the host holds %d", room.Next, held)
	default:
		return "rate-limit", fmt.Sprintf(
			"all upstreams are at their rate limits: this host may send %.3g requests a second, the next in %d ms, and holds %d",
			float64(room.Rate), opensIn, held)
	}
}

// abandon ends a request whose client has disconnected.
func (r *requestState) abandon() {
	r.event.Cause = "client-left"
	r.event.Duration = time.Since(r.start)
	r.requestCtx.SetConnectionClose()
	r.requestCtx.SetStatusCode(fasthttp.StatusBadGateway)
	notify(r.forwarder.OnFailure, r.event)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
