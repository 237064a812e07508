package placer

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// candidatesPerKey is the number of upstreams that requests with one key may
	// go to, one in each region of the key's order. Upstreams remember a limited
	// number of keys: if a busy service spread each key over more upstreams, they
	// would forget keys faster than they learn them.
	candidatesPerKey = 2
	// unservedKeyPenalty is the additional time for a key that the upstream has
	// not served, as a multiple of the usual service time.
	unservedKeyPenalty = 2.0
	// failurePenalty is the additional cost of an upstream that always fails, as a
	// multiple of the usual service time.
	failurePenalty = 6.0
	// slowFactor is the multiple of the service's usual service time up to which
	// a slower upstream has no additional cost.
	slowFactor = 1.6
	// spilloverGain is how much sooner an upstream outside the planned region must
	// be expected to respond, as a multiple of the usual service time.
	spilloverGain = 0.5
)

// candidate is an upstream that may receive the request.
type candidate struct {
	upstream *upstream
	// weight is the rendezvous hash weight of the upstream for the key.
	weight uint64
	// queueTime is the expected queueing time at the upstream.
	queueTime time.Duration
	// cost is the expected time to a response, including penalties.
	cost time.Duration
	// isPrimary marks the first upstream of the planned region.
	isPrimary bool
	// isSpillover marks an upstream outside the planned region.
	isSpillover bool
	// hasServedKey marks an upstream that this host sent the key to before.
	hasServedKey bool
	// replaces is the upstream of the same region that would get the key if its rate limit
	// or its pause allowed an attempt now; nil if there is none.
	replaces *upstream
}

// candidateSet holds the candidates for one request.
type candidateSet struct {
	list []candidate
	// minGain is how much cheaper a candidate outside the planned region must be.
	minGain time.Duration
}

// findCandidates returns the candidates for the key with their costs. Closed upstreams (see
// closure) are left out, ejected ones only unless no other upstream may get the request.
func (p *Placer) findCandidates(s *service, query Query, key uint64, now time.Time) candidateSet {
	candidates := candidateSet{list: p.rankCandidates(s, query, key, toSend, now)}
	if len(candidates.list) == 0 {
		candidates.list = p.rankCandidates(s, query, key, toSendAnyway, now)
	}
	candidates.minGain = time.Duration(spilloverGain * float64(s.serviceTime.valueOr(defaultServiceTime)))
	mayMigrate := !candidates.anyServedKey() || p.migrations.isAllowed(now)
	for i := range candidates.list {
		p.estimateCost(&candidates.list[i], s, query, mayMigrate, now)
	}
	return candidates
}

// rankCandidates returns the candidates for the key among the open upstreams: the first
// upstream of each of the first regions in the key's order, or the first ones of a single
// region if no other has such upstreams.
func (p *Placer) rankCandidates(s *service, query Query, key uint64, use purpose, now time.Time) []candidate {
	regions, closed := p.openByRegion(s, query, key, use, now)
	n := 1
	if len(regions) == 1 {
		n = candidatesPerKey
	}
	var list []candidate
	for i, members := range regions {
		for rank, c := range topByWeight(members, key, n) {
			c.isSpillover = i > 0
			c.isPrimary = rank == 0 && !c.isSpillover
			_, c.hasServedKey = c.upstream.servedKeys[key]
			if rank == 0 {
				c.replaces = firstBefore(c, closed, key)
			}
			list = append(list, c)
		}
	}
	return list
}

// openByRegion returns the open upstreams of the first regions in the key's order that
// have any, and the upstreams of these regions that are closed at their own request.
func (p *Placer) openByRegion(
	s *service, query Query, key uint64, use purpose, now time.Time,
) (regions [][]*upstream, closed []*upstream) {
	for _, r := range s.plan.regionOrder(key, p.Zone.Region, s.regions) {
		if !query.allowsRegion(r.name) {
			continue
		}
		open := filter(r.members, func(u *upstream) bool {
			if slices.Contains(query.Exclude, u.Name) {
				return false
			}
			reason, _ := p.closure(u, use, now)
			if reason.isStated() {
				closed = append(closed, u)
			}
			return reason == Open
		})
		if len(open) == 0 {
			continue
		}
		if regions = append(regions, open); len(regions) == candidatesPerKey {
			break
		}
	}
	return regions, closed
}

