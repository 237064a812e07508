package controller

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
)

const (
	// maxDrainDelay is how long after the start of a graceful stop clients may still
	// connect because they use an older list of hosts.
	maxDrainDelay = 2200 * time.Millisecond
	// drainDelayDivisor limits the drain delay to a fraction of the grace period.
	drainDelayDivisor = 3
)

// startDraining announces that the host takes no more requests, and waits until
// clients no longer use lists of hosts that include it.
func (c *Controller) startDraining(now time.Time) {
	gracePeriod := time.Duration(c.gracePeriod.Load())
	schedule := core.NewDrainSchedule(min(maxDrainDelay, gracePeriod/drainDelayDivisor), gracePeriod, now)
	c.isDraining.Store(true)
	c.roster.SetReady(false)
	c.forwarder.StartDraining(schedule)
	c.Log.Event(logger.HostLeaving).Int64("open", c.forwarder.InFlight()).Send()
	if c.Unregister != nil {
		go c.Unregister()
	}
	time.Sleep(time.Until(schedule.AcceptsUntil))
}

// recordStop logs the end of the host, and each request that it cut.
func (c *Controller) recordStop(now time.Time) {
	cut := c.forwarder.Cut()
	for _, p := range cut {
		c.Log.Event(logger.RequestCut).
			Str("request", p.RequestID).Str("route", string(p.Route)).Str("service", string(p.Service)).
			Str("upstream", string(p.Upstream)).Uint64("policy", p.PolicyVersion).
			Bool("answered", p.IsAnswered).Dur("took", now.Sub(p.Started)).Dur("since-body", now.Sub(p.Received)).Send()
	}
	if len(cut) > 0 {
		c.Log.Event(logger.HostStopTimeout).Int("in-flight", len(cut)).Send()
	}
	c.Log.Event(logger.HostStopped).Int64("open", c.forwarder.InFlight()).Int("cut", len(cut)).Send()
}

// IsDraining reports whether a graceful stop has begun.
func (c *Controller) IsDraining() bool {
	return c.isDraining.Load()
}
