// Package balancer counts the work of the upstreams that a host owns and picks
// the one that runs the next request.
//
// The owner's own counts and outcomes decide. What an upstream reports about
// its load lags and may mislead, so it breaks ties at most. An upstream is
// ejected after repeated failures, but never more than half of a service's
// upstreams at once, so that wrong evidence cannot empty an availability zone.
//
// # Usage
//
//	t := balancer.New(balancer.LeastExpected)
//	t.Own(upstreams, now)
//	u, ok := t.Acquire("fitchart", balancer.Demand{}, now)
//	...
//	t.Release(u.Name, balancer.Result{State: core.Answered, Duration: d}, now)
//
// Lock order: Table.mu is a leaf.
package balancer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// How an upstream's limit and standing change.
const (
	// rampStep is the time in which a limited upstream gains one slot.
	rampStep = 100 * time.Millisecond
	// failureSmoothing is the weight of an outcome in the running failure rate.
	failureSmoothing = 0.1
	// ejectAbove is the failure rate that ejects an upstream: two failures among
	// a few requests.
	ejectAbove = 0.15
	// forgiveBelow is the failure rate at which earlier ejections are forgotten.
	forgiveBelow = 0.01
	// ejectBase is the first ejection; each further one doubles it.
	ejectBase = time.Second
	// ejectMost is the longest ejection.
	ejectMost = 30 * time.Second
	// smoothing is the weight of a new service time in the running mean.
	smoothing = 0.2
	// checkedWithin is how recently an upstream must have been asked for its
	// report.
	checkedWithin = 2 * time.Second
	// certainAfter, and certainFactor times the mean service time, is how long
	// after a takeover requests of the former owner may still run.
	certainAfter  = time.Second
	certainFactor = 4
	// abandonFactor times the mean service time is how long an attempt without
	// an answer is believed to run on.
	abandonFactor = 2
	// patienceFactor times the mean service time is how long an answer is waited
	// for where another attempt is safe.
	patienceFactor = 8
	patienceLeast  = 100 * time.Millisecond
	// staleAfter is how long a service time is believed without a new one.
	staleAfter = 5 * time.Second
)

// Table holds the upstreams that this host owns, and those it gave away while
// their last requests run.
type Table struct {
	// Policy picks among free upstreams.
	Policy Policy

	mu     sync.Mutex
	states map[core.UpstreamName]*State
	byName map[core.ServiceName][]*State
	picks  uint64
}

// New returns a table with the given policy.
func New(policy Policy) *Table {
	return &Table{
		Policy: policy,
		states: map[core.UpstreamName]*State{},
		byName: map[core.ServiceName][]*State{},
	}
}

// Own replaces the set of owned upstreams. An upstream that is new to the table
// was another host's until now or is cold, so its limit starts at half of its
// slots and grows.
func (t *Table) Own(upstreams []core.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		s.owned = false
	}
	for _, u := range upstreams {
		t.own(u, now)
	}
	for _, s := range t.states {
		if !s.owned {
			s.ownedAt = time.Time{}
		}
	}
	t.index()
}

func (t *Table) own(u core.Upstream, now time.Time) {
	s := t.states[u.Name]
	if s == nil || s.Address != u.Address {
		s = &State{Upstream: u, Limit: max(1, u.Slots/2), rampedAt: now}
		t.states[u.Name] = s
	}
	if s.ownedAt.IsZero() {
		s.ownedAt = now
	}
	s.Limit = min(s.Limit, u.Slots)
	s.Upstream = u
	s.owned = true
}

// index rebuilds the lists by service and drops what is no longer needed.
func (t *Table) index() {
	clear(t.byName)
	for n, s := range t.states {
		if !s.owned && s.InFlight == 0 {
			delete(t.states, n)
			continue
		}
		if s.owned {
			t.byName[s.Service] = append(t.byName[s.Service], s)
		}
	}
	for _, list := range t.byName {
		slices.SortFunc(list, func(a, b *State) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// Acquire takes a slot of an upstream of the service.
func (t *Table) Acquire(service core.ServiceName, demand Demand, now time.Time) (core.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byName[service]
	var buffer [maxCandidates]*State
	candidates := buffer[:0]
	free := 0
	for _, s := range list {
		t.ramp(s, now)
		if !s.isUsable(now) || (demand.OnlyCertain && !s.isCertain(now)) {
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
	chosen := t.Policy.Pick(candidates, t.picks, now)
	t.picks++
	chosen.picked = t.picks
	chosen.InFlight++
	return chosen.Upstream, true
}

// maxCandidates is the number of candidates held without an allocation.
const maxCandidates = 32

// ramp grows a limited upstream by one slot a step.
func (t *Table) ramp(s *State, now time.Time) {
	s.expire(now)
	if s.Limit >= s.Slots {
		s.rampedAt = now
		return
	}
	steps := int(now.Sub(s.rampedAt) / rampStep)
	if steps <= 0 {
		return
	}
	s.Limit = min(s.Slots, s.Limit+steps)
	s.rampedAt = now
}

// SetReport takes in what an upstream says of itself.
func (t *Table) SetReport(name core.UpstreamName, load float64, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.Reported = load
		s.Leaving = leaving
		s.Checked = now
	}
}

// SetUnreported notes that an upstream gave no report. It may still be used:
// outcomes of requests decide.
func (t *Table) SetUnreported(name core.UpstreamName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.Checked = now
	}
}

// SetLeaving notes that an upstream announced with an answer that it drains.
func (t *Table) SetLeaving(name core.UpstreamName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[name]; s != nil {
		s.Leaving = true
	}
}

// SetListed takes in which upstreams the platform's list shows as leaving.
func (t *Table) SetListed(leaving map[core.UpstreamName]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, s := range t.states {
		s.Listed = leaving[n]
	}
}

// Held is the work of an upstream that this host no longer owns.
type Held struct {
	Upstream core.UpstreamName `cbor:"1,keyasint"`
	InFlight int               `cbor:"2,keyasint"`
}

// Held returns the work at upstreams that this host gave away.
func (t *Table) Held() []Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []Held
	for n, s := range t.states {
		if !s.owned && s.InFlight > 0 {
			held = append(held, Held{Upstream: n, InFlight: s.InFlight})
		}
	}
	return held
}

// SetElsewhere takes in the work of other hosts at owned upstreams.
func (t *Table) SetElsewhere(held map[core.UpstreamName]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, s := range t.states {
		s.Elsewhere = held[n]
	}
}

// Summary is what a host can take in for a service.
type Summary struct {
	Free     int
	Total    int
	InFlight int
	// Expected is the service time of the best free upstream.
	Expected time.Duration
	// Mean is the mean service time over all usable upstreams.
	Mean time.Duration
}

// Summarize returns the summary for a service.
func (t *Table) Summarize(service core.ServiceName, now time.Time) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var summary Summary
	var sum time.Duration
	usable := 0
	for _, s := range t.byName[service] {
		t.ramp(s, now)
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

// States returns a copy of all owned upstreams, by name.
func (t *Table) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]State, 0, len(t.states))
	for _, s := range t.states {
		if s.owned {
			states = append(states, *s)
		}
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// InFlight returns the number of requests at upstreams, given away ones too.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, s := range t.states {
		total += s.InFlight
	}
	return total
}
