package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
	"github.com/endiverun/endiverun/core/placer"
)

const (
	service = core.ServiceName("consulta")
	warmUp  = 3 * time.Second
)

var (
	start   = time.Unix(1000, 0)
	regions = map[core.ZoneName]core.RegionName{
		"slz-a": "slz", "slz-b": "slz", "for-a": "for", "for-b": "for", "nat-a": "nat", "nat-b": "nat",
	}
)

// upstreamsIn returns n upstreams in each of the zones.
func upstreamsIn(n int, zones ...core.ZoneName) []core.Upstream {
	var list []core.Upstream
	for _, z := range zones {
		for i := range n {
			list = append(list, core.Upstream{
				Name: core.UpstreamName(fmt.Sprintf("%s-%d", z, i)), Service: service, Zone: z, Address: "x", Slots: 6,
			})
		}
	}
	return list
}

// newPlacer returns the placer of a host in a zone. The warm-up limits are shared
// with the other hosts.
func newPlacer(zone core.ZoneName, list []core.Upstream, others ...core.HostName) *placer.Placer {
	pacing := &pacer.Pacer{Self: "self", RateMultiplier: 1.5, Burst: 5}
	pacing.SetHosts(namedHosts(append(others, "self")...))
	p := &placer.Placer{Zone: core.Zone{Name: zone, Region: regions[zone]}, RegionByZone: regions, Pacer: pacing}
	policy := core.ServicePolicy{Name: service, WarmUp: warmUp, WarmUpRate: 17}
	p.SetPolicy(core.NewRoutingPolicy(1, nil, []core.ServicePolicy{policy}, core.ClientLimits{}))
	p.SetUpstreams(list, start)
	return p
}

// namedHosts returns hosts with the given names.
func namedHosts(names ...core.HostName) []core.Host {
	hosts := make([]core.Host, len(names))
	for i, name := range names {
		hosts[i] = core.Host{Name: name}
	}
	return hosts
}

func query(key string) placer.Query {
	return placer.Query{Service: service, Key: key, HasAffinity: true}
}

// complete makes one attempt that succeeds immediately and returns its upstream.
func complete(t *testing.T, p *placer.Placer, q placer.Query, now time.Time) core.Upstream {
	t.Helper()
	choice, ok := p.Choose(q, now)
	if !ok {
		t.Fatal("no upstream was chosen")
	}
	p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}, now)
	return choice.Upstream
}

// TestLeavingUpstreamGetsNoRequests covers the ways in which an upstream is taken
// out of service: it is draining, no longer listed, or in an evacuated zone. An
// upstream that already serves keys must not keep getting requests for them.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	tests := []struct {
		name  string
		leave func(p *placer.Placer, list []core.Upstream)
	}{
		{"draining", func(p *placer.Placer, list []core.Upstream) {
			list[0].Draining = true
			p.SetUpstreams(list, start)
		}},
		{"not listed", func(p *placer.Placer, list []core.Upstream) { p.SetUpstreams(list[1:], start) }},
		{"zone evacuated", func(p *placer.Placer, _ []core.Upstream) {
			p.SetEvacuatedZones([]core.ZoneName{"for-a"}, start)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := upstreamsIn(1, "for-a", "for-b")
			p := newPlacer("for-a", list)
			for i := range 50 {
				complete(t, p, query(fmt.Sprint(i)), start) // for-a-0 serves some of the keys
			}
			tt.leave(p, list)
			for i := range 200 {
				is.Equal(complete(t, p, query(fmt.Sprint(i)), start).Name, core.UpstreamName("for-b-0"))
			}
		})
	}
}

// TestNoEligibleUpstream guards against falling back to an upstream in an
// evacuated zone when there is no other.
func TestNoEligibleUpstream(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(1, "for-a")
	p := newPlacer("for-a", list)
	p.SetEvacuatedZones([]core.ZoneName{"for-a"}, start)
	_, ok := p.Choose(query("1"), start)
	is.True(!ok)
}

