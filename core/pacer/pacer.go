// Package pacer keeps the requests to cold upstreams below what they tolerate.
//
// The bound is stated for all hosts together. Each host takes an equal share
// of it, spaced evenly, and never asks the others. Where there are more hosts
// than the bound allows requests a second, only some of them, chosen by
// rendezvous hash, send to a cold upstream at all.
//
// # Usage
//
//	p := &pacer.Pacer{Self: name, Overage: 1.5, Slack: 5}
//	p.SetHosts(names)
//	if p.Take(upstream, rate, recent, now) { /* send */ }
//
// Lock order: Pacer.mu is a leaf.
package pacer

import (
	"math"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// safety is the part of the bound that hosts use; the rest covers requests
	// that were held up on their way and arrive together.
	safety = 0.85
	// stretch lengthens the gap between two requests for the same reason.
	stretch = 1.1
	// forgetAfter is when the last request to an upstream no longer matters.
	forgetAfter = time.Minute
)

// Pacer is one host's share of all warm-up bounds.
type Pacer struct {
	Self core.HostName
	// Overage and Slack make the bound from a tolerated rate:
	// rate * Overage + Slack requests in any second.
	Overage float64
	Slack   float64

	mu    sync.Mutex
	hosts []core.HostName
	next  map[core.UpstreamName]time.Time
}

// SetBound changes the bound.
func (p *Pacer) SetBound(overage, slack float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Overage, p.Slack = overage, slack
}

// SetHosts states which hosts may send, this one included. It names the most
// that may be alive, since a host that is only silent still sends.
func (p *Pacer) SetHosts(hosts []core.HostName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// Take reserves one request to a cold upstream that tolerates the given rate
// a second, and reports whether this host may send it now. Recent is how many
// requests the host sent it in the last second: those that it sent before it
// learned that the upstream is cold count as well.
func (p *Pacer) Take(upstream core.UpstreamName, rate float64, recent int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.share(upstream, rate)
	if share < 1 || float64(recent+1) > share || now.Before(p.next[upstream]) {
		return false
	}
	if p.next == nil {
		p.next = map[core.UpstreamName]time.Time{}
	}
	gap := float64(time.Second) * stretch / math.Floor(share)
	p.next[upstream] = now.Add(time.Duration(gap))
	p.forget(now)
	return true
}

// share returns the requests a second that this host may send.
func (p *Pacer) share(upstream core.UpstreamName, rate float64) float64 {
	if len(p.hosts) == 0 {
		return 0
	}
	bound := safety * (rate*p.Overage + p.Slack)
	share := bound / float64(len(p.hosts))
	if share >= 1 {
		return share
	}
	if p.rank(upstream) < int(bound) {
		return 1
	}
	return 0
}

// rank returns how many hosts come before this one for the upstream.
func (p *Pacer) rank(upstream core.UpstreamName) int {
	own := core.Weigh(string(p.Self), string(upstream))
	before := 0
	for _, h := range p.hosts {
		if core.Weigh(string(h), string(upstream)) > own {
			before++
		}
	}
	return before
}

// forget removes upstreams that got nothing for a long time.
func (p *Pacer) forget(now time.Time) {
	const many = 512
	if len(p.next) < many {
		return
	}
	for u, t := range p.next {
		if now.Sub(t) > forgetAfter {
			delete(p.next, u)
		}
	}
}
