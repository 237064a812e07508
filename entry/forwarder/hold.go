package forwarder

import (
	"context"
	"sync"
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
		if f.isDraining() || !time.Now().Before(deadline) {
			return nil
		}
		time.Sleep(holdPollInterval)
	}
}

// awaitUpstream chooses the upstream for an attempt. If only the rate limits of
// upstreams prevent a choice, it waits and tries again, since those permit another
// request within fractions of a second. It does not wait if the requests that already
// wait will use what the limits permit until the deadline.
func (r *requestState) awaitUpstream(ctx context.Context, query placer.Query) (placer.Choice, bool) {
	isHeld := false
	defer func() {
		if isHeld {
			r.forwarder.held.leave(r.service)
		}
	}()
	for {
		now := time.Now()
		choice, ok := r.forwarder.Placer.Choose(query, now)
		if ok || !choice.IsThrottled || !now.Before(r.holdDeadline) {
			return choice, ok
		}
		wait := holdPollInterval
		if choice.Room != nil {
			if !isHeld && now.Add(choice.Room.Wait(r.forwarder.held.count(r.service))).After(r.holdDeadline) {
				return choice, false
			}
			wait = max(wait, choice.Room.OpensIn)
		}
		if !isHeld {
			isHeld = true
			r.forwarder.held.enter(r.service)
		}
		waiter.Sleep(ctx, min(wait, r.holdDeadline.Sub(now)))
		if ctx.Err() != nil {
			return choice, false
		}
	}
}

// heldRequests counts the requests that are held, by service.
type heldRequests struct {
	mu     sync.Mutex
	counts map[core.ServiceName]int
}

func (h *heldRequests) enter(service core.ServiceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = map[core.ServiceName]int{}
	}
	h.counts[service]++
}

func (h *heldRequests) leave(service core.ServiceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts[service]--; h.counts[service] <= 0 {
		delete(h.counts, service)
	}
}

func (h *heldRequests) count(service core.ServiceName) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[service]
}
