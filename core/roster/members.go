package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Member is what this host knows of one host of the fleet.
type Member struct {
	Host core.Host
	// IsRegistered says that the store lists the host.
	IsRegistered bool
	// IsReady says that the host's heartbeats arrive and say that it takes requests of clients.
	IsReady bool
	// IsJoining says that the host has started lately, so that it and the others of its zone may
	// not know of each other yet.
	IsJoining bool
}

// recordListed records an entry of this host in the store's list. The caller holds Roster.mu.
func (r *Roster) recordListed(entry core.Host, now time.Time) {
	if entry.Incarnation == r.Self.Incarnation && r.listedSince.IsZero() {
		r.listedSince = now
	}
	r.wasListed = r.wasListed || r.registrations == nil && entry.Incarnation < r.Self.Incarnation
}

// HasJoined reports whether this host and the other live ones of its zone know each other. Of two
// hosts, the one that registers later finds the other one in the list in which it finds itself, and
// sends it heartbeats from then on, which are answered. A host that was killed need not wait: its
// registration was not removed, nor were those of hosts that were killed with it, so that the list
// has them all; the hosts that removed theirs wait.
func (r *Roster) HasJoined(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	const exchanges = 2 // a heartbeat there and one back
	return r.isListedFor(exchanges, now)
}

// isJoining reports whether the hosts of this host's zone may not know yet that it has joined. The
// caller holds Roster.mu.
func (r *Roster) isJoining(now time.Time) bool {
	const exchanges = 4 // those of HasJoined, the heartbeat that says so, and one that may be lost
	return !r.isListedFor(exchanges, now)
}

// isListedFor reports whether the store has listed this host for as long as its zone needs for a
// number of successive heartbeats. The caller holds Roster.mu.
func (r *Roster) isListedFor(heartbeats int, now time.Time) bool {
	s := r.schedule()
	needed := time.Duration(heartbeats)*s.interval(r.Self.Zone) + heartbeatPeriod
	if r.wasListed {
		return true
	}
	return !r.listedSince.IsZero() && now.Sub(r.listedSince) >= needed
}

// Members returns this host and every other one that is registered or whose heartbeats arrive, in
// no order.
func (r *Roster) Members(now time.Time) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A host that serves has registered itself.
	list := []Member{{Host: r.Self, IsRegistered: true, IsReady: r.isReady, IsJoining: r.isJoining(now)}}
	s := r.schedule()
	for name, m := range r.members {
		_, isRegistered := r.registrations[name]
		isReady := s.isLive(m, now) && m.heartbeat.Ready
		if isRegistered || isReady {
			list = append(list, Member{
				Host: m.host, IsRegistered: isRegistered, IsReady: isReady, IsJoining: m.heartbeat.IsJoining,
			})
		}
	}
	for name, known := range r.registrations {
		if r.members[name] == nil {
			list = append(list, Member{Host: known.host, IsRegistered: true})
		}
	}
	return list
}
