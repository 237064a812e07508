package roster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

// fleetOf returns hosts in regions of the given sizes, each region with three zones.
func fleetOf(sizes ...int) []core.Host {
	const zonesPerRegion = 3
	var hosts []core.Host
	for i, size := range sizes {
		region := fmt.Sprint("region-", i)
		for n := range size {
			zone := fmt.Sprint(region, "-", n%zonesPerRegion)
			hosts = append(hosts, host(fmt.Sprintf("host-%d-%d", i, n), zone, region, 1))
		}
	}
	return hosts
}

// directoryModel is a fleet in which some hosts die at one moment and some datagrams are lost.
type directoryModel struct {
	hosts   []core.Host
	rosters map[core.HostName]*roster.Roster
	dead    map[core.HostName]time.Time
	random  *rand.Rand
	periods map[core.HostName]int
}

func newDirectoryModel(limit time.Duration, hosts []core.Host, seed uint64) *directoryModel {
	m := &directoryModel{
		hosts: hosts, rosters: map[core.HostName]*roster.Roster{}, dead: map[core.HostName]time.Time{},
		random: rand.New(rand.NewPCG(seed, 1)), periods: map[core.HostName]int{},
	}
	for _, h := range hosts {
		r := &roster.Roster{Self: h, MaxHeartbeatTimeout: limit}
		r.SetReady(true)
		r.SetRegistrations(hosts, start)
		m.rosters[h.Name] = r
		m.periods[h.Name] = m.random.IntN(3) // Hosts start within little more than a period.
	}
	return m
}

// sendHeartbeats lets each live host send the heartbeats of one period; one in fifty is lost.
func (m *directoryModel) sendHeartbeats(now time.Time) {
	for _, h := range m.hosts {
		if _, isDead := m.dead[h.Name]; isDead {
			continue
		}
		m.periods[h.Name]++
		for _, target := range m.rosters[h.Name].HeartbeatTargets(m.periods[h.Name], now) {
			if _, isDead := m.dead[target.Name]; !isDead && m.random.IntN(50) > 0 {
				m.rosters[target.Name].RecordHeartbeat(roster.Heartbeat{Host: h, Ready: true}, now)
			}
		}
	}
}

// liveIn returns the client addresses of the live hosts of a region.
func (m *directoryModel) liveIn(region core.RegionName) []string {
	var list []string
	for _, h := range m.hosts {
		if _, isDead := m.dead[h.Name]; !isDead && h.Zone.Region == region {
			list = append(list, h.ClientAddress)
		}
	}
	return list
}

// TestDirectoryInFleetsOfAnyShape guards against clients that are sent to a dead host for longer
// than the limit, by a host of any region, however many hosts the regions have: the heartbeats
// between regions are rarer in a large fleet. It guards as well against live hosts that are taken
// for dead: a region with a live host is always named by its own. Only the last host of a region
// whose others die must notice that first, and then sends more heartbeats for its region.
func TestDirectoryInFleetsOfAnyShape(t *testing.T) {
	tests := []struct {
		name string
		// sizes are the numbers of hosts of the regions.
		sizes []int
	}{
		{"a small fleet", []int{4, 4, 4}},
		{"a host by itself", []int{1, 3, 104}},
		{"a small region", []int{7, 150, 150}},
		{"a large fleet", []int{98, 98, 99}},
		{"many regions", []int{30, 30, 30, 30, 30, 30, 30, 30}},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkDirectory(t, fleetOf(tt.sizes...), uint64(i+1))
		})
	}
}

// checkDirectory kills the first region except its last host, and the first host of each other
// region, and asks one host of each region on behalf of clients of each region.
func checkDirectory(t *testing.T, hosts []core.Host, seed uint64) {
	const (
		limit      = 5200 * time.Millisecond
		cached     = 200 * time.Millisecond
		killPeriod = 40
		periods    = 80
		tick       = 500 * time.Millisecond
		// rotation is the time in which a region sends a heartbeat to each host of the others.
		rotation = 2 * time.Second
	)
	m := newDirectoryModel(limit, hosts, seed)
	lasts := map[core.RegionName]core.Host{}
	for _, h := range hosts {
		lasts[h.Zone.Region] = h
	}
	firstRegion, seen := hosts[0].Zone.Region, map[core.RegionName]bool{}
	var killedAt time.Time
	for period := range periods {
		now := start.Add(time.Duration(period) * tick)
		if period == killPeriod {
			killedAt = now
			for _, h := range hosts {
				isFirst := !seen[h.Zone.Region]
				seen[h.Zone.Region] = true
				if isFirst || h.Zone.Region == firstRegion && h != lasts[firstRegion] {
					m.dead[h.Name] = now
				}
			}
		}
		m.sendHeartbeats(now)
		if period < killPeriod/2 {
			continue
		}
		for _, observer := range lasts {
			if _, isDead := m.dead[observer.Name]; isDead {
				continue
			}
			for region, last := range lasts {
				list := m.rosters[observer.Name].Resolve(roster.Query{Zone: last.Zone, MaxAddresses: 64}, now)
				for _, h := range hosts {
					if _, isDead := m.dead[h.Name]; isDead && now.Sub(killedAt) > limit+cached && slices.Contains(list, h.ClientAddress) {
						t.Fatalf("%s names %s, dead for %v, to clients of %s", observer.Name, h.Name, now.Sub(killedAt), region)
					}
				}
				own := m.liveIn(region)
				isNamed := slices.ContainsFunc(list, func(address string) bool { return slices.Contains(own, address) })
				isNoticed := period < killPeriod || now.Sub(killedAt) > limit+rotation
				if len(own) > 0 && !isNamed && isNoticed {
					t.Fatalf("period %d: %s names no host of %s, which has %d live ones", period, observer.Name, region, len(own))
				}
			}
		}
	}
}
