package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// numberedUpstreams returns upstreams with incarnations.
func numberedUpstreams(n int, zones ...core.ZoneName) []core.Upstream {
	list := upstreamsIn(n, zones...)
	for i := range list {
		list[i].Incarnation = 100
	}
	return list
}

// without returns the list without an upstream.
func without(list []core.Upstream, name core.UpstreamName) []core.Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u core.Upstream) bool { return u.Name == name })
}

// changed returns the list with a change of one upstream.
func changed(list []core.Upstream, name core.UpstreamName, change func(u *core.Upstream)) []core.Upstream {
	next := slices.Clone(list)
	for i := range next {
		if next[i].Name == name {
			change(&next[i])
		}
	}
	return next
}

func restart(u *core.Upstream) { u.Incarnation++ }

// TestDepartureOutlivesLists guards against lists that undo what an upstream said of itself.
// Each case is the lists that a host gets after it; in the last one, the incarnation that
// said it is listed again.
func TestDepartureOutlivesLists(t *testing.T) {
	list := numberedUpstreams(3, "slz-a", "slz-b")
	tests := []struct {
		name  string
		pause time.Duration
		lists func(left core.UpstreamName) [][]core.Upstream
	}{
		{"an older list", time.Second, func(core.UpstreamName) [][]core.Upstream { return nil }},
		{"an older list after the removal", time.Minute, func(left core.UpstreamName) [][]core.Upstream {
			return [][]core.Upstream{without(list, left)}
		}},
		{"an older list long after the removal", 3 * time.Hour, func(left core.UpstreamName) [][]core.Upstream {
			return [][]core.Upstream{without(list, left), without(list, left)}
		}},
		{"an older list after a restart", time.Second, func(left core.UpstreamName) [][]core.Upstream {
			return [][]core.Upstream{changed(list, left, restart)}
		}},
		{"an older list after a restart while it was unlisted", time.Second, func(left core.UpstreamName) [][]core.Upstream {
			return [][]core.Upstream{without(list, left), changed(list, left, restart), without(list, left)}
		}},
		{"the end of the draining entry", time.Second, func(left core.UpstreamName) [][]core.Upstream {
			return [][]core.Upstream{changed(list, left, func(u *core.Upstream) { u.Draining = true })}
		}},
		{"a change of the address", time.Second, func(left core.UpstreamName) [][]core.Upstream {
			return [][]core.Upstream{changed(list, left, func(u *core.Upstream) { u.Address = "y" })}
		}},
		{"an empty list", time.Second, func(core.UpstreamName) [][]core.Upstream { return [][]core.Upstream{{}} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("slz-a", list)
			choice, ok := p.Choose(query("key"), start)
			is.True(ok)
			left, now := choice.Upstream.Name, start
			say(p, choice, placer.Availability{IsLeaving: true}, now)
			for _, next := range append(tt.lists(left), list) {
				now = now.Add(tt.pause)
				p.SetUpstreams(next, now)
			}
			withoutCold(p, list, now)
			is.Equal(chosenNames(p, now)[left], 0)
			is.True(len(chosenNames(p, now)) > 0)
			next := changed(list, left, restart)
			p.SetUpstreams(next, now)
			withoutCold(p, next, now)
			is.True(chosenNames(p, now)[left] > 0)
		})
	}
}

// TestDepartureOfUnlistedUpstream guards against the loss of what an upstream says in the
// response to a request that it ran until long after it had left the list.
func TestDepartureOfUnlistedUpstream(t *testing.T) {
	is := is.New(t)
	list := numberedUpstreams(2, "slz-a")
	p := newPlacer("slz-a", list)
	choice, ok := p.Choose(query("key"), start)
	is.True(ok)
	left := choice.Upstream.Name
	p.SetUpstreams(without(list, left), start.Add(time.Second))
	now := start.Add(time.Minute)
	p.SetUpstreams(without(list, left), now)
	say(p, choice, placer.Availability{IsLeaving: true}, now)
	p.SetUpstreams(list, now)
	withoutCold(p, list, now)
	is.Equal(chosenNames(p, now)[left], 0)
}

