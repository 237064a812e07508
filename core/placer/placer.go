// Package placer selects the upstream for each attempt.
//
// A key in this package is an affinity key, which names what a request works on; it is not
// an idempotency key. An upstream serves a key several times faster once it has served
// that key before, so requests with the same key go to the same few upstreams. The key
// first selects a region, according to each region's share of the keys, which changes
// slowly, and then upstreams of that region in the order of rendezvous hashing. The placer takes
// the first of these upstreams unless another one is expected to respond
// sooner. The estimate covers the round trip, the queue, recent failures and
// the longer processing of a key that the upstream has not served.
//
// Selection never waits for other hosts. Load estimates come from the responses
// of upstreams and from the requests that this host has in flight. Limits that
// apply to all hosts together are divided between them in advance (package
// pacer).
//
// # Usage
//
//	p := &placer.Placer{Zone: zone, RegionByZone: regions, Pacer: pacing}
//	p.SetPolicy(policy)
//	p.SetUpstreams(upstreams, now)
//	choice, ok := p.Choose(placer.Query{Service: s, Key: key, HasAffinity: true}, now)
//	p.Report(choice, placer.Report{Outcome: placer.Done, ResponseTime: elapsed}, now)
//
// For each upstream that Choose selected, the caller calls either Report or, if it sent
// no attempt, Release.
//
// Lock order: Placer.mu is acquired before the lock of the Pacer.
package placer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
)

// Placer selects upstreams for the requests of one host.
type Placer struct {
	// Zone is the availability zone in which the host runs.
	Zone core.Zone
	// RegionByZone maps each availability zone to its region.
	RegionByZone map[core.ZoneName]core.RegionName
	// Pacer limits the requests to cold upstreams.
	Pacer *pacer.Pacer
	// AssumeCold treats all upstreams of the first call of SetUpstreams as possibly cold. It
	// is set on a host that starts while other hosts are serving, because that host
	// does not know which upstreams restarted or were in an evacuated zone before.
	//
	// An upstream that is possibly cold is treated as cold for the warm-up time of its
	// service, unless RecordHealthCheck states otherwise before.
	AssumeCold bool
	// MaxRegionShift is the largest fraction, from 0 to 1, of the requests received in a
	// region that may move to another serving region from one window of two seconds to
	// the next. 0 selects the default. SetMaxRegionShift changes it.
	MaxRegionShift float64
	// OnLimitChange is called after the rate limit of an upstream changed; nil ignores it.
	OnLimitChange func(LimitChange)
	// OnAvailabilityChange is called after the responses of an upstream, or another host, said
	// something new about its availability; nil ignores it.
	OnAvailabilityChange func(AvailabilityChange)

	mu        sync.Mutex
	policy    *core.RoutingPolicy
	services  map[core.ServiceName]*service
	upstreams map[core.UpstreamName]*upstream
	// removed holds upstreams that left the list recently. One that is listed
	// again with the same incarnation keeps its state.
	removed   map[core.UpstreamName]*upstream
	evacuated map[core.ZoneName]bool
	// departures hold also what is known of upstreams that are in neither list.
	departures departures
	// leavingRound counts the calls of LeavingNotices.
	leavingRound int
	// subsets holds the upstreams that this host may use, for services in which it may not
	// use all.
	subsets map[core.ServiceName]map[core.UpstreamName]bool
	// lastThrottled is when the warm-up limit last kept a request from any upstream.
	lastThrottled time.Time
	// use is what the host did with its shares in rate limits since the last call of TakeUse.
	use pacer.Use
	// shortUntil is until when the host is short of shares in rate limits.
	shortUntil time.Time
	// endedPauses holds the pauses that ended since the last call of TakeEndedPauses.
	endedPauses []EndedPause
	// lastNotice is the upstream of the last notice in the rotation of RateLimitNotices.
	lastNotice core.UpstreamName
	// roundTrips holds the measured round-trip time to each region.
	roundTrips map[core.RegionName]time.Duration
	// spillover limits requests that leave their planned region. Only those to an
	// upstream that has not served their key count towards the limit.
	spillover shareLimiter
	// migrations limits requests that go to an upstream that has not served their
	// key although another candidate has.
	migrations shareLimiter
}

