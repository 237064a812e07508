package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// minPause and maxPause bound the time between two failed calls.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
)

// Gate joins the watchers of one store. While the store fails, one of them asks
// it from time to time and the others wait for its answer, so that an outage
// costs the calls of one watcher.
//
// Lock order: Gate.mu is a leaf.
type Gate struct {
	mu sync.Mutex
	// open is closed while calls may be made; nil counts as closed.
	open   chan struct{}
	pause  time.Duration
	asking bool
	// needed is closed when the watchers are needed again; nil while they are.
	needed chan struct{}
}

// SetNeeded states whether the watchers are needed. While another host reads the
// store for this one they make no further calls.
func (g *Gate) SetNeeded(isNeeded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isNeeded == (g.needed == nil) {
		return
	}
	if isNeeded {
		close(g.needed)
		g.needed = nil
		return
	}
	g.needed = make(chan struct{})
}

// awaitNeed waits until the watchers are needed, or ctx ends.
func (g *Gate) awaitNeed(ctx context.Context) {
	g.mu.Lock()
	needed := g.needed
	g.mu.Unlock()
	if needed == nil {
		return
	}
	select {
	case <-needed:
	case <-ctx.Done():
	}
}

// enter waits until a call may be made, and reports whether the caller is the
// one that asks a failing store. It returns false when ctx ends.
func (g *Gate) enter(ctx context.Context) bool {
	g.awaitNeed(ctx)
	open, pause, isAsking := g.state()
	if isAsking {
		// Hosts that lost the store together do not ask it together.
		waiter.Sleep(ctx, pause/2+rand.N(pause/2+1)) //nolint:gosec // No secret depends on it.
		return true
	}
	if open == nil {
		return false
	}
	select {
	case <-open:
	case <-ctx.Done():
	}
	return false
}

// state returns what to wait for. The first caller during a failure is the one
// that asks.
func (g *Gate) state() (open <-chan struct{}, pause time.Duration, isAsking bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		return nil, 0, false
	}
	if !g.asking {
		g.asking = true
		return g.open, g.pause, true
	}
	return g.open, 0, false
}

// answered states that the store answered: all may call.
func (g *Gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open != nil {
		close(g.open)
	}
	g.open, g.pause, g.asking = nil, 0, false
}

// failed states that a call failed. wasAsking is what enter returned for it.
func (g *Gate) failed(wasAsking bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open, g.pause = make(chan struct{}), minPause
		return
	}
	if wasAsking {
		g.asking = false
		g.pause = min(2*g.pause, maxPause)
	}
}
