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

const (
	// regionPeriods is the number of periods in which a host of another region gets, on average,
	// at least one heartbeat from the hosts of a region. A region with few of the fleet's hosts
	// sends more for it than heartbeatsPerPeriod.
	regionPeriods = 4
	// maxHeartbeatsPerPeriod bounds what a host of a very small region sends to other regions.
	maxHeartbeatsPerPeriod = 64
)

// schedule says how often hosts of each proximity send heartbeats to one another.
type schedule struct {
	self core.Zone
	// zones and regions are the numbers of known hosts in them, this host included, and fleet
	// is the number of all known hosts.
	zones      map[core.ZoneName]int
	regions    map[core.RegionName]int
	fleet      int
	maxSilence time.Duration
}

// schedule returns the schedule for the hosts that are known. The caller holds
// Roster.mu.
func (r *Roster) schedule() schedule {
	s := schedule{
		self:  r.Self.Zone,
		zones: map[core.ZoneName]int{}, regions: map[core.RegionName]int{},
		maxSilence: r.MaxHeartbeatTimeout,
	}
	s.count(r.Self)
	for _, m := range r.members {
		s.count(m.host)
	}
	return s
}

// count adds a host to the numbers of known hosts.
func (s *schedule) count(host core.Host) {
	s.zones[host.Zone.Name]++
	s.regions[host.Zone.Region]++
	s.fleet++
}

// periods returns the number of periods in which a host of the given zone sends one heartbeat to
// each host of a proximity. The last argument is the number of hosts of its region that send.
func (s *schedule) periods(sender core.Zone, receivers proximity, senders int) int {
	inZone, inRegion := s.zones[sender.Name], s.regions[sender.Region]
	sizes := [proximityCount]int{sameZone: inZone - 1, sameRegion: inRegion - inZone, otherRegion: s.fleet - inRegion}
	perPeriod := heartbeatsPerPeriod[receivers]
	if receivers == otherRegion {
		wanted := quotientUp(s.fleet-inRegion, regionPeriods*senders)
		perPeriod = max(perPeriod, min(wanted, maxHeartbeatsPerPeriod))
	}
	return max(1, quotientUp(sizes[receivers], perPeriod))
}

// quotientUp returns the quotient of two numbers, rounded up; 0 if the divisor is 0.
func quotientUp(dividend, divisor int) int {
	if divisor == 0 {
		return 0
	}
	return (dividend + divisor - 1) / divisor
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

// interval returns the time between two heartbeats that a host of the zone sends to this one. It
// depends on the hosts that the sender knows in other places, not on those that this host does.
func (s *schedule) interval(zone core.Zone) time.Duration {
	return time.Duration(s.periods(zone, s.proximityOf(zone), s.regions[zone.Region])) * heartbeatPeriod
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

// isNamed reports whether clients may be sent to a member. Where its heartbeats are so rare that a
// live host may be silent for longer than maxSilence, other hosts of its region are named meanwhile.
func (s *schedule) isNamed(m *member, now time.Time) bool {
	isRecent := s.maxSilence <= 0 || now.Sub(m.lastHeartbeat) <= s.maxSilence
	return m.heartbeat.Ready && isRecent && s.isLive(m, now)
}

// evictAfter returns the time without a heartbeat after which a host of the zone no
// longer counts for shared limits.
func (s *schedule) evictAfter(zone core.Zone) time.Duration {
	const minIntervals = 2
	return max(minEvictAfter, minIntervals*s.interval(zone))
}
