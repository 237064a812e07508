package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// limited returns the report of a response that names a limit.
func limited(rate core.RequestRate) placer.Report {
	return placer.Report{Outcome: placer.Done, RateLimit: placer.RateLimit{Statement: placer.Limited, Rate: rate}}
}

// unlimited returns the report of a response without a limit.
func unlimited(outcome placer.Outcome) placer.Report {
	return placer.Report{Outcome: outcome, RateLimit: placer.RateLimit{Statement: placer.NoLimit}}
}

// TestLimitOfResponses guards against a limit that is missed, or that an older response, a
// failure or an unreadable value ends or raises. Each response is to a request that was
// sent at the given time, in seconds; the responses arrive in order.
func TestLimitOfResponses(t *testing.T) {
	type response struct {
		sentAt, arrivesAt float64
		report            placer.Report
	}
	unreadable := placer.Report{RateLimit: placer.RateLimit{Statement: placer.LimitUnreadable, Finding: "not a number"}}
	tests := []struct {
		name      string
		responses []response
		inForce   bool
		rate      core.RequestRate
		changes   int
	}{
		{"named", []response{{0, 1, limited(8.6)}}, true, 8.6, 1},
		{"none named", []response{{0, 1, unlimited(placer.Done)}}, false, 0, 0},
		{"named again", []response{{0, 1, limited(8.6)}, {1, 2, limited(8.6)}}, true, 8.6, 1},
		{"lowered by a response of any age", []response{{0, 2, limited(8.6)}, {1, 3, limited(4)}}, true, 4, 2},
		{"raised by a later response", []response{{0, 1, limited(4)}, {1.5, 2, limited(8.6)}}, true, 8.6, 2},
		{"not raised by an older response", []response{{0, 2, limited(4)}, {1, 3, limited(8.6)}}, true, 4, 1},
		{"ended by a later response", []response{{0, 1, limited(4)}, {1.5, 2, unlimited(placer.Done)}}, false, 0, 2},
		{"not ended by an older response", []response{{0, 2, limited(4)}, {1, 3, unlimited(placer.Done)}}, true, 4, 1},
		{"not ended by a failure", []response{{0, 1, limited(4)}, {1.5, 2, unlimited(placer.Failed)}}, true, 4, 1},
		{"not ended by an unreadable value", []response{{0, 1, limited(4)}, {1.5, 2, unreadable}}, true, 4, 2},
		{"unreadable from the start", []response{{0, 1, unreadable}, {1, 2, unreadable}}, false, 0, 1},
		{"unchanged without a response", []response{{0, 1, limited(4)}, {2, 3, placer.Report{Outcome: placer.Broken}}}, true, 4, 1},
		{"none taken", []response{{0, 1, limited(0)}}, true, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
			var last placer.KnownLimit
			changes := 0
			p.OnLimitChange = func(change placer.LimitChange) {
				last = change.Limit
				changes++
			}
			choices := make([]placer.Choice, len(tt.responses))
			for i, r := range tt.responses {
				choice, ok := p.Choose(query("1"), at(r.sentAt))
				is.True(ok)
				choices[i] = choice
			}
			for i, r := range tt.responses {
				p.Report(choices[i], r.report, at(r.arrivesAt))
			}
			is.Equal(changes, tt.changes)
			is.Equal(last.InForce, tt.inForce)
			is.Equal(last.Rate, tt.rate)
			is.Equal(p.LimitedUpstreams() == 1, tt.inForce)
		})
	}
}

// at returns the time a number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestLimitEndsWithItsIncarnation guards against a limit that outlives the process that
// named it: one that starts again under the same name knows nothing of it.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(1, "slz-a")
	p := newPlacer("slz-a", list)
	choice, ok := p.Choose(query("1"), start)
	is.True(ok)
	p.Report(choice, limited(8.6), at(1))
	is.Equal(p.LimitedUpstreams(), 1)
	list[0].Incarnation++
	p.SetUpstreams(list, at(2))
	is.Equal(p.LimitedUpstreams(), 0)
	p.Report(choice, limited(8.6), at(3))
	is.Equal(p.LimitedUpstreams(), 0)
}

// TestLimitUseIsCounted checks that the use of limited upstreams is reported once, with
// first attempts and repeats.
func TestLimitUseIsCounted(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
	choice, ok := p.Choose(query("1"), start)
	is.True(ok)
	p.Report(choice, limited(8.6), at(1))
	repeat := query("1")
	repeat.Exclude = []core.UpstreamName{"another"}
	_, ok = p.Choose(repeat, at(2))
	is.True(ok)
	use := p.TakeLimitUse()
	is.Equal(len(use), 1)
	is.Equal([]int{use[0].Sent, use[0].Repeats}, []int{2, 1})
	is.Equal(use[0].Limit.Rate, core.RequestRate(8.6))
	is.Equal(len(p.TakeLimitUse()), 0)
}

