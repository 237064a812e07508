package controller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// suspectCheckInterval is the time between two searches for upstreams that may
	// be cold.
	suspectCheckInterval = 100 * time.Millisecond
	// checkTimeout is the time limit of a health check of an upstream in any region.
	// localCheckTimeout is that of one in the host's own region, where the round
	// trip is short.
	checkTimeout      = 500 * time.Millisecond
	localCheckTimeout = 200 * time.Millisecond
	// unresponsiveColdTime is how long an upstream counts as cold after it did not
	// respond to a health check. It is longer than localCheckInterval, so that the
	// next check renews it in time.
	unresponsiveColdTime = time.Second
	// localCheckInterval is the time between two health checks of an upstream in the
	// host's own region while the store is unavailable. The rate limit of a cold
	// upstream applies to each second, so the check must find an upstream that has
	// become cold within a fraction of a second.
	localCheckInterval = 150 * time.Millisecond
	// checkTimeRetention is how long the time of an upstream's last check is kept.
	// It is longer than any warm-up.
	checkTimeRetention = time.Minute
)

// maxWarmUpsInHeartbeat limits the upstreams in one heartbeat, at about 20 bytes each, so
// that the heartbeat fits in a datagram.
const maxWarmUpsInHeartbeat = 32

// coldUpstreams holds the upstreams that this host found cold.
type coldUpstreams struct {
	mu   sync.Mutex
	list map[core.UpstreamName]*coldEntry
	// round counts the calls of remaining.
	round int
}

// coldEntry says until when an upstream stays cold. toldIn is the last round in which
// other hosts were told of it; 0 means that they were not.
type coldEntry struct {
	until  time.Time
	toldIn int
}

// add adds an upstream and reports whether it was not already known to be cold.
func (c *coldUpstreams) add(name core.UpstreamName, until, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil {
		c.list = map[core.UpstreamName]*coldEntry{}
	}
	u := c.list[name]
	isNew := u == nil || !now.Before(u.until)
	if isNew {
		u = &coldEntry{}
		c.list[name] = u
	}
	u.until = until
	return isNew
}

// remaining returns for how many milliseconds upstreams stay cold: all of them, or those
// that other hosts were told of least recently, maxWarmUpsInHeartbeat at the most.
func (c *coldUpstreams) remaining(now time.Time) map[core.UpstreamName]uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.list, func(_ core.UpstreamName, u *coldEntry) bool { return !now.Before(u.until) })
	if len(c.list) == 0 {
		return nil
	}
	c.round++
	names := slices.SortedFunc(maps.Keys(c.list), func(a, b core.UpstreamName) int {
		return cmp.Or(cmp.Compare(c.list[a].toldIn, c.list[b].toldIn), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxWarmUpsInHeartbeat)]
	remaining := make(map[core.UpstreamName]uint32, len(names))
	for _, name := range names {
		c.list[name].toldIn = c.round
		remaining[name] = uint32(c.list[name].until.Sub(now).Milliseconds())
	}
	return remaining
}

// handleHeartbeat marks the upstreams as cold that another host found cold, and records
// what it knows about rate limits and about upstreams that drain.
func (c *Controller) handleHeartbeat(heartbeat roster.Heartbeat) {
	now := time.Now()
	c.mergeLeaving(heartbeat, now)
	c.mergeRateLimits(heartbeat, now)
	for name, ms := range heartbeat.RemainingWarmUps {
		upstream, isNewlyCold := c.placer.MarkCold(name, time.Duration(ms)*time.Millisecond, now)
		// A time of at most unresponsiveColdTime may only mean that the upstream did
		// not respond, which says nothing about others in its zone.
		if isNewlyCold && time.Duration(ms)*time.Millisecond > unresponsiveColdTime {
			c.suspectZone(upstream, now)
		}
	}
}

