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
// The store may be restored from an older copy of its own. It then names a later era and
// gives out its revisions again. A copy belongs to one era: updates of an earlier era are
// ignored, and in a later era every part counts as never read, except for the policy. What
// the older state in the store would undo is kept for a limited time. Missing upstreams and
// evacuated zones are retained for the grace period, in which they are written again. An
// upstream that has ended or drains stays so until its entry would have expired; an entry
// that the store lists even then belongs to a live upstream.
//
// How a copy may differ from the lists of the store:
//
//	after       for                             difference
//	an outage   expiryGrace                     many missing upstreams are retained
//	a restore   RestoreGrace                    missing upstreams and zones are retained
//	a restore   3 heartbeats and RestoreGrace   upstreams stay removed, draining or cold
//
// # Usage
//
//	r := &replicator.Replicator{OnChange: apply}
//	r.ApplyUpdate(replicator.Snapshot{Upstreams: &list}, now)
//	r.ConfirmUpstreams(era, now) // after each answer about upstreams
//	r.Settle(now) // periodically
//	if r.LacksStoreLists(now) { /* read the store's full lists */ }
//	snapshot := r.Snapshot()
//
// Lock order: Replicator.mu is held while OnChange runs, so OnChange may take
// the locks of the tables that it updates but must not call the Replicator.
package replicator

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Policy is a core.RoutingPolicy in the form in which hosts exchange it, without its index.
type Policy struct {
	Version  uint64               `cbor:"1,keyasint"`
	Routes   []core.Route         `cbor:"2,keyasint"`
	Services []core.ServicePolicy `cbor:"3,keyasint"`
	Limits   core.ClientLimits    `cbor:"4,keyasint"`
	// Organisations are those whose requests are told apart by their API keys; empty if
	// requests need no key.
	Organisations []core.OrganisationPolicy `cbor:"5,keyasint,omitempty"`
	// HasUnreadableOrganisations says that further organisations could not be read.
	HasUnreadableOrganisations bool `cbor:"6,keyasint,omitempty"`
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
	// IsSettling says that the list differs from the store's by what a host knew before the
	// store was restored.
	IsSettling bool `cbor:"7,keyasint,omitempty"`
}

// Evacuations is the list of evacuated zones at a revision of the store. The upstreams of
// an evacuated zone get no requests.
type Evacuations struct {
	Revision uint64          `cbor:"1,keyasint"`
	Zones    []core.ZoneName `cbor:"2,keyasint"`
	// IsSettling says that the list includes zones of which a restored store may have lost
	// the evacuation.
	IsSettling bool `cbor:"3,keyasint,omitempty"`
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
	// Knowledge comes with a full list of upstreams from another host.
	Knowledge *Knowledge `cbor:"6,keyasint,omitempty"`
}

