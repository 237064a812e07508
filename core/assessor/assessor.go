// Package assessor decides whether a request is worth sending to the upstream that was selected
// for it, or should be refused at once.
//
// A request that cannot be answered before its deadline is refused. One that would queue for
// longer than a multiple of its target latency is refused too, since it would also delay requests
// that can still meet theirs. The multiple depends on the load:
//
//   - While there is almost room for all, it is large. A late response is better for a client
//     than a refusal, and queues end soon.
//   - While more is asked than fits, the queues of all upstreams stand at whatever length is
//     allowed, and every response is late by that. Where organisations compete for the room, the
//     multiple is then small, so that those requests that are sent are answered in time. The
//     number of them stays the same.
//
// Queues stand if no request has found a short one for some time. The requests of a priority and all
// more urgent ones count for that, so a request is refused for less urgent ones only where these are
// refused already.
//
// # Usage
//
//	a := &assessor.Assessor{}
//	if a.Accepts(request, expectation, now) { /* send */ }
package assessor

import (
	"math"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// longestQueue is the longest acceptable time until an upstream starts a request, as a
	// multiple of the target latency, and shortestQueue that while more is asked than fits. The
	// latter leaves time for the execution. Requests that are more urgent than others may queue for
	// up to urgentQueue then, since the others fill the queue up to shortestQueue.
	longestQueue  = 1.5
	shortestQueue = 0.35
	urgentQueue   = 0.7
	// standingTime is how long no request must have found a queue of at most urgentQueue until
	// queues count as standing. They do until the refused share falls below endRefusedShare.
	standingTime    = time.Second
	endRefusedShare = 0.05
	// memory is the time constant with which earlier requests are forgotten.
	memory = time.Second
	// minRequests is the number of remembered requests below which the share counts as 0.
	minRequests = 4
)

// Request is what is known of a request that may be sent.
type Request struct {
	Service  core.ServiceName
	Priority core.Priority
	// TargetLatency is the response time that the operator aims for; 0 means no target.
	TargetLatency time.Duration
	// Left is the time until the deadline.
	Left time.Duration
	// IsContended says that organisations compete for the upstreams. Only then is the acceptable
	// queue shortened.
	IsContended bool
	// IsFirst says that this is the first attempt. After a rejection by an upstream the request is
	// late in any case, so only its deadline counts.
	IsFirst bool
}

// Expectation is the expected delay until an upstream starts a request.
type Expectation struct {
	RoundTrip, QueueTime time.Duration
}

// Assessor decides for one host.
//
// Lock order: Assessor.mu is a leaf.
type Assessor struct {
	mu       sync.Mutex
	services map[core.ServiceName]map[core.Priority]*counts
}

// Accepts reports whether the request should be sent, and counts it if this is its first attempt.
func (a *Assessor) Accepts(r Request, e Expectation, now time.Time) bool {
	delay := e.RoundTrip + e.QueueTime
	if !r.IsFirst {
		return delay <= r.Left
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.countsOf(r.Service, r.Priority)
	isShort := delay <= time.Duration(urgentQueue*float64(r.TargetLatency))
	share := a.refusedShare(r.Service, r.Priority, now)
	c.updateStanding(isShort, share, now)
	shortest := shortestQueue
	if a.hasLessUrgent(r.Service, r.Priority, now) {
		shortest = urgentQueue
	}
	multiple := longestQueue
	if c.isStanding && r.IsContended {
		multiple = shortest
	}
	isAccepted := delay <= r.Left
	if r.TargetLatency > 0 && delay > time.Duration(multiple*float64(r.TargetLatency)) {
		isAccepted = false
	}
	c.add(!isAccepted, now)
	return isAccepted
}

// RefusedShare returns the share of the requests of the priority and of more urgent ones that was
// refused lately.
func (a *Assessor) RefusedShare(service core.ServiceName, priority core.Priority, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusedShare(service, priority, now)
}

// refusedShare is RefusedShare for a caller that holds Assessor.mu.
func (a *Assessor) refusedShare(service core.ServiceName, priority core.Priority, now time.Time) float64 {
	var all, refused float64
	for p, c := range a.services[service] {
		if p <= priority { // 0 is the most urgent.
			c.forget(now)
			all += c.all
			refused += c.refused
		}
	}
	if all < minRequests {
		return 0
	}
	return refused / all
}

// countsOf returns the counts of a priority. The caller holds Assessor.mu.
func (a *Assessor) countsOf(service core.ServiceName, priority core.Priority) *counts {
	if a.services == nil {
		a.services = map[core.ServiceName]map[core.Priority]*counts{}
	}
	if a.services[service] == nil {
		a.services[service] = map[core.Priority]*counts{}
	}
	c := a.services[service][priority]
	if c == nil {
		c = &counts{}
		a.services[service][priority] = c
	}
	return c
}

// hasLessUrgent reports whether there were less urgent requests lately. The caller holds
// Assessor.mu.
func (a *Assessor) hasLessUrgent(service core.ServiceName, priority core.Priority, now time.Time) bool {
	for p, c := range a.services[service] {
		if c.forget(now); p > priority && c.all >= minRequests {
			return true
		}
	}
	return false
}

// counts counts requests with exponential decay.
type counts struct {
	all, refused float64
	updatedAt    time.Time
	// askedAt is when the last request came. shortAt is when one found a short queue last, or when
	// the first one came after a time without requests.
	askedAt, shortAt time.Time
	isStanding       bool
}

// updateStanding records whether a request finds a short queue.
func (c *counts) updateStanding(isShort bool, refusedShare float64, now time.Time) {
	if isShort || now.Sub(c.askedAt) >= standingTime {
		c.shortAt = now
	}
	c.askedAt = now
	if now.Sub(c.shortAt) >= standingTime {
		c.isStanding = true
	} else if refusedShare < endRefusedShare {
		c.isStanding = false
	}
}

func (c *counts) forget(now time.Time) {
	if elapsed := now.Sub(c.updatedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / memory.Seconds())
		c.all *= keep
		c.refused *= keep
		c.updatedAt = now
	}
}

func (c *counts) add(isRefused bool, now time.Time) {
	c.forget(now)
	c.all++
	if isRefused {
		c.refused++
	}
}