// TestNamedLimitOverAllHosts guards against an upstream that names a rate limit and goes on
// getting its usual requests, because each host places them as if it had named none.
func TestNamedLimitOverAllHosts(t *testing.T) {
	tests := []struct {
		name       string
		deployment deployment
		rate       core.RequestRate
	}{
		{"few hosts", smallDeployment, 8.6},
		{"few hosts, a limit below their number", smallDeployment, 2},
		{"many hosts, less than a hundredth each", largeDeployment, 1.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLimitFleet(tt.deployment)
			f.limit(0, tt.rate)
			f.limit(7, tt.rate)
			f.run(limitedUntil)
			f.checkLimits(t)
		})
	}
}

// TestLimitIsUsedAndCausesNoRefusal guards against a limit that turns into refusals while
// other upstreams have room, and against one of which hosts use almost nothing.
func TestLimitIsUsedAndCausesNoRefusal(t *testing.T) {
	is := is.New(t)
	const rate = 8.6
	f := newLimitFleet(smallDeployment)
	f.limit(0, rate)
	f.limit(7, rate)
	f.run(limitedUntil)
	f.checkLimits(t)
	is.Equal(f.refused, 0)
	for _, i := range []int{0, 7} {
		is.True(f.meanArrivals(f.list[i].Name, 8, limitedUntil) > rate/2)
	}
}

// TestAllUpstreamsNameLimits guards against limits of a whole service that are exceeded, or
// of which hosts leave a large part unused while they refuse requests.
func TestAllUpstreamsNameLimits(t *testing.T) {
	is := is.New(t)
	const rate = 10.0
	f := newLimitFleet(smallDeployment)
	for i := range f.list {
		f.limit(i, rate)
	}
	f.countFrom = at(8)
	f.run(limitedUntil)
	f.checkLimits(t)
	const seconds = limitedUntil - 8.0
	limit := seconds * rate * float64(len(f.list))
	is.True(float64(f.served) > 0.85*limit)
	// Each host may send one request to each upstream before the first interval ends.
	is.True(float64(f.served) <= limit+float64(len(f.hosts)*len(f.list)))
	is.True(f.refused > 0)
}

// TestLowerLimitCountsAtOnce guards against a host that sends what a former, higher limit
// allowed, and against requests that are saved up while a limit is high.
func TestLowerLimitCountsAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
	send := func(seconds float64, rate core.RequestRate) bool {
		choice, ok := p.Choose(query("1"), at(seconds))
		if ok {
			p.Report(choice, limited(rate), at(seconds))
		}
		return ok
	}
	is.True(send(0, 10))
	is.True(!send(0.05, 10))
	is.True(send(0.1, 2))
	is.True(!send(0.2, 2)) // the limit of 10 would allow it
	is.True(send(20, 2))
	is.True(!send(20.1, 2)) // nothing is saved up
	is.True(send(20.5, 2))
}

// TestLimitKeepsKeysInTheirRegion guards against a limit that moves the requests of a
// region to another one although the region has other upstreams. The upstreams of the
// other regions have served the keys before, those of the own region have not.
func TestLimitKeepsKeysInTheirRegion(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(3, "slz-a", "for-a", "nat-a"))
	keys, first := localKeys(t, p)
	for _, key := range keys {
		for _, region := range []core.RegionName{"for", "nat"} {
			q := query(key)
			q.HomeRegions = []core.RegionName{region}
			complete(t, p, q, start)
		}
	}
	choice, ok := p.Choose(query(keys[0]), at(5)) // The requests above no longer count.
	is.True(ok)
	is.Equal(choice.Upstream.Name, first.Name)
	p.Report(choice, limited(0.5), at(5))
	for i, key := range keys {
		moved := complete(t, p, query(key), at(5.1+0.01*float64(i)))
		is.True(moved.Name != first.Name)
		is.Equal(moved.Zone, first.Zone)
	}
	is.Equal(complete(t, p, query(keys[0]), at(8)).Name, first.Name)
}

// localKeys returns keys that the placer sends to the same upstream of its own region, and
// the upstream.
func localKeys(t *testing.T, p *placer.Placer) ([]string, core.Upstream) {
	t.Helper()
	const enough = 8
	keys := map[core.UpstreamName][]string{}
	for i := range 400 {
		key := fmt.Sprint("key-", i)
		u := complete(t, p, query(key), start)
		if regions[u.Zone] != p.Zone.Region {
			continue
		}
		keys[u.Name] = append(keys[u.Name], key)
		if len(keys[u.Name]) == enough {
			return keys[u.Name], u
		}
	}
	t.Fatal("too few keys are planned for the local region")
	return nil, core.Upstream{}
}

// TestLimitInHomeRegion guards against a limit that sends a request outside its home
// regions. The request must be told when the limit allows it instead.
func TestLimitInHomeRegion(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a", "for-a"))
	q := query("1")
	q.HomeRegions = []core.RegionName{"for"}
	choice, ok := p.Choose(q, start)
	is.True(ok)
	p.Report(choice, limited(2), start)
	choice, ok = p.Choose(q, at(0.1))
	is.True(!ok)
	is.True(choice.IsThrottled)
	is.Equal(choice.Room.OpensIn, 400*time.Millisecond)
	is.Equal(choice.Room.Rate, core.RequestRate(2))
	is.Equal(choice.Room.Wait(3), 1900*time.Millisecond)
	choice, ok = p.Choose(q, at(0.5))
	is.True(ok)
	is.Equal(choice.Region, core.RegionName("for"))
}

