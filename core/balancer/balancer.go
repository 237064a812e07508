// Package balancer counts the requests in flight at the upstreams that a host owns and
// selects the upstream for the next request.
//
// At any time one host owns an upstream, so the host's own counts and the outcomes of
// its requests determine the selection. The load that an upstream reports is delayed
// and may be misleading, so it only breaks ties. An upstream is ejected after repeated
// failures, but at most half of a service's upstreams are ejected at the same time, so
// that misleading failures cannot leave an availability zone without upstreams.
//
// # Usage
//
//	t := balancer.New(balancer.LeastExpected)
//	t.Own(upstreams, now)
//	t.SetReport("desk-1", 0.2, false, now) // for each upstream, after a health check
//	u, ok := t.Acquire("fitchart", balancer.Demand{}, now)
//	...
//	t.Release(u.Name, balancer.Result{State: core.Answered, Duration: d}, now)
//
// Acquire returns only upstreams whose last health check is recent.
//
// Lock order: no other lock is acquired while Table.mu is held.
package balancer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Parameters of concurrency limits, ejection and service times.
const (
	// rampInterval is the time after which a concurrency limit below the number of
	// slots is raised by one.
	rampInterval = 100 * time.Millisecond
	// failureRateWeight is the weight of a new outcome in the moving average of the
	// failure rate.
	failureRateWeight = 0.1
	// ejectionFailureRate is the failure rate from which an upstream is ejected. Two
	// failures among a few requests reach it.
	ejectionFailureRate = 0.15
	// ejectionResetRate is the failure rate below which the number of earlier
	// ejections is reset.
	ejectionResetRate = 0.01
	// baseEjectionTime is the duration of the first ejection. Each further ejection
	// lasts twice as long.
	baseEjectionTime = time.Second
	// maxEjectionTime is the maximum duration of an ejection.
	maxEjectionTime = 30 * time.Second
	// serviceTimeWeight is the weight of a new service time in the moving average.
	serviceTimeWeight = 0.2
	// maxCheckAge is the maximum age of the last health check of a usable upstream.
	maxCheckAge = 2 * time.Second
	// Requests of the previous owner may still run at an upstream for takeoverTime
	// plus takeoverFactor times the mean service time after its owner changed.
	takeoverTime   = time.Second
	takeoverFactor = 4
	// abandonFactor times the mean service time is how long an attempt without a
	// response is assumed to keep running.
	abandonFactor = 2
	// attemptTimeoutFactor times the mean service time, but at least
	// minAttemptTimeout, is how long to wait for a response where a retry is safe.
	attemptTimeoutFactor = 8
	minAttemptTimeout    = 100 * time.Millisecond
	// maxMeasurementAge is how long a mean service time is used without a new
	// measurement.
	maxMeasurementAge = 5 * time.Second
)

// Table holds the upstreams that this host owns, and those that it no longer owns until
// its requests there have ended.
type Table struct {
	// Policy selects among the upstreams with free slots.
	Policy Policy

	mu        sync.Mutex
	states    map[core.UpstreamName]*State
	byService map[core.ServiceName][]*State
	// pickCount is the number of upstreams picked so far.
	pickCount uint64
}

// New returns an empty table with the given policy.
func New(policy Policy) *Table {
	return &Table{
		Policy:    policy,
		states:    map[core.UpstreamName]*State{},
		byService: map[core.ServiceName][]*State{},
	}
}

// Own replaces the set of owned upstreams. An upstream that is new to the table either
// had another owner until now or is cold, so its concurrency limit starts at half of
// its slots and is raised over time.
func (t *Table) Own(upstreams []core.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		s.isOwned = false
	}
	for _, u := range upstreams {
		t.addOwned(u, now)
	}
	for _, s := range t.states {
		if !s.isOwned {
			s.ownedSince = time.Time{}
		}
	}
	t.rebuildIndex()
}

// addOwned adds an owned upstream or updates its definition. The caller holds mu.
func (t *Table) addOwned(u core.Upstream, now time.Time) {
	s := t.states[u.Name]
	if s == nil || s.Address != u.Address {
		s = &State{Upstream: u, Limit: max(1, u.Slots/2), limitRaisedAt: now}
		t.states[u.Name] = s
	}
	if s.ownedSince.IsZero() {
		s.ownedSince = now
	}
	s.Limit = min(s.Limit, u.Slots)
	s.Upstream = u
	s.isOwned = true
}

