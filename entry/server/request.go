package server

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/dispatcher"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/listener"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/messenger"
)

// defaultDeadline applies if neither the client nor the service sets one.
const defaultDeadline = 30 * time.Second

// responseMargin is subtracted from the remaining time of a forwarded request, so that
// the response can return in time.
const responseMargin = 5 * time.Millisecond

// queryTimeout is the longest wait for the outcome of an attempt at another host.
const queryTimeout = time.Second

// newRequest converts a client's request. It sets the id, the deadline and the client's
// availability zone, which is this host's if the client's address belongs to none.
func (s *Server) newRequest(incoming listener.ClientRequest) core.Request {
	now := s.now()
	configuration := s.steerer.Sequencer.Configuration()
	timeout := incoming.Timeout
	if timeout == 0 {
		timeout = configuration.Services[incoming.Service].Deadline.Duration()
	}
	if timeout == 0 {
		timeout = defaultDeadline
	}
	zone, ok := configuration.ZoneOf(incoming.ClientAddress)
	if !ok {
		zone = s.host.Zone.Name
	}
	id := string(s.host.Name) + "-" + s.host.Incarnation.String() + "-" + strconv.FormatUint(s.sequence.Add(1), 36)
	return core.Request{
		ID:           core.RequestID(id),
		Service:      incoming.Service,
		Organisation: incoming.Organisation,
		ClientZone:   zone,
		Method:       incoming.Method,
		Path:         incoming.Path,
		Headers:      incoming.Headers,
		Body:         incoming.Body,
		Deadline:     now.Add(timeout),
		Key:          incoming.Key,
		Ordinal:      incoming.Ordinal,
		Traceparent:  incoming.Traceparent,
	}
}

// serve processes a client's request and counts its outcome. The end of ctx means that
// the client disconnected: no attempt is started or retried after that.
func (s *Server) serve(ctx context.Context, request core.Request) core.Outcome {
	service := string(request.Service)
	if _, ok := s.steerer.Sequencer.Configuration().Services[request.Service]; !ok {
		service = "other"
	}
	s.counters.Requests.Add(service, 1)
	span := s.tracer.Start(request.Traceparent, "entry.request")
	span.SetAttribute("service", service)
	span.SetAttribute("request", string(request.ID))
	span.SetAttribute("path", request.Path)
	span.SetAttribute("key", request.Key.Text)
	span.SetAttribute("ordinal", strconv.Itoa(request.Ordinal))
	request.Traceparent = span.Traceparent()
	outcome, _ := s.dispatch(ctx, request, dispatcher.Origin{})
	span.SetAttribute("run-state", outcome.State.String())
	span.End(refusalKind(outcome))
	switch outcome.State {
	case core.Answered:
		s.counters.Responses.Add(service, 1)
		s.throttleResponse(request, outcome)
	case core.RunUnknown:
		s.counters.UnknownOutcomes.Add(service, 1)
		s.counters.Refused.Add(string(outcome.Refusal.Kind), 1)
		s.log.Event(logger.RequestOutcomeUnknown).Str("request", string(request.ID)).Str("detail", outcome.Refusal.Detail).Send()
	default:
		s.counters.Refused.Add(string(outcome.Refusal.Kind), 1)
	}
	return outcome
}

// refusalKind returns the kind of the refusal, or an empty string if there is none.
func refusalKind(outcome core.Outcome) string {
	if outcome.Refusal == nil {
		return ""
	}
	return string(outcome.Refusal.Kind)
}

// throttleResponse delays the response to a client in another region until the link to
// that region has bandwidth for it.
func (s *Server) throttleResponse(request core.Request, outcome core.Outcome) {
	region := s.steerer.Sequencer.Configuration().RegionOf(request.ClientZone)
	if region == "" || region == s.host.Zone.Region {
		return
	}
	for remaining := core.Bytes(len(outcome.Response.Body)); remaining > 0; remaining -= responseChunkSize {
		if !s.reserveBandwidth(region, min(remaining, responseChunkSize)) {
			return
		}
	}
}

// responseChunkSize is the part of a response for which bandwidth is reserved at once.
const responseChunkSize = 16 * core.Kibibyte

