package replicator

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// RestoreGrace is the time after a restore of the store for which missing upstreams and
// evacuated zones are retained. Most of the copy may be affected, so the time includes a second
// for reading what is written again within expiryGrace, and for passing it on to followers.
const RestoreGrace = expiryGrace + time.Second

// expiryHeartbeats is the number of heartbeats after which the store removes the entry of a
// silent upstream.
const expiryHeartbeats = 3

// restoration is what a copy knew when the store came back from an older copy. For a limited
// time the older state in the store does not undo it. The zero value knows nothing.
type restoration struct {
	// removed holds the last incarnation of each upstream that is known to have ended: it was
	// removed lately before the restore, or was draining or followed by a later one when it
	// was removed after it.
	removed map[core.UpstreamName]core.Incarnation
	// known identifies the upstreams that were known before the restore.
	known core.KnownUpstreams
	// zones are the evacuated zones that the store has not listed since.
	zones []core.ZoneName
	// listed are the upstreams that the store has listed since, while missing ones are
	// retained.
	listed map[core.UpstreamName]bool
	// isLate says that the host noticed the restore after a long time without the store, so
	// that the upstreams that it misses have probably left.
	isLate bool
	// graceUntil is the time until which the operator and live upstreams write again.
	graceUntil time.Time
	// settledAt is the time from which the entry of every upstream that has ended is gone.
	// Only an answer about upstreams since then shows which entries are left.
	settledAt time.Time
}

// newRestoration returns what the copy knows at the time of a restore.
func newRestoration(copied Snapshot, removed removals, heartbeat time.Duration, now time.Time) restoration {
	s := restoration{
		removed:    removed.incarnations(),
		graceUntil: now.Add(RestoreGrace),
		settledAt:  now.Add(settleTime(heartbeat)),
	}
	if u := copied.Upstreams; u != nil {
		s.known = core.NewKnownUpstreams(copied.Era, u.Revision, u.List)
	}
	if copied.Evacuations != nil {
		s.zones = slices.Clone(copied.Evacuations.Zones)
	}
	return s
}

// settleTime returns the time after a restore for which the store may list upstreams in an
// older state.
func settleTime(heartbeat time.Duration) time.Duration {
	return expiryHeartbeats*heartbeat + RestoreGrace
}

// join makes a copy that was not restored keep what a settling list of another host says
// about upstreams: the store may still list them in an older state.
func (s *restoration) join(heartbeat time.Duration, now time.Time) {
	if !s.isSettling() {
		*s = restoration{removed: map[core.UpstreamName]core.Incarnation{}, settledAt: now.Add(settleTime(heartbeat))}
	}
}

// learn adds what another host knows, and reports whether that is new. A copy that was first
// read in this era, or has settled, has the rest of the other host's times, but never longer
// ones than its own would be.
func (s *restoration) learn(k *Knowledge, heartbeat time.Duration, now time.Time) bool {
	if !s.isSettling() {
		*s = restoration{
			removed:    map[core.UpstreamName]core.Incarnation{},
			zones:      slices.Clone(k.Zones),
			graceUntil: now.Add(min(k.RemainingGrace, core.MillisecondsOf(RestoreGrace)).Duration()),
			settledAt:  now.Add(min(k.Remaining, core.MillisecondsOf(settleTime(heartbeat))).Duration()),
		}
	}
	isNew := false
	for name, incarnation := range k.Ended {
		if last, ok := s.removed[name]; !ok || last < incarnation {
			s.removed[name], isNew = incarnation, true
		}
	}
	return isNew
}

// isGrace reports whether the operator and live upstreams may still have to write again.
func (s *restoration) isGrace(now time.Time) bool {
	return now.Before(s.graceUntil)
}

// recordListed records which upstreams the store has listed since the restore, by a list
// without outdated entries. The lists of other hosts that retain upstreams, or were not read
// since the restore, do not tell.
func (s *restoration) recordListed(corrected *Upstreams, now time.Time) {
	if !s.isGrace(now) || corrected.MayIncludeExpired || corrected.Revision == 0 {
		return
	}
	for _, u := range corrected.List {
		s.markListed(u.Name)
	}
}

// markListed records that the store has listed an upstream since the restore.
func (s *restoration) markListed(name core.UpstreamName) {
	if s.listed == nil {
		s.listed = map[core.UpstreamName]bool{}
	}
	s.listed[name] = true
}

