package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core/placer"
)

// TestPauseIsExplained guards against an attempt that goes elsewhere, or a request that is
// refused, without a word of the pause that caused it, and against a pause whose end nobody
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
