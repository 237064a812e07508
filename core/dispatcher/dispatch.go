package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// stage is the processing stage of a request.
type stage uint8

const (
	// stageValidate checks whether the request can run at all.
	stageValidate stage = iota
	// stageClaim claims the idempotency key in the platform's store.
	stageClaim
	// stageKey looks the key up on this host, or forwards the request to its home.
	stageKey
	// stageQuery queries the state of a forwarded attempt without a response.
	stageQuery
	// stageSelect selects the target of the next attempt, or waits for one.
	stageSelect
	// stageDone is reached when the outcome is final.
	stageDone
)

// Dispatch is the state of one request on one host. It is not safe for concurrent use.
type Dispatch struct {
	dispatcher *Dispatcher
	request    core.Request
	service    core.Service
	origin     Origin
	wake       func()

	stage   stage
	outcome core.Outcome
	// home is the host that may run the request, if that is not this host.
	home core.Host
	// isKeyResolved reports that the home of the key determined whether earlier
	// requests with the key ran.
	isKeyResolved bool
	// holdsKey and holdsAttempt report in which tables the request must be finished.
	holdsKey     bool
	holdsAttempt bool
	// lastStep is the step whose result is expected.
	lastStep Step
	// queries is the number of queries about attempts without a response. The next
	// one is sent at nextQueryAt. queriedHome reports that they go to the home of the
	// key.
	queries     int
	nextQueryAt time.Time
	queriedHome bool

	attempts       int
	forwards       int
	triedUpstreams []core.UpstreamName
	triedHosts     []core.HostName
	// attempted reports that the request was sent to an upstream. mayHaveRun reports
	// that an attempt may have run although no response was received.
	attempted  bool
	mayHaveRun bool

	// assigned and isQueued are guarded by Dispatcher.mu. assigned is a target that was
	// selected while the request was in the queue.
	assigned target
	isQueued bool
	queuedAt time.Time
}

// Start returns the state of a new request. wake is called when a queued request can
// proceed, possibly from another goroutine. It must not block.
func (r *Dispatcher) Start(request core.Request, origin Origin, wake func()) *Dispatch {
	return &Dispatch{dispatcher: r, request: request, origin: origin, wake: wake}
}

// Attempted reports whether the request was sent to an upstream.
func (d *Dispatch) Attempted() bool {
	return d.attempted
}

// Next returns the next step.
func (d *Dispatch) Next(now time.Time) Step {
	if d.stage == stageValidate {
		d.validate(now)
	}
	d.refuseIfTooLate(now)
	if d.stage == stageClaim {
		return d.expectResult(Step{Kind: StepClaimKey, Deadline: d.request.Deadline})
	}
	if d.stage == stageKey {
		if step, ok := d.beginKey(now); ok {
			return step
		}
	}
	switch d.stage {
	case stageQuery:
		return d.nextQuery(now)
	case stageSelect:
		return d.nextAttempt(now)
	default:
		return Step{Kind: StepDone, Outcome: d.outcome}
	}
}

// expectResult remembers the step until its result is passed to Observe.
func (d *Dispatch) expectResult(step Step) Step {
	d.lastStep = step
	return step
}

// finish sets the final outcome, unless there is one already.
func (d *Dispatch) finish(outcome core.Outcome) {
	if d.stage == stageDone {
		return
	}
	if outcome.State == core.NotRun && d.mayHaveRunBefore() {
		outcome = core.UnknownOutcome(outcome.Refusal.Kind, outcome.Refusal.Detail+"; an earlier send may have been run")
	}
	d.stage = stageDone
	d.outcome = outcome
	if d.holdsKey {
		d.dispatcher.Keys.Complete(d.request.Key.Text, outcome, false)
	}
	if d.holdsAttempt {
		d.dispatcher.Attempts.Complete(string(d.origin.Attempt), outcome, true)
	}
}

// mayHaveRunBefore reports whether an earlier request with the key may have run: the
// client sent the key before, and the home of the key has not said whether it ran.
func (d *Dispatch) mayHaveRunBefore() bool {
	return d.request.Ordinal > 0 && d.request.Key.Text != "" && d.origin.mayForward() && !d.isKeyResolved
}

// refuse ends the request as not run.
func (d *Dispatch) refuse(kind core.RefusalKind, detail string) {
	d.finish(core.RefusedOutcome(kind, detail, 0))
}

// AttemptCounts returns the number of attempts and of forwards to other hosts.
func (d *Dispatch) AttemptCounts() (attempts, forwards int) {
	return d.attempts, d.forwards
}
