package controller

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/forwarder"
	"github.com/endiverun/endiverun/entry/logger"
)

// reportLimit makes a host get a response of its upstream that names a limit.
func reportLimit(t *testing.T, c *Controller, rate core.RequestRate) {
	t.Helper()
	choice, ok := c.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now())
	if !ok {
		t.Fatal("no upstream was chosen")
	}
	limit := placer.RateLimit{Statement: placer.Limited, Rate: rate}
	c.placer.Report(choice, placer.Report{Outcome: placer.Done, RateLimit: limit}, time.Now())
}

// limitHeartbeat returns the heartbeat of a host with its notices about rate limits.
func limitHeartbeat(c *Controller) roster.Heartbeat {
	heartbeat := c.newHeartbeat()
	heartbeat.RateLimits = c.placer.RateLimitNotices(4, time.Now())
	return heartbeat
}

// TestLimitIsAnnounced guards against a limit that each host has to hear from the upstream
// itself. The host that hears of it first tells the others at once, which then send no
// more than their share.
func TestLimitIsAnnounced(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	first, second := newController("host-1", upstream), newController("host-2", upstream)
	time.Sleep(2 * time.Millisecond) // The statement is newer than the list of upstreams.
	reportLimit(t, first, 2)
	<-first.urgentHeartbeat
	first.handleHeartbeat(limitHeartbeat(first)) // A host ignores its own heartbeat.
	second.handleHeartbeat(limitHeartbeat(first))
	is.Equal(second.placer.LimitedUpstreams(), 1)
	sent := 0
	for range 20 {
		if _, ok := second.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now()); ok {
			sent++
		}
	}
	is.True(sent <= 1)
	select {
	case <-second.urgentHeartbeat:
		t.Fatal("a host that was told of a limit announces it as news")
	default:
	}
}

// TestInvalidNoticeCostsItself guards against a notice with impossible values that takes
// valid ones with it, or is not logged.
func TestInvalidNoticeCostsItself(t *testing.T) {
	is := is.New(t)
	first := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	second := first
	second.Name = "u-2"
	c := newController("host-1", first, second)
	var log strings.Builder
	c.Log = logger.New(&log, "info", core.Host{Name: "host-1"})
	time.Sleep(2 * time.Millisecond) // The notices are newer than the list of upstreams.
	c.handleHeartbeat(roster.Heartbeat{Host: core.Host{Name: "host-2"}, RateLimits: map[core.UpstreamName]core.RateLimitNotice{
		"u-1":     {Rate: core.RequestRate(math.NaN())},
		"u-2":     core.NewRateLimitNotice(8.5, true, 0),
		"unknown": core.NewRateLimitNotice(8.5, true, 0),
	}})
	is.Equal(c.placer.LimitedUpstreams(), 1)
	is.Equal(strings.Count(log.String(), `"name":"peer-rejected"`), 1)
	is.Equal(strings.Count(log.String(), `"name":"upstream-limited"`), 1)
	is.True(strings.Contains(log.String(), `"source":"host-2"`))
}

// TestLinesNameTheLimit guards against a failed request of which the log does not tell the
// rate limit that decided it.
func TestLinesNameTheLimit(t *testing.T) {
	is := is.New(t)
	c := newController("host-1")
	var log strings.Builder
	c.Log = logger.New(&log, "info", core.Host{Name: "host-1"})
	limit := placer.KnownLimit{InForce: true, Rate: 8.6, HeardAt: time.Now(), Source: "host-2"}
	c.recordFailure(forwarder.Event{RequestID: "q-1", Limit: limit, LimitInterval: 1500 * time.Millisecond})
	is.True(strings.Contains(log.String(), `"limit":8.6,"limit-age":`))
	is.True(strings.Contains(log.String(), `"limit-source":"host-2","limit-interval":1500`))
	log.Reset()
	c.recordFailure(forwarder.Event{RequestID: "q-2"})
	is.True(!strings.Contains(log.String(), "limit"))
}

// TestIdleHostLends guards against shares in a rate limit that stay unused at one host while
// another one refuses requests. The busy host says that it needs shares, the idle one what
// it lends, and the busy one then sends more often. An impossible loan is logged and not used.
func TestIdleHostLends(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	idle, busy := newController("host-1", upstream), newController("host-2", upstream)
	now := time.Now().Add(time.Second)
	exchange := func(from, to *Controller) roster.Heartbeat {
		from.lendShares(now)
		heartbeat := from.newHeartbeat()
		to.roster.RecordHeartbeat(heartbeat, now)
		return heartbeat
	}
	interval := func(c *Controller) time.Duration {
		interval, ok := c.pacer.Interval("u-1", "for", 4)
		is.True(ok)
		return interval.Round(time.Millisecond)
	}
	for _, c := range []*Controller{idle, busy} {
		c.roster.RecordHeartbeat(roster.Heartbeat{Host: idle.Self}, now)
		c.roster.RecordHeartbeat(roster.Heartbeat{Host: busy.Self}, now)
		c.divideSharedLimits(now)
		c.placer.MergeRateLimitNotice("u-1", core.NewRateLimitNotice(4, true, 0), "host-3", now)
	}
	exchange(busy, idle)
	is.Equal(exchange(idle, busy).LoanSteps, uint8(0)) // No host needs shares.
	busy.lendShares(now)
	is.Equal(interval(busy), 500*time.Millisecond)
	var heartbeat roster.Heartbeat
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		for range 2 { // The second request finds no upstream.
			busy.placer.Choose(placer.Query{Service: "desk", Key: "k"}, now)
		}
		is.True(exchange(busy, idle).NeedsShares)
		heartbeat = exchange(idle, busy)
	}
	is.Equal(heartbeat.LoanSteps, uint8(7))
	is.Equal(interval(idle), 1667*time.Millisecond)
	busy.lendShares(now)
	is.Equal(interval(busy), 294*time.Millisecond)

	var log strings.Builder
	busy.Log = logger.New(&log, "info", core.Host{Name: "host-2"})
	heartbeat.LoanSteps = 11
	busy.handleHeartbeat(heartbeat)
	is.True(strings.Contains(log.String(), `"name":"peer-rejected"`))
}

// TestPauseIsLogged guards against a pause of an upstream whose beginning, end or reason the
// log does not tell.
func TestPauseIsLogged(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	c := newController("host-1", upstream)
	var log strings.Builder
	c.Log = logger.New(&log, "info", core.Host{Name: "host-1"})
	now := time.Now()
	choice, ok := c.placer.Choose(placer.Query{Service: "desk", Key: "k"}, now)
	is.True(ok)
	c.placer.Report(choice, placer.Report{Outcome: placer.Shed, Availability: placer.Availability{RetryAfter: 2 * time.Second}}, now)
	is.True(strings.Contains(log.String(), `"name":"upstream-closed"`))
	is.True(strings.Contains(log.String(), `"for":2000`))
	c.reportEndedPauses(now.Add(time.Second))
	is.True(!strings.Contains(log.String(), `"name":"upstream-reopened"`))
	c.reportEndedPauses(now.Add(2 * time.Second))
	is.Equal(strings.Count(log.String(), `"name":"upstream-reopened"`), 1)
	is.True(strings.Contains(log.String(), `"after":2000,"moved":0,"refused":0`))

	c.recordFailure(forwarder.Event{RequestID: "q-1", MovedFrom: "u-1", MovedBy: placer.Paused})
	is.True(strings.Contains(log.String(), `"moved-from":"u-1","moved-by":"paused"`))
}