// Revisions returns the revisions of the parts.
func (s Snapshot) Revisions() core.Revisions {
	r := core.Revisions{Era: s.Era}
	if s.Policy != nil {
		r.Policy = s.Policy.Version
	}
	if s.Upstreams != nil {
		r.Upstreams, r.MayIncludeExpired = s.Upstreams.Revision, s.Upstreams.MayIncludeExpired
		r.UpstreamsSettling = s.Upstreams.IsSettling
	}
	if s.Evacuations != nil {
		r.Evacuations, r.EvacuationsSettling = s.Evacuations.Revision, s.Evacuations.IsSettling
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
	// OnRestore is called after a copy with contents has entered a later era of the store,
	// once for each era that it enters. It may call the Replicator.
	OnRestore func(earlier, era core.Era)
	// UpstreamHeartbeatInterval is the time between two heartbeats that an upstream sends
	// to the store; 0 means the default. Registrations may have expired if the store did
	// not respond for several of them.
	UpstreamHeartbeatInterval time.Duration
	// IsFirstStart says that the whole fleet starts for the first time, so that no other host
	// knows more of the time before the copy was first read.
	IsFirstStart bool

	mu sync.Mutex
	// listed is the copy as the store or another host gave it. current differs from it in
	// what the host retains or corrects; parts that do not differ are the same pointers.
	listed, current Snapshot
	// changes is what deltas for other hosts are made of.
	changes changeLog
	// removals are the upstreams that were removed lately, in case the store is restored, and
	// restoration is what was known when it was.
	removals    removals
	restoration restoration
	// knownEra is the last era of which the copy knows the time before as well as other hosts.
	knownEra core.Era
	// firstRead is when the copy was first given upstreams.
	firstRead time.Time
	// retained are the upstreams of the copy that are missing from the store, but may
	// only have expired.
	retained     []core.Upstream
	lastResponse time.Time
	// hasFailed says that a call to the store has failed since lastResponse.
	hasFailed bool
	// graceUntil is the end of the grace period after an outage.
	graceUntil time.Time
	// returnedAt is when the store last responded after a silence longer than the settle time.
	returnedAt time.Time
	// upstreamsConfirmed is when the store last confirmed the list of upstreams in the era of
	// the copy; zero if it did not yet.
	upstreamsConfirmed time.Time
}

// Snapshot returns the current copy.
func (r *Replicator) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Held returns the revisions of what the copy was last given. They are those of Snapshot,
// but do not tell what this host itself retains beyond that.
func (r *Replicator) Held() core.Revisions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed.Revisions()
}

// ApplyUpdate merges the parts of the update that are newer than the copy. An update of a
// later era makes the copy enter that era, and one of an earlier era can only replace the
// policy.
func (r *Replicator) ApplyUpdate(update Snapshot, now time.Time) {
	earlier, isRestored := r.apply(update, now)
	if isRestored && r.OnRestore != nil {
		r.OnRestore(earlier, update.Era)
	}
}

// apply is ApplyUpdate without the call of OnRestore. It returns the era that the copy had
// before, and whether the update made a copy with contents enter a later one.
func (r *Replicator) apply(update Snapshot, now time.Time) (core.Era, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier := r.current.Era
	isRestored := update.Era > earlier && r.enterEra(update.Era, now)
	if r.removals == nil {
		r.removals = removals{}
	}
	var changed Snapshot
	if p := update.Policy; p != nil && p.Version > r.current.Revisions().Policy {
		r.listed.Policy, r.current.Policy, changed.Policy = p, p, p
	}
	hasKnowledge := update.Knowledge != nil && update.Upstreams != nil && update.Upstreams.BaseRevision == 0
	switch {
	case update.Era == r.current.Era:
		r.applyLists(update, &changed, now)
		if hasKnowledge {
			r.learn(update, &changed, now)
		}
	case hasKnowledge && r.knownEra != r.current.Era:
		r.learnEarlier(update, &changed, now)
	}
	r.notify(changed, now)
	return earlier, isRestored
}

// enterEra makes the copy one of a later era of the store. Its contents stay until they are
// replaced, but count as never read. It reports whether there are any. The caller holds
// Replicator.mu.
func (r *Replicator) enterEra(era core.Era, now time.Time) bool {
	u, e, h := r.current.Upstreams, r.current.Evacuations, r.current.Hosts
	hasContents := u != nil || e != nil || h != nil
	if hasContents {
		if r.knowsBefore(now) {
			r.knownEra = era
		}
		r.restoration = newRestoration(r.current, r.removals, r.heartbeat(), now)
		limit := settleTime(r.heartbeat())
		r.restoration.isLate = r.isSilentFor(limit, now) || !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < limit
	}
	if u != nil {
		r.current.Upstreams = &Upstreams{List: u.List}
	}
	if e != nil {
		r.current.Evacuations = &Evacuations{Zones: e.Zones}
	}
	if h != nil {
		r.current.Hosts = &Hosts{List: h.List}
	}
	r.current.Era, r.upstreamsConfirmed = era, time.Time{}
	r.listed, r.retained = r.current, nil
	return hasContents
}

