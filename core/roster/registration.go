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

// ExpiredHosts returns the registered hosts that have been silent for twice the time of
// eviction and whose registrations this host should remove. Each registration is assigned
// to one of the live hosts, so the list holds only those assigned to this one. A host
// that was only cut off registers again when it finds its registration missing.
func (r *Roster) ExpiredHosts(now time.Time) []core.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []core.Host
	var live []core.HostName
	for _, m := range r.live(now) {
		live = append(live, m.host.Name)
	}
	s := r.schedule()
	for name, known := range r.registrations {
		// Twice the eviction time: the registration has then not counted for shared
		// limits for a while.
		limit := 2 * s.evictAfter(known.host.Zone)
		if now.Sub(known.since) < limit || r.hasHeartbeatWithin(name, limit, now) {
			continue
		}
		if isAssigned(r.Self.Name, live, string(name)) {
			expired = append(expired, known.host)
		}
	}
	slices.SortFunc(expired, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	return expired
}

// hasHeartbeatWithin reports whether a heartbeat of the host arrived less than limit
// ago. The caller holds Roster.mu.
func (r *Roster) hasHeartbeatWithin(name core.HostName, limit time.Duration, now time.Time) bool {
	m := r.members[name]
	return m != nil && !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < limit
}
