package controller

import (
	"context"
	"time"

	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/waiter"
)

// limitUseInterval is the time between two reports of what this host sent to upstreams
// that have a rate limit.
const limitUseInterval = 4 * time.Second

// recordLimitChange logs that the rate limit of an upstream changed.
func (c *Controller) recordLimitChange(change placer.LimitChange) {
	event := logger.UpstreamLimited
	if change.Limit.Finding != "" {
		event = logger.UpstreamLimitUnreadable
	}
	c.Log.Event(event).
		Str("upstream", string(change.Upstream.Name)).Str("service", string(change.Upstream.Service)).
		Bool("in-force", change.Limit.InForce).Float64("limit", float64(change.Limit.Rate)).
		Dur("age", time.Since(change.Limit.HeardAt)).Str("heard-by", string(change.Limit.HeardBy)).
		Str("finding", change.Limit.Finding).Send()
}

// reportLimitUse logs, until ctx ends, what this host sent to upstreams that have a rate
// limit.
func (c *Controller) reportLimitUse(ctx context.Context) {
	waiter.Every(ctx, limitUseInterval, func(now time.Time) {
		for _, use := range c.placer.TakeLimitUse() {
			c.Log.Event(logger.UpstreamLimitUsed).
				Str("upstream", string(use.Upstream.Name)).Float64("limit", float64(use.Limit.Rate)).
				Dur("age", now.Sub(use.Limit.HeardAt)).Str("heard-by", string(use.Limit.HeardBy)).
				Int64("hosts", c.sharingHosts.Load()).Dur("interval", use.Interval).
				Int("sent", use.Sent).Int("repeats", use.Repeats).Int("moved", use.Moved).Send()
		}
	})
}
