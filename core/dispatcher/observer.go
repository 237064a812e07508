package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
)

// Observe takes in the result of the last step.
func (d *Dispatch) Observe(result Result, now time.Time) {
	switch d.last.Kind {
	case StepRun:
		d.observeRun(result, now)
	case StepForward, StepHome, StepAsk:
		d.observePeer(result, now)
	case StepClaim:
		d.observeClaim(result, now)
	default:
	}
}

func (d *Dispatch) observeRun(result Result, now time.Time) {
	d.shared.Balancer.Release(d.last.Upstream.Name, balancer.Result{
		State:     result.Outcome.State,
		Duration:  result.Duration,
		Shed:      result.Shed,
		Stale:     result.Stale,
		Cancelled: result.Cancelled,
	}, now)
	d.excluded = append(d.excluded, d.last.Upstream.Name)
	d.conclude(result.Outcome, true)
	d.shared.Pump(d.request.Service, now)
}

// observePeer takes in what another host said.
func (d *Dispatch) observePeer(result Result, now time.Time) {
	if len(result.Spares) > 0 || result.Unreachable {
		d.shared.learn(d.last.Host, result.Spares)
	}
	d.attempted = d.attempted || result.Attempted
	if result.Outcome.State == core.RunUnknown && result.Outcome.Refusal == nil {
		d.observeSilence(now)
		return
	}
	if d.last.Kind == StepHome {
		d.observeHome(result)
		return
	}
	if d.askedHome {
		d.observeAskedHome(result)
		return
	}
	d.stage = stageSteer
	d.refused = append(d.refused, d.last.Host.Name)
	if result.Attempted {
		d.attempts++
	}
	d.conclude(result.Outcome, result.Attempted)
	d.shared.Pump(d.request.Service, now)
}

// observeHome takes in what the home of the key said. Only that life knows what
// became of earlier sends; where it was not reached, or is replaced, only a
// first send is known not to have run.
func (d *Dispatch) observeHome(result Result) {
	isAnother := result.Outcome.Refusal != nil && result.Outcome.Refusal.Kind == core.RefusalStaleHome
	if result.Outcome.State == core.NotRun && (result.Unreachable || isAnother) {
		d.neverRunIfFirst(core.RefusalStaleHome, "the key's home cannot be reached")
		return
	}
	d.isSettled = true
	d.finish(result.Outcome)
}

// observeAskedHome takes in what the home said about a handing over. That it
// was not run says nothing about earlier sends, so the request is handed over
// again and the home decides.
func (d *Dispatch) observeAskedHome(result Result) {
	if result.Outcome.State == core.NotRun {
		d.askedHome = false
		d.stage = stageKey
		return
	}
	d.finish(result.Outcome)
}

// observeSilence decides after a handing over, or a question about it, that
// brought no answer. Result.Outcome without a refusal stands for this.
func (d *Dispatch) observeSilence(now time.Time) {
	if d.service.Repeatable {
		d.refused = append(d.refused, d.last.Host.Name)
		d.attempts++
		d.conclude(core.Unknown(core.RefusalUnknown, "another host gave no answer"), true)
		return
	}
	d.askedHome = d.askedHome || d.last.Kind == StepHome
	d.askAt = now.Add(time.Duration(d.asks) * askPause)
	d.asks++
	if d.asks > maxAsks || !now.Before(d.request.Deadline) {
		d.finish(core.Unknown(core.RefusalUnknown, "the host that had the request gave no answer"))
		return
	}
	d.stage = stageAsk
}

// ask returns the step that asks the host that had the request.
func (d *Dispatch) ask(now time.Time) Step {
	if !now.Before(d.request.Deadline) {
		d.finish(core.Unknown(core.RefusalUnknown, "the host that had the request gave no answer in time"))
		return Step{Kind: StepDone, Outcome: d.outcome}
	}
	if now.Before(d.askAt) {
		return Step{Kind: StepWait, Until: d.askAt}
	}
	step := d.last
	step.Kind = StepAsk
	return d.expect(step)
}

// conclude ends the request, or leaves it to Next to try again.
func (d *Dispatch) conclude(outcome core.Outcome, isAttempt bool) {
	isUnknown := outcome.State == core.RunUnknown
	d.mayHaveRun = d.mayHaveRun || isUnknown
	switch {
	case outcome.State == core.Answered, !d.origin.mayForward(), isUnknown && !d.service.Repeatable:
		d.finish(outcome)
	case !isAttempt:
		// Another host had no room; asking the next costs no attempt.
	case d.attempts >= maxAttempts || !d.shared.Budget.Spend():
		d.finish(d.unserved(outcome.Refusal.Kind, outcome.Refusal.Detail, outcome.Refusal.Retry))
	default:
	}
}

// observeClaim goes where the holder of the claim is.
func (d *Dispatch) observeClaim(result Result, now time.Time) {
	switch {
	case result.Claim.Failed:
		d.finish(core.Refuse(core.RefusalPlatform,
			"the platform's store cannot record the key; a home-bound key needs no store", retryAfter))
	case result.Claim.Holder == d.shared.Self.Life():
		d.stage = stageKey
	default:
		d.goHome(result.Claim.Holder, now)
	}
}
