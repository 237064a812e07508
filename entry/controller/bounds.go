package controller

import (
	"time"

	"github.com/endiverun/endiverun/entry/caller"
)

const (
	// minFetchTimeout and minBatchDelay are the lowest values that are derived from
	// a short Bounds.MaxPropagationDelay.
	minFetchTimeout = 300 * time.Millisecond
	minBatchDelay   = 100 * time.Millisecond
	// minWatchTimeout and maxWatchTimeout bound how long a watch of the store may wait.
	// The store allows no longer wait than 30 s.
	minWatchTimeout = time.Second
	maxWatchTimeout = 25 * time.Second
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
	// StabilizationTime is how long after a disruption of the store or of the network all
	// hosts must again apply changes within MaxPropagationDelay.
	StabilizationTime time.Duration
	// DeadHostTimeout is the longest time after a host has died for which clients may still
	// be sent to it, by Resolve or by a list of hosts that they cache. 0 means that Resolve
	// leaves a host out only because of the number of heartbeats that it missed.
	DeadHostTimeout time.Duration
	// KeyWithdrawalTime is the time after which no request may run with a key that was withdrawn,
	// on any host; 0 means that a host may go by an old policy for as long as it has no newer one.
	KeyWithdrawalTime time.Duration
	// QuotaOverage and QuotaSlack are how far the requests of an organisation that run may exceed
	// its quota: by a fraction, and by a number of requests in a window of several seconds.
	QuotaOverage, QuotaSlack float64
}

// maxKeyAge returns how old the last confirmation of the policy may be on a host that accepts
// keys. The rest of KeyWithdrawalTime allows for clocks that run at different rates.
func (b *Bounds) maxKeyAge() time.Duration {
	const fraction = 0.9
	return time.Duration(fraction * float64(b.KeyWithdrawalTime))
}

// PolicyWatchTimeout returns how long a watch of the policy may wait for changes. Where keys
// must be withdrawn in time, the policy is confirmed often enough that one confirmation may be
// lost.
func (b *Bounds) PolicyWatchTimeout(history time.Duration) time.Duration {
	const fraction = 0.25
	longest := b.WatchTimeout(history)
	if b.KeyWithdrawalTime <= 0 {
		return longest
	}
	return min(longest, time.Duration(fraction*float64(b.maxKeyAge())))
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

// WatchTimeout returns how long a watch of the store may wait for changes, where the store
// keeps its changes for the given time.
//
// A watch whose response was lost hides changes until it times out, and nothing else may
// show the loss. It must therefore end, and the store be listed again, before a change
// that is made StabilizationTime after the loss is due on all hosts. The wait is also
// shorter than the store's history, so that the next watch still finds the changes after
// its revision.
func (b *Bounds) WatchTimeout(history time.Duration) time.Duration {
	const (
		historyFraction = 0.75
		// The rest is the time to list the store and to pass the changes on to followers.
		lossFraction = 0.8
	)
	untilNoticed := time.Duration(lossFraction * float64(b.StabilizationTime+b.MaxPropagationDelay))
	longest := min(untilNoticed-caller.StoreTimeout, time.Duration(historyFraction*float64(history)), maxWatchTimeout)
	return max(longest, minWatchTimeout)
}
