package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/admitter"
	"github.com/endiverun/endiverun/core/balancer"
)

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
	q := r.queue(d.request.Service, d.isForeign())
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

// isForeign reports whether the client is in another region. Its request goes
// only where the count of used slots is certain, and waits behind the region's
// own, so that a shift of traffic does not overload this region.
func (d *Dispatch) isForeign() bool {
	region := d.shared.Configuration().RegionOf(d.request.Client)
	return region != "" && region != d.shared.Self.Zone.Region
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
		d.shared.queue(d.request.Service, d.isForeign()).Remove(d, now)
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