// dispatch runs a request until its outcome is known. It reports whether the request
// was sent to an upstream.
func (s *Server) dispatch(ctx context.Context, request core.Request, origin dispatcher.Origin) (core.Outcome, bool) {
	wakeups := make(chan struct{}, 1)
	wake := func() {
		select {
		case wakeups <- struct{}{}:
		default:
		}
	}
	machine := s.steerer.Dispatcher.Start(request, origin, wake)
	for {
		if ctx.Err() != nil {
			machine.Cancel(s.now())
		}
		step := machine.Next(s.now())
		switch step.Kind {
		case dispatcher.StepDone:
			return step.Outcome, machine.Attempted()
		case dispatcher.StepWait:
			waitForSignal(ctx, wakeups, step.Deadline.Sub(s.now()))
		case dispatcher.StepWaitForDone:
			waitForSignal(ctx, step.Done, step.Deadline.Sub(s.now()))
		default:
			machine.Observe(s.performStep(step, request), s.now())
		}
	}
}

// waitForSignal waits for a signal or the end of ctx, for the given time at most.
func waitForSignal(ctx context.Context, signal <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-signal:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// performStep performs a step of a dispatch over the network.
func (s *Server) performStep(step dispatcher.Step, request core.Request) dispatcher.Result {
	switch step.Kind {
	case dispatcher.StepSendAttempt:
		return s.runAttempt(step, request)
	case dispatcher.StepForward:
		s.counters.Forwards.Add(string(step.Host.Zone.Region), 1)
		return s.forwardRequest(messenger.CallForward, step, request)
	case dispatcher.StepForwardHome:
		return s.forwardRequest(messenger.CallForwardHome, step, request)
	case dispatcher.StepQueryAttempt:
		return s.queryAttempt(step)
	case dispatcher.StepClaimKey:
		return dispatcher.Result{Claim: s.claims.claim(request.Key.Text, step.Deadline)}
	default:
		return dispatcher.Result{}
	}
}

// runAttempt sends a request to an upstream of this host.
func (s *Server) runAttempt(step dispatcher.Step, request core.Request) dispatcher.Result {
	configuration := s.steerer.Sequencer.Configuration()
	service := configuration.Services[request.Service]
	s.counters.Attempts.Add(string(request.Service), 1)
	span := s.tracer.Start(request.Traceparent, "entry.upstream")
	span.SetAttribute("upstream", string(step.Upstream.Name))
	span.SetAttribute("attempt", string(step.Attempt))
	result := s.caller.Do(caller.Attempt{
		ID:              step.Attempt,
		Upstream:        step.Upstream,
		Request:         request,
		ProgressTimeout: progressTimeout(service, step),
		AtMostOnce:      !service.Repeatable,
		Traceparent:     span.Traceparent(),
	}, s.now)
	span.End(result.FailureReason)
	if result.IsDraining {
		s.steerer.Balancer.SetDraining(step.Upstream.Name)
	}
	if result.RunState == core.RunUnknown {
		if result.IsMalformed {
			s.counters.MalformedResponses.Add("upstream", 1)
		}
		s.log.Event(logger.UpstreamAnswerRejected).Str("upstream", string(step.Upstream.Name)).Str("fault", result.FailureReason).Send()
	}
	return dispatcher.Result{
		Outcome:         attemptOutcome(result),
		ServiceTime:     result.Duration,
		Shed:            result.Shed,
		StaleConnection: result.StaleConnection,
		Attempted:       true,
	}
}

// progressTimeout returns the longest time without progress of an attempt: the
// service's timeout, or that of the step if it is shorter.
func progressTimeout(service core.Service, step dispatcher.Step) time.Duration {
	timeout := service.ProgressTimeout.Duration()
	if step.AttemptTimeout > 0 && step.AttemptTimeout < timeout {
		return step.AttemptTimeout
	}
	return timeout
}

// attemptOutcome returns the outcome of an attempt for the client. It does not name the
// upstream.
func attemptOutcome(result caller.Result) core.Outcome {
	switch result.RunState {
	case core.Answered:
		return core.AnsweredOutcome(result.Response)
	case core.NotRun:
		return core.RefusedOutcome(core.RefusalUpstreamFailed, "no upstream took the request", 0)
	default:
		return core.UnknownOutcome(core.RefusalUpstreamFailed, "an upstream gave no usable answer")
	}
}

// forwardRequest forwards a request to another host.
func (s *Server) forwardRequest(kind messenger.CallKind, step dispatcher.Step, request core.Request) dispatcher.Result {
	span := s.tracer.Start(request.Traceparent, "entry.forward")
	span.SetAttribute("to", string(step.Host.Name))
	call := messenger.Call{
		Kind:          kind,
		ToIncarnation: step.Host.Incarnation,
		Attempt:       step.Attempt,
		Request:       messenger.NewRequest(request, span.Traceparent()),
	}
	start := s.now()
	deadline := time.Now().Add(step.Deadline.Sub(start))
	reply, err := s.messenger.Call(step.Host, call, deadline)
	result := callResult(reply, err)
	result.ServiceTime = s.now().Sub(start)
	span.End(refusalKind(result.Outcome))
	return result
}

// callResult converts the reply to a call. If the call may have been sent but got no
// reply, the outcome is unknown and has no refusal.
func callResult(reply messenger.Reply, err error) dispatcher.Result {
	if err == nil {
		return dispatcher.Result{Outcome: reply.Outcome(), Attempted: reply.Attempted, Capacities: reply.Capacities}
	}
	var callError *messenger.CallError
	if errors.As(err, &callError) && !callError.MayHaveArrived {
		outcome := core.RefusedOutcome(core.RefusalOverload, "another host could not be reached", 0)
		return dispatcher.Result{Outcome: outcome, Unreachable: true}
	}
	return dispatcher.Result{Outcome: core.Outcome{State: core.RunUnknown}, Unreachable: true}
}

// queryAttempt asks another host for the outcome of an attempt.
func (s *Server) queryAttempt(step dispatcher.Step) dispatcher.Result {
	deadline := time.Now().Add(min(step.Deadline.Sub(s.now()), queryTimeout))
	call := messenger.Call{Kind: messenger.CallQueryAttempt, ToIncarnation: step.Host.Incarnation, Attempt: step.Attempt}
	reply, err := s.messenger.Call(step.Host, call, deadline)
	if err != nil {
		return dispatcher.Result{Outcome: core.Outcome{State: core.RunUnknown}}
	}
	return dispatcher.Result{Outcome: reply.Outcome(), Capacities: reply.Capacities}
}

// handleCall handles a call from another host and returns the reply.
func (s *Server) handleCall(ctx context.Context, call messenger.Call) messenger.Reply {
	switch call.Kind {
	case messenger.CallForward, messenger.CallForwardHome:
		return s.handleRequest(call)
	case messenger.CallQueryAttempt:
		return s.handleQuery(ctx, call)
	case messenger.CallFetchTickets:
		return s.handleTickets(call)
	default:
		return messenger.Reply{Refusal: &core.Refusal{}}
	}
}

func (s *Server) handleRequest(call messenger.Call) messenger.Reply {
	span := s.tracer.Start(call.Request.Traceparent, "entry.accept")
	span.SetAttribute("from", string(call.From.Name))
	call.Request.Traceparent = span.Traceparent()
	request, err := call.Request.ToCore(s.now().Add(max(0, call.RemainingTime-responseMargin)))
	if err != nil {
		span.End("bad-request")
		return newReply(core.RefusedOutcome(core.RefusalBadRequest, err.Error(), 0))
	}
	origin := dispatcher.Origin{Peer: call.From, Attempt: call.Attempt, ToKeyHome: call.Kind == messenger.CallForwardHome}
	outcome, attempted := s.dispatch(context.Background(), request, origin)
	span.End(refusalKind(outcome))
	reply := newReply(outcome)
	reply.Attempted = attempted
	reply.Capacities = s.steerer.Capacities(s.now())
	return reply
}

func newReply(outcome core.Outcome) messenger.Reply {
	return messenger.Reply{RunState: outcome.State, Response: outcome.Response, Refusal: outcome.Refusal}
}

// handleQuery returns the outcome of an attempt. It waits for an attempt that is still
// running, until the end of ctx.
func (s *Server) handleQuery(ctx context.Context, call messenger.Call) messenger.Reply {
	now := s.now()
	result := s.steerer.Dispatcher.QueryAttempt(call.Attempt, now)
	if result.Done != nil {
		waitForSignal(ctx, result.Done, call.RemainingTime-responseMargin)
		result = s.steerer.Dispatcher.QueryAttempt(call.Attempt, s.now())
	}
	return newReply(result.Outcome)
}
