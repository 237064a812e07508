package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// registration is a host's entry in the store and the time since which this host
// knows it.
type registration struct {
	host  core.Host
	since time.Time
}

// ExpiredHosts returns the registered hosts that were evicted, whose registrations have been
// known for twice the time of eviction, and whose registrations this host should remove.
// Each registration is assigned to one of the live hosts, so the list holds only those
// assigned to this one. A host that was only cut off registers again when it finds its
// registration missing.
func (r *Roster) ExpiredHosts(now time.Time) []core.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictSilent(now)
	var expired []core.Host
	var live []core.HostName
	for _, m := range r.live(now) {
		live = append(live, m.host.Name)
	}
	s := r.schedule()
	for name, known := range r.registrations {
		// A host that registered lately may not have sent its first heartbeats.
		limit := 2 * s.evictAfter(known.host.Zone)
		if now.Sub(known.since) < limit || r.members[name] != nil {
			continue
		}
		if isAssigned(r.Self.Name, live, string(name)) {
			expired = append(expired, known.host)
		}
	}
	slices.SortFunc(expired, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	return expired
}
