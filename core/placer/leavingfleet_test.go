package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/roster"
)

// leavingHost is one host of a simulated fleet in which an upstream drains.
type leavingHost struct {
	*placer.Placer
	roster *roster.Roster
	period int
	// phase is when the host's periods begin.
	phase time.Duration
}

// newLeavingFleet returns hosts in two zones of each of three regions that list the same
// upstreams and have heard of each other.
func newLeavingFleet(size int, list []core.Upstream, random *rand.Rand) []*leavingHost {
	names := []core.ZoneName{"slz-a", "slz-b", "for-a", "for-b", "nat-a", "nat-b"}
	all := make([]core.Host, size)
	for i := range all {
		zone := names[i%len(names)]
		all[i] = core.Host{Name: core.HostName(fmt.Sprint("host-", i)), Zone: core.Zone{Name: zone, Region: regions[zone]}}
	}
	hosts := make([]*leavingHost, size)
	for i, self := range all {
		r := &roster.Roster{Self: self}
		for _, other := range all {
			r.RecordHeartbeat(roster.Heartbeat{Host: other, Ready: true}, start)
		}
		hosts[i] = &leavingHost{
			Placer: newPlacer(self.Zone.Name, list), roster: r, period: random.IntN(100),
			phase: time.Duration(random.IntN(50)) * 10 * time.Millisecond,
		}
	}
	return hosts
}

// TestDeparturesSpreadInLargeFleets guards against hosts that hear late that upstreams drain,
// since an urgent heartbeat reaches only a part of a large fleet and a heartbeat has room
// for few upstreams. One datagram in ten is lost, and requests tell one host alone.
func TestDeparturesSpreadInLargeFleets(t *testing.T) {
	const step, period, most = 10 * time.Millisecond, 500 * time.Millisecond, 8
	const drainTime = 2500 * time.Millisecond
	for _, tt := range []struct {
		hosts, leaving int
		within         time.Duration
	}{
		{12, 1, time.Second},
		{12, 30, time.Second},
		{295, 1, time.Second},
		{295, 30, drainTime},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d upstreams", tt.hosts, tt.leaving), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			list := numberedUpstreams(40, "slz-a", "for-a", "nat-a")
			hosts := newLeavingFleet(tt.hosts, list, random)
			byName := map[core.HostName]*leavingHost{}
			for _, h := range hosts {
				byName[h.roster.Self.Name] = h
			}
			tell := func(h *leavingHost, targets []core.Host, now time.Time) (hasMore bool) {
				notices, hasMore := h.LeavingNotices(most, now)
				for _, target := range targets {
					if random.IntN(10) == 0 {
						continue
					}
					for name, incarnation := range notices {
						byName[target.Name].MergeLeavingNotice(name, incarnation, h.roster.Self.Name, now)
					}
				}
				return hasMore
			}
			for _, u := range list[:tt.leaving] {
				hosts[0].RecordAvailability(u, placer.Availability{IsLeaving: true}, start)
			}
			nextUrgent, isUrgent := start, true
			for now := start; ; now = now.Add(step) {
				if isUrgent && !now.Before(nextUrgent) {
					targets := hosts[0].roster.UrgentTargets(start)
					isUrgent = tell(hosts[0], targets, now)
					nextUrgent = now.Add(time.Duration(len(targets)) * 5 * time.Millisecond)
				}
				knowing := 0
				for _, h := range hosts {
					if (now.Sub(start)-h.phase)%period == 0 && now.Sub(start) >= h.phase {
						h.period++
						tell(h, h.roster.HeartbeatTargets(h.period, start), now)
					}
					if h.LeavingUpstreams() == tt.leaving {
						knowing++
					}
				}
				if knowing == len(hosts) {
					t.Logf("all know after %v", now.Sub(start))
					return
				}
				if now.Sub(start) >= tt.within {
					t.Fatalf("%d of %d hosts know after %v", knowing, len(hosts), tt.within)
				}
			}
		})
	}
}