// TestHomeRegionsAreEnforced checks that a request with home regions never leaves
// them, even if their upstreams have long queues or none is eligible.
func TestHomeRegionsAreEnforced(t *testing.T) {
	is := is.New(t)
	p := newPlacer("for-a", upstreamsIn(2, "for-a", "for-b", "nat-a"))
	q := query("1")
	q.HomeRegions = []core.RegionName{"nat"}
	for range 100 {
		choice, ok := p.Choose(q, start) // without a report, so the queues grow
		is.True(ok)
		is.Equal(choice.Region, core.RegionName("nat"))
	}
	p.SetEvacuatedZones([]core.ZoneName{"nat-a"}, start)
	_, ok := p.Choose(q, start)
	is.True(!ok)
}

// TestKeysKeepTheirUpstream checks that a key goes to the same upstream on all
// hosts of a region, and that only the keys of a removed upstream move.
func TestKeysKeepTheirUpstream(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(5, "for-a", "for-b")
	first, second := newPlacer("for-a", list), newPlacer("for-b", list)
	before := map[string]core.UpstreamName{}
	for i := range 200 {
		key := fmt.Sprint(i)
		before[key] = complete(t, first, query(key), start).Name
		is.Equal(complete(t, second, query(key), start).Name, before[key])
	}
	first.SetUpstreams(list[1:], start)
	for key, name := range before {
		if name != list[0].Name {
			is.Equal(complete(t, first, query(key), start).Name, name)
		}
	}
}

// TestKeyWaitsInShortQueue checks that a short queue at the upstream that has
// served a key is preferred to one that has not, and that a long queue is not.
func TestKeyWaitsInShortQueue(t *testing.T) {
	is := is.New(t)
	p := newPlacer("for-a", upstreamsIn(2, "for-a"))
	usual := complete(t, p, query("1"), start).Name
	var chosen []core.UpstreamName
	for range 30 {
		choice, ok := p.Choose(query("1"), start)
		is.True(ok)
		chosen = append(chosen, choice.Upstream.Name)
	}
	is.Equal(chosen[6], usual)   // one request more than there are slots
	is.True(chosen[29] != usual) // the queue is more than three times the slots
	is.Equal(countOf(chosen, usual) < 30, true)
}

func countOf(list []core.UpstreamName, name core.UpstreamName) int {
	n := 0
	for _, one := range list {
		if one == name {
			n++
		}
	}
	return n
}

// TestColdUpstreamsAreRateLimited covers the ways in which a host learns that an
// upstream is or may be cold. Each must limit the requests to it to this host's
// share of the warm-up limit.
func TestColdUpstreamsAreRateLimited(t *testing.T) {
	ready := upstreamsIn(1, "for-a", "for-b")
	tests := []struct {
		name string
		cold func(p *placer.Placer)
	}{
		{"announced", func(p *placer.Placer) {
			list := upstreamsIn(1, "for-a", "for-b")
			list[0].ColdUntil = start.Add(warmUp)
			p.SetUpstreams(list, start)
		}},
		{"new incarnation under the same name", func(p *placer.Placer) {
			list := upstreamsIn(1, "for-a", "for-b")
			list[0].Incarnation = 2
			p.SetUpstreams(list, start)
		}},
		{"new upstream", func(p *placer.Placer) {
			p.SetUpstreams(ready[1:], start)
			list := upstreamsIn(1, "for-a", "for-b")
			list[0].Name = "replacement"
			p.SetUpstreams(list, start)
		}},
		{"evacuation ended", func(p *placer.Placer) {
			p.SetEvacuatedZones([]core.ZoneName{"for-a"}, start)
			p.SetEvacuatedZones(nil, start)
		}},
		{"idle connections were closed", func(p *placer.Placer) {
			choice := chooseIn(p, "for-a")
			p.Report(choice, placer.Report{Outcome: placer.Done, ConnectionsClosed: true}, start)
		}},
		{"reported by a response", func(p *placer.Placer) {
			choice := chooseIn(p, "for-a")
			p.Report(choice, placer.Report{Outcome: placer.Done, RemainingWarmUp: warmUp}, start)
		}},
		{"reported by a health check", func(p *placer.Placer) { p.RecordHealthCheck(ready[0], warmUp, start) }},
		{"was unreachable", func(p *placer.Placer) {
			choice := chooseIn(p, "for-a")
			p.Report(choice, placer.Report{Outcome: placer.Unreachable}, start.Add(-time.Second))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("for-a", ready, "other-1", "other-2", "other-3", "other-4")
			tt.cold(p)
			sent := 0
			for i := range 400 {
				choice, ok := p.Choose(query(fmt.Sprint(i)), start.Add(time.Duration(i)*time.Millisecond))
				is.True(ok)
				if choice.Upstream.Zone == "for-a" {
					sent++
				}
				p.Release(choice)
			}
			is.True(sent <= 3) // a fifth of 30 requests a second, over 0.4 s
		})
	}
}

