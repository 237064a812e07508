// Package replicator keeps a host's copy of the contents of the platform's store:
// the routing policy, the upstreams, the evacuated zones and the hosts.
//
// No part of a copy is ever replaced by an older one. A routing policy is replaced only
// by one of a higher version, and each other part only by its state at a later revision
// of the store.
// It does not matter where the newer state comes from: from the host's own reads,
// or from another host that reaches the store while this one does not. During an
// outage of the store the host goes on with its last copy.
//
// Registrations of upstreams may expire during an outage of the store although the
// upstreams are live. The host therefore compares its copy with the store for a grace
// period after the outage. An outage is a time without any response of the store, probes
// included, in which upstreams could have missed enough heartbeats; a store that has
// nothing to tell, or a single call that fails, is none. If many upstreams are missing
// from the store, their registrations probably expired, and the copy retains them until
// the grace period ends. If only a few are missing, they left while only this host could
// not reach the store, and are removed.
//
// # Usage
//
//	r := &replicator.Replicator{OnChange: apply}
//	r.ApplyUpdate(replicator.Snapshot{Upstreams: &list}, now)
//	snapshot := r.Snapshot()
//
// Lock order: Replicator.mu is held while OnChange runs, so OnChange may take
// the locks of the tables that it updates but must not call the Replicator.
package replicator

