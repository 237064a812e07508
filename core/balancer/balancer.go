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
//	t := balancer.New(balancer.LeastServiceTime)
//	t.SetOwned(upstreams, now)
//	t.RecordHealthCheck("desk-1", 0.2, false, now) // for each upstream, after a health check
//	u, ok := t.Acquire("fitchart", balancer.AcquireOptions{}, now)
//	...
//	t.Release(u.Name, balancer.Result{RunState: core.Answered, ServiceTime: d}, now)
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
	states    map[core.UpstreamName]*UpstreamState
	byService map[core.ServiceName][]*UpstreamState
	// pickCount is the number of upstreams picked so far.
	pickCount uint64
}

// New returns an empty table with the given policy.
func New(policy Policy) *Table {
	return &Table{
		Policy:    policy,
		states:    map[core.UpstreamName]*UpstreamState{},
		byService: map[core.ServiceName][]*UpstreamState{},
	}
}

// SetOwned replaces the set of owned upstreams. An upstream that is new to the table either
// had another owner until now or is cold, so its concurrency limit starts at half of
// its slots and is raised over time.
func (t *Table) SetOwned(upstreams []core.Upstream, now time.Time) {
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
		s = &UpstreamState{Upstream: u, ConcurrencyLimit: max(1, u.Slots/2), limitRaisedAt: now}
		t.states[u.Name] = s
	}
	if s.ownedSince.IsZero() {
		s.ownedSince = now
	}
	s.ConcurrencyLimit = min(s.ConcurrencyLimit, u.Slots)
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
		slices.SortFunc(list, func(a, b *UpstreamState) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// Acquire selects an upstream of the service and takes one of its slots. Release
// returns the slot.
func (t *Table) Acquire(service core.ServiceName, demand AcquireOptions, now time.Time) (core.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byService[service]
	var buffer [maxCandidates]*UpstreamState
	candidates := buffer[:0]
	free := 0
	for _, s := range list {
		t.raiseLimit(s, now)
		if !s.isUsable(now) || (demand.RequireExactCount && !s.isCountExact(now)) {
			continue
		}
		free += s.FreeSlots()
		if s.FreeSlots() > 0 && !slices.Contains(demand.Exclude, s.Name) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 || free <= demand.ReservedSlots {
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
func (t *Table) raiseLimit(s *UpstreamState, now time.Time) {
	s.expireAbandoned(now)
	if s.ConcurrencyLimit >= s.Slots {
		s.limitRaisedAt = now
		return
	}
	steps := int(now.Sub(s.limitRaisedAt) / rampInterval)
	if steps <= 0 {
		return
	}
	s.ConcurrencyLimit = min(s.Slots, s.ConcurrencyLimit+steps)
	s.limitRaisedAt = now
}

// RecordHealthCheck records a successful health check: the load that the upstream reports and
// whether it is draining.
func (t *Table) RecordHealthCheck(name core.UpstreamName, load float64, isDraining bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.ReportedLoad = load
		s.ReportedDraining = isDraining
		s.CheckedAt = now
	}
}

// RecordFailedHealthCheck records a failed health check. The upstream stays usable, because only
// the outcomes of requests determine whether it is ejected.
func (t *Table) RecordFailedHealthCheck(name core.UpstreamName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.CheckedAt = now
	}
}

// SetDraining records that an upstream announced in a response that it is draining.
func (t *Table) SetDraining(name core.UpstreamName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.ReportedDraining = true
	}
}

// SetListedDraining sets which upstreams the platform's list shows as draining.
func (t *Table) SetListedDraining(draining map[core.UpstreamName]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, s := range t.states {
		s.ListedDraining = draining[n]
	}
}

// FormerUpstream is the number of requests that a host has in flight at an upstream that it no
// longer owns.
type FormerUpstream struct {
	Upstream core.UpstreamName `cbor:"1,keyasint"`
	InFlight int               `cbor:"2,keyasint"`
}

// FormerInFlight returns the requests in flight at upstreams that this host no longer owns.
func (t *Table) FormerInFlight() []FormerUpstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []FormerUpstream
	for n, s := range t.states {
		if !s.isOwned && s.InFlight > 0 {
			held = append(held, FormerUpstream{Upstream: n, InFlight: s.InFlight})
		}
	}
	return held
}

// SetInFlightElsewhere sets the number of requests that other hosts have in flight at upstreams
// of this host.
func (t *Table) SetInFlightElsewhere(inFlight map[core.UpstreamName]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, s := range t.states {
		s.InFlightElsewhere = inFlight[n]
	}
}

// Capacity is the capacity of a host's upstreams for a service.
type Capacity struct {
	// FreeSlots is the number of free slots at usable upstreams.
	FreeSlots int
	// TotalSlots is the number of slots at usable upstreams.
	TotalSlots int
	// InFlight is the number of requests in flight at all owned upstreams.
	InFlight int
	// BestServiceTime is the lowest mean service time of the usable upstreams with a free
	// slot; 0 where none is known.
	BestServiceTime time.Duration
	// MeanServiceTime is the average of the mean service times of the usable upstreams.
	MeanServiceTime time.Duration
}

// Capacity returns the capacity for a service.
func (t *Table) Capacity(service core.ServiceName, now time.Time) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var summary Capacity
	var sum time.Duration
	usable := 0
	for _, s := range t.byService[service] {
		t.raiseLimit(s, now)
		summary.InFlight += s.InFlight
		if !s.isUsable(now) {
			continue
		}
		usable++
		sum += s.MeanServiceTime
		summary.TotalSlots += s.Slots
		summary.FreeSlots += s.FreeSlots()
		if s.FreeSlots() > 0 && (summary.BestServiceTime == 0 || s.MeanServiceTime < summary.BestServiceTime) {
			summary.BestServiceTime = s.MeanServiceTime
		}
	}
	summary.MeanServiceTime = sum / time.Duration(max(1, usable))
	return summary
}

// UpstreamStates returns copies of the states of all owned upstreams, sorted by name.
func (t *Table) UpstreamStates() []UpstreamState {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]UpstreamState, 0, len(t.states))
	for _, s := range t.states {
		if s.isOwned {
			states = append(states, *s)
		}
	}
	slices.SortFunc(states, func(a, b UpstreamState) int { return cmp.Compare(a.Name, b.Name) })
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
