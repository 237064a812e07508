// Package dispatcher takes a request from its arrival to its outcome.
//
// A Dispatch is a state machine without input or output: Next says what to do
// now, the caller does it over the network and tells the result by Observe.
// Which attempts may be repeated, and which refusals may say that a request
// was not run, is decided here and nowhere else:
//
//   - an attempt that was never sent, or that its receiver declares not run,
//     permits another attempt;
//   - an attempt without a usable answer permits another one only if the
//     service is repeatable;
//   - a handed-over attempt without an answer is asked for first; the receiver
//     buries an id that it has not seen and thereby proves that it never runs.
//
// # Usage
//
//	d := dispatcher.Start(request, dispatcher.Origin{}, wake, now)
//	for {
//		step := d.Next(now())
//		if step.Kind == dispatcher.StepDone {
//			return step.Outcome
//		}
//		d.Observe(perform(step), now())
//	}
//
// Lock order: Dispatcher.mu, then any one lock of balancer, tracker, limiter
// or deduplicator, which are leaves. Wake is called with Dispatcher.mu held
// and must not block.
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

// Bounds of a request's course.
const (
	// maxAttempts is the most attempts at upstreams for one request.
	maxAttempts = 3
	// maxForwards is the most hosts that are asked to run one request.
	maxForwards = 16
	// KeyLife is how long a home-bound key may be used after its minting.
	KeyLife = 10 * time.Minute
	// keyMargin is how much longer a key is remembered.
	keyMargin = time.Minute
	// futureLimit is how far in the future a minting second may lie.
	futureLimit = 5 * time.Second
	// askPause is the wait between two questions for the same attempt.
	askPause = 100 * time.Millisecond
	// maxAsks is the most questions for the same attempt.
	maxAsks = 5
)

// Bounds of waiting for a slot.
const (
	queueTarget   = 40 * time.Millisecond
	queueInterval = 2 * time.Second
	queueLimit    = 2000
)

// Dispatcher holds what the requests of one host share. The exported fields
// are set before the first Start.
type Dispatcher struct {
	Self          core.Host
	Phase         func() core.Phase
	Configuration func() *core.Configuration
	// RoundTrip is the time to another host and back.
	RoundTrip func(to core.Host) time.Duration
	Tracker   *tracker.Tracker
	Balancer  *balancer.Table
	Links     *limiter.Links
	Budget    *limiter.Budget
	// Keys remembers the keys whose home is this life.
	Keys *deduplicator.Table
	// Attempts remembers what other hosts handed over to this life.
	Attempts *deduplicator.Table

	sequence atomic.Uint64
	mu       sync.Mutex
	queues   map[queueKey]*admitter.Queue[*Dispatch]
	// near and far are the live members of this region and of the others.
	near   []tracker.Member
	far    []tracker.Member
	viewed time.Time
}

// queueKey names a queue: requests of clients of other regions wait apart.
type queueKey struct {
	service   core.ServiceName
	isForeign bool
}

// viewAge is how long a sorted membership view is used.
const viewAge = 50 * time.Millisecond

// nextAttempt returns an attempt id that no other life uses.
func (r *Dispatcher) nextAttempt() core.AttemptID {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, r.Self.Name...)
	buffer = append(buffer, '.')
	buffer = strconv.AppendUint(buffer, uint64(r.Self.Incarnation), 36)
	buffer = append(buffer, '.')
	buffer = strconv.AppendUint(buffer, r.sequence.Add(1), 36)
	return core.AttemptID(buffer)
}

// queue returns the queue of a service. The caller holds mu.
func (r *Dispatcher) queue(service core.ServiceName, isForeign bool) *admitter.Queue[*Dispatch] {
	key := queueKey{service: service, isForeign: isForeign}
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

// Waiting returns the number of requests that wait for a slot of a service.
func (r *Dispatcher) Waiting(service core.ServiceName) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue(service, false).Len() + r.queue(service, true).Len()
}

// Pump grants free slots, here and at other hosts, to requests that wait, those
// of this region's clients first. Call it whenever slots may have become free.
func (r *Dispatcher) Pump(service core.ServiceName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pump(r.queue(service, false), now)
	r.pump(r.queue(service, true), now)
}

// pump grants free slots to the requests of one queue. The caller holds mu.
func (r *Dispatcher) pump(q *admitter.Queue[*Dispatch], now time.Time) {
	for {
		d, ok := q.Peek()
		if !ok {
			return
		}
		g, ok := r.choose(d, now)
		if !ok {
			return
		}
		if popped, _ := q.Pop(now); popped != d {
			continue
		}
		d.granted, d.isQueued = g, false
		d.wake()
	}
}

// PumpAll does Pump for every service.
func (r *Dispatcher) PumpAll(now time.Time) {
	r.mu.Lock()
	names := make([]core.ServiceName, 0, len(r.queues))
	for k, q := range r.queues {
		if q.Len() > 0 && !slices.Contains(names, k.service) {
			names = append(names, k.service)
		}
	}
	r.mu.Unlock()
	for _, n := range names {
		r.Pump(n, now)
	}
}

// AskResult is what is known of an attempt that was handed over to this life.
type AskResult struct {
	// Outcome is unknown without a refusal while the attempt runs.
	Outcome core.Outcome
	// Done closes at the end of an attempt that runs; nil otherwise.
	Done <-chan struct{}
}

// Ask tells what became of an attempt. One that never arrived is buried: if it
// arrives later, it is refused.
func (r *Dispatcher) Ask(attempt core.AttemptID, now time.Time) AskResult {
	entry := r.Attempts.Query(string(attempt), now.Add(KeyLife+keyMargin))
	switch entry.Verdict {
	case deduplicator.Buried:
		return AskResult{Outcome: core.Refuse(core.RefusalOverload, "the attempt was not run", 0)}
	case deduplicator.Replay:
		return AskResult{Outcome: entry.Outcome}
	default:
		return AskResult{Outcome: core.Outcome{State: core.RunUnknown}, Done: entry.Done}
	}
}
