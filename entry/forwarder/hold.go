package forwarder

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// holdPollInterval is the time between two checks whether a held request can
	// proceed.
	holdPollInterval = 20 * time.Millisecond
	// maxHoldTime limits how long a request is held for a host that has just
	// started or for a cold upstream. Clients wait about one second for a request
	// to be accepted.
	maxHoldTime = 900 * time.Millisecond
	// holdDivisor limits the hold time to this fraction (1/holdDivisor) of the
	// client's timeout, so that a rejected client has time left for a retry.
	holdDivisor = 3
)

// holdDeadline returns until when a request that arrived at the given time may
// be held.
func (f *Forwarder) holdDeadline(ctx *fasthttp.RequestCtx, now time.Time) time.Time {
	timeout := f.clientDeadline(ctx, now).Sub(now)
	return now.Add(min(maxHoldTime, timeout/holdDivisor))
}

// awaitPolicy returns the routing policy as soon as the host is ready. It returns
// nil if the deadline passes first or the host is draining. A host that has just
// started reads its policy in less time than a rejected client takes to retry.
func (f *Forwarder) awaitPolicy(deadline time.Time) *core.RoutingPolicy {
	for {
		if policy := f.policy.Load(); policy != nil && (f.IsReady == nil || f.IsReady()) {
			return policy
		}
		if f.isDraining.Load() || !time.Now().Before(deadline) {
			return nil
		}
		time.Sleep(holdPollInterval)
	}
}

// awaitUpstream chooses the upstream for an attempt. If only the rate limits of
// cold upstreams prevent a choice, it waits and tries again, since those permit
// another request within fractions of a second.
func (r *requestState) awaitUpstream(ctx context.Context, query placer.Query) (placer.Choice, bool) {
	for {
		now := time.Now()
		choice, ok := r.forwarder.Placer.Choose(query, now)
		if ok || !choice.IsThrottled || !now.Before(r.holdDeadline) {
			return choice, ok
		}
		waiter.Sleep(ctx, holdPollInterval)
		if ctx.Err() != nil {
			return choice, false
		}
	}
}
