package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// maxChanges bounds the changes in the change log. Hosts for whose revision the log
// no longer reaches back get the full list.
const maxChanges = 1024

// change is the last revision at which an upstream changed.
type change struct {
	revision  uint64
	isRemoved bool
}

// changeLog records which upstreams changed after a revision.
type changeLog struct {
	// revisions are those that this copy has had, in ascending order; the log holds all
	// changes after the first one. It does not hold what changed between two of them and
	// changed back.
	revisions []uint64
	changes   map[core.UpstreamName]change
}

// reachesBackTo reports whether the log holds all changes after a revision that another
// host holds.
func (l *changeLog) reachesBackTo(revision uint64) bool {
	_, isKnown := slices.BinarySearch(l.revisions, revision)
	return isKnown && revision > 0
}

// record adds the changes between two lists, which are sorted by name. It starts the
// log anew where before is no list of the store at its revision, so that another host may
// hold a different one at that revision, or where the log has become too long.
func (l *changeLog) record(before, after *Upstreams) {
	if before == nil || !before.isStored() || len(l.changes) > maxChanges || len(l.revisions) > maxChanges {
		*l = changeLog{revisions: []uint64{after.Revision}, changes: map[core.UpstreamName]change{}}
		return
	}
	l.revisions = append(l.revisions, after.Revision)
	old := before.List
	for _, u := range after.List {
		for len(old) > 0 && old[0].Name < u.Name {
			l.changes[old[0].Name] = change{revision: after.Revision, isRemoved: true}
			old = old[1:]
		}
		isKnown := len(old) > 0 && old[0].Name == u.Name
		if !isKnown || old[0] != u {
			l.changes[u.Name] = change{revision: after.Revision}
		}
		if isKnown {
			old = old[1:]
		}
	}
	for _, u := range old {
		l.changes[u.Name] = change{revision: after.Revision, isRemoved: true}
	}
}

