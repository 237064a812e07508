// Package pacer divides rates of requests that apply to all hosts together: that of an
// upstream in its warm-up (core.ServicePolicy.WarmUp), which is cold, and the rate limit
// that an upstream names while it serves.
//
// The limit of a cold upstream is rate * RateMultiplier + Burst requests in any second
// for an upstream that tolerates rate. The limit that an upstream names is that many
// requests a second. Each host uses a share of either with even spacing between
// its requests and asks no other host before it sends one. Of a limit that an
// upstream names, hosts of its own region have larger shares than the others, because
// they place most of its requests. Where shares would be too small, only some hosts,
// selected by rendezvous hashing, send requests to the upstream: a first request of every
// host would exceed the limit already.
//
// While a host is short of shares in named limits, those that use little of theirs lend a
// part of them to the others (Lender), so that a busy host refuses no request while others
// leave their shares unused.
//
// Nothing is saved: a host that did not use its share may send one request and then
// keeps the spacing again.
//
// # Usage
//
//	p := &pacer.Pacer{Self: name, RateMultiplier: 1.5, Burst: 5}
//	p.SetHosts(hosts)
//	if p.Allow(upstream, rate, recent, now) { /* send */ }
//	interval, ok := p.Interval(upstream, region, limit)
//	if ok && now.Sub(lastSent) >= interval { /* send */ }
//
// Lock order: no other lock is acquired while Pacer.mu is held.
package pacer

import (
	"maps"
	"math"
	"slices"
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
	// extraSenders is how many hosts may send requests to an upstream beyond the requests a
	// second that its limit allows. In 4 s, n hosts with even spacing send at most
	// 4 * limit + n requests; upstreams tolerate 6 * limit + 5.
	extraSenders = 4
	// minLimit is the lowest limit that is kept, in requests a second. With none at all, no
	// host would notice that an upstream has ended its limit.
	minLimit = 0.1
	// localWeight is the share of a host in the region of the upstream as a multiple of the
	// share of a host in another region.
	localWeight = 4.0
	// idleExpiry is how long after the time of the next allowed request an upstream
	// is forgotten.
	idleExpiry = time.Minute
)

// Pacer holds the share of one host in the limits of upstreams.
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
	hosts []core.Host
	// loans holds the fraction of its shares that each host lends to the others now.
	loans map[core.HostName]float64
	// senders caches the results of sendersOf for the current hosts, and shares those of
	// shareOf for the current hosts and loans.
	senders map[core.UpstreamName][]core.Host
	shares  map[core.UpstreamName]limitShare
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
func (p *Pacer) SetHosts(hosts []core.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(p.hosts, hosts) {
		p.hosts, p.senders, p.shares = hosts, nil, nil
	}
}

// SetLoans sets the fraction, from 0 to 1, of its shares in the limits of upstreams that
// each host lends to the others, this one included. Hosts that lend nothing are left out.
func (p *Pacer) SetLoans(loans map[core.HostName]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !maps.Equal(p.loans, loans) {
		p.loans, p.shares = loans, nil
	}
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

// HostCount returns the number of hosts, at least 1.
func (p *Pacer) HostCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.hosts), 1)
}

// Turn returns the place of this host, from 0 for the first, in an even order of all hosts that
// ends before 1 and differs from upstream to upstream.
func (p *Pacer) Turn(upstream core.UpstreamName) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hosts) == 0 {
		return 0
	}
	return float64(p.rank(upstream)) / float64(len(p.hosts))
}

// rank returns the number of hosts with a higher rendezvous weight for the
// upstream than this host.
func (p *Pacer) rank(upstream core.UpstreamName) int {
	ownWeight := core.RendezvousWeight(string(p.Self), string(upstream))
	higher := 0
	for _, h := range p.hosts {
		if core.RendezvousWeight(string(h.Name), string(upstream)) > ownWeight {
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
