package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// proximity says how near another host is to this one.
type proximity int

const (
	sameZone proximity = iota
	sameRegion
	otherRegion
	proximityCount
)

// heartbeatsPerPeriod is the number of hosts of each proximity that get a heartbeat
// in each period. It is bounded so that heartbeats cost the same in a large fleet.
// Hosts of the same zone get them most often: clients are referred to them, and one
// of them may read the store for this host.
var heartbeatsPerPeriod = [proximityCount]int{16, 12, 8}

// schedule says how often hosts of each proximity send heartbeats to one another.
type schedule struct {
	self core.Zone
	// periods is the number of periods in which all hosts of a proximity get one
	// heartbeat.
	periods    [proximityCount]int
	maxSilence time.Duration
}

// schedule returns the schedule for the hosts that are known. The caller holds
// Roster.mu.
func (r *Roster) schedule() schedule {
	var sizes [proximityCount]int
	s := schedule{self: r.Self.Zone, maxSilence: r.MaxHeartbeatTimeout}
	for _, m := range r.members {
		sizes[s.proximityOf(m.host.Zone)]++
	}
	for i, n := range sizes {
		s.periods[i] = max(1, (n+heartbeatsPerPeriod[i]-1)/heartbeatsPerPeriod[i])
	}
	return s
}

// proximityOf returns how near a host of the given zone is.
func (s *schedule) proximityOf(zone core.Zone) proximity {
	switch {
	case zone.Name == s.self.Name:
		return sameZone
	case zone.Region == s.self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// interval returns the time between two heartbeats of a host of the zone.
func (s *schedule) interval(zone core.Zone) time.Duration {
	return time.Duration(s.periods[s.proximityOf(zone)]) * heartbeatPeriod
}

// timeout returns the time without a heartbeat after which a host of the zone no
// longer counts as live.
func (s *schedule) timeout(zone core.Zone) time.Duration {
	interval := s.interval(zone)
	timeout := maxMissedHeartbeats * interval
	if s.maxSilence > 0 {
		timeout = min(timeout, s.maxSilence)
	}
	return max(timeout, interval+interval/2)
}

// isLive reports whether the heartbeats of a member arrive.
func (s *schedule) isLive(m *member, now time.Time) bool {
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) <= s.timeout(m.host.Zone)
}

// evictAfter returns the time without a heartbeat after which a host of the zone no
// longer counts for shared limits.
func (s *schedule) evictAfter(zone core.Zone) time.Duration {
	const minIntervals = 2
	return max(minEvictAfter, minIntervals*s.interval(zone))
}
