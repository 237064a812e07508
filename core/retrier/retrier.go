// Package retrier bounds additional attempts over all hosts together.
//
// The operator's budget is stated for the whole system: in any window, a
// service may get a fraction of its requests in additional attempts, and a
// fixed allowance beside it. Each host keeps its own part without asking the
// others: the fraction of the requests that it took in itself, and an equal
// share of the allowance.
//
// # Usage
//
//	r := &retrier.Retrier{Window: 10 * time.Second, Fraction: 0.2, Allowance: 62}
//	r.SetHosts(11)
//	r.Count(service, now)                  // for each request of a client
//	if r.Spend(service, now) { /* send once more */ }
//
// Lock order: Retrier.mu is a leaf.
package retrier

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// safety is the part of the budget that hosts use. The rest covers repeats
	// that arrive later than they were counted, together with others.
	safety = 0.92
	// windowSteps is the number of steps in which a window slides.
	windowSteps = 50
	// earnSteps is the number of steps within which requests earn repeats. Were
	// it the whole window, a host whose requests become fewer could spend in one
	// window what it earned in the one before.
	earnSteps = windowSteps / 5
)

// Retrier is one host's part of the budget.
type Retrier struct {
	Window    time.Duration
	Fraction  float64
	Allowance float64

	mu    sync.Mutex
	hosts int
	// origin is the first time seen. Steps are counted from it by the steady
	// clock, so that a jump of the time of day moves no window.
	origin   time.Time
	services map[core.ServiceName]*counts
}

// counts holds the requests and repeats of the last steps. The present step has
// only begun, so all of them together cover more than a window, and all but the
// oldest less than one: repeats are counted over the former and requests over
// the latter.
type counts struct {
	requests [windowSteps + 1]int
	repeats  [windowSteps + 1]int
	step     int64
}

// last returns the requests of the last n steps, the present one included, and
// the repeats of one step more.
func (c *counts) last(n int64) (requests, repeats int) {
	for i := range n {
		requests += c.requests[index(c.step-i)]
		repeats += c.repeats[index(c.step-i)]
	}
	return requests, repeats + c.repeats[index(c.step-n)]
}

// index returns where a step is counted.
func index(step int64) int64 {
	const steps = windowSteps + 1
	return (step%steps + steps) % steps
}

// SetBudget changes the budget. The window stays as it is while hosts run.
func (r *Retrier) SetBudget(fraction, allowance float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Fraction, r.Allowance = fraction, allowance
}

// SetHosts states how many hosts share the allowance.
func (r *Retrier) SetHosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = n
}

// Count counts a request of a client.
func (r *Retrier) Count(service core.ServiceName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.at(service, now)
	c.requests[index(c.step)]++
}

// CanSpend reports whether the budget allows one more additional attempt.
func (r *Retrier) CanSpend(service core.ServiceName, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isAllowed(r.at(service, now))
}

// Spend takes one additional attempt and reports whether the budget allows it.
func (r *Retrier) Spend(service core.ServiceName, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.at(service, now)
	if !r.isAllowed(c) {
		return false
	}
	c.repeats[index(c.step)]++
	return true
}

// isAllowed reports whether one more repeat is within the window's budget, and
// within what the requests of the last steps earned.
func (r *Retrier) isAllowed(c *counts) bool {
	return r.hasLeft(c, windowSteps) && r.hasLeft(c, earnSteps)
}

// hasLeft reports whether one more repeat is within the part of the budget that
// falls to the last n steps.
func (r *Retrier) hasLeft(c *counts, n int64) bool {
	requests, repeats := c.last(n)
	allowance := r.Allowance / float64(max(r.hosts, 1)) * float64(n) / windowSteps
	return float64(repeats+1) <= safety*(r.Fraction*float64(requests)+allowance)
}

// at returns the counts of a service, with what has left the window removed.
func (r *Retrier) at(service core.ServiceName, now time.Time) *counts {
	if r.origin.IsZero() {
		r.origin = now
	}
	step := int64(now.Sub(r.origin) / (r.Window / windowSteps))
	c := r.services[service]
	if c == nil {
		c = &counts{step: step}
		if r.services == nil {
			r.services = map[core.ServiceName]*counts{}
		}
		r.services[service] = c
	}
	for n := 0; c.step < step && n <= windowSteps; n++ {
		c.step++
		c.requests[index(c.step)] = 0
		c.repeats[index(c.step)] = 0
	}
	c.step = max(c.step, step)
	return c
}