// firstBefore returns the first upstream of the candidate's region in the key's order
// among those that are closed at their own request, if it comes before the candidate.
func firstBefore(c candidate, closed []*upstream, key uint64) *upstream {
	var first *upstream
	highest := c.weight
	for _, u := range closed {
		if weight := core.CombineHashes(key, u.hash); u.region == c.upstream.region && weight > highest {
			first, highest = u, weight
		}
	}
	return first
}

func filter(members []*upstream, keep func(*upstream) bool) []*upstream {
	kept := make([]*upstream, 0, len(members))
	for _, u := range members {
		if keep(u) {
			kept = append(kept, u)
		}
	}
	return kept
}

// anyServedKey reports whether any candidate has served the key.
func (c *candidateSet) anyServedKey() bool {
	return slices.ContainsFunc(c.list, func(one candidate) bool { return one.hasServedKey })
}

// topByWeight returns the n members with the highest rendezvous weight, highest first.
func topByWeight(members []*upstream, key uint64, n int) []candidate {
	top := make([]candidate, 0, n+1)
	for _, u := range members {
		weight := core.CombineHashes(key, u.hash)
		i := len(top)
		for i > 0 && top[i-1].weight < weight {
			i--
		}
		if i >= n {
			continue
		}
		top = slices.Insert(top, i, candidate{upstream: u, weight: weight})
		top = top[:min(len(top), n)]
	}
	return top
}

// estimateCost sets the queueing time and the cost of the candidate. A key that
// the upstream has not served takes longer, which adds a penalty. The primary
// candidate is exempt while migrations are allowed, so that it takes over its
// keys at the rate of that limit. The replacement of an upstream that is closed at its own
// request is exempt too, so that its keys stay in their region.
func (p *Placer) estimateCost(c *candidate, s *service, query Query, mayMigrate bool, now time.Time) {
	u, serviceTime := c.upstream, s.serviceTime.valueOr(defaultServiceTime)
	slowness := u.expectedSlowness(now)
	c.queueTime = time.Duration((1 + slowness) * float64(u.queueTime(serviceTime, now)))
	c.cost = p.roundTrip(u.region) + c.queueTime + time.Duration(slowness*float64(serviceTime))
	// Failures that the whole service has are no reason to avoid one upstream.
	if excess := u.failures.rateAt(now) - s.failures.rateAt(now); excess > 0 {
		c.cost += time.Duration(failurePenalty * excess * float64(serviceTime))
	}
	if slowdown := u.serviceTime.valueOr(serviceTime) - time.Duration(slowFactor*float64(serviceTime)); slowdown > 0 {
		c.cost += slowdown
	}
	isExempt := c.hasServedKey || c.replaces != nil || (c.isPrimary && mayMigrate)
	if query.HasAffinity && !isExempt {
		c.cost += time.Duration(unservedKeyPenalty * float64(serviceTime))
	}
}

// cheapest returns the index of the candidate with the lowest cost. A candidate
// outside the planned region is returned only if it is cheaper by at least
// minGain and maySpill is true, or if the planned region has no candidate.
func (c *candidateSet) cheapest(maySpill bool) int {
	planned, spillover := -1, -1
	for i := range c.list {
		target := &planned
		if c.list[i].isSpillover {
			target = &spillover
		}
		if *target < 0 || c.list[i].cost < c.list[*target].cost {
			*target = i
		}
	}
	if planned < 0 {
		return spillover
	}
	if spillover >= 0 && maySpill && c.list[spillover].cost+c.minGain < c.list[planned].cost {
		return spillover
	}
	return planned
}
