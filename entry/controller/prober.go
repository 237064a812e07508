package controller

import (
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
)

// maxPendingChecks limits the health checks in flight.
const maxPendingChecks = 64

// healthChecker runs health checks concurrently, so that an upstream that responds
// slowly does not delay the check of another.
type healthChecker struct {
	mu      sync.Mutex
	pending map[core.UpstreamName]bool
	group   conc.WaitGroup
}

// start starts a check in the background, and reports whether it did. It does not
// if a check of the same upstream or too many others are in flight.
func (h *healthChecker) start(name core.UpstreamName, check func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending[name] || len(h.pending) >= maxPendingChecks {
		return false
	}
	if h.pending == nil {
		h.pending = map[core.UpstreamName]bool{}
	}
	h.pending[name] = true
	h.group.Go(func() {
		defer h.finish(name)
		check()
	})
	return true
}

func (h *healthChecker) finish(name core.UpstreamName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, name)
}
