package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// spilloverShiftShare is the part of MaxRegionShift that spillover may use, and
	// planShiftPerSecond the part by which the planned local share moves in a
	// second. A window is two seconds, so the plans of two consecutive windows
	// differ by up to twice the movement of a second.
	spilloverShiftShare = 2.0 / 3
	planShiftPerSecond  = 2.0 / 15
	// defaultMaxShift is the limit used if MaxRegionShift is 0.
	defaultMaxShift = 0.15
	// maxMigrationShare is the largest share of requests that may go to an upstream
	// that has not served their key although another candidate has.
	maxMigrationShare = 0.03
	// shareWindow is the time over which these shares are counted.
	shareWindow = 2 * time.Second
	// adjustInterval is the time between two adjustments of a plan.
	adjustInterval = 200 * time.Millisecond
	// While the utilization of the local upstreams, the load as a fraction of
	// their slots, is between lowUtilization and highUtilization, the plan stays
	// unchanged.
	highUtilization = 0.75
	lowUtilization  = 0.45
	// minUtilizationGap is how much lower the utilization of the other regions
	// must be for keys to move there.
	minUtilizationGap = 0.15
	// utilizationWeight is the weight of one sample in the average utilization,
	// which thus covers about two seconds.
	utilizationWeight = 0.1
)

// regionPlan determines which keys of a service run in the host's own region.
// All hosts of a region arrive at about the same plan because they see the same
// load, so a key that leaves the region leaves it on all of them.
type regionPlan struct {
	isInitialized bool
	// localShare is the fraction of keys that stay in the local region.
	localShare float64
	adjustedAt time.Time
	// fairShare is the fair local share that localShare was last scaled to.
	fairShare float64
	// localUtilization and remoteUtilization are moving averages for the local
	// region and for all other regions.
	localUtilization, remoteUtilization float64
}

// Salts that derive independent hashes from one key.
const (
	saltLocal  = 0x5bd1e9955bd1e995
	saltRegion = 0xc2b2ae3d27d4eb4f
)

// region holds the upstreams of a service in one region that are eligible for
// requests.
type region struct {
	name core.RegionName
	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
	// slots is the total of the members' slots.
	slots   int
	members []*upstream
}

