package steerer

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
)

// How often distant hosts are contacted, in heartbeats.
const (
	// digestEvery is the number of heartbeats between two digests to another
	// availability zone.
	digestEvery = 2
	// retryEvery is the number of heartbeats between two contacts with a host
	// that is expired.
	retryEvery = 4
)

// Letter is a set of records for one host.
type Letter struct {
	To      core.Host
	Records []tracker.Record
}

// Letters returns what to send at a heartbeat. Hosts of an availability zone
// hear from each other; the relay of a zone also sends the records of its zone
// to the relays of other zones, and their records to its own zone. Expired
// hosts are contacted at times, so that a healed partition is noticed.
func (s *Steerer) Letters(now time.Time) []Letter {
	own := s.Record(now)
	live := s.Tracker.Live(now)
	expired := s.Tracker.Expired(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rounds++
	zone := s.Self.Zone.Name
	near, far := split(live, zone)
	isRelay := s.isRelay(near)
	nearRecords := []tracker.Record{own}
	if isRelay {
		nearRecords = append(nearRecords, recordsOf(far)...)
	}
	var letters []Letter
	for _, m := range near {
		letters = append(letters, Letter{To: m.Host, Records: nearRecords})
	}
	digest := append([]tracker.Record{own}, recordsOf(near)...)
	if isRelay && s.rounds%digestEvery == 0 {
		for _, m := range relays(far) {
			letters = append(letters, Letter{To: m.Host, Records: digest})
		}
	}
	if s.rounds%retryEvery == 0 {
		for _, m := range expired {
			letters = append(letters, Letter{To: m.Host, Records: digest})
		}
	}
	return letters
}

// IsRelay reports whether this host is the relay of its availability zone.
func (s *Steerer) IsRelay(now time.Time) bool {
	near, _ := split(s.Tracker.Live(now), s.Self.Zone.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isRelay(near)
}

func (s *Steerer) isRelay(near []tracker.Member) bool {
	owners := tracker.Owners(s.Self, s.phase, s.Self.Zone.Name, near)
	relay, ok := tracker.Relay(s.Self.Zone.Name, owners)
	return !ok || relay == s.Self.Name
}

// split divides members into those of the zone and the others.
func split(members []tracker.Member, zone core.ZoneName) (near, far []tracker.Member) {
	for _, m := range members {
		if m.Host.Zone.Name == zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// relays returns the relay of each availability zone among the members.
func relays(members []tracker.Member) []tracker.Member {
	zones := map[core.ZoneName][]tracker.Member{}
	for _, m := range members {
		zones[m.Host.Zone.Name] = append(zones[m.Host.Zone.Name], m)
	}
	var chosen []tracker.Member
	for z, list := range zones {
		owners := tracker.Owners(core.Host{}, "", z, list)
		relay, ok := tracker.Relay(z, owners)
		for _, m := range list {
			if m.Host.Name == relay || !ok {
				chosen = append(chosen, m)
				break
			}
		}
	}
	return chosen
}

func recordsOf(members []tracker.Member) []tracker.Record {
	records := make([]tracker.Record, 0, len(members))
	for _, m := range members {
		records = append(records, m.Record)
	}
	return records
}

// Behind returns the live hosts that have a newer ticket in force than this
// one, those of the own availability zone first.
func (s *Steerer) Behind(now time.Time) []core.Host {
	number := s.Sequencer.Number()
	near, far := split(s.Tracker.Live(now), s.Self.Zone.Name)
	var hosts []core.Host
	for _, list := range [][]tracker.Member{near, far} {
		for _, m := range list {
			if m.Ticket > number {
				hosts = append(hosts, m.Host)
			}
		}
	}
	return hosts
}
