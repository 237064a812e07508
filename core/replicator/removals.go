package replicator

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// maxCopyAge is the time for which a removal is remembered. The copy from which the store
// comes back is some seconds old.
const maxCopyAge = time.Minute

// removal is the last incarnation of an upstream that was removed, and when.
type removal struct {
	incarnation core.Incarnation
	at          time.Time
}

// removals are the upstreams that were removed lately and have not come back.
type removals map[core.UpstreamName]removal

// record adds the upstreams that are missing from the list after a change.
func (r removals) record(before, after *Upstreams, now time.Time) {
	if before == nil {
		return
	}
	for _, u := range before.List {
		if _, ok := find(after.List, u.Name); !ok {
			r[u.Name] = removal{incarnation: u.Incarnation, at: now}
		}
	}
	for name := range r {
		if _, ok := find(after.List, name); ok {
			delete(r, name)
		}
	}
}

// add adds the last incarnations of upstreams that another host knows to have ended, except
// those that the list shows to be live: it has a later incarnation, or the same one though the
// store was not restored, so that the upstream has registered again.
func (r removals) add(k *Knowledge, listed *Upstreams, now time.Time) {
	for name, incarnation := range k.Ended {
		u, isListed := find(listed.List, name)
		if isListed && (u.Incarnation > incarnation || u.Incarnation == incarnation && !k.IsSettling) {
			continue
		}
		if r[name].incarnation <= incarnation {
			r[name] = removal{incarnation: incarnation, at: now}
		}
	}
}

// forgetOld drops removals that no copy of the store can be older than.
func (r removals) forgetOld(now time.Time) {
	for name, one := range r {
		if now.Sub(one.at) > maxCopyAge {
			delete(r, name)
		}
	}
}

// incarnations returns the last incarnation of each upstream.
func (r removals) incarnations() map[core.UpstreamName]core.Incarnation {
	last := make(map[core.UpstreamName]core.Incarnation, len(r))
	for name, one := range r {
		last[name] = one.incarnation
	}
	return last
}