// isMissed reports whether an upstream that the store does not list may be missing because of
// the restore: the store has not listed it since.
func (s *restoration) isMissed(u core.Upstream, now time.Time) bool {
	return s.isGrace(now) && !s.isLate && !s.listed[u.Name]
}

// isSettling reports whether the lists of the store are still corrected.
func (s *restoration) isSettling() bool {
	return !s.settledAt.IsZero()
}

// isOver reports whether a store that last confirmed the list of upstreams at the given time
// lists none in an older state.
func (s *restoration) isOver(confirmed time.Time) bool {
	return s.isSettling() && !confirmed.Before(s.settledAt)
}

// ConfirmUpstreams records that the store, in the given era, confirmed the copy's list of
// upstreams by an answer about them at the given time. It does nothing if the copy is of
// another era.
func (r *Replicator) ConfirmUpstreams(era core.Era, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era == r.current.Era && at.After(r.upstreamsConfirmed) {
		r.upstreamsConfirmed = at
	}
}

// UpstreamsConfirmed returns the last time passed to ConfirmUpstreams in the era of the copy,
// or the zero time.
func (r *Replicator) UpstreamsConfirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstreamsConfirmed
}

// correct returns the list of the store without what the copy knows to be outdated. Until
// the copy has settled, an upstream that was removed stays removed and one that drains goes
// on draining, unless it has started again, and it stays cold as long as either says.
func (s *restoration) correct(listed, known *Upstreams) *Upstreams {
	if known == nil || !s.isSettling() {
		return listed
	}
	isCorrected := false
	list := make([]core.Upstream, 0, len(listed.List))
	for _, u := range listed.List {
		held, isHeld := find(known.List, u.Name)
		if s.hasEnded(u) || isHeld && u.Incarnation < held.Incarnation {
			isCorrected = true
			continue
		}
		corrected := u
		if isHeld && u.Incarnation == held.Incarnation {
			corrected = withLaterState(u, held)
		}
		isCorrected = isCorrected || corrected != u
		list = append(list, corrected)
	}
	if !isCorrected {
		return listed
	}
	return &Upstreams{Revision: listed.Revision, List: list, MayIncludeExpired: listed.MayIncludeExpired, IsSettling: true}
}

// hasEnded reports whether this incarnation of the upstream is known to have ended.
func (s *restoration) hasEnded(u core.Upstream) bool {
	last, ok := s.removed[u.Name]
	return ok && u.Incarnation <= last
}

// recordEnded adds what the upstreams that are missing from the list after a change say: if
// the store lists a draining one as ready once more, or an earlier incarnation, it does so
// in an older state.
func (s *restoration) recordEnded(before, after *Upstreams) {
	if before == nil || !s.isSettling() {
		return
	}
	for _, u := range before.List {
		if _, isListed := find(after.List, u.Name); isListed {
			continue
		}
		switch {
		case u.Draining:
			s.removed[u.Name] = max(s.removed[u.Name], u.Incarnation)
		case u.Incarnation > 0:
			s.removed[u.Name] = max(s.removed[u.Name], u.Incarnation-1)
		}
	}
}

// withLaterState returns the listed upstream, draining and cold as the held one of the same
// incarnation is.
func withLaterState(listed, held core.Upstream) core.Upstream {
	listed.Draining = listed.Draining || held.Draining
	if held.ColdUntil.After(listed.ColdUntil) {
		listed.ColdUntil = held.ColdUntil
	}
	return listed
}

// retainZones returns the given list with the evacuated zones that the operator may still have
// to write again. A zone that the store has listed since the restore is no longer retained; in
// the settling list of another host it may stand only because that host retains it, and a list
// that was not read since the restore does not tell.
func (s *restoration) retainZones(listed *Evacuations, mayBeMissing bool) *Evacuations {
	if !listed.IsSettling && listed.Revision > 0 {
		s.zones = slices.DeleteFunc(s.zones, func(zone core.ZoneName) bool { return slices.Contains(listed.Zones, zone) })
	}
	if !mayBeMissing {
		s.zones = nil
	}
	if len(s.zones) == 0 {
		return listed
	}
	zones := slices.Concat(listed.Zones, s.zones)
	slices.Sort(zones)
	return &Evacuations{Revision: listed.Revision, Zones: slices.Compact(zones), IsSettling: true}
}
