package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Turn returns the hosts that are told in the given period.
func (r *Roster) Turn(turn int, now time.Time) []core.Host {
	peers := r.Peers(now)
	near, far := r.turns(peers)
	var told []core.Host
	nearSeen, farSeen := 0, 0
	for _, p := range peers {
		seen, turns := &farSeen, far
		if p.Zone.Region == r.Self.Zone.Region {
			seen, turns = &nearSeen, near
		}
		if (*seen+turn)%turns == 0 {
			told = append(told, p)
		}
		*seen++
	}
	return told
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

// turns returns in how many periods all hosts of the own region, and all of
// the others, are told once.
func (r *Roster) turns(peers []core.Host) (near, far int) {
	n := 0
	for i := range peers {
		if peers[i].Zone.Region == r.Self.Zone.Region {
			n++
		}
	}
	return turnsOf(n, len(peers)-n)
}

func turnsOf(nearHosts, farHosts int) (near, far int) {
	return max(1, (nearHosts+nearTurn-1)/nearTurn), max(1, (farHosts+farTurn-1)/farTurn)
}
