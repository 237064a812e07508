package replicator

import (
	"maps"
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
	old := byName(before.List)
	for _, u := range after.List {
		if known, ok := old[u.Name]; !ok || known != u {
			l.changes[u.Name] = change{revision: after.Revision}
		}
		delete(old, u.Name)
	}
	for name := range old {
		l.changes[name] = change{revision: after.Revision, isRemoved: true}
	}
}

func byName(list []core.Upstream) map[core.UpstreamName]core.Upstream {
	named := make(map[core.UpstreamName]core.Upstream, len(list))
	for _, u := range list {
		named[u.Name] = u
	}
	return named
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
	if u.Base == 0 {
		return &Upstreams{Revision: u.Revision, List: list, HasLapsed: u.HasLapsed}, true
	}
	if held == nil || held.Revision < u.Base {
		return nil, false
	}
	next := byName(held.List)
	for _, name := range u.Removed {
		delete(next, name)
	}
	for _, one := range list {
		next[one.Name] = one
	}
	whole := &Upstreams{Revision: u.Revision, HasLapsed: u.HasLapsed, List: make([]core.Upstream, 0, len(next))}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		whole.List = append(whole.List, next[name])
	}
	return whole, true
}