// regionOrder returns the regions in the order in which requests with the key
// should use them; the first one is the planned region. The local region comes
// first for its share of the keys and second for all others. Each key thus has
// one local and one remote upstream that have served it, and requests follow
// the load between these two without moving any key.
func (p *regionPlan) regionOrder(key uint64, localName core.RegionName, regions []*region) []*region {
	type scored struct {
		region *region
		score  float64
	}
	remote := make([]scored, 0, len(regions))
	var local *region
	for _, r := range regions {
		if r.name == localName {
			local = r
			continue
		}
		remote = append(remote, scored{r, core.RendezvousScore(core.CombineHashes(key, saltRegion), r.hash, float64(r.slots))})
	}
	slices.SortFunc(remote, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	order := make([]*region, 0, len(regions))
	for _, o := range remote {
		order = append(order, o.region)
	}
	if local == nil {
		return order
	}
	at := 0
	if isLocal := core.UnitInterval(core.CombineHashes(key, saltLocal)) < p.localShare; !isLocal {
		at = min(1, len(order))
	}
	return slices.Insert(order, at, local)
}

// initPlan sets the plan of a service to the fair local share. It runs on the
// first request because the list of upstreams may be incomplete before that.
func (p *Placer) initPlan(s *service, now time.Time) {
	fairShare := p.fairLocalShare(s)
	s.plan = regionPlan{isInitialized: true, localShare: fairShare, fairShare: fairShare, adjustedAt: now}
}

// adjustPlan adapts the plan of a service to the current load.
func (p *Placer) adjustPlan(s *service, now time.Time) {
	if !s.plan.isInitialized {
		p.initPlan(s, now)
		return
	}
	elapsed := now.Sub(s.plan.adjustedAt)
	if elapsed < adjustInterval {
		return
	}
	s.plan.adjustedAt = now
	step := planShiftPerSecond * p.maxShift() * min(elapsed, time.Second).Seconds()
	s.plan.scale(p.fairLocalShare(s))
	local, remote := p.utilizations(s, now)
	s.plan.localUtilization += utilizationWeight * (local - s.plan.localUtilization)
	s.plan.remoteUtilization += utilizationWeight * (remote - s.plan.remoteUtilization)
	s.plan.shift(step)
}

// maxShift returns MaxRegionShift or its default.
func (p *Placer) maxShift() float64 {
	if p.MaxRegionShift <= 0 {
		return defaultMaxShift
	}
	return p.MaxRegionShift
}

// SetMaxRegionShift changes MaxRegionShift.
func (p *Placer) SetMaxRegionShift(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.MaxRegionShift = share
	p.spillover.maxShare = spilloverShiftShare * p.maxShift()
}

// scale reduces the local share at once when local capacity decreases. An
// increase has no effect here: shift raises the share again as the utilization
// permits.
func (p *regionPlan) scale(fairShare float64) {
	if fairShare < p.fairShare {
		p.localShare *= fairShare / p.fairShare
	}
	p.fairShare = fairShare
}

// shift moves the local share by at most one step: down if the local region is
// highly utilized and the others are less so, up if the local region has room.
func (p *regionPlan) shift(step float64) {
	switch {
	case p.localUtilization > highUtilization && p.remoteUtilization < p.localUtilization-minUtilizationGap:
		p.localShare = max(0, p.localShare-step)
	case p.localUtilization < lowUtilization && p.localShare < 1:
		p.localShare = min(1, p.localShare+step)
	}
}

// fairLocalShare returns the share of the region's requests that its own slots
// should serve, under the assumption that every availability zone receives the
// same number of requests.
func (p *Placer) fairLocalShare(s *service) float64 {
	var localSlots, allSlots int
	for _, u := range s.members {
		if u.excluded != Open {
			continue
		}
		allSlots += u.slots()
		if u.region == p.Zone.Region {
			localSlots += u.slots()
		}
	}
	zones := 0
	for _, region := range p.RegionByZone {
		if region == p.Zone.Region {
			zones++
		}
	}
	if allSlots == 0 || zones == 0 {
		return 1
	}
	slotShare := float64(localSlots) / float64(allSlots)
	clientShare := float64(zones) / float64(len(p.RegionByZone))
	return min(1, slotShare/clientShare)
}

// utilizations returns the utilization of the local upstreams and of all others:
// their load as a fraction of their slots.
func (p *Placer) utilizations(s *service, now time.Time) (local, remote float64) {
	var localSlots, remoteSlots float64
	for _, u := range s.members {
		if !p.isContactable(u, now) {
			continue
		}
		if u.region == p.Zone.Region {
			local += u.load(now)
			localSlots += float64(u.slots())
			continue
		}
		remote += u.load(now)
		remoteSlots += float64(u.slots())
	}
	return utilization(local, localSlots), utilization(remote, remoteSlots)
}

// utilization returns load divided by slots. Without slots it returns 1, full
// utilization.
func utilization(load, slots float64) float64 {
	if slots == 0 {
		return 1
	}
	return load / slots
}

// shareLimiter limits requests of one kind to a share of all requests, counted
// over shareWindow.
type shareLimiter struct {
	maxShare float64
	// total counts all requests and matched those of the limited kind, both with
	// linear decay.
	total, matched float64
	updatedAt      time.Time
}

func (q *shareLimiter) decay(now time.Time) {
	elapsed := now.Sub(q.updatedAt)
	if elapsed <= 0 {
		return
	}
	keep := max(0, 1-elapsed.Seconds()/shareWindow.Seconds())
	q.total *= keep
	q.matched *= keep
	q.updatedAt = now
}

// isAllowed reports whether one more request of the limited kind is within the share.
func (q *shareLimiter) isAllowed(now time.Time) bool {
	q.decay(now)
	return q.matched < q.maxShare*q.total+1
}

// record counts a request and whether it is of the limited kind.
func (q *shareLimiter) record(isMatch bool, now time.Time) {
	q.decay(now)
	q.total++
	if isMatch {
		q.matched++
	}
}
