package controller

import (
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
)

// maxPending bounds the health checks that wait for an answer at a time.
const maxPending = 64

// prober runs health checks beside each other, so that an upstream that is slow
// to answer delays the check of no other.
type prober struct {
	mu      sync.Mutex
	pending map[core.UpstreamName]bool
	group   conc.WaitGroup
}

// start runs a check, unless one of the same upstream or too many others still
// wait for an answer. It does not wait for the check, and reports whether it
// was started.
func (p *prober) start(name core.UpstreamName, check func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[name] || len(p.pending) >= maxPending {
		return false
	}
	if p.pending == nil {
		p.pending = map[core.UpstreamName]bool{}
	}
	p.pending[name] = true
	p.group.Go(func() {
		defer p.end(name)
		check()
	})
	return true
}

func (p *prober) end(name core.UpstreamName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, name)
}
