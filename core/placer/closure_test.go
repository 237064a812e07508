package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// TestPauseIsExplained guards against an attempt that goes elsewhere, or a request that is
// refused, without the name of the pause that caused it, and against a pause whose end nobody
// learns of.
func TestPauseIsExplained(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(2, "slz-a"))
	first, ok := p.Choose(query("key"), start)
	is.True(ok)
	is.Equal(first.MovedBy, placer.Open)
	name := first.Upstream.Name
	say(p, first, placer.Availability{RetryAfter: 3 * time.Second}, start)
	is.Equal(p.PausedUpstreams(start), 1)

	second, ok := p.Choose(query("key"), start.Add(time.Second))
	is.True(ok)
	is.Equal(second.MovedFrom, name)
	is.Equal(second.MovedBy, placer.Paused)
	is.Equal(second.MovedBy.String(), "paused")
	say(p, second, placer.Availability{RetryAfter: 3 * time.Second}, start.Add(time.Second))
	refused, ok := p.Choose(query("key"), start.Add(2*time.Second))
	is.True(!ok)
	is.Equal(refused.Room.Next, name)

	is.Equal(len(p.TakeEndedPauses(start.Add(2*time.Second))), 0)
	ended := p.TakeEndedPauses(start.Add(3 * time.Second))
	is.Equal(ended, []placer.EndedPause{{Upstream: first.Upstream, Length: 3 * time.Second, Moved: 1, Refused: 1}})
	is.Equal(len(p.TakeEndedPauses(start.Add(3*time.Second))), 0)
}

// TestPauseAfterPause guards against a pause whose end is lost because the next one began
// before the end was recorded.
func TestPauseAfterPause(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
	now := start
	for range 2 {
		choice, ok := p.Choose(query("key"), now)
		is.True(ok)
		say(p, choice, placer.Availability{RetryAfter: time.Second}, now)
		now = now.Add(time.Second)
	}
	is.Equal(len(p.TakeEndedPauses(now)), 2)
}

// TestPauseOutlastsAbsence guards against requests to an upstream in a long pause that left the
// list meanwhile, for example since its registration expired while the store was away.
func TestPauseOutlastsAbsence(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(1, "slz-a")
	p := newPlacer("slz-a", list)
	choice, ok := p.Choose(query("key"), start)
	is.True(ok)
	say(p, choice, placer.Availability{RetryAfter: 5 * time.Minute}, start)
	now := start
	for range 2 {
		p.SetUpstreams(nil, now)
		now = now.Add(time.Minute)
	}
	p.SetUpstreams(list, now)
	withoutCold(p, list, now)
	_, ok = p.Choose(query("key"), now)
	is.True(!ok)
	_, ok = p.Choose(query("key"), start.Add(5*time.Minute))
	is.True(ok)
}

// TestPauseEndsWhileAbsent guards against the end of a pause that is not reported since the
// upstream left the list meanwhile.
func TestPauseEndsWhileAbsent(t *testing.T) {
	is := is.New(t)
	const pause = 20 * time.Second
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
	choice, ok := p.Choose(query("key"), start)
	is.True(ok)
	say(p, choice, placer.Availability{RetryAfter: pause}, start)
	p.SetUpstreams(nil, start.Add(time.Second))
	p.SetUpstreams(nil, start.Add(pause+100*time.Millisecond))
	is.Equal(len(p.TakeEndedPauses(start.Add(pause+time.Second))), 1)
}

// TestAnswersWhileAbsent guards against requests that count as in flight for good, and against
// pauses that are lost, because the upstream was not listed when its responses arrived.
func TestAnswersWhileAbsent(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(1, "slz-a")
	p := newPlacer("slz-a", list)
	var open []placer.Choice
	for range 12 {
		choice, ok := p.Choose(query("key"), start)
		is.True(ok)
		open = append(open, choice)
	}
	p.SetUpstreams(nil, start)
	now := start.Add(20 * time.Second)
	p.SetUpstreams(nil, now)
	for _, choice := range open[1:] {
		p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}, now)
	}
	say(p, open[0], placer.Availability{RetryAfter: 2 * time.Second}, now)
	p.SetUpstreams(list, now)
	_, ok := p.Choose(query("key"), now.Add(time.Second))
	is.True(!ok)
	now = now.Add(6 * time.Second)
	withoutCold(p, list, now)
	choice, ok := p.Choose(query("key"), now)
	is.True(ok)
	is.Equal(choice.QueueTime, time.Duration(0))
}

// pauseModel is what one host must keep to, and its requests in flight.
type pauseModel struct {
	placer *placer.Placer
	open   []placer.Choice
	// pausedUntil holds the latest end of the pauses that each incarnation stated.
	pausedUntil map[core.Upstream]time.Time
}

