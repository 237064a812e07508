package controller

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// checkEvery is the time between two looks for upstreams that may be cold.
	checkEvery = 100 * time.Millisecond
	// checkTimeout bounds a health check of an upstream anywhere, and nearTimeout
	// that of one in the own region, where a way takes little time.
	checkTimeout = 500 * time.Millisecond
	nearTimeout  = 200 * time.Millisecond
	// silentCold is how long an upstream without an answer counts as cold, so
	// that the next check renews it.
	silentCold = time.Second
	// nearEvery is the time between two checks of an upstream of the own region
	// while the store is away. An upstream that becomes cold then is noticed
	// within a fraction of the second in which its requests are bounded.
	nearEvery = 150 * time.Millisecond
	// askedFor is how long a check is remembered, longer than any warm-up.
	askedFor = time.Minute
)

// coldList holds the upstreams that this host found cold.
type coldList struct {
	mu    sync.Mutex
	until map[core.UpstreamName]time.Time
}

// add reports whether the upstream was not known to be cold.
func (l *coldList) add(name core.UpstreamName, until, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[core.UpstreamName]time.Time{}
	}
	isNew := !now.Before(l.until[name])
	l.until[name] = until
	return isNew
}

// left returns for how many milliseconds each of them stays cold.
func (l *coldList) left(now time.Time) map[core.UpstreamName]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cold map[core.UpstreamName]uint32
	for name, until := range l.until {
		if !now.Before(until) {
			delete(l.until, name)
			continue
		}
		if cold == nil {
			cold = map[core.UpstreamName]uint32{}
		}
		cold[name] = uint32(until.Sub(now).Milliseconds())
	}
	return cold
}

// hear takes what another host found.
func (c *Controller) hear(beat roster.Heartbeat) {
	now := time.Now()
	for name, ms := range beat.Cold {
		upstream, isNews := c.placer.MarkCold(name, time.Duration(ms)*time.Millisecond, now)
		// A short time is that of a silent upstream, which says nothing of others.
		if isNews && time.Duration(ms)*time.Millisecond > silentCold {
			c.suspectZone(upstream, now)
		}
	}
}

// checkSuspects asks upstreams that may have become cold whether they are. Each
// is asked once; without an answer it counts as cold until its warm-up is over.
func (c *Controller) checkSuspects(ctx context.Context) {
	asked := map[core.UpstreamName]time.Time{}
	waiter.Every(ctx, checkEvery, func(now time.Time) {
		policy := c.policy.Load()
		if policy == nil {
			return
		}
		maps.DeleteFunc(asked, func(_ core.UpstreamName, at time.Time) bool { return now.Sub(at) > askedFor })
		for _, upstream := range c.placer.Suspects(now) {
			service := policy.Services[upstream.Service]
			if service.HealthPath == "" || now.Sub(asked[upstream.Name]) < service.WarmUp {
				continue
			}
			if c.prober.start(upstream.Name, func() { c.check(upstream, service.HealthPath, checkTimeout) }) {
				asked[upstream.Name] = now
			}
		}
	})
}

// check asks an upstream for how long it stays cold, and reports whether it
// answered.
func (c *Controller) check(upstream core.Upstream, path string, timeout time.Duration) bool {
	cold, err := c.exchanger.Check(upstream, path, timeout)
	if err != nil {
		c.Log.Event(logger.CheckFailed).Str("upstream", string(upstream.Name)).Err(err).Send()
		return false
	}
	now := time.Now()
	c.placer.Confirm(upstream, cold, now)
	if cold > 0 {
		c.tellCold(upstream, cold, now)
		c.suspectZone(upstream, now)
	}
	return true
}

// tellCold tells the other hosts that an upstream is cold.
func (c *Controller) tellCold(upstream core.Upstream, cold time.Duration, now time.Time) {
	if !c.cold.add(upstream.Name, now.Add(cold), now) {
		return
	}
	c.Log.Event(logger.UpstreamCold).Str("upstream", string(upstream.Name)).Dur("left", cold).Send()
	select {
	case c.urgent <- struct{}{}:
	default: // a heartbeat is due already
	}
}

// suspectZone suspects the other upstreams of a zone in which one was found
// cold while the store is away: a zone that was evacuated and taken back is
// cold as a whole, and no news of it arrives then.
func (c *Controller) suspectZone(found core.Upstream, now time.Time) {
	if !c.contact.isConfirmed(now) {
		c.placer.SuspectZone(found.Zone, now)
	}
}

// spareSilent treats an upstream without an answer as cold: one that became cold
// under load queues its health checks behind requests that take long.
func (c *Controller) spareSilent(upstream core.Upstream, now time.Time) {
	c.placer.MarkCold(upstream.Name, silentCold, now)
	c.tellCold(upstream, silentCold, now)
}

// checkNear asks the upstreams of the own region while the store is away, since
// the host cannot learn then that a zone was evacuated and its upstreams became
// cold. One host of the region asks each, and tells the others. An upstream
// that gives no answer counts as cold until one does.
func (c *Controller) checkNear(ctx context.Context) {
	waiter.Every(ctx, nearEvery, func(now time.Time) {
		policy := c.policy.Load()
		if policy == nil || c.contact.isConfirmed(now) {
			return
		}
		isFirst := c.roster.IsFirst(now)
		for _, upstream := range c.placer.Near(now) {
			path := policy.Services[upstream.Service].HealthPath
			if path == "" || !isFirst(upstream.Name) {
				continue
			}
			c.prober.start(upstream.Name, func() {
				if !c.check(upstream, path, nearTimeout) {
					c.spareSilent(upstream, time.Now())
				}
			})
		}
	})
}