// TestNothingNewGoesToLeavingUpstream guards against a path by which a host contacts an
// upstream that said that it drains, or of which another host said so.
func TestNothingNewGoesToLeavingUpstream(t *testing.T) {
	list := numberedUpstreams(2, "slz-a", "for-a")
	sources := map[string]func(p *placer.Placer, u core.Upstream){
		"own response": func(p *placer.Placer, u core.Upstream) {
			p.Report(placer.Choice{Upstream: u}, placer.Report{Outcome: placer.Done, Availability: placer.Availability{IsLeaving: true}}, start)
		},
		"health check": func(p *placer.Placer, u core.Upstream) {
			p.RecordAvailability(u, placer.Availability{IsLeaving: true}, start)
		},
		"another host": func(p *placer.Placer, u core.Upstream) { p.MergeLeavingNotice(u.Name, u.Incarnation, "host-2", start) },
	}
	const preconnect = "prepared connection"
	paths := map[string]func(p *placer.Placer, name core.UpstreamName) bool{
		"first attempt": func(p *placer.Placer, name core.UpstreamName) bool { return chosenNames(p, start)[name] > 0 },
		"only one that was not tried": func(p *placer.Placer, name core.UpstreamName) bool {
			tried := query("key")
			for _, u := range without(list, name) {
				tried.Exclude = append(tried.Exclude, u.Name)
			}
			_, ok := p.Choose(tried, start)
			return ok
		},
		"only one that is reachable": func(p *placer.Placer, name core.UpstreamName) bool {
			for _, u := range without(list, name) {
				p.Report(placer.Choice{Upstream: u}, placer.Report{Outcome: placer.Unreachable}, start)
			}
			return chosenNames(p, start)[name] > 0
		},
		"affinity": func(p *placer.Placer, name core.UpstreamName) bool {
			choice, ok := p.Choose(placer.Query{Service: service, Key: "key-of-" + string(name), HasAffinity: true}, start)
			return ok && choice.Upstream.Name == name
		},
		"home region": func(p *placer.Placer, name core.UpstreamName) bool {
			i := slices.IndexFunc(list, func(u core.Upstream) bool { return u.Name == name })
			q := query("key")
			q.HomeRegions = []core.RegionName{regions[list[i].Zone]}
			for _, u := range without(list, name) {
				q.Exclude = append(q.Exclude, u.Name)
			}
			_, ok := p.Choose(q, start)
			return ok
		},
		preconnect:     func(p *placer.Placer, name core.UpstreamName) bool { return includes(p.PreconnectTargets(start), name) },
		"health check": func(p *placer.Placer, name core.UpstreamName) bool { return includes(p.LocalUpstreams(start), name) },
		"check of a suspect": func(p *placer.Placer, name core.UpstreamName) bool {
			for _, u := range list {
				p.SuspectZoneCold(u.Zone, start)
			}
			return includes(p.SuspectedCold(start), name)
		},
	}
	for source, tell := range sources {
		for path, reaches := range paths {
			t.Run(source+", "+path, func(t *testing.T) {
				is := is.New(t)
				zone := core.ZoneName("slz-a")
				if path == preconnect {
					zone = "nat-a" // All upstreams are in other regions.
				}
				isEverReached := false
				for _, u := range list {
					isEverReached = isEverReached || reaches(newPlacer(zone, list), u.Name)
					p := newPlacer(zone, list)
					tell(p, u)
					is.True(!reaches(p, u.Name))
				}
				is.True(isEverReached) // The path exists.
			})
		}
	}
}

func includes(list []core.Upstream, name core.UpstreamName) bool {
	return slices.ContainsFunc(list, func(u core.Upstream) bool { return u.Name == name })
}

