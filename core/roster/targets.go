package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// rotationTask is the name by which a host draws where it begins to send heartbeats in turn,
	// and maxRotationOffset is one more than the highest number of periods that it draws.
	rotationTask      = "heartbeats"
	maxRotationOffset = 1024
)

// HeartbeatTargets returns the hosts that get a heartbeat in the period with the given
// number. The caller counts the periods, which take 500 ms each. In a large fleet, each period
// has only some of the peers, and hosts of the same zone have their turn most often.
func (r *Roster) HeartbeatTargets(period int, now time.Time) []core.Host {
	peers := r.Peers(now)
	r.mu.Lock()
	s := r.schedule()
	senders := r.liveInRegion(now)
	r.mu.Unlock()
	// Hosts that start together begin at different places of the rotation, so that their
	// heartbeats do not reach another host in the same period.
	period += int(core.RendezvousWeight(string(r.Self.Name), rotationTask) % maxRotationOffset)
	var periods [proximityCount]int
	for distance := range periods {
		periods[distance] = s.periods(r.Self.Zone, proximity(distance), senders)
	}
	var due []core.Host
	var seen [proximityCount]int
	for _, p := range peers {
		distance := s.proximityOf(p.Zone)
		if (seen[distance]+period)%periods[distance] == 0 {
			due = append(due, p)
		}
		seen[distance]++
	}
	return due
}

// liveInRegion returns the number of live hosts of this host's region, this one included. The
// caller holds Roster.mu.
func (r *Roster) liveInRegion(now time.Time) int {
	count := 1
	for _, m := range r.live(now) {
		if m.host.Zone.Region == r.Self.Zone.Region {
			count++
		}
	}
	return count
}

// maxUrgentTargets is the number of hosts that get an urgent update at once. Other
// hosts get it with their next regular heartbeat.
const maxUrgentTargets = 100

// UrgentTargets returns the hosts that get an urgent update, a heartbeat out of turn,
// at once: all hosts in a fleet of up to 100 peers, and in a larger one at most 100 hosts
// of this host's region, those of its zone first. Other hosts get the update with their
// next regular heartbeat.
func (r *Roster) UrgentTargets(now time.Time) []core.Host {
	peers := r.Peers(now)
	if len(peers) <= maxUrgentTargets {
		return peers
	}
	isInZone := func(h core.Host) bool { return h.Zone.Name == r.Self.Zone.Name }
	isInRegion := func(h core.Host) bool { return h.Zone.Region == r.Self.Zone.Region && !isInZone(h) }
	targets := append(filter(peers, isInZone), filter(peers, isInRegion)...)
	return targets[:min(len(targets), maxUrgentTargets)]
}

// AssignedChecks returns a function that reports whether this host checks the health of
// an upstream of its region. Each upstream of a region is assigned to one of the region's
// live hosts. While
// hosts disagree on which hosts are live, an upstream may be assigned to several
// hosts or to none.
func (r *Roster) AssignedChecks(now time.Time) func(core.UpstreamName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []core.HostName
	for _, m := range r.live(now) {
		if m.host.Zone.Region == r.Self.Zone.Region {
			candidates = append(candidates, m.host.Name)
		}
	}
	return func(upstream core.UpstreamName) bool { return isAssigned(r.Self.Name, candidates, string(upstream)) }
}

// isAssigned reports whether the host has the highest rendezvous weight for a task
// among the other hosts.
func isAssigned(host core.HostName, others []core.HostName, task string) bool {
	own := core.RendezvousWeight(string(host), task)
	for _, other := range others {
		if core.RendezvousWeight(string(other), task) > own {
			return false
		}
	}
	return true
}
