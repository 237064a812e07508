package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/admitter"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/deduplicator"
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

// check refuses what cannot be run whatever the load.
func (d *Dispatch) check(now time.Time) {
	configuration := d.shared.Configuration()
	service, ok := configuration.Services[d.request.Service]
	switch {
	case configuration.Number == 0:
		d.refuse(core.RefusalNotReady, "this host has no configuration yet")
		return
	case !ok:
		d.refuse(core.RefusalUnknownService, "no service of that name is configured")
		return
	case service.MaxBody > 0 && core.Bytes(len(d.request.Body)) > service.MaxBody:
		d.refuse(core.RefusalBodyTooLarge, "the body is larger than the service permits")
		return
	case !now.Before(d.request.Deadline):
		d.refuse(core.RefusalDeadline, "the deadline had passed on arrival")
		return
	default:
	}
	d.service = service
	if d.origin.isClient() {
		d.shared.Budget.Earn()
	}
	if service.Repeatable {
		d.stage = stageSteer
		return
	}
	d.checkOnce(now)
}

// checkOnce checks a request that must run at most once.
func (d *Dispatch) checkOnce(now time.Time) {
	if d.request.Key.Text == "" {
		d.refuse(core.RefusalKeyRequired, "requests to this service need an Idempotency-Key; /v1/route tells how to make one")
		return
	}
	if d.origin.Attempt != "" && !d.beginAttempt(now) {
		return
	}
	switch {
	case !d.origin.isClient() && !d.origin.IsHome:
		// The home of the key is the peer that handed the request over.
		d.stage = stageSteer
	case d.request.Key.IsHomeBound():
		d.checkHome(now)
	case d.origin.IsHome:
		// The peer read in the store that this life holds the claim.
		d.stage = stageKey
	default:
		d.stage = stageClaim
	}
}

// beginAttempt admits what a peer handed over, unless the peer has been told
// that it was not run.
func (d *Dispatch) beginAttempt(now time.Time) bool {
	entry := d.shared.Attempts.Begin(deduplicator.Send{
		ID:     string(d.origin.Attempt),
		Expiry: d.request.Deadline.Add(keyMargin),
	}, now)
	switch entry.Verdict {
	case deduplicator.Run:
		d.holdsAttempt = true
		return true
	case deduplicator.Buried:
		d.refuse(core.RefusalDeadline, "the attempt had been given up before it arrived")
	case deduplicator.Full:
		d.refuse(core.RefusalTableFull, "too many requests are remembered")
	default:
		d.finish(core.Unknown(core.RefusalUnknown, "the attempt arrived twice"))
	}
	return false
}

// checkHome sends a home-bound key on its way.
func (d *Dispatch) checkHome(now time.Time) {
	key := d.request.Key
	age := now.Sub(key.Minted)
	switch {
	case key.Home == d.shared.Self.Life() && age > KeyLife:
		d.neverRunIfFirst(core.RefusalKeyExpired, "the key is too old")
	case key.Home == d.shared.Self.Life() && age < -futureLimit:
		d.refuse(core.RefusalKeyInvalid, "the key's minting second is in the future")
	case key.Home == d.shared.Self.Life():
		d.stage = stageKey
	default:
		d.goHome(key.Home, now)
	}
}

// goHome prepares handing the request to the life that may run it.
func (d *Dispatch) goHome(home core.Life, now time.Time) {
	if !d.origin.isClient() {
		d.neverRunIfFirst(core.RefusalStaleHome, "the key's home has been replaced")
		return
	}
	member, isLive := d.shared.Tracker.Lookup(home.Host, now)
	if !isLive || member.Host.Incarnation != home.Incarnation {
		d.neverRunIfFirst(core.RefusalStaleHome, "the key's home is gone")
		return
	}
	d.home = member.Host
	d.stage = stageKey
}

// neverRunIfFirst refuses a request that this system has not run if this is
// the client's first use of the key; a re-sent one may have been run before.
func (d *Dispatch) neverRunIfFirst(kind core.RefusalKind, detail string) {
	if d.request.Ordinal == 0 && d.request.Key.IsHomeBound() {
		d.refuse(kind, detail+"; take a new key")
		return
	}
	d.finish(core.Unknown(core.RefusalUnknown, detail+"; an earlier send may have been run"))
}

// beginKey asks the table of this life, or goes to the key's home. It reports
// false where the request may be run here.
func (d *Dispatch) beginKey(now time.Time) (Step, bool) {
	if d.home.Name != "" {
		return d.expect(Step{Kind: StepHome, Host: d.home, Attempt: d.shared.nextAttempt(), Until: d.request.Deadline}), true
	}
	key := d.request.Key
	expiry := now.Add(deduplicator.ClaimLife + keyMargin)
	if key.IsHomeBound() {
		expiry = key.Minted.Add(KeyLife + keyMargin)
	}
	entry := d.shared.Keys.Begin(deduplicator.Send{
		ID: key.Text, Fingerprint: fingerprint(d.request), Ordinal: d.request.Ordinal, Expiry: expiry,
	}, now)
	d.isSettled = entry.Verdict != deduplicator.Wait && entry.Verdict != deduplicator.Full
	switch entry.Verdict {
	case deduplicator.Run:
		d.holdsKey = true
		d.mayHaveRun = false
		d.stage = stageSteer
		return Step{}, false
	case deduplicator.Wait:
		d.mayHaveRun = true
		if !now.Before(d.request.Deadline) {
			d.finish(core.Unknown(core.RefusalUnknown, "another send of this key is still running"))
			return Step{}, false
		}
		return Step{Kind: StepAwait, Done: entry.Done, Until: d.request.Deadline}, true
	case deduplicator.Replay:
		d.finish(entry.Outcome)
	case deduplicator.Closed:
		d.refuse(core.RefusalStaleHome, "a later send was refused; take a new key, or a higher ordinal")
	case deduplicator.Reused:
		d.refuse(core.RefusalKeyReused, "the key was used with another request")
	default:
		d.refuse(core.RefusalTableFull, "too many keys are remembered")
	}
	return Step{}, false
}

