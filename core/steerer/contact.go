package steerer

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
)

// How often a host sends to others than the live hosts of its availability zone.
const (
	// relayInterval is the number of heartbeats from one exchange between the relays
	// of different availability zones to the next.
	relayInterval = 2
	// expiredContactInterval is the number of heartbeats from one message to an expired
	// host to the next.
	expiredContactInterval = 4
)

// RecordBatch is a set of records to send to one host.
type RecordBatch struct {
	To      core.Host
	Records []tracker.Record
}

// NextRecordBatches returns the records to send at one heartbeat. The hosts of an availability
// zone send their own records to each other. The relay of a zone also sends the records
// of its zone to the relays of other zones, and the records of the other zones to the
// hosts of its own zone. Expired hosts get records now and then, so that hosts find each
// other again after a network partition.
func (s *Steerer) NextRecordBatches(now time.Time) []RecordBatch {
	own := s.NextRecord(now)
	live := s.Tracker.Live(now)
	expired := s.Tracker.Expired(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats++
	zone := s.Self.Zone.Name
	local, remote := splitByZone(live, zone)
	isRelay := s.isRelay(local)
	recordsForZone := []tracker.Record{own}
	if isRelay {
		recordsForZone = append(recordsForZone, recordsOf(remote)...)
	}
	var letters []RecordBatch
	for _, m := range local {
		letters = append(letters, RecordBatch{To: m.Host, Records: recordsForZone})
	}
	recordsOfZone := append([]tracker.Record{own}, recordsOf(local)...)
	if isRelay && s.heartbeats%relayInterval == 0 {
		for _, m := range relays(remote) {
			letters = append(letters, RecordBatch{To: m.Host, Records: recordsOfZone})
		}
	}
	if s.heartbeats%expiredContactInterval == 0 {
		for _, m := range expired {
			letters = append(letters, RecordBatch{To: m.Host, Records: recordsOfZone})
		}
	}
	return letters
}

// IsRelay reports whether this host is the relay of its availability zone.
func (s *Steerer) IsRelay(now time.Time) bool {
	local, _ := splitByZone(s.Tracker.Live(now), s.Self.Zone.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isRelay(local)
}

// isRelay is IsRelay for callers that hold mu and know the other live hosts of the zone.
// Every host is a relay where the zone has no host that may hold roles.
func (s *Steerer) isRelay(local []tracker.Member) bool {
	owners := tracker.EligibleHosts(s.Self, s.phase, s.Self.Zone.Name, local)
	relay, ok := tracker.RelayOf(s.Self.Zone.Name, owners)
	return !ok || relay == s.Self.Name
}

// splitByZone divides members into those of the availability zone and the others.
func splitByZone(members []tracker.Member, zone core.ZoneName) (local, remote []tracker.Member) {
	for _, m := range members {
		if m.Host.Zone.Name == zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}

// relays returns the relay of each availability zone among the members. Where no host
// of a zone may hold roles, it returns one of the zone's hosts.
func relays(members []tracker.Member) []tracker.Member {
	membersByZone := map[core.ZoneName][]tracker.Member{}
	for _, m := range members {
		membersByZone[m.Host.Zone.Name] = append(membersByZone[m.Host.Zone.Name], m)
	}
	var selected []tracker.Member
	for z, zoneMembers := range membersByZone {
		owners := tracker.EligibleHosts(core.Host{}, "", z, zoneMembers)
		relay, ok := tracker.RelayOf(z, owners)
		for _, m := range zoneMembers {
			if m.Host.Name == relay || !ok {
				selected = append(selected, m)
				break
			}
		}
	}
	return selected
}

// recordsOf returns the records of the members.
func recordsOf(members []tracker.Member) []tracker.Record {
	records := make([]tracker.Record, 0, len(members))
	for _, m := range members {
		records = append(records, m.Record)
	}
	return records
}

// HostsAhead returns the live hosts that have a newer ticket in force than this host, those
// of its availability zone first.
func (s *Steerer) HostsAhead(now time.Time) []core.Host {
	number := s.Sequencer.TicketNumber()
	local, remote := splitByZone(s.Tracker.Live(now), s.Self.Zone.Name)
	var hosts []core.Host
	for _, members := range [][]tracker.Member{local, remote} {
		for _, m := range members {
			if m.TicketNumber > number {
				hosts = append(hosts, m.Host)
			}
		}
	}
	return hosts
}
