package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// smallFleetSize is the number of hosts up to which every host reads the store
	// itself: in a fleet of this size the calls cost little, and no host depends on
	// another.
	smallFleetSize = 24
	// defaultMaxStaleness is how long ago a zone's reader may have last reached the
	// store, as far as this host knows, where MaxPropagationDelay is not set.
	defaultMaxStaleness = 1500 * time.Millisecond
	// stalenessFraction is the fraction of MaxPropagationDelay that this time may take. After it
	// the host reads the store itself, in the remaining part of MaxPropagationDelay.
	stalenessFraction = 0.6
)

// maxStaleness returns how long ago the reader may have last reached the store. The
// caller holds Roster.mu.
func (r *Roster) maxStaleness() time.Duration {
	if r.MaxPropagationDelay <= 0 {
		return defaultMaxStaleness
	}
	return time.Duration(stalenessFraction * float64(r.MaxPropagationDelay))
}

// readerRank orders the hosts of a zone as candidates for its reader, the host that
// reads the store for the others: by capacity, then by rendezvous hash.
type readerRank struct {
	capacity core.Capacity
	weight   uint64
}

// rankOf returns the rank of a host.
func rankOf(host core.Host) readerRank {
	return readerRank{capacity: host.Capacity, weight: core.RendezvousWeight(string(host.Name), string(host.Zone.Name))}
}

// isAbove reports whether the rank is higher than the other.
func (r readerRank) isAbove(other readerRank) bool {
	return r.capacity > other.capacity || r.capacity == other.capacity && r.weight > other.weight
}

// ReaderStatus is what is known about the host that reads the store for this one.
type ReaderStatus struct {
	Host core.Host
	// Revisions are the revisions of its copy of the store.
	Revisions core.Revisions
	// UpstreamsConfirmed is when the store last confirmed its list of upstreams; zero if that
	// is unknown.
	UpstreamsConfirmed time.Time
}

// Reader returns the host of this host's zone that reads the store for it. The reader is the
// ready host of the highest rank among those that read the store. Reader returns false where
// this host should read the store itself:
//
//  1. in a small fleet,
//  2. where this host has the highest rank, or
//  3. where the hosts of a higher rank are silent, not ready, or do not reach the store.
func (r *Roster) Reader(now time.Time) (ReaderStatus, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.reader(now)
	if m == nil {
		return ReaderStatus{}, false
	}
	status := ReaderStatus{Host: m.host, Revisions: m.heartbeat.Revisions}
	if age := m.heartbeat.UpstreamsAge; age > 0 {
		status.UpstreamsConfirmed = m.lastHeartbeat.Add(-age.Duration())
	}
	return status, true
}

// reader returns the member that reads the store for this host; nil where there is
// none. The caller holds Roster.mu.
func (r *Roster) reader(now time.Time) *member {
	if !r.isLarge() {
		return nil
	}
	s := r.schedule()
	var best *member
	bestRank := rankOf(r.Self)
	for _, m := range r.members {
		if m.host.Zone.Name != r.Self.Zone.Name || !m.heartbeat.Ready || !m.heartbeat.ReadsStore || !s.isLive(m, now) {
			continue
		}
		if now.Sub(m.lastHeartbeat)+m.heartbeat.StoreAge.Duration() > r.maxStaleness() {
			continue
		}
		if rank := rankOf(m.host); rank.isAbove(bestRank) {
			best, bestRank = m, rank
		}
	}
	return best
}

// IsReader reports whether other hosts of the zone may use this host as their reader:
// the fleet is large, and Reader returns no host for this one.
func (r *Roster) IsReader(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLarge() && r.reader(now) == nil
}

// IsLargeFleet reports whether the fleet is so large that one host of a zone reads the
// store for the others: more than 24 hosts, including this one, may be alive.
func (r *Roster) IsLargeFleet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLarge()
}

// isLarge is IsLargeFleet for callers that hold Roster.mu.
func (r *Roster) isLarge() bool {
	return len(r.members) >= smallFleetSize
}

// HasHighestRank reports whether this host has the highest rank among the live hosts of its
// zone, whether they are ready or not, so that it should become the zone's reader. In a
// small fleet it is true of every host, as every host reads the store.
func (r *Roster) HasHighestRank(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLarge() {
		return true
	}
	s := r.schedule()
	own := rankOf(r.Self)
	for _, m := range r.members {
		if m.host.Zone.Name == r.Self.Zone.Name && s.isLive(m, now) && rankOf(m.host).isAbove(own) {
			return false
		}
	}
	return true
}

// ZonePeers returns the other hosts of this host's zone that may be alive.
func (r *Roster) ZonePeers(now time.Time) []core.Host {
	return filter(r.Peers(now), func(h core.Host) bool { return h.Zone.Name == r.Self.Zone.Name })
}