import (
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// expiryGrace is the time after an outage of the store for which a missing upstream
// is retained. Live upstreams register again within about two seconds.
const expiryGrace = 2 * time.Second

// minExpiredFraction is the fraction of the upstreams that must be missing for them
// to count as expired rather than as having left.
const minExpiredFraction = 0.2

// missedHeartbeats is the number of heartbeats that upstreams must miss before their
// registrations expire. The third one is late too if the store responds again just
// before it is due.
const missedHeartbeats = 2

// maxQuietTime is the longest time between two responses of a store that is available: a
// host probes the store at least every 1.5 s and waits as long for the response.
const maxQuietTime = 3 * time.Second

// defaultHeartbeat is the time between two heartbeats of an upstream where none is
// stated.
const defaultHeartbeat = 1500 * time.Millisecond

// Policy is a core.RoutingPolicy in the form in which hosts exchange it, without its index.
type Policy struct {
	Version  uint64               `cbor:"1,keyasint"`
	Routes   []core.Route         `cbor:"2,keyasint"`
	Services []core.ServicePolicy `cbor:"3,keyasint"`
	Limits   core.ClientLimits    `cbor:"4,keyasint"`
	// Findings are the problems of invalid entries. Only the host that read the policy
	// from the store knows them.
	Findings core.Findings `cbor:"-"`
}

// Upstreams is the list of upstreams at a revision of the store, or the delta from
// an earlier revision.
type Upstreams struct {
	Revision uint64          `cbor:"1,keyasint"`
	List     []core.Upstream `cbor:"2,keyasint"`
	// BaseRevision is 0 for a full list. Otherwise List and Removed are the delta from that
	// revision. The list that a Replicator holds is full and sorted by name.
	BaseRevision uint64              `cbor:"3,keyasint,omitempty"`
	Removed      []core.UpstreamName `cbor:"4,keyasint,omitempty"`
	// RemainingWarmUps holds the remaining warm-up time, in milliseconds, of each cold upstream.
	// Hosts exchange it in place of a time, since their clocks differ.
	RemainingWarmUps map[core.UpstreamName]uint32 `cbor:"5,keyasint,omitempty"`
	// MayIncludeExpired says that the list includes upstreams whose registrations may have
	// expired.
	MayIncludeExpired bool `cbor:"6,keyasint,omitempty"`
}

// Evacuations is the list of evacuated zones at a revision of the store. The upstreams of
// an evacuated zone get no requests.
type Evacuations struct {
	Revision uint64          `cbor:"1,keyasint"`
	Zones    []core.ZoneName `cbor:"2,keyasint"`
}

// Hosts is the list of registered hosts at a revision of the store.
type Hosts struct {
	Revision uint64      `cbor:"1,keyasint"`
	List     []core.Host `cbor:"2,keyasint"`
}

// Snapshot holds parts of the copy. In the current copy, parts that were never read are
// nil. In an update or a set of changes, parts that it does not include are nil, and
// Upstreams may be a delta.
type Snapshot struct {
	Policy      *Policy      `cbor:"1,keyasint"`
	Upstreams   *Upstreams   `cbor:"2,keyasint"`
	Evacuations *Evacuations `cbor:"3,keyasint"`
	Hosts       *Hosts       `cbor:"4,keyasint"`
	// Era is the era of the store to which the revisions of Upstreams, Evacuations and Hosts
	// belong.
	Era core.Era `cbor:"5,keyasint,omitempty"`
}

// Revisions returns the revisions of the parts.
func (s Snapshot) Revisions() core.Revisions {
	var r core.Revisions
	if s.Policy != nil {
		r.Policy = s.Policy.Version
	}
	if s.Upstreams != nil {
		r.Upstreams, r.MayIncludeExpired = s.Upstreams.Revision, s.Upstreams.MayIncludeExpired
	}
	if s.Evacuations != nil {
		r.Evacuations = s.Evacuations.Revision
	}
	if s.Hosts != nil {
		r.Hosts = s.Hosts.Revision
	}
	return r
}

// IsComplete reports whether the snapshot has all parts that are needed to serve
// requests: Policy, Upstreams and Evacuations.
func (s Snapshot) IsComplete() bool {
	return s.Policy != nil && s.Upstreams != nil && s.Evacuations != nil
}

// Replicator keeps one host's copy of the store.
type Replicator struct {
	// OnChange is called after each change with the current state. The last argument
	// holds only the parts that changed.
	OnChange func(now time.Time, current, changed Snapshot)
	// UpstreamHeartbeatInterval is the time between two heartbeats that an upstream sends
	// to the store; 0 means the default. Registrations may have expired if the store did
	// not respond for several of them.
	UpstreamHeartbeatInterval time.Duration

	mu      sync.Mutex
	current Snapshot
	changes changeLog
	// retained are the upstreams of the copy that are missing from the store, but may
	// only have expired.
	retained     map[core.UpstreamName]core.Upstream
	lastResponse time.Time
	// hasFailed says that a call to the store has failed since lastResponse.
	hasFailed  bool
	graceUntil time.Time
}

// Snapshot returns the current copy.
func (r *Replicator) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// RecordStoreResponse records a response of the store to any call, or that a host which
// reads the store confirmed the copy. After an outage it starts the grace period.
func (r *Replicator) RecordStoreResponse(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStoreOut(now) {
		r.graceUntil = now.Add(expiryGrace)
	}
	r.lastResponse, r.hasFailed = now, false
}

// isStoreOut reports whether the store has not responded for so long that registrations of
// live upstreams may have expired. The caller holds Replicator.mu.
func (r *Replicator) isStoreOut(now time.Time) bool {
	if r.lastResponse.IsZero() {
		return r.hasFailed
	}
	silence := now.Sub(r.lastResponse)
	return silence > missedHeartbeats*r.heartbeat() && (r.hasFailed || silence > maxQuietTime)
}

// heartbeat returns the time between two heartbeats of an upstream.
func (r *Replicator) heartbeat() time.Duration {
	if r.UpstreamHeartbeatInterval <= 0 {
		return defaultHeartbeat
	}
	return r.UpstreamHeartbeatInterval
}

// RecordStoreFailure records a failed call to the store.
func (r *Replicator) RecordStoreFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasFailed = true
}

// mayHaveExpired reports whether upstreams that are missing from the store may only have
// expired: during an outage, and in the grace period after it. The caller holds
// Replicator.mu.
func (r *Replicator) mayHaveExpired(now time.Time) bool {
	return now.Before(r.graceUntil) || r.isStoreOut(now)
}