// TestLeavingNotices covers which notices of other hosts count: those about one incarnation,
// which may be listed later.
func TestLeavingNotices(t *testing.T) {
	list := numberedUpstreams(3, "slz-a")
	const name = core.UpstreamName("slz-a-1")
	tests := []struct {
		name        string
		incarnation core.Incarnation
		lists       [][]core.Upstream
		isLeaving   bool
		changes     int
	}{
		{"the listed incarnation", 100, [][]core.Upstream{list}, true, 1},
		{"an earlier incarnation", 99, [][]core.Upstream{list}, false, 0},
		{"a later incarnation", 101, [][]core.Upstream{list}, false, 0},
		{"a later incarnation that is then listed", 101, [][]core.Upstream{list, changed(list, name, restart)}, true, 1},
		{"an incarnation that is then replaced", 100, [][]core.Upstream{list, changed(list, name, restart)}, false, 1},
		{"an unknown upstream that is then listed", 100, [][]core.Upstream{without(list, name), list, list}, true, 1},
		{"an upstream that is unlisted lately", 100, [][]core.Upstream{list, without(list, name), list}, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("slz-a", tt.lists[0])
			var changes []placer.AvailabilityChange
			p.OnAvailabilityChange = func(c placer.AvailabilityChange) { changes = append(changes, c) }
			now := start
			for range 3 { // Other hosts repeat it.
				p.MergeLeavingNotice(name, tt.incarnation, "host-2", now)
			}
			p.MergeLeavingNotice("unknown", 5, "host-3", now)
			for _, next := range tt.lists[1:] {
				now = now.Add(time.Second)
				p.SetUpstreams(next, now)
			}
			last := tt.lists[len(tt.lists)-1]
			withoutCold(p, last, now)
			is.Equal(chosenNames(p, now)[name] == 0, tt.isLeaving)
			is.Equal(p.LeavingUpstreams() == 1, tt.isLeaving)
			is.Equal(len(chosenNames(p, now)) > 0, true)
			is.Equal(len(changes), tt.changes)
			for _, c := range changes {
				is.Equal(c.Upstream.Name, name)
				is.Equal(c.Source, core.HostName("host-2"))
			}
		})
	}
}

// TestUnknownNoticesDisplaceNothing guards against notices about many unknown upstreams that
// make a host forget what it heard itself, or use memory without bound.
func TestUnknownNoticesDisplaceNothing(t *testing.T) {
	is := is.New(t)
	list := numberedUpstreams(2, "slz-a")
	p := newPlacer("slz-a", list)
	choice, ok := p.Choose(query("key"), start)
	is.True(ok)
	say(p, choice, placer.Availability{IsLeaving: true}, start)
	left := choice.Upstream.Name
	p.SetUpstreams(without(list, left), start)
	for i := range 10000 {
		p.MergeLeavingNotice(core.UpstreamName(fmt.Sprint("unknown-", i)), 7, "host-2", start.Add(time.Second))
	}
	now := start.Add(2 * time.Second)
	p.SetUpstreams(list, now)
	withoutCold(p, list, now)
	is.Equal(chosenNames(p, now)[left], 0)
	other := without(list, left)[0]
	p.MergeLeavingNotice(other.Name, other.Incarnation, "host-2", now)
	is.Equal(len(chosenNames(p, now)), 0) // A notice about a listed upstream counts.
	var many []core.Upstream
	for i := range 10000 {
		u := list[0]
		u.Name = core.UpstreamName(fmt.Sprint("unknown-", i))
		u.Incarnation = 7
		many = append(many, u)
	}
	p.SetUpstreams(many, now)
	is.True(p.LeavingUpstreams() <= 4096)
}

// TestLeavingNoticesTakeTurns guards against departures of which some hosts never hear since
// a heartbeat has room for few, and against news that wait behind others.
func TestLeavingNoticesTakeTurns(t *testing.T) {
	is := is.New(t)
	const most = 8
	list := numberedUpstreams(30, "slz-a")
	p := newPlacer("slz-a", list)
	for _, u := range list[1:] {
		p.RecordAvailability(u, placer.Availability{IsLeaving: true}, start)
	}
	told := map[core.UpstreamName]int{}
	hasMore := true
	for calls := 0; hasMore; calls++ {
		var notices map[core.UpstreamName]core.Incarnation
		notices, hasMore = p.LeavingNotices(most, start)
		is.Equal(len(notices), most)
		is.True(calls < 10)
		for name := range notices {
			told[name]++
		}
	}
	is.Equal(len(told), len(list)-1)
	for _, times := range told {
		is.True(times >= 2)
	}
	now := start.Add(time.Minute)
	clear(told)
	for i := range 80 {
		notices, hasMore := p.LeavingNotices(most, now)
		is.Equal(len(notices), most)
		is.True(!hasMore)
		if i%2 == 0 { // what a host hears that gets every second heartbeat
			for name := range notices {
				told[name]++
			}
		}
	}
	is.Equal(len(told), len(list)-1)
	p.RecordAvailability(list[0], placer.Availability{IsLeaving: true}, now)
	notices, _ := p.LeavingNotices(most, now)
	is.Equal(notices[list[0].Name], list[0].Incarnation)
	p.SetUpstreams(nil, now)
	notices, _ = p.LeavingNotices(most, now.Add(time.Minute))
	is.Equal(len(notices), 0)
}

