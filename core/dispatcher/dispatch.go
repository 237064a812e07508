package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// stage is where a request stands.
type stage uint8

const (
	stageCheck stage = iota
	stageClaim
	stageKey
	stageAsk
	stageSteer
	stageDone
)

// Dispatch is the course of one request at one host. Its methods are called by
// one goroutine at a time.
type Dispatch struct {
	shared  *Dispatcher
	request core.Request
	service core.Service
	origin  Origin
	wake    func()

	stage   stage
	outcome core.Outcome
	// home is the host that may run the request, where it is another one.
	home core.Host
	// isSettled says that the home of the key has spoken about it.
	isSettled bool
	// holdsKey and holdsAttempt say which tables expect a Finish.
	holdsKey     bool
	holdsAttempt bool
	// last is the step whose result is awaited.
	last Step
	// asks counts the questions about last.Attempt; the next may be put at
	// askAt. askedHome says that the key's home is asked.
	asks      int
	askAt     time.Time
	askedHome bool

	attempts int
	forwards int
	excluded []core.UpstreamName
	refused  []core.HostName
	// attempted says that some upstream was sent the request; mayHaveRun that
	// an attempt ended without proof that it was not run.
	attempted  bool
	mayHaveRun bool

	// granted and isQueued are guarded by Dispatcher.mu.
	granted  grant
	isQueued bool
	queuedAt time.Time
}

// Start begins a request. wake is called, possibly from another goroutine, when
// a waiting request can go on; it must not block.
func (r *Dispatcher) Start(request core.Request, origin Origin, wake func()) *Dispatch {
	return &Dispatch{shared: r, request: request, origin: origin, wake: wake}
}

// Attempted reports whether some upstream was sent the request.
func (d *Dispatch) Attempted() bool {
	return d.attempted
}

// Next returns what to do now.
func (d *Dispatch) Next(now time.Time) Step {
	if d.stage == stageCheck {
		d.check(now)
	}
	if d.stage == stageClaim {
		return d.expect(Step{Kind: StepClaim, Until: d.request.Deadline})
	}
	if d.stage == stageKey {
		if step, ok := d.beginKey(now); ok {
			return step
		}
	}
	switch d.stage {
	case stageAsk:
		return d.ask(now)
	case stageSteer:
		return d.steer(now)
	default:
		return Step{Kind: StepDone, Outcome: d.outcome}
	}
}

// expect notes the step whose result must be observed.
func (d *Dispatch) expect(step Step) Step {
	d.last = step
	return step
}

// finish ends the request.
func (d *Dispatch) finish(outcome core.Outcome) {
	if d.stage == stageDone {
		return
	}
	if outcome.State == core.NotRun && d.mayHaveRunBefore() {
		outcome = core.Unknown(outcome.Refusal.Kind, outcome.Refusal.Detail+"; an earlier send may have been run")
	}
	d.stage = stageDone
	d.outcome = outcome
	if d.holdsKey {
		d.shared.Keys.Finish(d.request.Key.Text, outcome, false)
	}
	if d.holdsAttempt {
		d.shared.Attempts.Finish(string(d.origin.Attempt), outcome, true)
	}
}

// mayHaveRunBefore reports whether an earlier send of the key may have been
// run: the home of the key has not spoken.
func (d *Dispatch) mayHaveRunBefore() bool {
	return d.request.Ordinal > 0 && d.request.Key.Text != "" && d.origin.mayForward() && !d.isSettled
}

func (d *Dispatch) refuse(kind core.RefusalKind, detail string) {
	d.finish(core.Refuse(kind, detail, 0))
}

// Counts returns the number of attempts and of handings over.
func (d *Dispatch) Counts() (attempts, forwards int) {
	return d.attempts, d.forwards
}