// TestHostThatStartsLate guards against a new host that overloads cold upstreams:
// it starts right after the evacuation of a zone ended, so it did not see that
// the upstreams became cold.
func TestHostThatStartsLate(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(1, "for-a")
	pacing := &pacer.Pacer{Self: "self", RateMultiplier: 1.5, Burst: 5}
	pacing.SetHosts(namedHosts("self", "other"))
	p := &placer.Placer{Zone: core.Zone{Name: "for-a", Region: "for"}, RegionByZone: regions, Pacer: pacing, AssumeCold: true}
	p.SetUpstreams(list, start)
	policy := core.ServicePolicy{Name: service, WarmUp: warmUp, WarmUpRate: 17}
	p.SetPolicy(core.NewRoutingPolicy(1, nil, []core.ServicePolicy{policy}, core.ClientLimits{}))
	is.Equal(len(p.SuspectedCold(start)), 1)
	sent := func(now time.Time) int {
		n := 0
		for i := range 100 {
			if choice, ok := p.Choose(query(fmt.Sprint(i)), now); ok {
				p.Release(choice)
				n++
			}
		}
		return n
	}
	is.Equal(sent(start), 1)
	p.RecordHealthCheck(list[0], 0, start)
	is.Equal(len(p.SuspectedCold(start)), 0)
	is.Equal(sent(start), 100)
}

// chooseIn returns a choice of an upstream in the zone.
func chooseIn(p *placer.Placer, zone core.ZoneName) placer.Choice {
	for i := 0; ; i++ {
		choice, ok := p.Choose(query(fmt.Sprint("probe", i)), start.Add(-time.Second))
		if ok && choice.Upstream.Zone == zone {
			return choice
		}
		p.Release(choice)
	}
}

// TestRegionsChangeSlowly overloads the local upstreams of a region. The share of
// its requests that changes region between two windows of 2 s must stay within
// MaxRegionShift, and requests must still move away from the overloaded upstreams.
func TestRegionsChangeSlowly(t *testing.T) {
	tests := []struct {
		maxShift float64
		// maxRemaining is the share of requests that may still go to the overloaded
		// upstreams at the end.
		maxRemaining float64
	}{{0.15, 0.8}, {0.06, 0.9}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.maxShift), func(t *testing.T) { overloadLocalUpstreams(t, tt.maxShift, tt.maxRemaining) })
	}
}

func overloadLocalUpstreams(t *testing.T, maxShift, maxRemaining float64) {
	t.Helper()
	const window = 2 * time.Second
	p := newPlacer("slz-a", upstreamsIn(4, "slz-a", "slz-b", "for-a", "nat-a"))
	p.SetMaxRegionShift(maxShift)
	var previous, current, all float64
	for i := range 12000 {
		now := start.Add(time.Duration(i) * 2 * time.Millisecond)
		if i > 0 && now.Sub(start)%window == 0 {
			previous, current, all = current/all, 0, 0
		}
		choice, ok := p.Choose(query(fmt.Sprint(i%300)), now)
		if !ok {
			t.Fatal("no upstream was chosen")
		}
		if choice.Region == "slz" {
			current++
		}
		all++
		// The local upstreams are overloaded from the fourth second on.
		load := placer.Load{Running: 1, Slots: 6}
		if choice.Region == "slz" && now.Sub(start) > 2*window {
			load = placer.Load{Running: 6, Waiting: 12, Slots: 6}
		}
		p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond, Load: &load}, now)
		if all == 1000 && now.Sub(start) > 2*window {
			if moved := previous - current/all; moved > maxShift {
				t.Fatalf("at %v a share of %.2f left the region", now.Sub(start), moved)
			}
		}
	}
	if current/all > maxRemaining {
		t.Fatalf("a share of %.2f still goes to the overloaded upstreams", current/all)
	}
}

