package placer

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// wantedFor is how long after a request was kept from an upstream others are
// expected for it.
const wantedFor = time.Second

// Suspects returns the upstreams that may be cold without having said so, and
// that a health check may clear. In a large fleet only those are checked that
// requests are kept from.
func (p *Placer) Suspects(now time.Time) []core.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	isSmall := len(p.upstreams) <= fewUpstreams
	if !isSmall && now.Sub(p.wanted) >= wantedFor {
		return nil
	}
	var list []core.Upstream
	for _, s := range p.services {
		for _, u := range s.members {
			isOpen := !u.Draining && !p.evacuated[u.Zone] && !u.isDown(now)
			isOpen = isOpen && (isSmall || now.Sub(u.wanted) < wantedFor)
			if isOpen && !u.suspected.IsZero() && u.isCold(s.policy.WarmUp, now) && !now.Before(u.suspected) {
				list = append(list, u.Upstream)
			}
		}
	}
	return list
}

// Near returns the upstreams of the host's own region that may get requests.
func (p *Placer) Near(now time.Time) []core.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []core.Upstream
	for _, u := range p.upstreams {
		if u.region == p.Zone.Region && !u.Draining && !p.evacuated[u.Zone] && !u.isDown(now) {
			list = append(list, u.Upstream)
		}
	}
	return list
}

// MarkCold takes what another host found: for how long an upstream stays cold.
// It returns the upstream and whether it was not known to be cold.
func (p *Placer) MarkCold(name core.UpstreamName, cold time.Duration, now time.Time) (core.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[name]
	if u == nil {
		return core.Upstream{}, false
	}
	isNews := !now.Before(u.coldUntil)
	u.coldUntil = later(u.coldUntil, now.Add(cold))
	return u.Upstream, isNews
}

// SuspectZone states that the upstreams of a zone may be cold.
func (p *Placer) SuspectZone(zone core.ZoneName, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if u.Zone == zone && !now.Before(u.coldUntil) {
			u.suspected = later(u.suspected, now)
		}
	}
}

// Confirm takes what an upstream said of itself: for how long it stays cold.
func (p *Placer) Confirm(upstream core.Upstream, cold time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[upstream.Name]
	if u == nil || !u.isSameLife(upstream) {
		return
	}
	u.suspected = time.Time{}
	u.coldUntil = now.Add(cold)
}