// TestReleasedAttemptUsesNoLimit guards against an attempt that was not sent and counts as
// one, so that the next has to wait.
func TestReleasedAttemptUsesNoLimit(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
	choice, ok := p.Choose(query("1"), start)
	is.True(ok)
	p.Report(choice, limited(1), start)
	choice, ok = p.Choose(query("1"), at(2))
	is.True(ok)
	p.Release(choice)
	_, ok = p.Choose(query("1"), at(2.1))
	is.True(ok)
}

// TestColdAndLimitedUpstream guards against an upstream that is cold and has a rate limit
// and gets more than the lower of the two.
func TestColdAndLimitedUpstream(t *testing.T) {
	tests := []struct {
		name string
		rate core.RequestRate
		most int
	}{
		{"the rate limit is lower", 2, 4},
		{"the warm-up limit is lower", 1000, 52},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
			choice, ok := p.Choose(query("1"), start)
			is.True(ok)
			p.Report(choice, limited(tt.rate), start)
			p.MarkCold("slz-a-0", time.Minute, start)
			sent := 0
			for now := at(1); now.Before(at(3)); now = now.Add(time.Millisecond) {
				if choice, ok := p.Choose(query("1"), now); ok {
					p.Report(choice, limited(tt.rate), now)
					sent++
				}
			}
			is.True(sent > 0)
			is.True(sent <= tt.most)
		})
	}
}

// TestLimitWhileHostsAreReplaced guards against shares that grow before the shares of others
// shrink: hosts that are new use theirs at once, and the others hear of them later.
func TestLimitWhileHostsAreReplaced(t *testing.T) {
	tests := []struct {
		name       string
		deployment deployment
		rate       core.RequestRate
		count      int
	}{
		{"few hosts", smallDeployment, 8.6, 3},
		{"few hosts, a limit below their number", smallDeployment, 2, 3},
		{"many hosts", largeDeployment, 1.5, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLimitFleet(tt.deployment)
			f.exchangesNotices = true
			f.limit(0, tt.rate)
			f.limit(7, tt.rate)
			for _, second := range []float64{9, 13, 17} {
				f.replace(tt.count, second)
			}
			f.run(limitedUntil)
			f.checkLimits(t)
			for _, i := range []int{0, 7} {
				if got, allowed := f.mostArrivals(f.list[i].Name, isFromAnyHost), maxArrivals(tt.rate); got > allowed {
					t.Errorf("%s got %d requests in %v of all hosts; allowed %d", f.list[i].Name, got, limitWindow, allowed)
				}
			}
		})
	}
}

// TestUnusedSharesAreLent guards against requests that a busy host refuses although other
// hosts leave their shares in the limits of a whole service unused: the clients of one
// region send three times as much as the others, and all together four fifths of what the
// upstreams take.
func TestUnusedSharesAreLent(t *testing.T) {
	const rate = 10.0
	d := smallDeployment
	d.requestRate = 0.8 * rate * float64(d.upstreams)
	f := newLimitFleet(d)
	f.exchangesNotices = true
	f.busyRegion, f.busyFactor = "slz", 3
	for i := range f.list {
		f.limit(i, rate)
	}
	f.countFrom = at(10)
	f.run(limitedUntil)
	f.checkLimits(t)
	if total := f.served + f.refused; f.refused > total/20 {
		t.Errorf("%d of %d requests were refused, more than one in 20", f.refused, total)
	}
}

// TestLimitsOfServiceBegin guards against hosts that all lend their shares in the first
// seconds of the limits of a whole service, when they have not yet measured what they use:
// none would borrow, and most of what the upstreams take would stay unused.
func TestLimitsOfServiceBegin(t *testing.T) {
	const rate, load, seconds = 10.0, 1.5, 6
	d := smallDeployment
	d.requestRate = load * rate * float64(d.upstreams)
	f := newLimitFleet(d)
	f.exchangesNotices = true
	for i := range f.list {
		f.limit(i, rate)
	}
	f.countFrom = at(limitedFrom)
	f.run(limitedFrom + seconds)
	if limit := rate * seconds * float64(d.upstreams); float64(f.served) < 0.85*limit {
		t.Errorf("%d requests were served in %d s, the limits allow %v", f.served, seconds, limit)
	}
}

// TestHeldRequestNeedsShares guards against a host that lends its shares while requests are
// held for lack of them: as long as they wait, nothing else shows that it is short.
func TestHeldRequestNeedsShares(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
	choice, ok := p.Choose(query("1"), start)
	is.True(ok)
	p.Report(choice, limited(1.25), start)
	is.True(!p.TakeUse(start).IsShort)
	_, ok = p.Choose(query("2"), at(0.1)) // It may be sent at 0.8 s.
	is.True(!ok)
	is.True(p.TakeUse(at(0.2)).IsShort)
	is.True(p.TakeUse(at(0.7)).IsShort)
	is.True(!p.TakeUse(at(0.8)).IsShort)
}
