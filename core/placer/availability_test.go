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

// say reports a response of the chosen upstream that says something about its availability.
func say(p *placer.Placer, choice placer.Choice, said placer.Availability, now time.Time) {
	outcome := placer.Done
	if said.RetryAfter > 0 {
		outcome = placer.Shed
	}
	p.Report(choice, placer.Report{Outcome: outcome, ResponseTime: 80 * time.Millisecond, Availability: said}, now)
}

// chosenNames returns the upstreams that get the requests of many keys at one time. The
// requests end at once.
func chosenNames(p *placer.Placer, now time.Time) map[core.UpstreamName]int {
	chosen := map[core.UpstreamName]int{}
	for i := range 200 {
		choice, ok := p.Choose(query(fmt.Sprint("key-", i)), now)
		if !ok {
			continue
		}
		chosen[choice.Upstream.Name]++
		p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}, now)
	}
	return chosen
}

// withoutCold makes the upstreams of a list known to be warm.
func withoutCold(p *placer.Placer, list []core.Upstream, now time.Time) {
	for _, u := range list {
		p.RecordHealthCheck(u, 0, now)
	}
}

// TestUpstreamSaysThatItLeaves guards against requests to an upstream whose response said
// that it drains, which an older list, or one in which it is listed again, does not undo.
// The next incarnation under the name starts anew.
func TestUpstreamSaysThatItLeaves(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(3, "slz-a", "slz-b")
	p := newPlacer("slz-a", list)
	var changes []placer.AvailabilityChange
	p.OnAvailabilityChange = func(c placer.AvailabilityChange) { changes = append(changes, c) }
	choice, ok := p.Choose(query("key"), start)
	is.True(ok)
	name := choice.Upstream.Name
	say(p, choice, placer.Availability{IsLeaving: true}, start)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Upstream.Name, name)
	isUsed := func(now time.Time) bool { return chosenNames(p, now)[name] > 0 }
	is.True(!isUsed(start))
	for _, u := range p.LocalUpstreams(start) {
		is.True(u.Name != name)
	}
	now := start.Add(time.Second)
	p.SetUpstreams(list, now) // The store was away; its list does not say it yet.
	is.True(!isUsed(now))
	rest := slices.DeleteFunc(slices.Clone(list), func(u core.Upstream) bool { return u.Name == name })
	for range 2 {
		p.SetUpstreams(rest, now)
		now = now.Add(time.Minute)
	}
	p.SetUpstreams(list, now) // an older list of another host
	withoutCold(p, list, now)
	is.True(!isUsed(now))
	next := slices.Clone(list)
	for i := range next {
		if next[i].Name == name {
			next[i].Incarnation++
		}
	}
	p.SetUpstreams(next, now)
	withoutCold(p, next, now)
	is.True(isUsed(now))
	is.Equal(len(changes), 1)
}

// TestRetryAfterOfUpstream guards against requests to an upstream in the time for which it
// wants none, against a later, shorter statement that ends it early, and against a return of
// all its requests at once.
func TestRetryAfterOfUpstream(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(2, "slz-a")
	p := newPlacer("slz-a", list)
	first, ok := p.Choose(query("key"), start)
	is.True(ok)
	name := first.Upstream.Name
	inFlight, ok := p.Choose(query("key"), start)
	is.True(ok && inFlight.Upstream.Name == name)
	usual := chosenNames(p, start)[name]
	say(p, first, placer.Availability{RetryAfter: 4 * time.Second}, start)
	say(p, inFlight, placer.Availability{RetryAfter: time.Second}, start.Add(100*time.Millisecond))
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 3999 * time.Millisecond} {
		is.Equal(chosenNames(p, start.Add(after))[name], 0)
	}
	countTogether := func(now time.Time) int {
		n := 0
		var open []placer.Choice
		for i := range 200 {
			choice, ok := p.Choose(query(fmt.Sprint("key-", i)), now)
			if !ok {
				continue
			}
			open = append(open, choice)
			if choice.Upstream.Name == name {
				n++
			}
		}
		for _, choice := range open {
			p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}, now)
		}
		return n
	}
	is.Equal(countTogether(start.Add(4*time.Second)), 1)
	is.True(countTogether(start.Add(5*time.Second)) <= 4)
	is.True(2*chosenNames(p, start.Add(7*time.Second))[name] >= usual)
}

// TestAllUpstreamsClosed checks that a request is refused at once if all upstreams want no
// requests, with the time until the first of them does.
func TestAllUpstreamsClosed(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(3, "slz-a"))
	for i := range 3 {
		choice, ok := p.Choose(query("key"), start)
		is.True(ok)
		say(p, choice, placer.Availability{RetryAfter: time.Duration(5+i) * time.Second}, start)
	}
	choice, ok := p.Choose(query("key"), start.Add(2*time.Second))
	is.True(!ok)
	is.True(!choice.IsThrottled)
	is.Equal(choice.Room.Reason, placer.Paused)
	is.Equal(choice.Room.OpensIn, 3*time.Second)
}

// TestAvailabilityIsKept checks on generated histories of responses, lists and restarts that
// no request goes to an incarnation that said that it leaves, nor to an upstream in a time
// for which it wants none.
func TestAvailabilityIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := upstreamsIn(2, "slz-a", "for-a")
		p := newPlacer("slz-a", list)
		now := start
		type incarnation struct {
			name        core.UpstreamName
			incarnation core.Incarnation
		}
		left, pausedUntil := map[incarnation]bool{}, map[incarnation]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "upstream")
			switch rapid.SampledFrom([]string{"request", "request", "request", "list", "shorter list", "restart"}).Draw(t, "action") {
			case "list":
				p.SetUpstreams(list, now)
			case "shorter list":
				p.SetUpstreams(slices.Delete(slices.Clone(list), i, i+1), now)
			case "restart":
				list[i].Incarnation++
				p.SetUpstreams(list, now)
			default:
				choice, ok := p.Choose(query(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")), now)
				if !ok {
					continue
				}
				chosen := incarnation{choice.Upstream.Name, choice.Upstream.Incarnation}
				if left[chosen] || now.Before(pausedUntil[chosen]) {
					t.Fatalf("%v was chosen, left: %v, closed until %v", chosen, left[chosen], pausedUntil[chosen])
				}
				said := placer.Availability{IsLeaving: rapid.IntRange(0, 9).Draw(t, "leaves") == 0}
				if rapid.IntRange(0, 3).Draw(t, "refuses") == 0 {
					said.RetryAfter = time.Duration(rapid.IntRange(1, 3000).Draw(t, "retry after")) * time.Millisecond
				}
				say(p, choice, said, now)
				left[chosen] = left[chosen] || said.IsLeaving
				if until := now.Add(said.RetryAfter); until.After(pausedUntil[chosen]) {
					pausedUntil[chosen] = until
				}
			}
		}
	})
}

// TestPauseOfOneUpstream guards against a Retry-After to clients that is that of one paused
// upstream, although others, which only this request has tried, take requests.
func TestPauseOfOneUpstream(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(3, "slz-a"))
	paused, ok := p.Choose(query("key"), start)
	is.True(ok)
	say(p, paused, placer.Availability{RetryAfter: 5 * time.Minute}, start)
	tried := query("key")
	for range 2 {
		tried.Exclude = append(tried.Exclude, complete(t, p, tried, start).Name)
	}
	choice, ok := p.Choose(tried, start)
	is.True(!ok)
	is.True(choice.Room == nil)
}
