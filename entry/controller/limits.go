package controller

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/endiverun/endiverun/core/pacer"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
	"github.com/endiverun/endiverun/entry/waiter"
)

// limitUseInterval is the time between two reports of what this host sent to upstreams
// that have a rate limit.
const limitUseInterval = 4 * time.Second

// mergeRateLimits records what another host knows about rate limits.
func (c *Controller) mergeRateLimits(heartbeat roster.Heartbeat, now time.Time) {
	if heartbeat.Host.Name == c.Self.Name {
		return
	}
	if heartbeat.LoanSteps > pacer.LoanSteps {
		c.Log.Event(logger.PeerRejected).Str("peer", string(heartbeat.Host.Name)).Uint8("loan-steps", heartbeat.LoanSteps).Send()
	}
	for name, notice := range heartbeat.RateLimits {
		if err := notice.Validate(); err != nil {
			c.Log.Event(logger.PeerRejected).Str("peer", string(heartbeat.Host.Name)).Str("upstream", string(name)).Err(err).Send()
			continue
		}
		c.placer.MergeRateLimitNotice(name, notice, heartbeat.Host.Name, now)
	}
}

// lendShares decides which part of its shares in rate limits this host lends, and uses what
// others lend.
func (c *Controller) lendShares(now time.Time) {
	use := c.placer.TakeUse(now)
	use.IsNeeded = c.roster.AreSharesNeeded(pacer.BorrowTime, now)
	c.lender.Update(use, now)
	c.loanSteps.Store(int32(math.Round(pacer.LoanSteps * c.lender.Announced())))
	c.needsShares.Store(c.lender.NeedsShares(now))
	loans := c.roster.Loans(pacer.BorrowTime, now)
	if committed := c.lender.Committed(); committed > 0 {
		loans[c.Self.Name] = committed
	}
	c.pacer.SetLoans(loans)
}

// lentShare returns the fraction of its shares in rate limits that this host lends.
func (c *Controller) lentShare() float64 {
	return float64(c.loanSteps.Load()) / pacer.LoanSteps
}

// recordLimitChange logs that the rate limit of an upstream changed, and tells other hosts
// of a limit that is new or much lower.
func (c *Controller) recordLimitChange(change placer.LimitChange) {
	if change.IsUrgent() {
		c.requestUrgentHeartbeat()
	}
	event := logger.UpstreamLimited
	if change.Limit.Finding != "" {
		event = logger.UpstreamLimitUnreadable
	}
	line := c.Log.Event(event).
		Str("upstream", string(change.Upstream.Name)).Str("service", string(change.Upstream.Service)).
		Bool("in-force", change.Limit.InForce).Float64("limit", float64(change.Limit.Rate)).
		Str("source", string(change.Limit.Source)).Str("finding", change.Limit.Finding)
	if !change.Limit.HeardAt.IsZero() {
		line = line.Dur("age", time.Since(change.Limit.HeardAt))
	}
	line.Send()
}

// recordAvailability logs what an upstream said about further requests, and tells other
// hosts that it drains if none of them told this one.
func (c *Controller) recordAvailability(change placer.AvailabilityChange) {
	said := change.Availability
	line := func(event logger.Event) *zerolog.Event {
		return c.Log.Event(event).Str("upstream", string(change.Upstream.Name)).Str("service", string(change.Upstream.Service))
	}
	if said.IsLeaving {
		line(logger.UpstreamSaidLeaving).Str("source", string(change.Source)).Send()
		if change.Source == "" {
			c.requestUrgentHeartbeat()
		}
	}
	if said.RetryAfter > 0 {
		c.Meter.Count(meter.Pauses, meter.Labels{Service: string(change.Upstream.Service), Zone: string(change.Upstream.Zone)})
		line(logger.UpstreamClosed).Dur("for", said.RetryAfter).Send()
	}
	if said.Finding != "" {
		line(logger.UpstreamPauseUnreadable).Str("finding", said.Finding).Send()
	}
}

// reportEndedPauses logs the times for which upstreams wanted no requests and which are over.
func (c *Controller) reportEndedPauses(now time.Time) {
	for _, pause := range c.placer.TakeEndedPauses(now) {
		c.Log.Event(logger.UpstreamReopened).
			Str("upstream", string(pause.Upstream.Name)).Str("service", string(pause.Upstream.Service)).
			Dur("after", pause.Length).Int("moved", pause.Moved).Int("refused", pause.Refused).Send()
	}
}

// reportLimitUse logs, until ctx ends, what this host sent to upstreams that have a rate
// limit.
func (c *Controller) reportLimitUse(ctx context.Context) {
	waiter.Every(ctx, limitUseInterval, func(now time.Time) {
		for _, use := range c.placer.TakeLimitUse() {
			c.Log.Event(logger.UpstreamLimitUsed).
				Str("upstream", string(use.Upstream.Name)).Float64("limit", float64(use.Limit.Rate)).
				Dur("age", now.Sub(use.Limit.HeardAt)).Str("source", string(use.Limit.Source)).
				Int64("hosts", c.sharingHosts.Load()).Dur("interval", use.Interval).
				Int("sent", use.Sent).Int("repeats", use.Repeats).Int("moved", use.Moved).
				Float64("lent", c.lentShare()).Send()
		}
	})
}
