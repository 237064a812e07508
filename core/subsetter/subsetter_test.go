package subsetter_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/subsetter"
)

// hostsIn returns hosts in a number of regions, evenly.
func hostsIn(regions, n int) []core.Host {
	list := make([]core.Host, n)
	for i := range list {
		list[i].Name = core.HostName(fmt.Sprintf("host-%d", i))
		list[i].Zone.Region = regionName(i % regions)
	}
	return list
}

// upstreamsIn returns upstreams in a number of regions, evenly.
func upstreamsIn(regions, n int) []subsetter.Upstream {
	list := make([]subsetter.Upstream, n)
	for i := range list {
		list[i] = subsetter.Upstream{Name: core.UpstreamName(fmt.Sprintf("desk-%d", i)), Region: regionName(i % regions)}
	}
	return list
}

func regionName(i int) core.RegionName {
	return core.RegionName(fmt.Sprintf("region-%d", i))
}

// selections returns what each host selects, all with the same lists.
func selections(lists subsetter.Lists) map[core.HostName]map[core.UpstreamName]bool {
	selected := make(map[core.HostName]map[core.UpstreamName]bool, len(lists.Hosts))
	for _, h := range lists.Hosts {
		selected[h.Name] = selectionOf(h.Name, lists)
	}
	return selected
}

func selectionOf(host core.HostName, lists subsetter.Lists) map[core.UpstreamName]bool {
	s := subsetter.Subsetter{Self: host}
	s.Update(lists)
	return s.Selected()
}

// hostCounts returns by how many hosts each upstream was selected.
func hostCounts(selected map[core.HostName]map[core.UpstreamName]bool) map[core.UpstreamName]int {
	counts := map[core.UpstreamName]int{}
	for _, upstreams := range selected {
		for name := range upstreams {
			counts[name]++
		}
	}
	return counts
}

// drawLists returns lists of unevenly spread hosts and upstreams.
func drawLists(t *rapid.T) subsetter.Lists {
	lists := subsetter.Lists{
		Hosts:       hostsIn(1, rapid.IntRange(1, 60).Draw(t, "hosts")),
		Upstreams:   upstreamsIn(1, rapid.IntRange(0, 30).Draw(t, "upstreams")),
		Connections: rapid.IntRange(0, 40).Draw(t, "connections"),
	}
	regions := rapid.IntRange(0, 3)
	for i := range lists.Hosts {
		lists.Hosts[i].Zone.Region = regionName(regions.Draw(t, "region of a host"))
	}
	for i := range lists.Upstreams {
		lists.Upstreams[i].Region = regionName(regions.Draw(t, "region of an upstream"))
	}
	return lists
}

// TestSelection guards against an upstream that more hosts select than it has connections
// for, and a host that refuses every request since it selects no upstream although there are
// enough connections.
func TestSelection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := drawLists(t)
		selected := selections(lists)
		for name, n := range hostCounts(selected) {
			if n > lists.Connections {
				t.Fatalf("%s is selected by %d hosts and takes %d", name, n, lists.Connections)
			}
		}
		total := len(lists.Upstreams) * lists.Connections
		served := 0
		for _, upstreams := range selected {
			if len(upstreams) > 0 {
				served++
			}
		}
		if served < min(total, len(lists.Hosts)) {
			t.Fatalf("%d of %d hosts have an upstream, with %d connections", served, len(lists.Hosts), total)
		}
	})
}

// TestUpdateMatchesNewSelection guards against a selection that depends on earlier lists:
// two hosts that learned of changes in another order would select by different rules.
func TestUpdateMatchesNewSelection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := subsetter.Subsetter{Self: "host-0"}
		for range rapid.IntRange(1, 6).Draw(t, "updates") {
			lists := drawLists(t)
			lists.Hosts = rapid.Permutation(lists.Hosts).Draw(t, "order of hosts")
			lists.Upstreams = rapid.Permutation(lists.Upstreams).Draw(t, "order of upstreams")
			s.Update(lists)
			fresh := selectionOf("host-0", lists)
			for _, u := range lists.Upstreams {
				if s.Contains(u.Name) != fresh[u.Name] {
					t.Fatalf("%s is selected: %v, by a new host: %v", u.Name, s.Contains(u.Name), fresh[u.Name])
				}
			}
			if len(s.Selected()) != len(fresh) {
				t.Fatalf("%d are selected, by a new host %d", len(s.Selected()), len(fresh))
			}
			if s.Update(lists) {
				t.Fatal("the same lists count as a change")
			}
		}
	})
}

// TestFewConnectionsOverManyHosts covers what a selection by rendezvous hashing alone got
// wrong: of 40 hosts and 12 upstreams with 9 connections one host selected none.
func TestFewConnectionsOverManyHosts(t *testing.T) {
	is := is.New(t)
	selected := selections(subsetter.Lists{Hosts: hostsIn(3, 40), Upstreams: upstreamsIn(3, 12), Connections: 9})
	for _, upstreams := range selected {
		is.True(len(upstreams) > 0)
	}
	total := 0
	for _, n := range hostCounts(selected) {
		total += n
	}
	is.True(total >= 12*9*8/10) // Connections that no host may open are wasted.
}

