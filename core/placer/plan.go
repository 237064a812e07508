package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// shiftByMoves is the part of the bound on shifted traffic that requests may
	// take which leave their planned region, and shiftByPlan that by which the
	// planned share of a region moves in a second. A window is two seconds, and the
	// plans of two windows differ by up to twice their movement.
	shiftByMoves = 2.0 / 3
	shiftByPlan  = 2.0 / 15
	// defaultMaxShift is the bound where none is stated.
	defaultMaxShift = 0.15
	// migrateShare is the part of requests whose object may get another
	// upstream although one knows it.
	migrateShare = 0.03
	// moveWindow is the time over which these parts are counted.
	moveWindow = 2 * time.Second
	// adjustEvery is the time between two adjustments of a plan.
	adjustEvery = 200 * time.Millisecond
	// highLoad and lowLoad bound the load of the near upstreams between which
	// the plan stays as it is, in parts of their slots.
	highLoad = 0.75
	lowLoad  = 0.45
	// loadGap is how much less loaded the other regions must be.
	loadGap = 0.15
	// loadWeight is the part of one look at the loads in their average, so
	// that about two seconds count.
	loadWeight = 0.1
)

// plan says which part of a service's keys run in the host's own region. All
// hosts of a region come to about the same plan, since they see the same load,
// so a key that leaves the region leaves it from all of them.
type plan struct {
	isSet bool
	// near is the part of the keys that stay in the own region.
	near     float64
	adjusted time.Time
	// fair is the share by slots that near was last scaled to.
	fair float64
	// nearLoad and farLoad average the loads of the own and other regions.
	nearLoad, farLoad float64
}

// unit maps a hash to the range from 0 to 1.
func unit(hash uint64) float64 {
	const mantissa = 53
	return float64(hash>>(64-mantissa)) / (1 << mantissa)
}

// Salts make independent hashes of one key.
const (
	saltStay   = 0x5bd1e9955bd1e995
	saltRegion = 0xc2b2ae3d27d4eb4f
)

// region is the part of a service's upstreams in one region that may get
// requests.
type region struct {
	name    core.RegionName
	hash    uint64
	slots   int
	members []*upstream
}

// order returns the regions in the order in which the key's requests should use
// them. The first is the planned one. The own region is the first for its part
// of the keys and the second for the others, so that each object has one near
// upstream and one elsewhere: requests follow the load between two upstreams
// that know the object, and no key has to move for that.
func (p *plan) order(key uint64, own core.RegionName, regions []*region) []*region {
	type scored struct {
		region *region
		score  float64
	}
	others := make([]scored, 0, len(regions))
	var near *region
	for _, r := range regions {
		if r.name == own {
			near = r
			continue
		}
		others = append(others, scored{r, rendezvous(core.Mix(key, saltRegion), r.hash, float64(r.slots))})
	}
	slices.SortFunc(others, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	order := make([]*region, 0, len(regions))
	for _, o := range others {
		order = append(order, o.region)
	}
	if near == nil {
		return order
	}
	at := 0
	if isNear := unit(core.Mix(key, saltStay)) < p.near; !isNear {
		at = min(1, len(order))
	}
	return slices.Insert(order, at, near)
}

// begin sets the plan of a service to the share of the near slots. Before the
// first request the list of upstreams may still be incomplete.
func (p *Placer) begin(s *service, now time.Time) {
	fair := p.fairShare(s)
	s.plan = plan{isSet: true, near: fair, fair: fair, adjusted: now}
}

// adjust moves the plan of a service by the loads seen.
func (p *Placer) adjust(s *service, now time.Time) {
	if !s.plan.isSet {
		p.begin(s, now)
		return
	}
	elapsed := now.Sub(s.plan.adjusted)
	if elapsed < adjustEvery {
		return
	}
	s.plan.adjusted = now
	step := shiftByPlan * p.maxShift() * min(elapsed, time.Second).Seconds()
	s.plan.scale(p.fairShare(s))
	near, far := p.loads(s, now)
	s.plan.nearLoad += loadWeight * (near - s.plan.nearLoad)
	s.plan.farLoad += loadWeight * (far - s.plan.farLoad)
	s.plan.move(step)
}

// maxShift returns the part of a region's requests that may change their region
// between two windows.
func (p *Placer) maxShift() float64 {
	if p.MaxShift <= 0 {
		return defaultMaxShift
	}
	return p.MaxShift
}

// SetMaxShift changes MaxShift.
func (p *Placer) SetMaxShift(part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.MaxShift = part
	p.moves.part = shiftByMoves * p.maxShift()
}

// scale shrinks the share at once when near upstreams leave. It grows again
// with the load that they are seen to bear.
func (p *plan) scale(fair float64) {
	if fair < p.fair {
		p.near *= fair / p.fair
	}
	p.fair = fair
}

// move shifts the share by at most one step towards the less loaded region.
func (p *plan) move(step float64) {
	switch {
	case p.nearLoad > highLoad && p.farLoad < p.nearLoad-loadGap:
		p.near = max(0, p.near-step)
	case p.nearLoad < lowLoad && p.near < 1:
		p.near = min(1, p.near+step)
	}
}

// fairShare returns the part of the region's requests that its own slots
// should carry, if every availability zone has as many clients.
func (p *Placer) fairShare(s *service) float64 {
	var near, all int
	for _, u := range s.members {
		if u.Draining || p.evacuated[u.Zone] {
			continue
		}
		all += u.slots()
		if u.region == p.Zone.Region {
			near += u.slots()
		}
	}
	zones := 0
	for _, region := range p.Regions {
		if region == p.Zone.Region {
			zones++
		}
	}
	if all == 0 || zones == 0 {
		return 1
	}
	slotShare := float64(near) / float64(all)
	clientShare := float64(zones) / float64(len(p.Regions))
	return min(1, slotShare/clientShare)
}

// loads returns the load of the near and of the other upstreams in parts of
// their slots.
func (p *Placer) loads(s *service, now time.Time) (near, far float64) {
	var nearSlots, farSlots float64
	for _, u := range s.members {
		if u.Draining || p.evacuated[u.Zone] || u.isDown(now) {
			continue
		}
		if u.region == p.Zone.Region {
			near += u.load(now)
			nearSlots += float64(u.slots())
			continue
		}
		far += u.load(now)
		farSlots += float64(u.slots())
	}
	return ratio(near, nearSlots), ratio(far, farSlots)
}

func ratio(load, slots float64) float64 {
	if slots == 0 {
		return 1
	}
	return load / slots
}

// quota bounds a kind of requests to a part of all requests.
type quota struct {
	part          float64
	all, selected float64
	counted       time.Time
}

func (q *quota) decay(now time.Time) {
	elapsed := now.Sub(q.counted)
	if elapsed <= 0 {
		return
	}
	keep := max(0, 1-elapsed.Seconds()/moveWindow.Seconds())
	q.all *= keep
	q.selected *= keep
	q.counted = now
}

// isAllowed reports whether one more request of the kind is within the part.
func (q *quota) isAllowed(now time.Time) bool {
	q.decay(now)
	return q.selected < q.part*q.all+1
}

// count counts a request, and whether it is of the kind.
func (q *quota) count(isSelected bool, now time.Time) {
	q.decay(now)
	q.all++
	if isSelected {
		q.selected++
	}
}
