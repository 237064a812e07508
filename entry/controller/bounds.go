package controller

import "time"

const (
	// minFetchTimeout and minBatchDelay are the lowest values that are derived from
	// a short Bounds.MaxPropagationDelay.
	minFetchTimeout = 300 * time.Millisecond
	minBatchDelay   = 100 * time.Millisecond
)

// Bounds are the limits that apply to all hosts together, and the times that the
// operator configures.
type Bounds struct {
	// RetryBudgetRatio and RetryBudgetAllowance are the retry budget: in each RetryBudgetWindow, a
	// service may get this fraction of its requests as additional attempts, plus
	// the allowance.
	RetryBudgetRatio     float64
	RetryBudgetAllowance float64
	RetryBudgetWindow    time.Duration
	// WarmUpRateMultiplier and WarmUpBurst limit the requests per second to a cold
	// upstream, from the rate that it tolerates: rate * WarmUpRateMultiplier + WarmUpBurst.
	WarmUpRateMultiplier float64
	WarmUpBurst          float64
	// GracePeriod is the grace period of a graceful stop, from the signal to the end of
	// the process.
	GracePeriod time.Duration
	// MaxRegionShift is the fraction of a region's requests that may move to another
	// region from one window of two seconds to the next; 0 means the default.
	MaxRegionShift float64
	// UpstreamHeartbeatInterval is the interval of the heartbeats of an upstream. Its registration
	// expires after it has missed some of them. 0 means the default.
	UpstreamHeartbeatInterval time.Duration
	// MaxPropagationDelay is the shortest of the times within which a change in the store must
	// be applied by all hosts.
	MaxPropagationDelay time.Duration
	// DeadHostTimeout is how long after its end a host may still be returned to clients; 0
	// means that only missed heartbeats count.
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
