package placer

import (
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// SetUpstreams replaces the list of upstreams. Upstreams that stay listed keep
// their state; a new incarnation under the same name starts with fresh state. Upstreams
// that are new to the list are possibly cold; those of the first list only if AssumeCold
// is set.
func (p *Placer) SetUpstreams(list []core.Upstream, now time.Time) {
	for _, change := range p.setUpstreams(list, now) {
		p.notifyAvailability(&change)
	}
}

// setUpstreams is SetUpstreams without its notifications, which it returns.
func (p *Placer) setUpstreams(list []core.Upstream, now time.Time) []AvailabilityChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spillover.maxShare, p.migrations.maxShare = spilloverShiftShare*p.maxShift(), maxMigrationShare
	isInitial := p.upstreams == nil && !p.AssumeCold
	next := make(map[core.UpstreamName]*upstream, len(list))
	for _, item := range list {
		u := p.upstreams[item.Name]
		if u == nil {
			u = p.removed[item.Name]
		}
		if u == nil || !u.isSameIncarnation(item) {
			u = newUpstream(item, p.RegionByZone[item.Zone], now)
			if !isInitial {
				u.suspectedAt = now
			}
		}
		u.Upstream = item
		u.coldUntil = later(u.coldUntil, item.ColdUntil)
		next[item.Name] = u
	}
	p.retainRemoved(next, now)
	p.upstreams = next
	changes := p.applyDepartures(next, now)
	p.groupByService()
	return changes
}

// removedRetention is how long the state of an upstream that left the list is kept.
const removedRetention = 15 * time.Second

// retainedUntil returns until when the state of an upstream that left the list is kept, at
// least to the end of its pause.
func (u *upstream) retainedUntil() time.Time {
	return later(u.removedAt.Add(removedRetention), u.pausedUntil)
}

// retainRemoved keeps the state of upstreams that are missing from the next list
// and discards what was kept for too long. While requests are in flight, their responses may
// say something.
func (p *Placer) retainRemoved(next map[core.UpstreamName]*upstream, now time.Time) {
	if p.removed == nil {
		p.removed = map[core.UpstreamName]*upstream{}
	}
	for name, u := range p.removed {
		if next[name] != nil || u.inFlight == 0 && now.After(u.retainedUntil()) {
			p.endPause(u, now)
			delete(p.removed, name)
		}
	}
	for name, u := range p.upstreams {
		if next[name] == nil {
			u.removedAt = now
			p.removed[name] = u
		}
	}
}

// groupByService rebuilds the members and regions of each service.
func (p *Placer) groupByService() {
	if p.services == nil {
		p.services = map[core.ServiceName]*service{}
	}
	for _, s := range p.services {
		s.members = s.members[:0]
	}
	for _, u := range p.upstreams {
		u.excluded = p.exclusion(u)
		s := p.services[u.Service]
		if s == nil {
			s = &service{}
			if p.policy != nil {
				s.policy = p.policy.Services[u.Service]
			}
			p.services[u.Service] = s
		}
		s.members = append(s.members, u)
	}
	for _, s := range p.services {
		s.regions = eligibleByRegion(s.members)
	}
}

// SetSubsets sets the upstreams that this host may use, for the services whose upstreams are
// divided between hosts (package subsetter). It may use all upstreams of other services. The
// caller must not change the maps afterwards.
func (p *Placer) SetSubsets(subsets map[core.ServiceName]map[core.UpstreamName]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subsets = subsets
	p.groupByService()
}

// isUnassigned reports whether SetSubsets leaves the upstream to other hosts. The caller holds
// Placer.mu.
func (p *Placer) isUnassigned(u *upstream) bool {
	subset, isSubset := p.subsets[u.Service]
	return isSubset && !subset[u.Name]
}

// isLeftToOthers reports whether all upstreams that could run the request are left to other
// hosts. The caller holds Placer.mu.
func (p *Placer) isLeftToOthers(s *service, query Query) bool {
	if slices.ContainsFunc(s.regions, func(r *region) bool { return query.allowsRegion(r.name) }) {
		return false
	}
	return slices.ContainsFunc(s.members, func(u *upstream) bool {
		return u.excluded == Unassigned && query.allowsRegion(u.region)
	})
}

// eligibleByRegion groups the members that are eligible for requests of this host by region.
func eligibleByRegion(members []*upstream) []*region {
	var regions []*region
	for _, u := range members {
		if u.excluded != Open {
			continue
		}
		i := slices.IndexFunc(regions, func(r *region) bool { return r.name == u.region })
		if i < 0 {
			i = len(regions)
			regions = append(regions, &region{name: u.region, hash: xxhash.Sum64String(string(u.region))})
		}
		regions[i].slots += u.slots()
		regions[i].members = append(regions[i].members, u)
	}
	return regions
}

// allIncarnations returns the upstreams of the list and those that left it recently. The
// latter may be listed again, with what this host learned of them meanwhile. The caller
// holds Placer.mu.
func (p *Placer) allIncarnations() iter.Seq[*upstream] {
	return func(yield func(*upstream) bool) {
		for _, list := range []map[core.UpstreamName]*upstream{p.upstreams, p.removed} {
			for _, u := range list {
				if !yield(u) {
					return
				}
			}
		}
	}
}

// SetEvacuatedZones replaces the set of evacuated availability zones, whose upstreams
// get no requests. When the evacuation of a zone ends, its upstreams are treated
// as possibly cold.
func (p *Placer) SetEvacuatedZones(zones []core.ZoneName, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[core.ZoneName]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	for u := range p.allIncarnations() {
		if p.evacuated[u.Zone] && !next[u.Zone] {
			u.suspectedAt = later(u.suspectedAt, now)
		}
	}
	p.evacuated = next
	p.groupByService()
}
