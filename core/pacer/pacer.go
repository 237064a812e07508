// Package pacer limits the rate of requests to cold upstreams: those in their warm-up
// (core.ServicePolicy.WarmUp).
//
// The limit applies to all hosts together: rate * RateMultiplier + Burst requests in any
// second to an upstream that tolerates rate. Each host uses an equal share of it
// with even spacing between its requests, and never communicates with the other
// hosts. If there are more hosts than requests allowed in a second, only some
// hosts, selected by rendezvous hashing, send requests to a cold upstream.
//
// # Usage
//
//	p := &pacer.Pacer{Self: name, RateMultiplier: 1.5, Burst: 5}
//	p.SetHosts(names)
//	if p.Allow(upstream, rate, recent, now) { /* send */ }
//
// Lock order: no other lock is acquired while Pacer.mu is held.
package pacer

import (
	"math"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// safetyFactor is the fraction of the limit that hosts use. The rest covers
	// requests that were delayed on their way and arrive together.
	safetyFactor = 0.85
	// intervalFactor lengthens the interval between two requests for the same
	// reason.
	intervalFactor = 1.1
	// idleExpiry is how long after the time of the next allowed request an upstream
	// is forgotten.
	idleExpiry = time.Minute
)

// Pacer limits the requests of one host to its share of the warm-up limits of
// all cold upstreams.
type Pacer struct {
	// Self is the name of this host.
	Self core.HostName
	// RateMultiplier is the multiple of the rate that an upstream tolerates which all hosts
	// together may send. The limit is rate * RateMultiplier + Burst requests in any second.
	RateMultiplier float64
	// Burst is the number of requests in any second that all hosts together may send in
	// addition. It is part of the rate: requests are spaced evenly all the same.
	Burst float64

	mu    sync.Mutex
	hosts []core.HostName
	// nextAllowed is the earliest time of the next request to each upstream.
	nextAllowed map[core.UpstreamName]time.Time
}

// SetLimit changes RateMultiplier and Burst.
func (p *Pacer) SetLimit(rateMultiplier, burst float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.RateMultiplier, p.Burst = rateMultiplier, burst
}

// SetHosts sets the hosts that may send requests, including this one. The list
// must contain every host that may be alive, because a host that stopped sending
// heartbeats may still send requests.
func (p *Pacer) SetHosts(hosts []core.HostName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// Allow reports whether this host may now send one request to a cold upstream that
// tolerates the given rate, in requests a second, and if so counts the request as
// sent, which cannot be undone.
//
// Recent is the number of requests that the host sent to the upstream in the last
// second. It includes those sent before the host learned that the upstream is
// cold, so that they count towards the limit too.
func (p *Pacer) Allow(upstream core.UpstreamName, rate float64, recent int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.hostShare(upstream, rate)
	if share < 1 || float64(recent+1) > share || now.Before(p.nextAllowed[upstream]) {
		return false
	}
	if p.nextAllowed == nil {
		p.nextAllowed = map[core.UpstreamName]time.Time{}
	}
	interval := float64(time.Second) * intervalFactor / math.Floor(share)
	p.nextAllowed[upstream] = now.Add(time.Duration(interval))
	p.removeIdle(now)
	return true
}

// hostShare returns the number of requests a second that this host may send to
// the upstream.
func (p *Pacer) hostShare(upstream core.UpstreamName, rate float64) float64 {
	if len(p.hosts) == 0 {
		return 0
	}
	limit := safetyFactor * (rate*p.RateMultiplier + p.Burst)
	share := limit / float64(len(p.hosts))
	if share >= 1 {
		return share
	}
	if p.rank(upstream) < int(limit) {
		return 1
	}
	return 0
}

// rank returns the number of hosts with a higher rendezvous weight for the
// upstream than this host.
func (p *Pacer) rank(upstream core.UpstreamName) int {
	ownWeight := core.RendezvousWeight(string(p.Self), string(upstream))
	higher := 0
	for _, h := range p.hosts {
		if core.RendezvousWeight(string(h), string(upstream)) > ownWeight {
			higher++
		}
	}
	return higher
}

// removeIdle removes upstreams without recent requests once the map has grown
// large.
func (p *Pacer) removeIdle(now time.Time) {
	const minEntries = 512
	if len(p.nextAllowed) < minEntries {
		return
	}
	for u, t := range p.nextAllowed {
		if now.Sub(t) > idleExpiry {
			delete(p.nextAllowed, u)
		}
	}
}
