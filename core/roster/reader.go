package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// smallFleet is the number of hosts up to which each reads the store itself:
	// there the calls cost little, and no host depends on another.
	smallFleet = 24
	// readerTrust is how old the last contact of a zone's reader with the store
	// may be, as far as this host knows. Beyond it the host reads the store
	// itself, which leaves it half of the shortest time in which a change must be
	// in force.
	readerTrust = 1500 * time.Millisecond
)

// Reader returns the host of the own zone that reads the store for the others,
// and how new its copy is. It returns false where this host should read the
// store itself: in a small fleet, as the zone's reader, or where the reader is
// silent or does not reach the store.
func (r *Roster) Reader(now time.Time) (core.Host, core.Revisions, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.members) < smallFleet {
		return core.Host{}, core.Revisions{}, false
	}
	m := r.zoneReader(now)
	if m == nil || !m.beat.Reads || now.Sub(m.heard)+m.beat.StoreAge.Duration() > readerTrust {
		return core.Host{}, core.Revisions{}, false
	}
	return m.host, m.beat.Revisions, true
}

// zoneReader returns the live member that comes first in the own zone, by
// rendezvous hash; nil where this host does. The caller holds Roster.mu.
func (r *Roster) zoneReader(now time.Time) *member {
	zone := string(r.Self.Zone.Name)
	g := r.rings()
	var first *member
	best := core.Weigh(string(r.Self.Name), zone)
	for _, m := range r.members {
		if m.host.Zone.Name != r.Self.Zone.Name || !m.beat.Ready || !g.isLive(m, now) {
			continue
		}
		if w := core.Weigh(string(m.host.Name), zone); w > best {
			first, best = m, w
		}
	}
	return first
}

// IsReader reports whether hosts of the own zone may depend on this one's reads.
func (r *Roster) IsReader(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members) >= smallFleet && r.zoneReader(now) == nil
}

// ZonePeers returns the other hosts of the own zone that may be alive.
func (r *Roster) ZonePeers(now time.Time) []core.Host {
	return filter(r.Peers(now), func(h core.Host) bool { return h.Zone.Name == r.Self.Zone.Name })
}
