package placer

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// copies is the number of upstreams that an object's requests may go to, one
	// in each region of its order. Upstreams know a limited number of objects: if
	// a busy service spread each object over more of them, they would forget
	// objects faster than they learn them.
	copies = 2
	// unknownWork is how much longer work on an unknown object takes, as a
	// multiple of the usual work.
	unknownWork = 2.0
	// faultCost is the cost of an upstream that always fails, as a multiple of
	// the usual work.
	faultCost = 6.0
	// slowFactor is how much slower than its service an upstream may be before
	// that counts against it.
	slowFactor = 1.6
	// moveGain is how much sooner an upstream outside the planned region must
	// be expected to answer, in parts of the usual work.
	moveGain = 0.5
)

// candidate is an upstream that may get the request.
type candidate struct {
	upstream *upstream
	weight   uint64
	wait     time.Duration
	cost     time.Duration
	// isPlanned says that the upstream is the first of the planned region.
	isPlanned bool
	// isMoved says that the upstream is not in the planned region.
	isMoved bool
	// isKnown says that the upstream handled the object before.
	isKnown bool
}

// candidates are the upstreams that are worth comparing.
type candidates struct {
	list []candidate
	gain time.Duration
}

// candidates returns the upstreams that hold the copies of the key's object, with
// their costs. Those that cannot be reached are left out unless there are no
// others.
func (p *Placer) candidates(s *service, query Query, key uint64, now time.Time) candidates {
	found := candidates{list: p.holders(s, query, key, func(u *upstream) bool { return !u.isDown(now) })}
	if len(found.list) == 0 {
		found.list = p.holders(s, query, key, func(*upstream) bool { return true })
	}
	found.gain = time.Duration(moveGain * float64(s.work.or(defaultWork)))
	mayMigrate := !found.hasKnown() || p.migrations.isAllowed(now)
	for i := range found.list {
		p.price(&found.list[i], s, query, mayMigrate, now)
	}
	return found
}

// holders returns the upstreams that hold the copies among those that isUsable
// reports: one in each of the first regions of the key's order, or all in the
// only region that has some.
func (p *Placer) holders(s *service, query Query, key uint64, isUsable func(*upstream) bool) []candidate {
	var regions [][]*upstream
	for _, r := range s.plan.order(key, p.Zone.Region, s.regions) {
		if len(query.Homes) > 0 && !slices.Contains(query.Homes, r.name) {
			continue
		}
		usable := filter(r.members, func(u *upstream) bool {
			return !slices.Contains(query.Exclude, u.Name) && isUsable(u)
		})
		if len(usable) == 0 {
			continue
		}
		if regions = append(regions, usable); len(regions) == copies {
			break
		}
	}
	n := 1
	if len(regions) == 1 {
		n = copies
	}
	var list []candidate
	for i, members := range regions {
		for rank, c := range first(members, key, n) {
			c.isMoved = i > 0
			c.isPlanned = rank == 0 && !c.isMoved
			_, c.isKnown = c.upstream.known[key]
			list = append(list, c)
		}
	}
	return list
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

func (c *candidates) hasKnown() bool {
	return slices.ContainsFunc(c.list, func(one candidate) bool { return one.isKnown })
}

// first returns the n members with the highest rendezvous weight, highest first.
func first(members []*upstream, key uint64, n int) []candidate {
	top := make([]candidate, 0, n+1)
	for _, u := range members {
		weight := core.Mix(key, u.hash)
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

// price sets the time in which an answer of the candidate is expected. Work on
// an object that it does not know takes longer; the planned upstream gets
// objects nevertheless, as fast as migrations are allowed.
func (p *Placer) price(c *candidate, s *service, query Query, mayMigrate bool, now time.Time) {
	u, work := c.upstream, s.work.or(defaultWork)
	c.wait = u.wait(work, now)
	c.cost = p.trip(u.region) + c.wait
	// What fails everywhere is no reason to leave an upstream.
	if faults := u.fault.now(now) - s.fault.now(now); faults > 0 {
		c.cost += time.Duration(faultCost * faults * float64(work))
	}
	if slow := u.run.or(work) - time.Duration(slowFactor*float64(work)); slow > 0 {
		c.cost += slow
	}
	isExpected := c.isKnown || (c.isPlanned && mayMigrate)
	if query.HasAffinity && !isExpected {
		c.cost += time.Duration(unknownWork * float64(work))
	}
}

// best returns the index of the cheapest candidate. One outside the planned
// region must be cheaper by the gain, and moves must be allowed.
func (c *candidates) best(mayMove bool) int {
	planned, moved := -1, -1
	for i := range c.list {
		target := &planned
		if c.list[i].isMoved {
			target = &moved
		}
		if *target < 0 || c.list[i].cost < c.list[*target].cost {
			*target = i
		}
	}
	if planned < 0 {
		return moved
	}
	if moved >= 0 && mayMove && c.list[moved].cost+c.gain < c.list[planned].cost {
		return moved
	}
	return planned
}