// rebuildIndex rebuilds the lists of owned upstreams by service, and removes upstreams
// that are not owned and have no requests in flight. The caller holds mu.
func (t *Table) rebuildIndex() {
	clear(t.byService)
	for n, s := range t.states {
		if !s.isOwned && s.InFlight == 0 {
			delete(t.states, n)
			continue
		}
		if s.isOwned {
			t.byService[s.Service] = append(t.byService[s.Service], s)
		}
	}
	for _, list := range t.byService {
		slices.SortFunc(list, func(a, b *State) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// Acquire selects an upstream of the service and takes one of its slots. Release
// returns the slot.
func (t *Table) Acquire(service core.ServiceName, demand Demand, now time.Time) (core.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byService[service]
	var buffer [maxCandidates]*State
	candidates := buffer[:0]
	free := 0
	for _, s := range list {
		t.raiseLimit(s, now)
		if !s.isUsable(now) || (demand.OnlyCertain && !s.isCountExact(now)) {
			continue
		}
		free += s.Free()
		if s.Free() > 0 && !slices.Contains(demand.Exclude, s.Name) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 || free <= demand.Reserve {
		return core.Upstream{}, false
	}
	picked := t.Policy.Pick(candidates, t.pickCount, now)
	t.pickCount++
	picked.lastPick = t.pickCount
	picked.InFlight++
	return picked.Upstream, true
}

// maxCandidates is the number of candidates that fit without a heap allocation.
const maxCandidates = 32

// raiseLimit raises a concurrency limit below the number of slots by one for each
// rampInterval. The caller holds mu.
func (t *Table) raiseLimit(s *State, now time.Time) {
	s.expireAbandoned(now)
	if s.Limit >= s.Slots {
		s.limitRaisedAt = now
		return
	}
	steps := int(now.Sub(s.limitRaisedAt) / rampInterval)
	if steps <= 0 {
		return
	}
	s.Limit = min(s.Slots, s.Limit+steps)
	s.limitRaisedAt = now
}

// SetReport records a successful health check: the load that the upstream reports and
// whether it is draining.
func (t *Table) SetReport(name core.UpstreamName, load float64, isDraining bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.Reported = load
		s.Leaving = isDraining
		s.Checked = now
	}
}

// SetUnreported records a failed health check. The upstream stays usable, because only
// the outcomes of requests determine whether it is ejected.
func (t *Table) SetUnreported(name core.UpstreamName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.Checked = now
	}
}

// SetLeaving records that an upstream announced in a response that it is draining.
func (t *Table) SetLeaving(name core.UpstreamName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.Leaving = true
	}
}

// SetListed sets which upstreams the platform's list shows as draining.
func (t *Table) SetListed(draining map[core.UpstreamName]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, s := range t.states {
		s.Listed = draining[n]
	}
}

// Held is the number of requests that a host has in flight at an upstream that it no
// longer owns.
type Held struct {
	Upstream core.UpstreamName `cbor:"1,keyasint"`
	InFlight int               `cbor:"2,keyasint"`
}

// Held returns the requests in flight at upstreams that this host no longer owns.
func (t *Table) Held() []Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []Held
	for n, s := range t.states {
		if !s.isOwned && s.InFlight > 0 {
			held = append(held, Held{Upstream: n, InFlight: s.InFlight})
		}
	}
	return held
}

// SetElsewhere sets the number of requests that other hosts have in flight at upstreams
// of this host.
func (t *Table) SetElsewhere(inFlight map[core.UpstreamName]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, s := range t.states {
		s.Elsewhere = inFlight[n]
	}
}

// Summary is the capacity of a host's upstreams for a service.
type Summary struct {
	// Free is the number of free slots at usable upstreams.
	Free int
	// Total is the number of slots at usable upstreams.
	Total int
	// InFlight is the number of requests in flight at all owned upstreams.
	InFlight int
	// Expected is the lowest mean service time of the usable upstreams with a free
	// slot; 0 where none is known.
	Expected time.Duration
	// Mean is the average of the mean service times of the usable upstreams.
	Mean time.Duration
}

// Summarize returns the capacity for a service.
func (t *Table) Summarize(service core.ServiceName, now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var summary Summary
	var sum time.Duration
	usable := 0
	for _, s := range t.byService[service] {
		t.raiseLimit(s, now)
		summary.InFlight += s.InFlight
		if !s.isUsable(now) {
			continue
		}
		usable++
		sum += s.Mean
		summary.Total += s.Slots
		summary.Free += s.Free()
		if s.Free() > 0 && (summary.Expected == 0 || s.Mean < summary.Expected) {
			summary.Expected = s.Mean
		}
	}
	summary.Mean = sum / time.Duration(max(1, usable))
	return summary
}

// States returns copies of the states of all owned upstreams, sorted by name.
func (t *Table) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]State, 0, len(t.states))
	for _, s := range t.states {
		if s.isOwned {
			states = append(states, *s)
		}
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// InFlight returns the number of requests that this host has in flight at upstreams,
// including those that it no longer owns.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, s := range t.states {
		total += s.InFlight
	}
	return total
}