// departureHost is a host of TestDeparturesAreKept, with what it must know.
type departureHost struct {
	*placer.Placer
	// listed is the version of the list that the host has, and known the incarnations that
	// must not get requests of the host.
	listed int
	known  map[core.HostInstance]bool
}

func instanceOf(u core.Upstream) core.HostInstance {
	return core.HostInstance{Host: core.HostName(u.Name), Incarnation: u.Incarnation}
}

// TestDeparturesAreKept checks on generated histories of responses, lists that are older or
// newer, heartbeats, restarts and time steps that exactly the incarnations of which a host
// knows that they drain get no requests from it.
func TestDeparturesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := [][]core.Upstream{numberedUpstreams(2, "slz-a", "for-a")}
		now := start
		var hosts []*departureHost
		for range 3 {
			hosts = append(hosts, &departureHost{Placer: newPlacer("slz-a", lists[0]), known: map[core.HostInstance]bool{}})
		}
		check := func(h *departureHost) {
			expected := 0
			for _, u := range lists[h.listed] {
				if u.Draining || h.known[instanceOf(u)] {
					expected++
				}
			}
			if got := h.LeavingUpstreams(); got != expected {
				t.Fatalf("%d upstreams are leaving, not %d", got, expected)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 400, 3000, 20000, 400000}).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom(hosts).Draw(t, "host")
			actions := []string{"request", "request", "change", "list", "heartbeat", "false notice", "health check"}
			switch rapid.SampledFrom(actions).Draw(t, "action") {
			case "change":
				next := slices.Clone(lists[len(lists)-1])
				i := rapid.IntRange(0, max(0, len(next)-1)).Draw(t, "upstream")
				switch kind := rapid.SampledFrom([]string{"restart", "remove", "drain", "add"}).Draw(t, "kind"); {
				case len(next) == 0 || kind == "add":
					next = slices.Clone(lists[0])
					for i := range next {
						next[i].Incarnation += core.Incarnation(len(lists))
					}
				case kind == "restart":
					next[i].Incarnation += core.Incarnation(len(lists))
					next[i].Draining = false
				case kind == "remove":
					next = slices.Delete(next, i, i+1)
				default:
					next[i].Draining = true
				}
				lists = append(lists, next)
			case "list": // It may be older than the host's.
				h.listed = rapid.IntRange(max(0, len(lists)-4), len(lists)-1).Draw(t, "list")
				h.SetUpstreams(lists[h.listed], now)
			case "heartbeat":
				to := rapid.SampledFrom(hosts).Draw(t, "to")
				notices, _ := h.LeavingNotices(8, now)
				for _, u := range lists[h.listed] {
					if h.known[instanceOf(u)] && notices[u.Name] != u.Incarnation {
						t.Fatalf("%v is not told: %v", u, notices)
					}
				}
				for name, incarnation := range notices {
					instance := core.HostInstance{Host: core.HostName(name), Incarnation: incarnation}
					if !h.known[instance] {
						t.Fatalf("%v is told, and the host does not know it", instance)
					}
					to.known[instance] = true
					to.MergeLeavingNotice(name, incarnation, "other", now)
				}
			case "false notice":
				h.MergeLeavingNotice("slz-a-0", 3, "other", now)
				h.MergeLeavingNotice("unknown", 100, "other", now)
			case "health check":
				if list := h.LocalUpstreams(now); len(list) > 0 {
					u := rapid.SampledFrom(list).Draw(t, "checked")
					if h.known[instanceOf(u)] {
						t.Fatalf("the health of %v is checked", u)
					}
					h.known[instanceOf(u)] = true
					h.RecordAvailability(u, placer.Availability{IsLeaving: true}, now)
				}
			default:
				choice, ok := h.Choose(query(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")), now)
				if !ok {
					continue
				}
				if choice.Upstream.Draining || h.known[instanceOf(choice.Upstream)] {
					t.Fatalf("%v was chosen", choice.Upstream)
				}
				said := placer.Availability{IsLeaving: rapid.IntRange(0, 3).Draw(t, "leaves") == 0}
				say(h.Placer, choice, said, now)
				if said.IsLeaving {
					h.known[instanceOf(choice.Upstream)] = true
				}
			}
			check(h)
		}
	})
}