// ApplyUpdate merges the parts of the update that are newer than the copy.
func (r *Replicator) ApplyUpdate(update Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed Snapshot
	held := r.current.Revisions()
	if update.Policy != nil && update.Policy.Version > held.Policy {
		r.current.Policy, changed.Policy = update.Policy, update.Policy
	}
	if u := update.Upstreams; u != nil && (r.current.Upstreams == nil || held.HasOlderUpstreams(update.Revisions())) {
		if full, ok := u.applyTo(r.registered(), now); ok {
			r.setUpstreams(r.retainMissing(full, now))
			changed.Upstreams = r.current.Upstreams
		}
	}
	if e := update.Evacuations; e != nil && (r.current.Evacuations == nil || e.Revision > r.current.Evacuations.Revision) {
		r.current.Evacuations, changed.Evacuations = e, e
	}
	if h := update.Hosts; h != nil && (r.current.Hosts == nil || h.Revision > r.current.Hosts.Revision) {
		r.current.Hosts, changed.Hosts = h, h
	}
	r.notify(changed, now)
}

// registered returns the upstreams of the copy without the retained ones. The caller
// holds Replicator.mu.
func (r *Replicator) registered() *Upstreams {
	current := r.current.Upstreams
	if len(r.retained) == 0 {
		return current
	}
	registered := &Upstreams{Revision: current.Revision}
	for _, u := range current.List {
		if _, isRetained := r.retained[u.Name]; !isRetained {
			registered.List = append(registered.List, u)
		}
	}
	return registered
}

// setUpstreams replaces the list and records what changed. The caller holds
// Replicator.mu.
func (r *Replicator) setUpstreams(next *Upstreams) {
	r.changes.record(r.current.Upstreams, next)
	r.current.Upstreams = next
}

// notify calls OnChange unless nothing changed. The caller holds Replicator.mu.
func (r *Replicator) notify(changed Snapshot, now time.Time) {
	if changed == (Snapshot{}) || r.OnChange == nil {
		return
	}
	r.OnChange(now, r.current, changed)
}

// retainMissing returns the list with the upstreams that are missing from it but may
// only have expired. The caller holds Replicator.mu.
func (r *Replicator) retainMissing(update *Upstreams, now time.Time) *Upstreams {
	r.retained = r.possiblyExpired(update, now)
	if len(r.retained) == 0 {
		return update
	}
	extended := &Upstreams{Revision: update.Revision, MayIncludeExpired: true, List: slices.Clone(update.List)}
	for _, u := range r.retained {
		extended.List = append(extended.List, u)
	}
	sortByName(extended.List)
	return extended
}

// possiblyExpired returns the upstreams of the copy that are missing from the update
// and whose registrations may have expired during an outage. The caller holds
// Replicator.mu.
func (r *Replicator) possiblyExpired(update *Upstreams, now time.Time) map[core.UpstreamName]core.Upstream {
	if r.current.Upstreams == nil || !r.mayHaveExpired(now) {
		return nil
	}
	isListed := make(map[core.UpstreamName]bool, len(update.List))
	for _, u := range update.List {
		isListed[u.Name] = true
	}
	missing := map[core.UpstreamName]core.Upstream{}
	for _, u := range r.current.Upstreams.List {
		if !isListed[u.Name] && !u.Draining {
			missing[u.Name] = u
		}
	}
	if float64(len(missing)) < minExpiredFraction*float64(len(r.current.Upstreams.List)) {
		return nil
	}
	return missing
}

// RemoveExpired removes the retained upstreams once the grace period has ended: by then,
// upstreams that are live have registered again.
func (r *Replicator) RemoveExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.retained) == 0 || r.mayHaveExpired(now) {
		return
	}
	next := r.registered()
	r.retained = nil
	r.setUpstreams(next)
	r.notify(Snapshot{Upstreams: next}, now)
}
