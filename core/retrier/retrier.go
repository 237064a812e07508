// Package retrier enforces a retry budget that all hosts share.
//
// The operator's budget applies to the whole system: in any window, the retries
// of a service may amount to a fraction of its requests plus a fixed allowance.
// Each host uses its part without communicating with the other hosts: the
// fraction of the requests that it received itself, and an equal share of the
// allowance.
//
// # Usage
//
//	r := &retrier.Budget{Window: 10 * time.Second, Ratio: 0.2, Allowance: 62}
//	r.SetHosts(11)
//	r.RecordRequest(service, now)          // for each request of a client
//	if r.TryRetry(service, now) { /* send a retry */ }
//
// Lock order: no other lock is acquired while Budget.mu is held.
package retrier

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// safetyFactor is the fraction of the budget that hosts use. The rest covers
	// retries that arrive later than they were counted, together with others.
	safetyFactor = 0.92
	// windowBuckets is the number of time buckets that make up a sliding window.
	windowBuckets = 50
	// earnBuckets is the number of buckets whose requests earn retries. If this
	// were the whole window, a host whose request rate falls could spend in one
	// window what it earned in the previous one.
	earnBuckets = windowBuckets / 5
)

// Budget enforces one host's part of the retry budget. Its fields state the budget of all
// hosts together.
type Budget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed as a fraction of the requests. Each host
	// applies it to the requests that it received itself.
	Ratio float64
	// Allowance is the number of retries that all hosts together may send in a
	// window in addition to Ratio.
	Allowance float64

	mu    sync.Mutex
	hosts int
	// origin is the first time seen. Buckets are numbered from it by the
	// monotonic clock, so that a change of the wall clock moves no window.
	origin   time.Time
	services map[core.ServiceName]*windowCounts
}

// windowCounts counts requests and retries by time bucket. The current bucket is
// incomplete, so all buckets together cover more than a window, and all but the
// oldest cover less than one. To stay on the safe side, retries are summed over
// the former and requests over the latter.
type windowCounts struct {
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
	// current is the number of the current bucket, counted from Budget.origin.
	current int64
}

// sumLast returns the requests of the last n buckets, including the current one,
// and the retries of the last n+1 buckets.
func (c *windowCounts) sumLast(n int64) (requests, retries int) {
	for i := range n {
		requests += c.requests[bucketIndex(c.current-i)]
		retries += c.retries[bucketIndex(c.current-i)]
	}
	return requests, retries + c.retries[bucketIndex(c.current-n)]
}

// bucketIndex returns the array index of a bucket number, which may be negative.
func bucketIndex(bucket int64) int64 {
	const buckets = windowBuckets + 1
	return (bucket%buckets + buckets) % buckets
}

// SetLimits changes Ratio and Allowance. Window must not change after the first use.
func (r *Budget) SetLimits(ratio, allowance float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ratio, r.Allowance = ratio, allowance
}

// SetHosts sets the number of hosts that share the allowance.
func (r *Budget) SetHosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = n
}

// RecordRequest counts a request of a client.
func (r *Budget) RecordRequest(service core.ServiceName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.advance(service, now)
	c.requests[bucketIndex(c.current)]++
}

// CanRetry reports whether the budget allows one more retry, without counting one.
func (r *Budget) CanRetry(service core.ServiceName, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isAllowed(r.advance(service, now))
}

// TryRetry counts one retry if the budget allows it, and reports whether it does.
func (r *Budget) TryRetry(service core.ServiceName, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.advance(service, now)
	if !r.isAllowed(c) {
		return false
	}
	c.retries[bucketIndex(c.current)]++
	return true
}

// isAllowed reports whether one more retry is within the budget of the window
// and within what the requests of the last earnBuckets earned.
func (r *Budget) isAllowed(c *windowCounts) bool {
	return r.isWithinBudget(c, windowBuckets) && r.isWithinBudget(c, earnBuckets)
}

// isWithinBudget reports whether one more retry is within the part of the budget
// that belongs to the last n buckets.
func (r *Budget) isWithinBudget(c *windowCounts, n int64) bool {
	requests, retries := c.sumLast(n)
	allowance := r.Allowance / float64(max(r.hosts, 1)) * float64(n) / windowBuckets
	return float64(retries+1) <= safetyFactor*(r.Ratio*float64(requests)+allowance)
}

// advance returns the counts of a service after moving its window to the current
// time, which clears the buckets that left the window.
func (r *Budget) advance(service core.ServiceName, now time.Time) *windowCounts {
	if r.origin.IsZero() {
		r.origin = now
	}
	bucket := int64(now.Sub(r.origin) / (r.Window / windowBuckets))
	c := r.services[service]
	if c == nil {
		c = &windowCounts{current: bucket}
		if r.services == nil {
			r.services = map[core.ServiceName]*windowCounts{}
		}
		r.services[service] = c
	}
	for n := 0; c.current < bucket && n <= windowBuckets; n++ {
		c.current++
		c.requests[bucketIndex(c.current)] = 0
		c.retries[bucketIndex(c.current)] = 0
	}
	c.current = max(c.current, bucket)
	return c
}