// service is the state of one service.
type service struct {
	policy  core.ServicePolicy
	members []*upstream
	// regions holds the members that are eligible for requests, by region.
	regions []*region
	plan    regionPlan
	// serviceTime averages the processing time of requests that did not queue.
	serviceTime movingAverage
	// failures is the failure rate of the whole service. Only what an upstream
	// fails beyond this rate counts against it.
	failures failureRate
}

// Query describes the request that needs an upstream.
type Query struct {
	Service core.ServiceName
	// Key is the affinity key of the request. A request without affinity may use
	// any text that spreads evenly, such as its ID.
	Key string
	// HasAffinity reports whether upstreams serve keys faster that they served before; the
	// key then names the object that the request works on (core.Route.HasAffinity).
	HasAffinity bool
	// HomeRegions lists the only regions whose upstreams may get the request. Empty
	// allows all regions.
	HomeRegions []core.RegionName
	// Exclude lists the upstreams that were tried already.
	Exclude []core.UpstreamName
}

// allowsRegion reports whether upstreams of the region may get the request.
func (q *Query) allowsRegion(region core.RegionName) bool {
	return len(q.HomeRegions) == 0 || slices.Contains(q.HomeRegions, region)
}

// Choice is the upstream selected for one attempt. If none was selected, only IsThrottled,
// IsLeftToOthers and Room are meaningful.
type Choice struct {
	Upstream core.Upstream
	Region   core.RegionName
	// RoundTrip is the expected round-trip time to the region.
	RoundTrip time.Duration
	// QueueTime is the expected queueing time at the upstream.
	QueueTime time.Duration

	// IsThrottled reports, when no upstream was selected, that only the limits of
	// cold or returning upstreams or rate limits prevented it, so that another call of
	// Choose may soon succeed.
	IsThrottled bool
	// IsLeftToOthers is set, when no upstream was selected, if all that could run the request
	// are left to other hosts (SetSubsets).
	IsLeftToOthers bool
	// Room is set if what upstreams asked for prevented the selection.
	Room *Room
	// MovedFrom is the upstream that would have got the attempt, if its rate limit or its
	// pause kept the attempt away, and MovedBy which of them; otherwise empty and Open.
	MovedFrom core.UpstreamName
	MovedBy   Closure

	// Limit is the rate limit of the upstream that was known when it was selected, and
	// LimitInterval the shortest time between two attempts of this host that it allows.
	Limit         KnownLimit
	LimitInterval time.Duration

	key      uint64
	isQueued bool
	chosenAt time.Time
	// lastSent is the time of the attempt at the upstream before this one.
	lastSent time.Time
}

// SetPolicy replaces the routing policy.
func (p *Placer) SetPolicy(policy *core.RoutingPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
	for name, s := range p.services {
		s.policy = policy.Services[name]
	}
}

// Choose selects the upstream for an attempt. It returns false if no upstream
// may receive the request.
func (p *Placer) Choose(query Query, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[query.Service]
	if s == nil {
		return Choice{}, false
	}
	key := xxhash.Sum64String(query.Key)
	p.adjustPlan(s, now)
	candidates := p.findCandidates(s, query, key, now)
	if len(candidates.list) == 0 {
		room := p.room(s, query, now)
		p.recordShortage(room, now)
		return Choice{
			IsThrottled:    room != nil && room.Reason != Paused && room.Rate > 0,
			Room:           room,
			IsLeftToOthers: p.isLeftToOthers(s, query),
		}, false
	}
	return p.pick(s, candidates, key, len(query.Exclude) > 0, now)
}

