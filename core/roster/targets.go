package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// HeartbeatTargets returns the hosts that get a heartbeat in the given period.
func (r *Roster) HeartbeatTargets(period int, now time.Time) []core.Host {
	peers := r.Peers(now)
	r.mu.Lock()
	s := r.schedule()
	r.mu.Unlock()
	var due []core.Host
	var seen [proximityCount]int
	for _, p := range peers {
		distance := s.proximityOf(p.Zone)
		if (seen[distance]+period)%s.periods[distance] == 0 {
			due = append(due, p)
		}
		seen[distance]++
	}
	return due
}

// maxUrgentTargets is the number of hosts that get an urgent update at once. Other
// hosts get it with their next regular heartbeat.
const maxUrgentTargets = 100

// UrgentTargets returns the hosts that get an urgent update at once: all hosts in a fleet
// of up to maxUrgentTargets peers, and in a larger one only hosts of this host's
// region, those of its zone first.
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

// AssignedChecks returns a function that reports whether this host, among the live hosts
// of its region, is assigned the health checks of an upstream of the region. While
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
