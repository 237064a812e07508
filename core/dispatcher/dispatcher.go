// Package dispatcher controls the processing of a request from its arrival at a host to
// its outcome.
//
// A Dispatch is a state machine that does no input or output: Next returns the next
// step, the caller performs it over the network and passes the result to Observe. Only
// this package decides which attempts may be retried and which refusals may state that
// a request did not run:
//
//   - an attempt that was not sent, or that its receiver declares not run, permits a
//     retry;
//   - an attempt without a usable response permits a retry only if the service is
//     repeatable;
//   - if a host to which a request was forwarded does not respond, it is queried about
//     the attempt first. The receiver records a tombstone for an attempt that it has not
//     seen, which guarantees that the attempt never runs.
//
// # Usage
//
//	d := s.Dispatcher.Start(request, dispatcher.Origin{}, wake)
//	for {
//		step := d.Next(now())
//		switch step.Kind {
//		case dispatcher.StepDone:
//			return step.Outcome
//		case dispatcher.StepWait, dispatcher.StepWaitForDone:
//			wait(step) // until wake is called, step.Done is closed or step.Deadline
//		default:
//			d.Observe(perform(step), now())
//		}
//	}
//
// Lock order: Dispatcher.mu, then at most one lock of balancer, tracker, limiter or
// deduplicator, in which no other lock is acquired. wake is called with Dispatcher.mu
// held and must not block.
package dispatcher

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/admitter"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/deduplicator"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/tracker"
)

// Limits of one request.
const (
	// maxAttempts is the maximum number of attempts at upstreams.
	maxAttempts = 3
	// maxForwards is the maximum number of hosts to which a request is forwarded.
	maxForwards = 16
	// KeyTTL is how long a home-bound key may be used after its issue time.
	KeyTTL = 10 * time.Minute
	// keyExpiryMargin is how much longer a key or an attempt is remembered than it may be
	// used.
	keyExpiryMargin = time.Minute
	// maxClockSkew is how far in the future the issue time of a key may be.
	maxClockSkew = 5 * time.Second
	// queryBackoff times the number of earlier queries is the delay of the next query
	// about an attempt.
	queryBackoff = 100 * time.Millisecond
	// maxQueries is the maximum number of queries about attempts.
	maxQueries = 5
)

// Parameters of the queues. See admitter.Queue.
const (
	queueTarget   = 40 * time.Millisecond
	queueInterval = 2 * time.Second
	queueLimit    = 2000
)

// Dispatcher holds the state that all requests of one host share. The exported fields
// are set before the first Start.
type Dispatcher struct {
	// Self is this host.
	Self          core.Host
	Phase         func() core.Phase
	Configuration func() *core.Configuration
	// RoundTrip returns the network round-trip time to another host.
	RoundTrip   func(to core.Host) time.Duration
	Tracker     *tracker.Tracker
	Balancer    *balancer.Table
	LinkLimiter *limiter.LinkLimiter
	RetryBudget *limiter.RetryBudget
	// Keys remembers the keys whose home is this incarnation of the host.
	Keys *deduplicator.Table
	// Attempts remembers the attempts that other hosts forwarded to this incarnation
	// of the host.
	Attempts *deduplicator.Table

	sequence atomic.Uint64
	// drain is nil until StartDraining is called.
	drain  atomic.Pointer[core.DrainSchedule]
	mu     sync.Mutex
	queues map[queueKey]*admitter.Queue[*Dispatch]
	// localMembers and remoteMembers are the live members of this region and of other
	// regions, as of viewedAt.
	localMembers  []tracker.Member
	remoteMembers []tracker.Member
	viewedAt      time.Time
}

// queueKey identifies a queue. Requests of clients in other regions have their own
// queue.
type queueKey struct {
	service  core.ServiceName
	isRemote bool
}

// maxViewAge is how long the lists of live members are used before they are read again.
const maxViewAge = 50 * time.Millisecond

// newAttemptID returns an attempt id that is unique over all incarnations of all hosts.
func (r *Dispatcher) newAttemptID() core.AttemptID {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, r.Self.Name...)
	buffer = append(buffer, '.')
	buffer = strconv.AppendUint(buffer, uint64(r.Self.Incarnation), 36)
	buffer = append(buffer, '.')
	buffer = strconv.AppendUint(buffer, r.sequence.Add(1), 36)
	return core.AttemptID(buffer)
}

// queue returns a queue of a service and creates it if necessary. The caller holds mu.
func (r *Dispatcher) queue(service core.ServiceName, isRemote bool) *admitter.Queue[*Dispatch] {
	key := queueKey{service: service, isRemote: isRemote}
	q := r.queues[key]
	if q != nil {
		return q
	}
	if r.queues == nil {
		r.queues = map[queueKey]*admitter.Queue[*Dispatch]{}
	}
	q = &admitter.Queue[*Dispatch]{Target: queueTarget, Interval: queueInterval, Limit: queueLimit}
	r.queues[key] = q
	return q
}

// QueueLength returns the number of queued requests for a service.
func (r *Dispatcher) QueueLength(service core.ServiceName) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue(service, false).Len() + r.queue(service, true).Len()
}

// AssignQueued assigns free slots, of this host and of other hosts, to the queued requests for a
// service, those of this region's clients first. It must be called whenever slots may
// have become free.
func (r *Dispatcher) AssignQueued(service core.ServiceName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assignTargets(r.queue(service, false), now)
	r.assignTargets(r.queue(service, true), now)
}

// assignTargets assigns targets to the requests of one queue until there are no free
// slots. The caller holds mu.
func (r *Dispatcher) assignTargets(q *admitter.Queue[*Dispatch], now time.Time) {
	for {
		d, ok := q.Peek()
		if !ok {
			return
		}
		selected, ok := r.selectTarget(d, now)
		if !ok {
			return
		}
		if popped, _ := q.Pop(now); popped != d {
			continue
		}
		d.assigned, d.isQueued = selected, false
		d.wake()
	}
}

// AssignAllQueued calls AssignQueued for every service with queued requests.
func (r *Dispatcher) AssignAllQueued(now time.Time) {
	r.mu.Lock()
	names := make([]core.ServiceName, 0, len(r.queues))
	for k, q := range r.queues {
		if q.Len() > 0 && !slices.Contains(names, k.service) {
			names = append(names, k.service)
		}
	}
	r.mu.Unlock()
	for _, n := range names {
		r.AssignQueued(n, now)
	}
}

// AttemptStatus is the state of an attempt that was forwarded to this incarnation of the
// host.
type AttemptStatus struct {
	// Outcome is unknown, without a refusal, while the attempt is running.
	Outcome core.Outcome
	// Done is closed when a running attempt ends; nil if the attempt is not running.
	Done <-chan struct{}
}

// QueryAttempt returns the state of an attempt. It records a tombstone for an attempt that has
// not arrived, so that the attempt is refused if it arrives later.
func (r *Dispatcher) QueryAttempt(attempt core.AttemptID, now time.Time) AttemptStatus {
	entry := r.Attempts.QueryOrTombstone(string(attempt), now.Add(KeyTTL+keyExpiryMargin))
	switch entry.Status {
	case deduplicator.StatusTombstoned:
		return AttemptStatus{Outcome: core.RefusedOutcome(core.RefusalOverload, "the attempt was not run", 0)}
	case deduplicator.StatusCompleted:
		return AttemptStatus{Outcome: entry.Outcome}
	default:
		return AttemptStatus{Outcome: core.Outcome{State: core.RunUnknown}, Done: entry.Done}
	}
}
