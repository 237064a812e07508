package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// pauseAfter reports a refusal of the chosen upstream with a Retry-After and a rate limit.
func pauseAfter(p *placer.Placer, choice placer.Choice, retryAfter time.Duration, rate core.RequestRate, now time.Time) {
	p.Report(choice, placer.Report{
		Outcome:      placer.Shed,
		RateLimit:    placer.RateLimit{Statement: placer.Limited, Rate: rate},
		Availability: placer.Availability{RetryAfter: retryAfter},
	}, now)
}

// TestPauseOfLimitedUpstream guards against clients that are told to return at the end of a
// pause, or at the rate of a paused upstream, while another upstream is only at its limit.
func TestPauseOfLimitedUpstream(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(2, "slz-a"))
	paused, ok := p.Choose(query("key"), start)
	is.True(ok)
	pauseAfter(p, paused, 8*time.Second, 50, start)
	full, ok := p.Choose(query("key"), start)
	is.True(ok)
	p.Report(full, limited(2), start)
	refused, ok := p.Choose(query("key"), start.Add(100*time.Millisecond))
	is.True(!ok)
	is.Equal(refused.Room.Reason, placer.RateLimited)
	is.Equal(refused.Room.Next, full.Upstream.Name)
	is.Equal(refused.Room.OpensIn, 400*time.Millisecond)
	is.Equal(refused.Room.Rate, core.RequestRate(2))
	is.True(refused.IsThrottled)
}

// TestPausesOfLimitedUpstreams guards against a refusal that blames rate limits while all
// upstreams are in a pause, and against a return that is not that of the first.
func TestPausesOfLimitedUpstreams(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(2, "slz-a"))
	first, ok := p.Choose(query("key"), start)
	is.True(ok)
	pauseAfter(p, first, 8*time.Second, 50, start)
	second, ok := p.Choose(query("key"), start)
	is.True(ok)
	say(p, second, placer.Availability{RetryAfter: 6 * time.Second}, start)
	refused, ok := p.Choose(query("key"), start.Add(time.Second))
	is.True(!ok)
	is.Equal(refused.Room.Reason, placer.Paused)
	is.Equal(refused.Room.Next, second.Upstream.Name)
	is.Equal(refused.Room.OpensIn, 5*time.Second)
	is.True(!refused.IsThrottled)
}