// pick selects the cheapest candidate that its warm-up limit allows.
func (p *Placer) pick(s *service, candidates candidateSet, key uint64, isRepeat bool, now time.Time) (Choice, bool) {
	for len(candidates.list) > 0 {
		i := candidates.cheapest(p.spillover.isAllowed(now))
		c := candidates.list[i]
		u := c.upstream
		if p.admit(u, s, now) != Open {
			candidates.list = append(candidates.list[:i], candidates.list[i+1:]...)
			continue
		}
		p.spillover.record(c.isSpillover && !c.hasServedKey, now)
		p.migrations.record(!c.hasServedKey && c.replaces == nil && candidates.anyServedKey(), now)
		lastSent, interval := u.lastSentAt, p.limitInterval(u)
		u.startAttempt(key, now)
		u.limitUse.add(isRepeat)
		if u.limit.InForce {
			p.use.Sent++
		}
		movedFrom, movedBy := p.recordMove(c, now)
		return Choice{
			Upstream:  u.Upstream,
			Region:    u.region,
			RoundTrip: p.roundTrip(u.region),
			QueueTime: c.queueTime,
			MovedFrom: movedFrom,
			MovedBy:   movedBy,

			Limit:         u.limit,
			LimitInterval: interval,

			key:      key,
			isQueued: c.queueTime > 0,
			chosenAt: now,
			lastSent: lastSent,
		}, true
	}
	return Choice{IsThrottled: true}, false
}

// recordMove counts that a candidate replaces another upstream, and returns that upstream and
// what keeps the attempt from it.
func (p *Placer) recordMove(c candidate, now time.Time) (core.UpstreamName, Closure) {
	if c.replaces == nil {
		return "", Open
	}
	reason, _ := p.closure(c.replaces, toSendAnyway, now)
	c.replaces.limitUse.moved++
	if reason == Paused {
		c.replaces.pauseUse.moved++
	}
	return c.replaces.Name, reason
}

const (
	// frequentUseThreshold is the decaying request count from which the next
	// request is likely to come while an idle connection is still kept open.
	frequentUseThreshold = 2.0
	// useHalfLife is the half-life of requests in that count.
	useHalfLife = 5 * time.Second
	// maxSmallFleet is the largest number of upstreams that a host connects to and
	// checks before it has requests for them. In a larger fleet most upstreams
	// get few requests of one host, so the host does this only for those it uses.
	maxSmallFleet = 64
)

// PreconnectTargets returns the upstreams of other regions to which a connection should
// be kept open, because opening one takes a long round trip.
func (p *Placer) PreconnectTargets(now time.Time) []core.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	isSmallFleet := len(p.upstreams) <= maxSmallFleet
	var list []core.Upstream
	for _, s := range p.services {
		if !s.plan.isInitialized {
			// Until the first request the plan follows the list of upstreams.
			s.plan.localShare = p.fairLocalShare(s)
		}
		includesAll := isSmallFleet && s.plan.localShare < 1
		for _, u := range s.members {
			if u.region == p.Zone.Region || !p.isContactable(u, now) {
				continue
			}
			if includesAll || u.usage.valueAt(now) >= frequentUseThreshold {
				list = append(list, u.Upstream)
			}
		}
	}
	return list
}

// roundTrip returns the expected round-trip time to a region.
func (p *Placer) roundTrip(region core.RegionName) time.Duration {
	if d, ok := p.roundTrips[region]; ok {
		return d
	}
	if region == p.Zone.Region {
		return 0
	}
	return defaultRoundTrip
}

// Release ends a choice for which no attempt was sent. It takes the place of Report.
func (p *Placer) Release(choice Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.incarnationOf(choice.Upstream)
	if u == nil {
		return
	}
	u.finishAttempt()
	if u.lastSentAt.Equal(choice.chosenAt) {
		u.lastSentAt = choice.lastSent
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
