package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Turn returns the hosts that are told in the given period.
func (r *Roster) Turn(turn int, now time.Time) []core.Host {
	peers := r.Peers(now)
	r.mu.Lock()
	g := r.rings()
	r.mu.Unlock()
	var due []core.Host
	var seen [ringCount]int
	for _, p := range peers {
		at := g.of(p.Zone)
		if (seen[at]+turn)%g.turns[at] == 0 {
			due = append(due, p)
		}
		seen[at]++
	}
	return due
}

// maxUrgent is how many hosts are told of news at once; more hear of it in turn.
const maxUrgent = 100

// Urgent returns the hosts that are told of news at once: all in a fleet of a middle
// size, and in a larger one those of the own region, the own zone first.
func (r *Roster) Urgent(now time.Time) []core.Host {
	peers := r.Peers(now)
	if len(peers) <= maxUrgent {
		return peers
	}
	isOwn := func(h core.Host) bool { return h.Zone.Name == r.Self.Zone.Name }
	isNear := func(h core.Host) bool { return h.Zone.Region == r.Self.Zone.Region && !isOwn(h) }
	near := append(filter(peers, isOwn), filter(peers, isNear)...)
	return near[:min(len(near), maxUrgent)]
}

// IsFirst returns a function that reports whether this host is the one of its
// region's live hosts that should watch an upstream of the region. Hosts that
// know different hosts may both be first, or none.
func (r *Roster) IsFirst(now time.Time) func(core.UpstreamName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near []core.HostName
	for _, m := range r.live(now) {
		if m.host.Zone.Region == r.Self.Zone.Region {
			near = append(near, m.host.Name)
		}
	}
	return func(upstream core.UpstreamName) bool { return isFirstOf(r.Self.Name, near, string(upstream)) }
}

// isFirstOf reports whether a host comes before others for a task, by rendezvous
// hash.
func isFirstOf(host core.HostName, others []core.HostName, task string) bool {
	own := core.Weigh(string(host), task)
	for _, other := range others {
		if core.Weigh(string(other), task) > own {
			return false
		}
	}
	return true
}
