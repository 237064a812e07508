package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/admitter"
	"github.com/endiverun/endiverun/core/balancer"
)

// nextAttempt selects a target and returns the step that sends the request there, or
// waits in the queue for one.
func (d *Dispatch) nextAttempt(now time.Time) Step {
	r := d.dispatcher
	r.mu.Lock()
	defer r.mu.Unlock()
	if !d.mayAwait(now) {
		return d.endUnserved(core.RefusalStopping, stoppingDetail, now)
	}
	if !now.Before(d.request.Deadline) {
		return d.endUnserved(core.RefusalDeadline, "no slot became free before the deadline", now)
	}
	if !d.assigned.isEmpty() {
		return d.startAttempt()
	}
	q := r.queue(d.request.Service, d.isRemote())
	if d.isQueued {
		if q.IsStanding(now) && now.Sub(d.queuedAt) >= q.Target {
			return d.endUnserved(core.RefusalOverload, "all upstreams are busy", now)
		}
		return d.waitStep(q.Target, now)
	}
	if q.Len() == 0 || d.attempts > 0 || d.forwards > 0 || !d.origin.mayForward() {
		if selected, ok := r.selectTarget(d, now); ok {
			q.RecordUnqueued()
			d.assigned = selected
			return d.startAttempt()
		}
	}
	if !d.origin.mayForward() {
		return d.endUnserved(core.RefusalOverload, "all upstreams of this host are busy", now)
	}
	if d.forwards >= maxForwards && r.Balancer.Capacity(d.request.Service, now).TotalSlots == 0 {
		return d.endUnserved(core.RefusalOverload, "no other host has room", now)
	}
	return d.enqueue(q, now)
}

// isRemote reports whether the client is in another region. So that traffic shifted from
// other regions does not overload this one, the request of such a client is sent only to
// upstreams whose number of used slots is known exactly, and waits behind the requests
// of this region's clients.
func (d *Dispatch) isRemote() bool {
	region := d.dispatcher.Configuration().RegionOf(d.request.ClientZone)
	return region != "" && region != d.dispatcher.Self.Zone.Region
}

// enqueue adds the request to the queue. After the wait, upstreams and hosts that were
// tried before may be tried again. The caller holds Dispatcher.mu.
func (d *Dispatch) enqueue(q *admitter.Queue[*Dispatch], now time.Time) Step {
	d.triedUpstreams, d.triedHosts = nil, nil
	d.isQueued = true
	if !d.queuedAt.IsZero() {
		q.Requeue(d, d.queuedAt)
		return d.waitStep(q.Target, now)
	}
	d.queuedAt = now
	weight := d.service.OrganisationWeights[d.request.Organisation]
	if !q.Push(d, d.request.Organisation, weight, now) {
		d.isQueued = false
		return d.endUnserved(core.RefusalOverload, "too many requests wait", now)
	}
	return d.waitStep(q.Target, now)
}

// waitStep returns a step that waits until a target is assigned, but at most for the
// given interval, so that the state of the queue is checked again.
func (d *Dispatch) waitStep(interval time.Duration, now time.Time) Step {
	until := now.Add(interval)
	if until.After(d.request.Deadline) {
		until = d.request.Deadline
	}
	return Step{Kind: StepWait, Deadline: until}
}

// endUnserved ends a request for which no target was found. The caller holds
// Dispatcher.mu.
func (d *Dispatch) endUnserved(kind core.RefusalKind, detail string, now time.Time) Step {
	d.leaveQueue(now)
	d.finish(d.unservedOutcome(kind, detail, retryAfter))
	return Step{Kind: StepDone, Outcome: d.outcome}
}

// unservedOutcome returns the outcome of a request that gets no further attempt.
func (d *Dispatch) unservedOutcome(kind core.RefusalKind, detail string, retry time.Duration) core.Outcome {
	if d.mayHaveRun || d.stage == stageQuery {
		return core.UnknownOutcome(kind, detail+"; an earlier attempt may have been run")
	}
	return core.RefusedOutcome(kind, detail, retry)
}

// retryAfter is the time after which a client should retry a request that was rejected
// because of overload.
const retryAfter = 500 * time.Millisecond

// leaveQueue removes the request from the queue and releases an assigned slot that was
// not used. The caller holds Dispatcher.mu.
func (d *Dispatch) leaveQueue(now time.Time) {
	if d.isQueued {
		d.dispatcher.queue(d.request.Service, d.isRemote()).Remove(d, now)
		d.isQueued = false
	}
	if d.assigned.upstream.Name != "" {
		d.dispatcher.Balancer.Release(d.assigned.upstream.Name, balancer.Result{Cancelled: true}, now)
	}
	d.assigned = target{}
}

// startAttempt returns the step that sends the request to the assigned target. The
// caller holds Dispatcher.mu.
func (d *Dispatch) startAttempt() Step {
	selected := d.assigned
	d.assigned = target{}
	step := Step{Attempt: d.dispatcher.newAttemptID(), Deadline: d.request.Deadline}
	if selected.host.Name != "" {
		d.forwards++
		step.Kind, step.Host = StepForward, selected.host
		return d.expectResult(step)
	}
	d.attempts++
	d.attempted = true
	step.Kind, step.Upstream = StepSendAttempt, selected.upstream
	if d.service.Repeatable && d.dispatcher.RetryBudget.CanRetry() {
		step.AttemptTimeout = d.dispatcher.Balancer.AttemptTimeout(selected.upstream.Name)
	}
	return d.expectResult(step)
}

// Cancel ends a request whose client disconnected while the request was waiting. It must
// not be called between a step and its Observe.
func (d *Dispatch) Cancel(now time.Time) {
	d.dispatcher.mu.Lock()
	d.leaveQueue(now)
	d.finish(d.unservedOutcome(core.RefusalDeadline, "the client went away", 0))
	d.dispatcher.mu.Unlock()
	d.dispatcher.AssignQueued(d.request.Service, now)
}
