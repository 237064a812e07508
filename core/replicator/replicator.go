// Package replicator keeps a host's copy of what the platform's store holds:
// the routing policy, the upstreams, the evacuations and the hosts.
//
// A copy only moves forward. A routing policy is replaced by one of a higher
// version, and the other parts by what the store held at a later revision,
// whoever brought it: the host's own reads, or another host that can reach the
// store when this one cannot. During an outage of the store the last copy
// holds.
//
// Registrations of upstreams may expire while the store is away, although the
// upstreams live. For a grace period after its return, upstreams that are
// missing are kept if they are many; a few that are missing have left while
// only this host could not reach the store.
//
// # Usage
//
//	r := &replicator.Replicator{OnChange: apply}
//	r.Take(replicator.Snapshot{Upstreams: &list}, now)
//	snapshot := r.Snapshot()
//
// Lock order: Replicator.mu is held while OnChange runs, so OnChange may take
// the locks of the tables that it updates but must not call back.
package replicator

import (
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// lapseGrace is how long after the store's return an upstream that is missing
// is kept; living ones register again within about two seconds.
const lapseGrace = 2 * time.Second

// lapsedPart is the part of the upstreams that must be missing to count as
// expired.
const lapsedPart = 0.2

// defaultHeartbeat is the time between two signs of life of an upstream where none
// is stated.
const defaultHeartbeat = 1500 * time.Millisecond

// Policy is a routing policy in the form that hosts pass on.
type Policy struct {
	Version  uint64               `cbor:"1,keyasint"`
	Routes   []core.Route         `cbor:"2,keyasint"`
	Services []core.ServicePolicy `cbor:"3,keyasint"`
	Limits   core.ClientLimits    `cbor:"4,keyasint"`
	// Findings are the entries that could not be read as they were meant. Only
	// the host that read the policy from the store knows them.
	Findings core.Findings `cbor:"-"`
}

// Upstreams is the list of upstreams as of a revision of the store, or what
// changed since an earlier one.
type Upstreams struct {
	Revision uint64          `cbor:"1,keyasint"`
	List     []core.Upstream `cbor:"2,keyasint"`
	// Base is 0 for a whole list. Otherwise List and Removed hold what changed
	// after that revision. A replicator's own list is whole and sorted by name.
	Base    uint64              `cbor:"3,keyasint,omitempty"`
	Removed []core.UpstreamName `cbor:"4,keyasint,omitempty"`
	// ColdFor is for how many milliseconds upstreams stay cold. Hosts pass it on
	// in place of a time, since their clocks differ.
	ColdFor map[core.UpstreamName]uint32 `cbor:"5,keyasint,omitempty"`
	// HasLapsed says that the list includes upstreams that may have expired.
	HasLapsed bool `cbor:"6,keyasint,omitempty"`
}

// Evacuations is the list of evacuated zones as of a revision of the store.
type Evacuations struct {
	Revision uint64          `cbor:"1,keyasint"`
	Zones    []core.ZoneName `cbor:"2,keyasint"`
}

// Hosts is the list of registered hosts as of a revision of the store.
type Hosts struct {
	Revision uint64      `cbor:"1,keyasint"`
	List     []core.Host `cbor:"2,keyasint"`
}

// Snapshot is a whole copy. Parts that were never read are nil.
type Snapshot struct {
	Policy      *Policy      `cbor:"1,keyasint"`
	Upstreams   *Upstreams   `cbor:"2,keyasint"`
	Evacuations *Evacuations `cbor:"3,keyasint"`
	Hosts       *Hosts       `cbor:"4,keyasint"`
}

// Revisions returns how new the parts are.
func (s Snapshot) Revisions() core.Revisions {
	var r core.Revisions
	if s.Policy != nil {
		r.Policy = s.Policy.Version
	}
	if s.Upstreams != nil {
		r.Upstreams, r.HasLapsed = s.Upstreams.Revision, s.Upstreams.HasLapsed
	}
	if s.Evacuations != nil {
		r.Evacuations = s.Evacuations.Revision
	}
	if s.Hosts != nil {
		r.Hosts = s.Hosts.Revision
	}
	return r
}

// IsComplete reports whether requests can be served by the copy.
func (s Snapshot) IsComplete() bool {
	return s.Policy != nil && s.Upstreams != nil && s.Evacuations != nil
}

// Replicator keeps one host's copy.
type Replicator struct {
	// OnChange is told of each new state, with the parts that changed set in
	// the second argument.
	OnChange func(now time.Time, current, changed Snapshot)
	// Heartbeat is the time between two signs of life of an upstream; 0 means the
	// default. Without an answer of the store for that long, registrations may have
	// expired; shorter gaps are ordinary.
	Heartbeat time.Duration

	mu         sync.Mutex
	current    Snapshot
	changes    changeLog
	missing    map[core.UpstreamName]core.Upstream
	lastAnswer time.Time
	graceUntil time.Time
}

// Snapshot returns the copy.
func (r *Replicator) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Answered states that the store gave an answer. After an outage it begins the
// grace period.
func (r *Replicator) Answered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastAnswer.IsZero() && now.Sub(r.lastAnswer) > r.heartbeat() {
		r.graceUntil = now.Add(lapseGrace)
	}
	r.lastAnswer = now
}

