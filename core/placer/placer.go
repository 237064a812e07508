// Package placer chooses the upstream for each attempt.
//
// An upstream works several times faster on an object that it handled before,
// so the same object goes to the same few upstreams. A key first selects a
// region, by shares that move slowly, and then upstreams of that region, in
// the order of a rendezvous hash. Of these the placer takes the first unless
// another is expected to answer sooner, by its distance, queue, failures and
// the extra time of work on an object that it does not know.
//
// Nothing here waits for other hosts: loads are what answers told and what
// this host itself has in flight, and limits that all hosts share are split
// beforehand (package pacer).
//
// # Usage
//
//	p := &placer.Placer{Zone: zone, Regions: regions, Pacer: pacing}
//	p.SetPolicy(policy)
//	p.SetUpstreams(upstreams, now)
//	choice, ok := p.Choose(placer.Query{Service: s, Key: key, HasAffinity: true}, now)
//	p.Report(choice, placer.Report{Outcome: placer.Done, Run: took}, now)
//
// Lock order: Placer.mu, then Pacer's.
package placer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
)

// Placer chooses upstreams for one host.
type Placer struct {
	// Zone is where the host stands.
	Zone core.Zone
	// Regions gives the region of each availability zone.
	Regions map[core.ZoneName]core.RegionName
	Pacer   *pacer.Pacer
	// AssumeCold says that the upstreams of the first list may be cold: the
	// host starts while others serve, and does not know what happened before.
	AssumeCold bool
	// MaxShift is the part of a region's requests that may change the region in
	// which they run from one window of two seconds to the next; 0 means the
	// default. SetMaxShift changes it.
	MaxShift float64

	mu        sync.Mutex
	policy    *core.RoutingPolicy
	services  map[core.ServiceName]*service
	upstreams map[core.UpstreamName]*upstream
	// retired are upstreams that were listed until lately; one that is listed
	// again in the same life still knows its objects.
	retired   map[core.UpstreamName]*upstream
	evacuated map[core.ZoneName]bool
	// wanted is when a request was last kept from any upstream for being cold.
	wanted time.Time
	trips  map[core.RegionName]time.Duration
	// moves bounds the requests that leave their planned region, migrations
	// those whose object gets another upstream.
	moves      quota
	migrations quota
}

// service is what the placer keeps of one service.
type service struct {
	policy  core.ServicePolicy
	members []*upstream
	// regions holds those members that may get requests.
	regions []*region
	plan    plan
	// work is the usual time of a run without a queue.
	work average
	// fault is the usual rate of failures, against which an upstream's counts.
	fault faultRate
}

// Query describes the request that needs an upstream.
type Query struct {
	Service core.ServiceName
	// Key names the object of the request. Requests without one spread evenly
	// by any text, such as their id.
	Key string
	// HasAffinity says that upstreams work faster on objects they know.
	HasAffinity bool
	// Homes are the only regions allowed; empty means all.
	Homes []core.RegionName
	// Exclude names upstreams that were tried already.
	Exclude []core.UpstreamName
}

// Choice is the upstream for one attempt.
type Choice struct {
	Upstream core.Upstream
	Region   core.RegionName
	// Trip is the usual round trip to the region.
	Trip time.Duration
	// Wait is how long the request is expected to queue at the upstream.
	Wait time.Duration

	// IsPaced says, where no upstream was chosen, that only the bounds of cold
	// upstreams were in the way, so that one may get the request soon.
	IsPaced bool

	key      uint64
	isQueued bool
}

// SetPolicy takes a new routing policy.
func (p *Placer) SetPolicy(policy *core.RoutingPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
	for name, s := range p.services {
		s.policy = policy.Services[name]
	}
}

// Choose returns the upstream for an attempt, and false where none may get it.
func (p *Placer) Choose(query Query, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[query.Service]
	if s == nil {
		return Choice{}, false
	}
	key := xxhash.Sum64String(query.Key)
	p.adjust(s, now)
	found := p.candidates(s, query, key, now)
	if len(found.list) == 0 {
		return Choice{}, false
	}
	return p.take(s, found, key, now)
}

// take picks the best candidate that its warm-up bound allows.
func (p *Placer) take(s *service, found candidates, key uint64, now time.Time) (Choice, bool) {
	for len(found.list) > 0 {
		i := found.best(p.moves.isAllowed(now))
		c := found.list[i]
		u := c.upstream
		if u.isCold(s.policy.WarmUp, now) && !p.Pacer.Take(u.Name, s.policy.WarmUpRate, u.recent(now), now) {
			u.wanted, p.wanted = now, now
			found.list = append(found.list[:i], found.list[i+1:]...)
			continue
		}
		p.moves.count(c.isMoved && !c.isKnown, now)
		p.migrations.count(!c.isKnown && found.hasKnown(), now)
		u.begin(key, now)
		return Choice{
			Upstream: u.Upstream,
			Region:   u.region,
			Trip:     p.trip(u.region),
			Wait:     c.wait,
			key:      key,
			isQueued: c.wait > 0,
		}, true
	}
	return Choice{IsPaced: true}, false
}

const (
	// frequentUse is the number of requests, of which older ones count less, that
	// makes it likely that the next one comes while an open connection is kept.
	frequentUse = 2.0
	// useHalfLife is how fast requests lose their weight in that number.
	useHalfLife = 5 * time.Second
	// fewUpstreams is the number of upstreams up to which a host deals with all
	// of them ahead of requests. In larger fleets most upstreams get few
	// requests of one host, and it deals with those that it uses.
	fewUpstreams = 64
)

// Prepared returns the upstreams of other regions to which the next request
// should find an open connection, since opening one takes a long round trip.
func (p *Placer) Prepared(now time.Time) []core.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	isSmall := len(p.upstreams) <= fewUpstreams
	var list []core.Upstream
	for _, s := range p.services {
		if !s.plan.isSet {
			// Until the first request the plan follows the list.
			s.plan.near = p.fairShare(s)
		}
		isAhead := isSmall && s.plan.near < 1
		for _, u := range s.members {
			if u.region == p.Zone.Region || u.Draining || p.evacuated[u.Zone] || u.isDown(now) {
				continue
			}
			if isAhead || u.uses.now(now) >= frequentUse {
				list = append(list, u.Upstream)
			}
		}
	}
	return list
}

// trip returns the round trip to a region.
func (p *Placer) trip(region core.RegionName) time.Duration {
	if d, ok := p.trips[region]; ok {
		return d
	}
	if region == p.Zone.Region {
		return 0
	}
	return defaultTrip
}

// Release gives back a choice that was not used.
func (p *Placer) Release(choice Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[choice.Upstream.Name]; u != nil {
		u.end()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
