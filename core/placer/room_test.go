package placer_test

import (
	"fmt"
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

// returningHost is one of several hosts that use one upstream, with its requests in flight.
type returningHost struct {
	placer *placer.Placer
	open   []placer.Choice
	ends   []time.Time
	sent   int
}

// advance ends the requests that are due and sends one more if the placer allows it.
func (h *returningHost) advance(now time.Time) bool {
	const serviceTime = 150 * time.Millisecond
	for len(h.ends) > 0 && !now.Before(h.ends[0]) {
		h.placer.Report(h.open[0], placer.Report{Outcome: placer.Done, ResponseTime: serviceTime}, now)
		h.open, h.ends = h.open[1:], h.ends[1:]
	}
	choice, ok := h.placer.Choose(query("key"), now)
	if !ok {
		return false
	}
	h.open, h.ends = append(h.open, choice), append(h.ends, now.Add(serviceTime))
	h.sent++
	return true
}

// TestHostsReturnInTurn guards against hosts that all return to an upstream in the moment in
// which their pauses end together, and against one that does not return within 3 s.
func TestHostsReturnInTurn(t *testing.T) {
	is := is.New(t)
	const count, pause, step = 12, 4 * time.Second, 10 * time.Millisecond
	var names []core.HostName
	for i := range count {
		names = append(names, core.HostName(fmt.Sprint("host-", i)))
	}
	hosts := make([]*returningHost, count)
	for i := range hosts {
		p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
		p.Pacer.Self = names[i]
		p.Pacer.SetHosts(namedHosts(names...))
		choice, ok := p.Choose(query("key"), start)
		is.True(ok)
		say(p, choice, placer.Availability{RetryAfter: pause}, start)
		hosts[i] = &returningHost{placer: p}
	}
	sentBy := func(from, to time.Duration) int {
		sent := 0
		for now := start.Add(from); now.Before(start.Add(to)); now = now.Add(step) {
			for _, h := range hosts {
				if h.advance(now) {
					sent++
				}
			}
		}
		return sent
	}
	is.Equal(sentBy(0, pause), 0)
	is.True(sentBy(pause, pause+100*time.Millisecond) <= 2)
	is.True(sentBy(pause+100*time.Millisecond, pause+500*time.Millisecond) >= 4)
	sentBy(pause+500*time.Millisecond, pause+2*time.Second)
	for _, h := range hosts {
		h.sent = 0
	}
	sentBy(pause+2*time.Second, pause+3*time.Second)
	for _, h := range hosts {
		// A host alone would have six requests in flight, which is 40 a second.
		is.True(h.sent >= 20)
	}
}
