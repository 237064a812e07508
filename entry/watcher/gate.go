package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// minBackoff and maxBackoff bound the time between two calls to a failing
	// store. The backoff doubles after each failed probe.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// CircuitBreaker limits the calls that the watchers of one store make while it fails, like a
// circuit breaker: one watcher (the prober) retries with backoff and the others
// wait until it succeeds, so that an outage causes only the calls of one watcher.
//
// Lock order: no other lock is taken while the lock of a CircuitBreaker is held.
type CircuitBreaker struct {
	mu sync.Mutex
	// recovered is closed when the store responds again; nil while it does not
	// fail.
	recovered chan struct{}
	backoff   time.Duration
	// probing is true while one watcher probes the failing store.
	probing bool
	// resumed is closed when the watchers are enabled again; nil while they are
	// enabled.
	resumed chan struct{}
	// renewals counts the calls of RenewWatches. renewed is closed by the next one; nil if no
	// watcher has asked for it since.
	renewals int
	renewed  chan struct{}
}

// RenewWatches makes the watchers abandon their pending watches, ask for the changes at once
// and then pass on all objects. Call it when the store responds again after failed calls: a
// response that was due in between may be lost, and its connection can stay open without it.
// Call it also when the user needs all objects.
func (g *CircuitBreaker) RenewWatches() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renewals++
	if g.renewed != nil {
		close(g.renewed)
		g.renewed = nil
	}
}

// renewal returns the number of calls of RenewWatches, and a channel that the next one closes.
func (g *CircuitBreaker) renewal() (int, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.renewed == nil {
		g.renewed = make(chan struct{})
	}
	return g.renewals, g.renewed
}

// SetEnabled allows or forbids new calls of the watchers, whether the store fails or not.
// They are forbidden while another host reads the store on behalf of this one. Calls
// in flight end normally.
func (g *CircuitBreaker) SetEnabled(isNeeded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isNeeded == (g.resumed == nil) {
		return
	}
	if isNeeded {
		close(g.resumed)
		g.resumed = nil
		return
	}
	g.resumed = make(chan struct{})
}

// awaitResume waits until the watchers are enabled, or ctx ends.
func (g *CircuitBreaker) awaitResume(ctx context.Context) {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// awaitCall waits until the caller may call the store or ctx ends, and reports
// whether the call is the probe of a failing store. It returns false when ctx ends
// while the caller waits for another watcher's probe.
func (g *CircuitBreaker) awaitCall(ctx context.Context) bool {
	g.awaitResume(ctx)
	recovered, backoff, isProbe := g.claimProbe()
	if isProbe {
		// The jitter keeps hosts that lost the store at the same time from
		// probing it at the same time.
		waiter.Sleep(ctx, backoff/2+rand.N(backoff/2+1)) //nolint:gosec // Jitter needs no secure random numbers.
		return true
	}
	if recovered == nil {
		return false
	}
	select {
	case <-recovered:
	case <-ctx.Done():
	}
	return false
}

// claimProbe makes the caller the prober if the store fails and has no prober yet.
// It returns the channel to wait on, nil while the store does not fail, and the
// prober's backoff.
func (g *CircuitBreaker) claimProbe() (recovered <-chan struct{}, backoff time.Duration, isProbe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recovered == nil {
		return nil, 0, false
	}
	if !g.probing {
		g.probing = true
		return g.recovered, g.backoff, true
	}
	return g.recovered, 0, false
}

// recordSuccess records that the store responded, and lets all watchers call it
// again.
func (g *CircuitBreaker) recordSuccess() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recovered != nil {
		close(g.recovered)
	}
	g.recovered, g.backoff, g.probing = nil, 0, false
}

// recordFailure records that a call failed. wasProbe is the result of awaitCall
// before that call.
func (g *CircuitBreaker) recordFailure(wasProbe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recovered == nil {
		g.recovered, g.backoff = make(chan struct{}), minBackoff
		return
	}
	if wasProbe {
		g.probing = false
		g.backoff = min(2*g.backoff, maxBackoff)
	}
}
