package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// SetUpstreams replaces the list of upstreams. Those that stay keep what is
// known of them; another life under the same name starts anew.
func (p *Placer) SetUpstreams(list []core.Upstream, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moves.part, p.migrations.part = shiftByMoves*p.maxShift(), migrateShare
	isStart := p.upstreams == nil && !p.AssumeCold
	next := make(map[core.UpstreamName]*upstream, len(list))
	for _, item := range list {
		u := p.upstreams[item.Name]
		if u == nil {
			u = p.retired[item.Name]
		}
		if u == nil || !u.isSameLife(item) {
			u = newUpstream(item, p.Regions[item.Zone])
			if !isStart {
				u.suspected = now
			}
		}
		u.Upstream = item
		u.coldUntil = later(u.coldUntil, item.ColdUntil)
		next[item.Name] = u
	}
	p.retire(next, now)
	p.upstreams = next
	p.regroup()
}

// retiredFor is how long an upstream that is no longer listed is remembered.
const retiredFor = 15 * time.Second

// retire remembers the upstreams that are not in the next list.
func (p *Placer) retire(next map[core.UpstreamName]*upstream, now time.Time) {
	if p.retired == nil {
		p.retired = map[core.UpstreamName]*upstream{}
	}
	for name, u := range p.retired {
		if next[name] != nil || now.Sub(u.retiredAt) > retiredFor {
			delete(p.retired, name)
		}
	}
	for name, u := range p.upstreams {
		if next[name] == nil {
			u.retiredAt = now
			p.retired[name] = u
		}
	}
}

// regroup sorts the upstreams into their services.
func (p *Placer) regroup() {
	if p.services == nil {
		p.services = map[core.ServiceName]*service{}
	}
	for _, s := range p.services {
		s.members = s.members[:0]
	}
	for _, u := range p.upstreams {
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
		s.regions = p.open(s.members)
	}
}

// open returns the members that may get requests by their regions.
func (p *Placer) open(members []*upstream) []*region {
	var regions []*region
	for _, u := range members {
		if u.Draining || p.evacuated[u.Zone] {
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

// SetEvacuated states which availability zones get nothing. The upstreams of
// a zone that is taken back count as cold.
func (p *Placer) SetEvacuated(zones []core.ZoneName, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[core.ZoneName]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	for _, u := range p.upstreams {
		if p.evacuated[u.Zone] && !next[u.Zone] {
			u.suspected = later(u.suspected, now)
		}
	}
	p.evacuated = next
	p.regroup()
}
