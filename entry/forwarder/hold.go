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
	// holdStep is the time between two looks whether a held request may go on.
	holdStep = 20 * time.Millisecond
	// maxHold bounds how long a request waits for a host that just started or
	// for a cold upstream. Clients allow a request about a second to be taken.
	maxHold = 900 * time.Millisecond
	// holdPart bounds it to a part of the client's time, so that a client that
	// is refused has time to come back.
	holdPart = 3
)

// holdLimit returns until when a request that came at the given time may wait.
func (f *Forwarder) holdLimit(ctx *fasthttp.RequestCtx, now time.Time) time.Time {
	left := f.deadline(ctx, now).Sub(now)
	return now.Add(min(maxHold, left/holdPart))
}

// awaitPolicy returns the policy in force. A host that just started has none
// yet, and reads it in less time than a refused client takes to come back. It
// returns nil where the limit passes first.
func (f *Forwarder) awaitPolicy(limit time.Time) *core.RoutingPolicy {
	for {
		if policy := f.policy.Load(); policy != nil && (f.IsReady == nil || f.IsReady()) {
			return policy
		}
		if f.isLeaving.Load() || !time.Now().Before(limit) {
			return nil
		}
		time.Sleep(holdStep)
	}
}

// place returns the upstream for an attempt. It waits while only the bounds of
// cold upstreams are in the way: those end within fractions of a second.
func (x *exchange) place(work context.Context, query placer.Query) (placer.Choice, bool) {
	for {
		now := time.Now()
		choice, ok := x.forwarder.Placer.Choose(query, now)
		if ok || !choice.IsPaced || !now.Before(x.hold) {
			return choice, ok
		}
		waiter.Sleep(work, holdStep)
		if work.Err() != nil {
			return choice, false
		}
	}
}
