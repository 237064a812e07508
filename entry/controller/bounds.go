package controller

import "time"

const (
	// minFetchTimeout and minBatchDelay are the lowest values that are derived from
	// a short Bounds.MaxPropagationDelay.
	minFetchTimeout = 300 * time.Millisecond
	minBatchDelay   = 100 * time.Millisecond
)

// Bounds are the values that the operator tunes: limits that apply to all hosts
// together, and times. Package loader's Bounds is the same object before it is
// validated; its Limits are for one host of the program endiverun-entry.
type Bounds struct {
	// RetryBudgetRatio and RetryBudgetAllowance are the retry budget: in each RetryBudgetWindow, a
	// service may get this fraction of its requests as additional attempts, plus
	// the allowance.
	RetryBudgetRatio     float64
	RetryBudgetAllowance float64
	RetryBudgetWindow    time.Duration
	// WarmUpRateMultiplier and WarmUpBurst limit the requests per second that all hosts send
	// to a cold upstream, one that still warms up: rate * WarmUpRateMultiplier + WarmUpBurst,
	// where rate is core.ServicePolicy.WarmUpRate.
	WarmUpRateMultiplier float64
	WarmUpBurst          float64
	// GracePeriod limits the time of a graceful stop, from the signal to the end of the
	// process. The host first waits until clients no longer use lists of hosts that include
	// it; requests in flight get the rest of the time.
	GracePeriod time.Duration
	// MaxRegionShift is the largest fraction of a region's requests whose serving region may
	// change from one window of two seconds to the next; 0 means the default.
	MaxRegionShift float64
	// UpstreamHeartbeatInterval is the time between two heartbeats of an upstream to the
	// store, where its registration expires after it has missed some of them. A host that
	// had no response of the store for longer keeps the upstreams that are then missing for
	// a short time, since they may only have expired. 0 means the default.
	UpstreamHeartbeatInterval time.Duration
	// MaxPropagationDelay is the time within which all hosts must apply a change in the
	// store. If different kinds of changes have different times, it is the shortest one.
	MaxPropagationDelay time.Duration
	// DeadHostTimeout is the longest time after a host has died for which clients may still
	// be sent to it, by Resolve or by a list of hosts that they cache. 0 means that Resolve
	// leaves a host out only because of the number of heartbeats that it missed.
	DeadHostTimeout time.Duration
}

// heartbeatTimeout returns the time without a heartbeat after which a host is no longer
// returned to clients. The rest of DeadHostTimeout is the time for which the other hosts
// cache lists of hosts.
func (b *Bounds) heartbeatTimeout() time.Duration {
	const fraction = 0.65
	return time.Duration(fraction * float64(b.DeadHostTimeout))
}

// fetchTimeout returns the time limit for fetching the snapshot of another host.
// It leaves enough time to read the store instead if that host does not respond.
func (b *Bounds) fetchTimeout() time.Duration {
	const fraction = 0.2
	return max(minFetchTimeout, time.Duration(fraction*float64(b.MaxPropagationDelay)))
}

// BatchDelay returns the delay between a change in the store and the next watch call,
// so that changes made at the same time cost one call.
func (b *Bounds) BatchDelay() time.Duration {
	const fraction = 0.08
	return max(minBatchDelay, time.Duration(fraction*float64(b.MaxPropagationDelay)))
}