// TestFailingUpstreamIsAvoided makes one upstream reject or fail its requests
// while the others succeed. It must get few requests, but still some, so that
// its recovery is noticed.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	for _, outcome := range []placer.Outcome{placer.Failed, placer.Shed, placer.Broken, placer.Unreachable} {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("for-a", upstreamsIn(4, "for-a"))
			bad, sent := core.UpstreamName("for-a-0"), 0
			for i := range 2000 {
				now := start.Add(time.Duration(i) * 5 * time.Millisecond)
				choice, ok := p.Choose(query(fmt.Sprint(i%40)), now)
				is.True(ok)
				report := placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}
				if choice.Upstream.Name == bad {
					sent++
					report.Outcome = outcome
				}
				p.Report(choice, report, now)
			}
			is.True(sent > 0)   // it still gets some requests
			is.True(sent < 200) // less than half of its share
		})
	}
}

// TestUpstreamsAreUsedWhenAllFail checks that requests still get an upstream when
// every upstream is unreachable and thus ejected.
func TestUpstreamsAreUsedWhenAllFail(t *testing.T) {
	is := is.New(t)
	p := newPlacer("for-a", upstreamsIn(3, "for-a"))
	for i := range 300 {
		choice, ok := p.Choose(query(fmt.Sprint(i)), start.Add(time.Duration(i)*time.Second/10))
		is.True(ok)
		p.Report(choice, placer.Report{Outcome: placer.Unreachable}, start.Add(time.Duration(i)*time.Second/10))
	}
}

// TestPlanFollowsTheListUntilTheFirstRequest guards against a plan that is fixed
// before all upstreams are listed: at a start of the whole system, upstreams
// register one by one while the hosts are ready already.
func TestPlanFollowsTheListUntilTheFirstRequest(t *testing.T) {
	is := is.New(t)
	p := newPlacer("for-a", upstreamsIn(3, "nat-a", "nat-b"))
	is.Equal(len(p.PreconnectTargets(start)), 6)
	p.SetUpstreams(upstreamsIn(3, "nat-a", "nat-b", "for-a", "for-b"), start)
	for i := range 200 {
		is.Equal(regions[complete(t, p, query(fmt.Sprint(i)), start.Add(4*time.Second)).Zone], core.RegionName("for"))
	}
}

// TestLargeFleet covers a fleet in which one host uses few of the upstreams. The
// host must keep connections open only to upstreams of other regions that it
// uses often, and check only cold upstreams whose warm-up limit kept requests
// from them.
func TestLargeFleet(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", append(upstreamsIn(20, "slz-a"), upstreamsIn(40, "for-a", "nat-a")...))
	p.AssumeCold = true
	is.Equal(len(p.PreconnectTargets(start)), 0) // before the first request
	used := map[core.UpstreamName]int{}
	for i := range 200 {
		used[complete(t, p, query(fmt.Sprint(i)), start).Name]++
	}
	prepared := p.PreconnectTargets(start)
	is.True(len(prepared) > 0)
	for _, u := range prepared {
		is.True(used[u.Name] > 1)
	}
	is.Equal(len(p.PreconnectTargets(start.Add(time.Minute))), 0)

	p.SetEvacuatedZones([]core.ZoneName{"slz-a", "for-a", "nat-a"}, start)
	p.SetEvacuatedZones(nil, start) // all upstreams may be cold
	is.Equal(len(p.SuspectedCold(start)), 0)
	throttled := 0
	for i := range 200 {
		if _, ok := p.Choose(query(fmt.Sprint(i%50)), start); !ok {
			throttled++
		}
	}
	is.True(throttled > 0)
	is.True(len(p.SuspectedCold(start)) > 0)
	is.True(len(p.SuspectedCold(start)) <= 2*50) // two candidates for each of 50 keys
	is.Equal(len(p.SuspectedCold(start.Add(2*time.Second))), 0)
}
