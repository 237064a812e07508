package replicator

import (
	"cmp"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// maxChanges bounds the changes that are remembered. Hosts that lack more of
// them get the whole list.
const maxChanges = 1024

// change is the last revision at which an upstream changed.
type change struct {
	revision  uint64
	isRemoved bool
}

// changeLog remembers which upstreams changed since a revision.
type changeLog struct {
	// since is the revision after which all changes are known.
	since   uint64
	changes map[core.UpstreamName]change
}

// note compares two lists, of which the first may be nil.
func (l *changeLog) note(before, after *Upstreams) {
	if before == nil || len(l.changes) > maxChanges {
		*l = changeLog{since: after.Revision, changes: map[core.UpstreamName]change{}}
		return
	}
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

// merge returns a sorted list with those of the changes in place of the ones of
// the same name, and without the removed ones. All lists are sorted.
func merge(list, changes []core.Upstream, removed []core.UpstreamName) []core.Upstream {
	merged := make([]core.Upstream, 0, len(list)+len(changes))
	for len(list) > 0 || len(changes) > 0 {
		if len(list) == 0 || len(changes) > 0 && changes[0].Name <= list[0].Name {
			if len(list) > 0 && list[0].Name == changes[0].Name {
				list = list[1:]
			}
			merged = append(merged, changes[0])
			changes = changes[1:]
			continue
		}
		if _, isRemoved := slices.BinarySearch(removed, list[0].Name); !isRemoved {
			merged = append(merged, list[0])
		}
		list = list[1:]
	}
	return merged
}

// Changes returns what a host lacks that holds the given revisions. Parts that
// it has are nil.
func (r *Replicator) Changes(held core.Revisions, now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	lacks := r.current
	has := r.current.Revisions()
	if held.Policy >= has.Policy {
		lacks.Policy = nil
	}
	if held.Evacuations >= has.Evacuations {
		lacks.Evacuations = nil
	}
	if held.Hosts >= has.Hosts {
		lacks.Hosts = nil
	}
	lacks.Upstreams = nil
	if held.HasOlderUpstreams(has) {
		lacks.Upstreams = r.upstreamsAfter(held, now)
	}
	return lacks
}

// upstreamsAfter returns what changed after a host's revision, or the whole list
// where that is not known. A host that holds upstreams that may have expired
// gets the whole list: they leave it without a revision of their own. The caller
// holds Replicator.mu.
func (r *Replicator) upstreamsAfter(held core.Revisions, now time.Time) *Upstreams {
	current := r.current.Upstreams
	update := &Upstreams{Revision: current.Revision, HasLapsed: current.HasLapsed}
	if held.HasLapsed || held.Upstreams == 0 || held.Upstreams < r.changes.since {
		update.List, update.ColdFor = current.List, coldFor(current.List, now)
		return update
	}
	update.Base = held.Upstreams
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
	update.ColdFor = coldFor(update.List, now)
	return update
}

// coldFor returns for how many milliseconds upstreams stay cold.
func coldFor(list []core.Upstream, now time.Time) map[core.UpstreamName]uint32 {
	var cold map[core.UpstreamName]uint32
	for _, u := range list {
		if !now.Before(u.ColdUntil) {
			continue
		}
		if cold == nil {
			cold = map[core.UpstreamName]uint32{}
		}
		cold[u.Name] = uint32(u.ColdUntil.Sub(now).Milliseconds())
	}
	return cold
}

// applyTo returns the whole list that follows from the copy's and an update. It
// returns false where the update begins after the copy.
func (u *Upstreams) applyTo(held *Upstreams, now time.Time) (*Upstreams, bool) {
	list := slices.Clone(u.List)
	for i := range list {
		if ms, ok := u.ColdFor[list[i].Name]; ok {
			list[i].ColdUntil = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
	sortByName(list)
	if u.Base == 0 {
		return &Upstreams{Revision: u.Revision, List: list, HasLapsed: u.HasLapsed}, true
	}
	if held == nil || held.Revision < u.Base {
		return nil, false
	}
	removed := slices.Sorted(slices.Values(u.Removed))
	return &Upstreams{Revision: u.Revision, HasLapsed: u.HasLapsed, List: merge(held.List, list, removed)}, true
}