func (r *Replicator) heartbeat() time.Duration {
	if r.Heartbeat <= 0 {
		return defaultHeartbeat
	}
	return r.Heartbeat
}

// Failed states that a call to the store failed although it was made in time,
// so the store is away for this host.
func (r *Replicator) Failed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.graceUntil = later(r.graceUntil, now.Add(lapseGrace))
}

// Take merges parts that are newer than the copy.
func (r *Replicator) Take(update Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed Snapshot
	held := r.current.Revisions()
	if update.Policy != nil && update.Policy.Version > held.Policy {
		r.current.Policy, changed.Policy = update.Policy, update.Policy
	}
	if u := update.Upstreams; u != nil && (r.current.Upstreams == nil || held.HasOlderUpstreams(update.Revisions())) {
		if whole, ok := u.applyTo(r.listed(), now); ok {
			r.setUpstreams(r.keepMissing(whole, now))
			changed.Upstreams = r.current.Upstreams
		}
	}
	if e := update.Evacuations; e != nil && (r.current.Evacuations == nil || e.Revision > r.current.Evacuations.Revision) {
		r.current.Evacuations, changed.Evacuations = e, e
	}
	if h := update.Hosts; h != nil && (r.current.Hosts == nil || h.Revision > r.current.Hosts.Revision) {
		r.current.Hosts, changed.Hosts = h, h
	}
	r.tell(changed, now)
}

// listed returns the copy's upstreams without those that may have expired.
func (r *Replicator) listed() *Upstreams {
	current := r.current.Upstreams
	if len(r.missing) == 0 {
		return current
	}
	listed := &Upstreams{Revision: current.Revision}
	for _, u := range current.List {
		if _, isMissing := r.missing[u.Name]; !isMissing {
			listed.List = append(listed.List, u)
		}
	}
	return listed
}

// setUpstreams replaces the list and remembers what changed.
func (r *Replicator) setUpstreams(next *Upstreams) {
	r.changes.note(r.current.Upstreams, next)
	r.current.Upstreams = next
}

func (r *Replicator) tell(changed Snapshot, now time.Time) {
	if changed == (Snapshot{}) || r.OnChange == nil {
		return
	}
	r.OnChange(now, r.current, changed)
}

// keepMissing adds to the list the upstreams that may only have expired.
func (r *Replicator) keepMissing(update *Upstreams, now time.Time) *Upstreams {
	r.missing = r.lapsed(update, now)
	if len(r.missing) == 0 {
		return update
	}
	kept := &Upstreams{Revision: update.Revision, HasLapsed: true, List: slices.Clone(update.List)}
	for _, u := range r.missing {
		kept.List = append(kept.List, u)
	}
	sortByName(kept.List)
	return kept
}

// lapsed returns the upstreams that may have expired during an outage.
func (r *Replicator) lapsed(update *Upstreams, now time.Time) map[core.UpstreamName]core.Upstream {
	if r.current.Upstreams == nil || !now.Before(r.graceUntil) {
		return nil
	}
	listed := make(map[core.UpstreamName]bool, len(update.List))
	for _, u := range update.List {
		listed[u.Name] = true
	}
	missing := map[core.UpstreamName]core.Upstream{}
	for _, u := range r.current.Upstreams.List {
		if !listed[u.Name] && !u.Draining {
			missing[u.Name] = u
		}
	}
	if float64(len(missing)) < lapsedPart*float64(len(r.current.Upstreams.List)) {
		return nil
	}
	return missing
}

// Expire drops the upstreams that are still missing after the grace period.
func (r *Replicator) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 || now.Before(r.graceUntil) {
		return
	}
	next := r.listed()
	r.missing = nil
	r.setUpstreams(next)
	r.tell(Snapshot{Upstreams: next}, now)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
