package controller

import "time"

const (
	// minFetch and minGather are the least values where changes must be in force
	// very soon.
	minFetch  = 300 * time.Millisecond
	minGather = 100 * time.Millisecond
)

// Bounds are the limits that hold over all hosts, and the times that an
// operator allows.
type Bounds struct {
	// RetryFraction and RetryAllowance bound additional attempts in RetryWindow.
	RetryFraction  float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// WarmUpOverage and WarmUpSlack bound requests to cold upstreams.
	WarmUpOverage float64
	WarmUpSlack   float64
	// Grace is the time between the order to stop and the end.
	Grace time.Duration
	// MaxShift is the part of a region's requests that may change their region
	// between two windows of two seconds; 0 means the default.
	MaxShift float64
	// Heartbeat is the time between two signs of life of an upstream, after some of
	// which its registration expires; 0 means a default.
	Heartbeat time.Duration
	// InForce is the shortest time in which a change of the store must be in force.
	InForce time.Duration
	// Silence is how long after its end a host may be named to clients; 0 means
	// that only missed heartbeats count.
	Silence time.Duration
}

// maxSilence is the silence after which a host is no longer named. The rest of the
// bound is the time for which others keep lists.
func (b *Bounds) maxSilence() time.Duration {
	const part = 0.65
	return time.Duration(part * float64(b.Silence))
}

// fetchTimeout bounds the fetch of another host's copy. A host that follows a
// silent one must turn to the store in time.
func (b *Bounds) fetchTimeout() time.Duration {
	const part = 0.2
	return max(minFetch, time.Duration(part*float64(b.InForce)))
}

// Gather is the pause after a change before the next one is asked for, so that
// changes made together cost one call.
func (b *Bounds) Gather() time.Duration {
	const part = 0.08
	return max(minGather, time.Duration(part*float64(b.InForce)))
}