// checkSuspects checks the health of upstreams that may have become cold. Each is
// checked once per warm-up time. An upstream that does not respond counts as cold
// until its warm-up time is over.
func (c *Controller) checkSuspects(ctx context.Context) {
	lastChecks := map[core.UpstreamName]time.Time{}
	waiter.Every(ctx, suspectCheckInterval, func(now time.Time) {
		policy := c.policy.Load()
		if policy == nil {
			return
		}
		maps.DeleteFunc(lastChecks, func(_ core.UpstreamName, checked time.Time) bool { return now.Sub(checked) > checkTimeRetention })
		for _, upstream := range c.placer.SuspectedCold(now) {
			service := policy.Services[upstream.Service]
			if service.HealthPath == "" || now.Sub(lastChecks[upstream.Name]) < service.WarmUp {
				continue
			}
			if c.healthChecker.start(upstream.Name, func() { c.checkHealth(upstream, service.HealthPath, checkTimeout) }) {
				lastChecks[upstream.Name] = now
			}
		}
	})
}

// checkHealth runs a health check, which returns for how long the upstream stays
// cold. It reports whether the check succeeded.
func (c *Controller) checkHealth(upstream core.Upstream, path string, timeout time.Duration) bool {
	health, err := c.exchanger.CheckHealth(upstream, path, timeout)
	c.placer.RecordAvailability(upstream, health.Availability, time.Now())
	if err != nil {
		c.Log.Event(logger.UpstreamCheckFailed).Str("upstream", string(upstream.Name)).Err(err).Send()
		return false
	}
	now, coldTime := time.Now(), health.RemainingWarmUp
	c.placer.RecordHealthCheck(upstream, coldTime, now)
	if coldTime > 0 {
		c.announceCold(upstream, coldTime, now)
		c.suspectZone(upstream, now)
	}
	return true
}

// announceCold tells the other hosts that an upstream is cold, with an urgent
// heartbeat.
func (c *Controller) announceCold(upstream core.Upstream, coldTime time.Duration, now time.Time) {
	if !c.coldUpstreams.add(upstream.Name, now.Add(coldTime), now) {
		return
	}
	c.Log.Event(logger.UpstreamCold).Str("upstream", string(upstream.Name)).Dur("left", coldTime).Send()
	c.requestUrgentHeartbeat()
}

// requestUrgentHeartbeat makes the host send a heartbeat to many hosts at once.
func (c *Controller) requestUrgentHeartbeat() {
	select {
	case c.urgentHeartbeat <- struct{}{}:
	default: // A heartbeat has already been requested.
	}
}

// suspectZone marks the other upstreams in the zone of a cold upstream as possibly
// cold while the store is unavailable. When the evacuation of a zone ends, all its
// upstreams are cold, and the host cannot learn of that without the store.
func (c *Controller) suspectZone(coldUpstream core.Upstream, now time.Time) {
	if !c.storeStatus.isSnapshotCurrent(now) {
		c.placer.SuspectZoneCold(coldUpstream.Zone, now)
	}
}

// treatAsCold marks an upstream that did not respond to a health check as cold. An
// upstream that became cold under load queues its health checks behind slow
// requests.
func (c *Controller) treatAsCold(upstream core.Upstream, now time.Time) {
	c.placer.MarkCold(upstream.Name, unresponsiveColdTime, now)
	c.announceCold(upstream, unresponsiveColdTime, now)
}

// checkLocalRegion checks the health of the upstreams in the host's own region while
// the store is unavailable, since the host cannot learn then that a zone was
// evacuated and its upstreams became cold. Each upstream is checked by one host of
// the region, which tells the others. An upstream that does not respond counts as
// cold until it does.
func (c *Controller) checkLocalRegion(ctx context.Context) {
	waiter.Every(ctx, localCheckInterval, func(now time.Time) {
		policy := c.policy.Load()
		if policy == nil || c.storeStatus.isSnapshotCurrent(now) {
			return
		}
		isResponsible := c.roster.AssignedChecks(now)
		for _, upstream := range c.placer.LocalUpstreams(now) {
			path := policy.Services[upstream.Service].HealthPath
			if path == "" || !isResponsible(upstream.Name) {
				continue
			}
			c.healthChecker.start(upstream.Name, func() {
				if !c.checkHealth(upstream, path, localCheckTimeout) {
					c.treatAsCold(upstream, time.Now())
				}
			})
		}
	})
}
