package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"

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

// IsFirst reports whether this host is the one of its region's live hosts that
// should watch an upstream of the region. Hosts that know different hosts may
// both be first, or none.
func (r *Roster) IsFirst(upstream core.UpstreamName, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near []*member
	for _, m := range r.live(now) {
		if m.host.Zone.Region == r.Self.Zone.Region {
			near = append(near, m)
		}
	}
	return r.isFirstOf(near, string(upstream))
}

// isFirstOf reports whether this host comes before the others for a task, by
// rendezvous hash. The caller holds Roster.mu.
func (r *Roster) isFirstOf(others []*member, task string) bool {
	own := weigh(r.Self.Name, task)
	for _, m := range others {
		if weigh(m.host.Name, task) > own {
			return false
		}
	}
	return true
}

func weigh(host core.HostName, task string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + task)
}

// turns returns in how many periods all hosts of the own region, and all of
// the others, are told once.
func (r *Roster) turns(peers []core.Host) (near, far int) {
	n := len(filter(peers, func(h core.Host) bool { return h.Zone.Region == r.Self.Zone.Region }))
	return max(1, (n+nearTurn-1)/nearTurn), max(1, (len(peers)-n+farTurn-1)/farTurn)
}