// send starts a request if the placer allows it, and checks that the chosen upstream is not in
// a pause.
func (m *pauseModel) send(t *rapid.T, key string, now time.Time) {
	choice, ok := m.placer.Choose(query(key), now)
	if !ok {
		return
	}
	m.open = append(m.open, choice)
	if until := m.pausedUntil[choice.Upstream]; now.Before(until) {
		t.Fatalf("%s got a request %v before the end of its pause", choice.Upstream.Name, until.Sub(now))
	}
}

// answer ends one of the requests in flight with the statements of its upstream.
func (m *pauseModel) answer(i int, report placer.Report, now time.Time) {
	choice := m.open[i]
	m.open = slices.Delete(m.open, i, i+1)
	m.placer.Report(choice, report, now)
	if until := now.Add(report.Availability.RetryAfter); until.After(m.pausedUntil[choice.Upstream]) {
		m.pausedUntil[choice.Upstream] = until
	}
}

// anyReport draws the answer of an upstream.
func anyReport(t *rapid.T) placer.Report {
	report := placer.Report{Outcome: placer.Done, ResponseTime: 80 * time.Millisecond}
	if rapid.IntRange(0, 3).Draw(t, "names a limit") == 0 {
		report.RateLimit = placer.RateLimit{Statement: placer.Limited, Rate: core.RequestRate(rapid.IntRange(1, 20).Draw(t, "limit"))}
	}
	if rapid.IntRange(0, 2).Draw(t, "refuses") == 0 {
		report.Outcome = placer.Shed
		report.Availability.RetryAfter = rapid.SampledFrom([]time.Duration{
			0, 50 * time.Millisecond, time.Second, 4 * time.Second, 10 * time.Minute,
		}).Draw(t, "retry after")
	}
	return report
}

// TestPausesOfSeveralHosts checks on generated histories that no host sends to an upstream in a
// pause that it stated to this host, however requests in flight, later statements, limits,
// lists, evacuations and restarts follow one another, also if all upstreams are in a pause, and
// that every host may use every upstream again 3 s after the last pause.
func TestPausesOfSeveralHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := upstreamsIn(rapid.IntRange(1, 2).Draw(t, "upstreams"), "slz-a", "for-a")
		names := []core.HostName{"host-0", "host-1", "host-2"}[:rapid.IntRange(1, 3).Draw(t, "hosts")]
		hosts := make([]*pauseModel, len(names))
		for i := range hosts {
			p := newPlacer("slz-a", list)
			p.Pacer.Self = names[i]
			p.Pacer.SetHosts(namedHosts(names...))
			hosts[i] = &pauseModel{placer: p, pausedUntil: map[core.Upstream]time.Time{}}
		}
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 300, 1500, 6000}).Draw(t, "ms")) * time.Millisecond)
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			i := rapid.IntRange(0, len(list)-1).Draw(t, "upstream")
			action := rapid.SampledFrom([]string{
				"send", "send", "send", "send", "send", "answer", "answer", "answer", "list", "list", "shorter list", "evacuate", "restart",
			}).Draw(t, "action")
			switch action {
			case "list":
				h.placer.SetUpstreams(list, now)
				h.placer.SetEvacuatedZones(nil, now)
			case "shorter list":
				h.placer.SetUpstreams(slices.Delete(slices.Clone(list), i, i+1), now)
			case "evacuate":
				h.placer.SetEvacuatedZones([]core.ZoneName{list[i].Zone}, now)
			case "restart":
				list[i].Incarnation++
				h.placer.SetUpstreams(list, now)
			case "answer":
				if len(h.open) > 0 {
					h.answer(rapid.IntRange(0, len(h.open)-1).Draw(t, "request"), anyReport(t), now)
				}
			default:
				h.send(t, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), now)
			}
		}
		for _, h := range hosts {
			h.placer.SetUpstreams(list, now)
			h.placer.SetEvacuatedZones(nil, now)
			h.checkAllInUse(t, list, now.Add(10*time.Minute+3*time.Second))
		}
	})
}

// checkAllInUse checks that the host may send a request to each of the upstreams.
func (m *pauseModel) checkAllInUse(t *rapid.T, list []core.Upstream, now time.Time) {
	if n := m.placer.PausedUpstreams(now); n > 0 {
		t.Fatalf("%d upstreams are in a pause for good", n)
	}
	for i, u := range list {
		q := query("a")
		for _, other := range slices.Delete(slices.Clone(list), i, i+1) {
			q.Exclude = append(q.Exclude, other.Name)
		}
		if _, ok := m.placer.Choose(q, now); !ok {
			t.Fatalf("%s gets no requests any more", u.Name)
		}
	}
}
