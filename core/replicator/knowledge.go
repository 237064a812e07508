package replicator

import (
	"maps"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Knowledge is what a host knows beyond its lists: which upstreams ended lately and, after a
// restore of the store, what its lists hold because of what it knew before. Other hosts may
// lack it: they started later, or were cut off.
type Knowledge struct {
	// IsSettling says that the host still holds what it knew before a restore. Only then are
	// the other parts beside Ended set.
	IsSettling bool `cbor:"6,keyasint,omitempty"`
	// Remaining is the rest of the settle time, and RemainingGrace that of the grace period
	// after the restore. Hosts exchange them in place of times, since their clocks differ.
	Remaining      core.Milliseconds `cbor:"1,keyasint,omitempty"`
	RemainingGrace core.Milliseconds `cbor:"2,keyasint,omitempty"`
	// Ended holds the last incarnation of each upstream that is known to have ended.
	Ended map[core.UpstreamName]core.Incarnation `cbor:"3,keyasint,omitempty"`
	// Retained are the upstreams of the list that the store does not list, and Zones the
	// evacuated zones that it does not list.
	Retained []core.UpstreamName `cbor:"4,keyasint,omitempty"`
	Zones    []core.ZoneName     `cbor:"5,keyasint,omitempty"`
	// Known identifies the upstreams that were known before the restore; nil if the host does not
	// tell.
	Known *core.KnownUpstreams `cbor:"7,keyasint,omitempty"`
}

// knowsBefore reports whether the copy, which enters a later era, was kept for as long as the
// store's copy can be old. The caller holds Replicator.mu.
func (r *Replicator) knowsBefore(now time.Time) bool {
	if r.isSilentFor(r.heartbeat(), now) {
		return false
	}
	return r.IsFirstStart || !r.firstRead.IsZero() && now.Sub(r.firstRead) > maxCopyAge
}

// LacksKnowledge reports whether other hosts may know more than this one of the time before the
// copy's era, and none has told yet: the copy was first read in that era or shortly before it,
// or entered it after a time without responses of the store.
func (r *Replicator) LacksKnowledge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Era > 0 && r.knownEra != r.current.Era
}

// HasKnowledge reports whether the copy still differs from the store's lists, or would, by
// what was known before a restore.
func (r *Replicator) HasKnowledge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restoration.isSettling()
}

// KnownBefore identifies the upstreams that were known before a restore. It returns false if the
// copy no longer holds what was known, or never did.
func (r *Replicator) KnownBefore() (core.KnownUpstreams, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restoration.known, r.restoration.known != core.KnownUpstreams{}
}

// knowledge returns what other hosts may lack. The caller holds Replicator.mu.
func (r *Replicator) knowledge(now time.Time) *Knowledge {
	s := &r.restoration
	if !s.isSettling() {
		return &Knowledge{Ended: r.removals.incarnations()}
	}
	k := &Knowledge{
		IsSettling:     true,
		Remaining:      core.MillisecondsOf(max(s.settledAt.Sub(now), 0)),
		RemainingGrace: core.MillisecondsOf(max(s.graceUntil.Sub(now), 0)),
		Ended:          maps.Clone(s.removed),
		Zones:          slices.Clone(s.zones),
	}
	if s.known != (core.KnownUpstreams{}) {
		known := s.known
		k.Known = &known
	}
	for _, u := range r.retained {
		k.Retained = append(k.Retained, u.Name)
	}
	return k
}

// learn takes over what a host of the same era knows, after its lists in the update were
// applied. If that host still holds what it knew before the restore, LacksKnowledge is false
// from then on. The caller holds Replicator.mu.
func (r *Replicator) learn(update Snapshot, changed *Snapshot, now time.Time) {
	r.takeOver(update, changed, now)
	if update.Knowledge.IsSettling {
		r.knownEra = r.current.Era
	}
}

// takeOver applies the knowledge in an update. It leaves LacksKnowledge as it is, since another
// host may know more. The caller holds Replicator.mu.
func (r *Replicator) takeOver(update Snapshot, changed *Snapshot, now time.Time) {
	k := update.Knowledge
	r.removals.add(k, r.listed.Upstreams, now)
	if !k.IsSettling {
		return
	}
	isFirst := r.knownEra != r.current.Era
	known := r.restoration.known
	hasLearnt := r.restoration.learn(k, r.heartbeat(), now)
	isLater := k.Known != nil && known.IsBehind(*k.Known) && (isFirst || known != core.KnownUpstreams{})
	if isFirst || isLater {
		r.takeState(update.Upstreams, k, now)
	}
	if isLater {
		r.restoration.known = *k.Known
	}
	if isFirst {
		if e := r.listed.Evacuations; e != nil {
			r.current.Evacuations = r.restoration.retainZones(e, r.mayHaveExpired(now))
			changed.Evacuations = r.current.Evacuations
		}
	}
	if r.listed.Upstreams != nil && (isFirst || isLater || hasLearnt) {
		r.refreshUpstreams(changed, now)
	}
}

// learnEarlier takes over what a host knows that has not noticed the restore yet. That host may
// have been cut off, so its upstreams that the store lacks are not retained. The caller holds
// Replicator.mu.
func (r *Replicator) learnEarlier(update Snapshot, changed *Snapshot, now time.Time) {
	told := *update.Upstreams
	told.Revision = 0 // It was not read in this era.
	k := &Knowledge{
		IsSettling:     true,
		Remaining:      core.MillisecondsOf(settleTime(r.heartbeat())),
		RemainingGrace: core.MillisecondsOf(RestoreGrace),
		Ended:          update.Knowledge.Ended,
	}
	if e := update.Evacuations; e != nil {
		k.Zones = e.Zones
	}
	if r.listed.Upstreams == nil {
		if full, ok := told.applyTo(nil, now); ok {
			r.listed.Upstreams = full
			r.refreshUpstreams(changed, now)
		}
	}
	r.takeOver(Snapshot{Upstreams: &told, Knowledge: k}, changed, now)
	for _, u := range told.List {
		r.restoration.markListed(u.Name)
	}
}

// takeState takes from another host's upstreams what the copy would have kept if it had held
// them before it was given its own list: the later states of listed upstreams, and the upstreams
// that the store may lack. The caller holds Replicator.mu.
func (r *Replicator) takeState(told *Upstreams, k *Knowledge, now time.Time) {
	full, ok := told.applyTo(nil, now)
	if !ok || r.current.Upstreams == nil {
		return
	}
	isRetained := func(name core.UpstreamName) bool { return slices.Contains(k.Retained, name) }
	known := &Upstreams{Revision: r.current.Upstreams.Revision, IsSettling: true}
	for _, u := range r.current.Upstreams.List {
		if other, isTold := find(full.List, u.Name); isTold && other.Incarnation == u.Incarnation {
			u = withLaterState(u, other)
		} else if isTold && other.Incarnation > u.Incarnation {
			u = other
		}
		known.List = append(known.List, u)
	}
	for _, u := range full.List {
		if _, isHeld := find(r.current.Upstreams.List, u.Name); !isHeld && isRetained(u.Name) {
			known.List = append(known.List, u)
		}
		if !isRetained(u.Name) && full.Revision > 0 {
			r.restoration.markListed(u.Name)
		}
	}
	sortByName(known.List)
	r.current.Upstreams = known
}
