package roster

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// ring tells how near another host is.
type ring int

const (
	ownZone ring = iota
	ownRegion
	elsewhere
	ringCount
)

// told is how many hosts of each ring are told in each period, so that heartbeats
// cost the same in a large fleet. Hosts of the own zone are heard most often:
// clients are told of them, and one of them may read the store for this host.
var told = [ringCount]int{16, 12, 8}

// rings says how often the hosts of each ring are heard. All of a ring are told
// once in its number of turns.
type rings struct {
	own        core.Zone
	turns      [ringCount]int
	maxSilence time.Duration
}

// rings returns the rings of the hosts that are known. The caller holds
// Roster.mu.
func (r *Roster) rings() rings {
	var sizes [ringCount]int
	g := rings{own: r.Self.Zone, maxSilence: r.MaxSilence}
	for _, m := range r.members {
		sizes[g.of(m.host.Zone)]++
	}
	for i, n := range sizes {
		g.turns[i] = max(1, (n+told[i]-1)/told[i])
	}
	return g
}

func (g *rings) of(zone core.Zone) ring {
	switch {
	case zone.Name == g.own.Name:
		return ownZone
	case zone.Region == g.own.Region:
		return ownRegion
	default:
		return elsewhere
	}
}

// interval returns the time between two heartbeats of a host.
func (g *rings) interval(zone core.Zone) time.Duration {
	return time.Duration(g.turns[g.of(zone)]) * period
}

// silence returns the time without a heartbeat after which a host of the zone no
// longer counts as live.
func (g *rings) silence(zone core.Zone) time.Duration {
	interval := g.interval(zone)
	silence := missedTurns * interval
	if g.maxSilence > 0 {
		silence = min(silence, g.maxSilence)
	}
	return max(silence, interval+interval/2)
}

func (g *rings) isLive(m *member, now time.Time) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) <= g.silence(m.host.Zone)
}

// forgetAfter returns the silence after which a host of the zone no longer counts
// for shared limits.
func (g *rings) forgetAfter(zone core.Zone) time.Duration {
	const beats = 2
	return max(minForget, beats*g.interval(zone))
}