// applyLists merges the lists of an update of the copy's own era. The caller holds
// Replicator.mu.
func (r *Replicator) applyLists(update Snapshot, changed *Snapshot, now time.Time) {
	held, offered := r.listed.Revisions(), update.Revisions()
	if u := update.Upstreams; u != nil && (r.listed.Upstreams == nil || held.HasOlderUpstreams(offered)) {
		if full, ok := u.applyTo(r.listed.Upstreams, now); ok {
			r.listed.Upstreams = full
			r.refreshUpstreams(changed, now)
			if full.IsSettling && update.Knowledge == nil {
				r.restoration.join(r.heartbeat(), now)
			}
		}
	}
	if e := update.Evacuations; e != nil && (r.listed.Evacuations == nil || held.HasOlderEvacuations(offered)) {
		r.listed.Evacuations = e
		r.current.Evacuations = r.restoration.retainZones(e, r.mayHaveExpired(now))
		changed.Evacuations = r.current.Evacuations
	}
	if h := update.Hosts; h != nil && (r.listed.Hosts == nil || h.Revision > held.Hosts) {
		r.listed.Hosts, r.current.Hosts, changed.Hosts = h, h, h
	}
}

// refreshUpstreams derives the upstreams of the copy from the list that it was given. The
// caller holds Replicator.mu.
func (r *Replicator) refreshUpstreams(changed *Snapshot, now time.Time) {
	if r.firstRead.IsZero() {
		r.firstRead = now
	}
	before := r.current.Upstreams
	corrected := r.restoration.correct(r.listed.Upstreams, before)
	r.restoration.recordListed(corrected, now)
	next := r.retainMissing(corrected, now)
	if next == before {
		return
	}
	r.changes.record(before, next)
	r.removals.record(before, next, now)
	r.restoration.recordEnded(before, next)
	r.current.Upstreams, changed.Upstreams = next, next
}

// notify calls OnChange unless nothing changed. The caller holds Replicator.mu.
func (r *Replicator) notify(changed Snapshot, now time.Time) {
	if changed == (Snapshot{}) || r.OnChange == nil {
		return
	}
	r.OnChange(now, r.current, changed)
}

// Settle takes the lists as they were given once there is no more reason to differ from
// them. It removes the retained upstreams and zones when the grace period has ended: by
// then, live upstreams have registered again. It no longer corrects the list of upstreams
// when the store has confirmed that list at the end of the settle time or later. Call it
// periodically.
func (r *Replicator) Settle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed Snapshot
	if r.current.Evacuations != r.listed.Evacuations && !r.mayHaveExpired(now) {
		r.current.Evacuations = r.restoration.retainZones(r.listed.Evacuations, false)
		changed.Evacuations = r.current.Evacuations
	}
	hasExpired := len(r.retained) > 0 && !r.mayHaveExpired(now)
	hasSettled := r.restoration.isOver(r.upstreamsConfirmed)
	if hasSettled {
		r.restoration = restoration{}
	}
	if hasExpired || hasSettled && r.current.Upstreams != r.listed.Upstreams {
		r.refreshUpstreams(&changed, now)
	}
	if !r.restoration.isSettling() {
		r.removals.forgetOld(now)
	}
	r.notify(changed, now)
}

// LacksStoreLists reports whether the copy was given a list in which another host retained or
// corrected entries, and there is no more reason to differ from the store's. Deltas do not tell
// which entries these are: only a full list that was read from the store, or that another host
// no longer changes, does.
func (r *Replicator) LacksStoreLists(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, e, mayHaveExpired := r.listed.Upstreams, r.listed.Evacuations, r.mayHaveExpired(now)
	switch {
	case u != nil && u.MayIncludeExpired && !mayHaveExpired:
		return true
	case u != nil && u.IsSettling && !r.restoration.isSettling():
		return true
	default:
		return e != nil && e.IsSettling && !mayHaveExpired
	}
}