// sortByName sorts a list in place.
func sortByName(list []core.Upstream) {
	compare := func(a, b core.Upstream) int { return cmp.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(list, compare) {
		slices.SortFunc(list, compare)
	}
}

// merge returns the list with the changed upstreams added or replaced and without the
// removed ones. All lists are sorted by name, the returned one too.
func merge(list, changed []core.Upstream, removed []core.UpstreamName) []core.Upstream {
	merged := make([]core.Upstream, 0, len(list)+len(changed))
	for len(list) > 0 || len(changed) > 0 {
		if len(list) == 0 || len(changed) > 0 && changed[0].Name <= list[0].Name {
			if len(list) > 0 && list[0].Name == changed[0].Name {
				list = list[1:]
			}
			merged = append(merged, changed[0])
			changed = changed[1:]
			continue
		}
		if _, isRemoved := slices.BinarySearch(removed, list[0].Name); !isRemoved {
			merged = append(merged, list[0])
		}
		list = list[1:]
	}
	return merged
}

// find returns the upstream of the given name in a list that is sorted by name.
func find(list []core.Upstream, name core.UpstreamName) (core.Upstream, bool) {
	compare := func(u core.Upstream, name core.UpstreamName) int { return cmp.Compare(u.Name, name) }
	i, ok := slices.BinarySearchFunc(list, name, compare)
	if !ok {
		return core.Upstream{}, false
	}
	return list[i], true
}

// ChangesSince returns the parts of the copy that are newer than the given revisions, the
// upstreams as a delta where possible. The other parts are nil. If the given revisions are
// those of a later era, only the policy can be newer.
func (r *Replicator) ChangesSince(held core.Revisions, now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.current.Revisions()
	update := Snapshot{Era: newest.Era}
	if held.Policy < newest.Policy {
		update.Policy = r.current.Policy
	}
	if held.Era > newest.Era {
		return update
	}
	isEarlier := held.Era < newest.Era
	if isOffered(held.Evacuations, newest.Evacuations, held.HasOlderEvacuations(newest)) {
		update.Evacuations = r.current.Evacuations
	}
	if isOffered(held.Hosts, newest.Hosts, isEarlier || held.Hosts < newest.Hosts) {
		update.Hosts = r.current.Hosts
	}
	if r.current.Upstreams != nil && isOffered(held.Upstreams, newest.Upstreams, held.HasOlderUpstreams(newest)) {
		update.Upstreams = r.upstreamsSince(held, now)
		if update.Upstreams.BaseRevision == 0 {
			update.Knowledge = r.knowledge(now)
		}
	}
	return update
}

// isOffered reports whether another host gets a part of the copy. A part that was not read
// in this era of the store is only of use to a host that never read it.
func isOffered(held, newest uint64, isNewer bool) bool {
	if newest == 0 {
		return held == 0
	}
	return isNewer
}

// upstreamsSince returns the delta from the given revisions, or the full list where
// the change log does not reach back so far. A host that holds upstreams whose
// registrations may have expired, or that differ from the store's after a restore, gets the
// full list too: what becomes of them does not change the revision. The caller holds
// Replicator.mu.
func (r *Replicator) upstreamsSince(held core.Revisions, now time.Time) *Upstreams {
	current := r.current.Upstreams
	update := &Upstreams{
		Revision: current.Revision, MayIncludeExpired: current.MayIncludeExpired, IsSettling: current.IsSettling,
	}
	isProvisional := held.MayIncludeExpired || held.UpstreamsSettling
	if isProvisional || held.Era != r.current.Era || !r.changes.reachesBackTo(held.Upstreams) {
		update.List, update.RemainingWarmUps = current.List, remainingWarmups(current.List, now)
		return update
	}
	update.BaseRevision = held.Upstreams
	for _, u := range current.List {
		if r.changes.changes[u.Name].revision > held.Upstreams {
			update.List = append(update.List, u)
		}
	}
	for name, c := range r.changes.changes {
		if c.isRemoved && c.revision > held.Upstreams {
			update.Removed = append(update.Removed, name)
		}
	}
	slices.Sort(update.Removed)
	update.RemainingWarmUps = remainingWarmups(update.List, now)
	return update
}

// remainingWarmups returns the remaining warm-up time, in milliseconds, of the cold
// upstreams of the list.
func remainingWarmups(list []core.Upstream, now time.Time) map[core.UpstreamName]uint32 {
	var remaining map[core.UpstreamName]uint32
	for _, u := range list {
		if !now.Before(u.ColdUntil) {
			continue
		}
		if remaining == nil {
			remaining = map[core.UpstreamName]uint32{}
		}
		remaining[u.Name] = uint32(u.ColdUntil.Sub(now).Milliseconds())
	}
	return remaining
}

// isStored reports whether the full list is the store's at its revision: it was read in this
// era of the store, and no host retained or corrected upstreams in it.
func (u *Upstreams) isStored() bool {
	return u.Revision > 0 && !u.MayIncludeExpired && !u.IsSettling
}

// applyTo returns the full list that results from applying the update to the held
// list. It returns false where the held list is older than the base of the update. A delta
// does not tell what another host retained or corrected in the held list, so that list's
// marks stay.
func (u *Upstreams) applyTo(held *Upstreams, now time.Time) (*Upstreams, bool) {
	list := slices.Clone(u.List)
	for i := range list {
		if ms, ok := u.RemainingWarmUps[list[i].Name]; ok {
			list[i].ColdUntil = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
	sortByName(list)
	full := &Upstreams{Revision: u.Revision, List: list, MayIncludeExpired: u.MayIncludeExpired, IsSettling: u.IsSettling}
	if u.BaseRevision == 0 {
		return full, true
	}
	if held == nil || held.Revision < u.BaseRevision {
		return nil, false
	}
	removed := slices.Sorted(slices.Values(u.Removed))
	full.List = merge(held.List, list, removed)
	full.MayIncludeExpired = full.MayIncludeExpired || held.MayIncludeExpired
	full.IsSettling = full.IsSettling || held.IsSettling
	return full, true
}