// TestHostsPreferTheirRegion checks that hosts select mostly upstreams of their own region,
// and that hosts of a region without upstreams get a fair part of the others.
func TestHostsPreferTheirRegion(t *testing.T) {
	is := is.New(t)
	lists := subsetter.Lists{Hosts: hostsIn(3, 120), Upstreams: upstreamsIn(2, 40), Connections: 20}
	selected := selections(lists)
	upstreamRegion := map[core.UpstreamName]core.RegionName{}
	for _, u := range lists.Upstreams {
		upstreamRegion[u.Name] = u.Region
	}
	all, local, without := 0, 0, 0
	for _, h := range lists.Hosts {
		for name := range selected[h.Name] {
			all++
			if upstreamRegion[name] == h.Zone.Region {
				local++
			}
			if h.Zone.Region == "region-2" {
				without++
			}
		}
	}
	is.True(local > all/2)
	is.True(without > all/6) // A third of the hosts; an equal part is a third.
}

// TestLittleMoves guards against many connections that close and open elsewhere when one
// host or one upstream comes or goes.
func TestLittleMoves(t *testing.T) {
	lists := subsetter.Lists{Hosts: hostsIn(5, 200), Upstreams: upstreamsIn(5, 40), Connections: 30}
	without := lists
	without.Hosts = lists.Hosts[:199]
	fewer := lists
	fewer.Upstreams = lists.Upstreams[:39]
	before := selections(lists)
	for name, after := range map[string]subsetter.Lists{"host": without, "upstream": fewer} {
		is := is.New(t)
		moved := movedSelections(before, selections(after), lists.Upstreams[:39], lists.Hosts[:199])
		t.Logf("a %s goes: %d of %d selections of the others changed", name, moved, 40*30)
		is.True(moved <= 3*30) // The selections of one upstream, twice as many for the homes.
	}
}

// movedSelections counts the differences of two selections for the given upstreams and hosts.
func movedSelections(
	a, b map[core.HostName]map[core.UpstreamName]bool, upstreams []subsetter.Upstream, hosts []core.Host,
) int {
	moved := 0
	for _, h := range hosts {
		for _, u := range upstreams {
			if a[h.Name][u.Name] != b[h.Name][u.Name] {
				moved++
			}
		}
	}
	return moved
}

// TestListsDiffer checks how many hosts select an upstream while the lists of hosts differ:
// each host misses some hosts and upstreams that others know, up to a tenth of the hosts and
// a quarter of the upstreams. An upstream is selected by as many hosts more as hosts are
// missing, and by five for each upstream that is.
func TestListsDiffer(t *testing.T) {
	hosts, upstreams := hostsIn(4, 120), upstreamsIn(4, 12)
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(10, 100).Draw(t, "connections")
		newHosts := rapid.IntRange(0, 12).Draw(t, "new hosts")
		newUpstreams := rapid.IntRange(0, 3).Draw(t, "new upstreams")
		knowsHosts := rapid.SliceOfN(rapid.IntRange(0, newHosts), len(hosts), len(hosts)).Draw(t, "known hosts")
		knowsUpstreams := rapid.SliceOfN(rapid.IntRange(0, newUpstreams), len(hosts), len(hosts)).Draw(t, "known upstreams")
		selected := map[core.HostName]map[core.UpstreamName]bool{}
		for i, h := range hosts {
			known := hosts[:len(hosts)-newHosts+knowsHosts[i]]
			if !slices.Contains(known, h) {
				known = append(slices.Clone(known), h)
			}
			selected[h.Name] = selectionOf(h.Name, subsetter.Lists{
				Hosts: known, Upstreams: upstreams[:len(upstreams)-newUpstreams+knowsUpstreams[i]], Connections: connections,
			})
		}
		for name, n := range hostCounts(selected) {
			if n > connections+newHosts+5*newUpstreams {
				t.Fatalf("%s is selected by %d hosts and takes %d; %d hosts and %d upstreams are new", name, n, connections, newHosts, newUpstreams)
			}
		}
	})
}

// BenchmarkUpdate measures an update of a large fleet: a new selection, and one in which a
// host or an upstream came or went.
func BenchmarkUpdate(b *testing.B) {
	const regions, connections = 30, 351
	full := subsetter.Lists{Hosts: hostsIn(regions, 1300), Upstreams: upstreamsIn(regions, 1209), Connections: connections}
	fewerHosts, fewerUpstreams := full, full
	fewerHosts.Hosts, fewerUpstreams.Upstreams = full.Hosts[:1299], full.Upstreams[:1208]
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			selectionOf("host-0", full)
		}
	})
	s := subsetter.Subsetter{Self: "host-0"}
	for name, other := range map[string]subsetter.Lists{"same": full, "host": fewerHosts, "upstream": fewerUpstreams} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s.Update(full)
				s.Update(other)
			}
		})
	}
}