// fingerprint tells whether two requests under one key are the same.
func fingerprint(request core.Request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, s := range []string{string(request.Service), request.Method, request.Path} {
		_, _ = digest.WriteString(s)
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// steer picks a place, or waits for one.
func (d *Dispatch) steer(now time.Time) Step {
	r := d.shared
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(d.request.Deadline) {
		return d.giveUp(core.RefusalDeadline, "no slot became free before the deadline", now)
	}
	if !d.granted.isEmpty() {
		return d.start()
	}
	q := r.queue(d.request.Service)
	if d.isQueued {
		if q.IsStanding(now) && now.Sub(d.queuedAt) >= q.Target {
			return d.giveUp(core.RefusalOverload, "all upstreams are busy", now)
		}
		return d.wait(q.Target, now)
	}
	if q.Len() == 0 || d.attempts > 0 || d.forwards > 0 || !d.origin.mayForward() {
		if g, ok := r.choose(d, now); ok {
			q.Serve()
			d.granted = g
			return d.start()
		}
	}
	if !d.origin.mayForward() {
		return d.giveUp(core.RefusalOverload, "all upstreams of this host are busy", now)
	}
	if d.forwards >= maxForwards && r.Balancer.Summarize(d.request.Service, now).Total == 0 {
		return d.giveUp(core.RefusalOverload, "no other host has room", now)
	}
	return d.enqueue(q, now)
}

// enqueue waits for a slot. Whoever was tried before may be tried again after
// the wait. The caller holds Dispatcher.mu.
func (d *Dispatch) enqueue(q *admitter.Queue[*Dispatch], now time.Time) Step {
	d.excluded, d.refused = nil, nil
	d.isQueued = true
	if !d.queuedAt.IsZero() {
		q.Return(d, d.queuedAt)
		return d.wait(q.Target, now)
	}
	d.queuedAt = now
	weight := d.service.Organisations[d.request.Organisation]
	if !q.Push(d, d.request.Organisation, weight, now) {
		d.isQueued = false
		return d.giveUp(core.RefusalOverload, "too many requests wait", now)
	}
	return d.wait(q.Target, now)
}

// wait returns a step that waits for a grant, looking again at times.
func (d *Dispatch) wait(target time.Duration, now time.Time) Step {
	until := now.Add(target)
	if until.After(d.request.Deadline) {
		until = d.request.Deadline
	}
	return Step{Kind: StepWait, Until: until}
}

// giveUp ends a request that found no place. The caller holds Dispatcher.mu.
func (d *Dispatch) giveUp(kind core.RefusalKind, detail string, now time.Time) Step {
	d.leaveQueue(now)
	d.finish(d.unserved(kind, detail, retryAfter))
	return Step{Kind: StepDone, Outcome: d.outcome}
}

// unserved returns the outcome of a request that gets no further attempt.
func (d *Dispatch) unserved(kind core.RefusalKind, detail string, retry time.Duration) core.Outcome {
	if d.mayHaveRun || d.stage == stageAsk {
		return core.Unknown(kind, detail+"; an earlier attempt may have been run")
	}
	return core.Refuse(kind, detail, retry)
}

// retryAfter is what a refusal for lack of room advises.
const retryAfter = 500 * time.Millisecond

// leaveQueue takes the request out of the queue and returns an unused slot.
// The caller holds Dispatcher.mu.
func (d *Dispatch) leaveQueue(now time.Time) {
	if d.isQueued {
		d.shared.queue(d.request.Service).Remove(d, now)
		d.isQueued = false
	}
	if d.granted.upstream.Name != "" {
		d.shared.Balancer.Release(d.granted.upstream.Name, balancer.Result{Cancelled: true}, now)
	}
	d.granted = grant{}
}

// start returns the step for the granted place. The caller holds
// Dispatcher.mu.
func (d *Dispatch) start() Step {
	g := d.granted
	d.granted = grant{}
	step := Step{Attempt: d.shared.nextAttempt(), Until: d.request.Deadline}
	if g.host.Name != "" {
		d.forwards++
		step.Kind, step.Host = StepForward, g.host
		return d.expect(step)
	}
	d.attempts++
	d.attempted = true
	step.Kind, step.Upstream = StepRun, g.upstream
	if d.service.Repeatable && d.shared.Budget.HasToken() {
		step.Patience = d.shared.Balancer.Patience(g.upstream.Name)
	}
	return d.expect(step)
}

// Cancel ends a request whose client went away while it was waiting. The
// caller must not be between a step and its Observe.
func (d *Dispatch) Cancel(now time.Time) {
	d.shared.mu.Lock()
	d.leaveQueue(now)
	d.finish(d.unserved(core.RefusalDeadline, "the client went away", 0))
	d.shared.mu.Unlock()
	d.shared.Pump(d.request.Service, now)
}

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

// Counts returns the number of attempts and of handings over.
func (d *Dispatch) Counts() (attempts, forwards int) {
	return d.attempts, d.forwards
}
