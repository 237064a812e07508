package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// smallFleet is the number of hosts up to which each reads the store itself:
	// there the calls cost little, and no host depends on another.
	smallFleet = 24
	// defaultTrust is how old the last contact of a zone's reader with the store
	// may be, as far as this host knows, where no bound is stated.
	defaultTrust = 1500 * time.Millisecond
	// trustPart is the part of the time in which a change must be in force that
	// this may be. Beyond it the host reads the store itself, in the rest.
	trustPart = 0.6
)

// trust returns how old the reader's last contact with the store may be. The
// caller holds Roster.mu.
func (r *Roster) trust() time.Duration {
	if r.InForce <= 0 {
		return defaultTrust
	}
	return time.Duration(trustPart * float64(r.InForce))
}

// rank is the order in which hosts of a zone read the store for the others: the
// one of the greatest capacity first, and of several the first by rendezvous
// hash.
type rank struct {
	capacity core.Capacity
	weight   uint64
}

func rankOf(host core.Host) rank {
	return rank{capacity: host.Capacity, weight: core.Weigh(string(host.Name), string(host.Zone.Name))}
}

func (k rank) isAbove(other rank) bool {
	return k.capacity > other.capacity || k.capacity == other.capacity && k.weight > other.weight
}

// Reader returns the host of the own zone that reads the store for this one, and
// how new its copy is: the first of those that read it, where that comes before
// this host. It returns false where this host should read the store itself: in a
// small fleet, or where those before it are silent or do not reach the store.
func (r *Roster) Reader(now time.Time) (core.Host, core.Revisions, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.reader(now)
	if m == nil {
		return core.Host{}, core.Revisions{}, false
	}
	return m.host, m.beat.Revisions, true
}

// reader returns the member that reads the store for this host; nil where there is
// none. The caller holds Roster.mu.
func (r *Roster) reader(now time.Time) *member {
	if !r.isLarge() {
		return nil
	}
	g := r.rings()
	var first *member
	best := rankOf(r.Self)
	for _, m := range r.members {
		if m.host.Zone.Name != r.Self.Zone.Name || !m.beat.Ready || !m.beat.Reads || !g.isLive(m, now) {
			continue
		}
		if now.Sub(m.heard)+m.beat.StoreAge.Duration() > r.trust() {
			continue
		}
		if k := rankOf(m.host); k.isAbove(best) {
			first, best = m, k
		}
	}
	return first
}

// IsReader reports whether hosts of the own zone may depend on this one's reads.
func (r *Roster) IsReader(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLarge() && r.reader(now) == nil
}

// IsLarge reports whether the fleet is so large that one host of a zone reads the
// store for the others.
func (r *Roster) IsLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLarge()
}

// isLarge is IsLarge for callers that hold Roster.mu.
func (r *Roster) isLarge() bool {
	return len(r.members) >= smallFleet
}

// Leads reports whether no live host of the own zone, ready or not, should read the
// store rather than this one.
func (r *Roster) Leads(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLarge() {
		return true
	}
	g := r.rings()
	own := rankOf(r.Self)
	for _, m := range r.members {
		if m.host.Zone.Name == r.Self.Zone.Name && g.isLive(m, now) && rankOf(m.host).isAbove(own) {
			return false
		}
	}
	return true
}

// ZonePeers returns the other hosts of the own zone that may be alive.
func (r *Roster) ZonePeers(now time.Time) []core.Host {
	return filter(r.Peers(now), func(h core.Host) bool { return h.Zone.Name == r.Self.Zone.Name })
}
