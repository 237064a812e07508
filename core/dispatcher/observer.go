package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
)

// Observe passes the result of the last step to the state machine.
func (d *Dispatch) Observe(result Result, now time.Time) {
	switch d.lastStep.Kind {
	case StepSendAttempt:
		d.observeRun(result, now)
	case StepForward, StepForwardHome, StepQueryAttempt:
		d.observePeer(result, now)
	case StepClaimKey:
		d.observeClaim(result, now)
	default:
	}
}

// observeRun processes the result of an attempt at an upstream.
func (d *Dispatch) observeRun(result Result, now time.Time) {
	d.dispatcher.Balancer.Release(d.lastStep.Upstream.Name, balancer.Result{
		RunState:        result.Outcome.State,
		ServiceTime:     result.ServiceTime,
		Shed:            result.Shed,
		StaleConnection: result.StaleConnection,
		Cancelled:       result.Cancelled,
	}, now)
	d.triedUpstreams = append(d.triedUpstreams, d.lastStep.Upstream.Name)
	d.finishOrRetry(result.Outcome, true)
	d.dispatcher.AssignQueued(d.request.Service, now)
}

// observePeer processes the result of a step that sent a message to another host.
func (d *Dispatch) observePeer(result Result, now time.Time) {
	if len(result.Capacities) > 0 || result.Unreachable {
		d.dispatcher.recordSpares(d.lastStep.Host, result.Capacities)
	}
	d.attempted = d.attempted || result.Attempted
	if result.Outcome.State == core.RunUnknown && result.Outcome.Refusal == nil {
		d.observeNoResponse(now)
		return
	}
	if d.lastStep.Kind == StepForwardHome {
		d.observeHome(result)
		return
	}
	if d.queriedHome {
		d.observeQueriedHome(result)
		return
	}
	d.stage = stageSelect
	d.triedHosts = append(d.triedHosts, d.lastStep.Host.Name)
	if result.Attempted {
		d.attempts++
	}
	d.finishOrRetry(result.Outcome, result.Attempted)
	d.dispatcher.AssignQueued(d.request.Service, now)
}

// observeHome processes the response of the key's home. Only that incarnation knows
// whether earlier requests with the key ran. If it was unreachable or has been replaced,
// only the client's first request with the key is known not to have run.
func (d *Dispatch) observeHome(result Result) {
	isReplaced := result.Outcome.Refusal != nil && result.Outcome.Refusal.Kind == core.RefusalStaleHome
	if result.Outcome.State == core.NotRun && (result.Unreachable || isReplaced) {
		d.refuseIfFirst(core.RefusalStaleHome, "the key's home cannot be reached")
		return
	}
	d.isKeyResolved = true
	d.finish(result.Outcome)
}

// observeQueriedHome processes the response of the key's home to a query about an
// attempt. If the attempt did not run, an earlier request with the key may still have
// run, so the request is forwarded again and the home decides.
func (d *Dispatch) observeQueriedHome(result Result) {
	if result.Outcome.State == core.NotRun {
		d.queriedHome = false
		d.stage = stageKey
		return
	}
	d.finish(result.Outcome)
}

// observeNoResponse handles a forwarded request, or a query about it, that got no
// response, or whose attempt is still running. Both are reported by a Result whose
// Outcome is unknown without a refusal.
func (d *Dispatch) observeNoResponse(now time.Time) {
	if d.service.Repeatable {
		d.triedHosts = append(d.triedHosts, d.lastStep.Host.Name)
		d.attempts++
		d.finishOrRetry(core.UnknownOutcome(core.RefusalOutcomeUnknown, "another host gave no answer"), true)
		return
	}
	d.queriedHome = d.queriedHome || d.lastStep.Kind == StepForwardHome
	d.nextQueryAt = now.Add(time.Duration(d.queries) * queryBackoff)
	d.queries++
	if d.queries > maxQueries || !now.Before(d.request.Deadline) {
		d.finish(core.UnknownOutcome(core.RefusalOutcomeUnknown, "the host that had the request gave no answer"))
		return
	}
	d.stage = stageQuery
}

// nextQuery returns the step that queries the receiver of the forwarded request, or
// waits until the query is due.
func (d *Dispatch) nextQuery(now time.Time) Step {
	if !now.Before(d.request.Deadline) {
		d.finish(core.UnknownOutcome(core.RefusalOutcomeUnknown, "the host that had the request gave no answer in time"))
		return Step{Kind: StepDone, Outcome: d.outcome}
	}
	if now.Before(d.nextQueryAt) {
		return Step{Kind: StepWait, Deadline: d.nextQueryAt}
	}
	step := d.lastStep
	step.Kind = StepQueryAttempt
	return d.expectResult(step)
}

// finishOrRetry ends the request with the outcome, or leaves it unfinished, so that Next
// tries again. isAttempt reports whether the request was sent to an upstream.
func (d *Dispatch) finishOrRetry(outcome core.Outcome, isAttempt bool) {
	isUnknown := outcome.State == core.RunUnknown
	d.mayHaveRun = d.mayHaveRun || isUnknown
	switch {
	case outcome.State == core.Answered, !d.origin.mayForward(), isUnknown && !d.service.Repeatable:
		d.finish(outcome)
	case !isAttempt:
		// Another host had no free slot. Trying the next one is not a retry.
	case d.attempts >= maxAttempts || !d.dispatcher.RetryBudget.TryRetry():
		d.finish(d.unservedOutcome(outcome.Refusal.Kind, outcome.Refusal.Detail, outcome.Refusal.RetryAfter))
	default:
	}
}

// observeClaim continues on the host that holds the claim of the key.
func (d *Dispatch) observeClaim(result Result, now time.Time) {
	switch {
	case result.Claim.Failed:
		d.finish(core.RefusedOutcome(core.RefusalPlatformUnavailable,
			"the platform's store cannot record the key; a home-bound key needs no store", retryAfter))
	case result.Claim.Holder == d.dispatcher.Self.Instance():
		d.stage = stageKey
	default:
		d.prepareForwardHome(result.Claim.Holder, now)
	}
}
