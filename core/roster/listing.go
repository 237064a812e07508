package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// listing is a registration and since when this host knows it.
type listing struct {
	host  core.Host
	since time.Time
}

// Lapsed returns the listed hosts that have been silent for long and whose
// registrations this host should remove: one live host does it for each. A host
// that was only cut off registers again when it finds itself missing.
func (r *Roster) Lapsed(now time.Time) []core.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lapsed []core.Host
	var live []core.HostName
	for _, m := range r.live(now) {
		live = append(live, m.host.Name)
	}
	g := r.rings()
	for name, l := range r.listed {
		// By then the registration has not counted for anything for a while.
		limit := 2 * g.forgetAfter(l.host.Zone)
		if now.Sub(l.since) < limit || r.heardWithin(name, limit, now) {
			continue
		}
		if isFirstOf(r.Self.Name, live, string(name)) {
			lapsed = append(lapsed, l.host)
		}
	}
	slices.SortFunc(lapsed, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	return lapsed
}

// heardWithin reports whether a host was heard lately. The caller holds
// Roster.mu.
func (r *Roster) heardWithin(name core.HostName, limit time.Duration, now time.Time) bool {
	m := r.members[name]
	return m != nil && !m.heard.IsZero() && now.Sub(m.heard) < limit
}
