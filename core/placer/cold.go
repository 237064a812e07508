package placer

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// throttledWindow is how long after the warm-up limit kept a request from an
// upstream further requests for that upstream are expected.
const throttledWindow = time.Second

// SuspectedCold returns the upstreams that are possibly cold, without having announced it,
// so that a health check can find out. If there are more than 64 upstreams, it returns
// only those of them that were throttled in the last second: their warm-up limit kept a
// request from them.
func (p *Placer) SuspectedCold(now time.Time) []core.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	isSmallFleet := len(p.upstreams) <= maxSmallFleet
	if !isSmallFleet && now.Sub(p.lastThrottled) >= throttledWindow {
		return nil
	}
	var list []core.Upstream
	for _, s := range p.services {
		for _, u := range s.members {
			isChecked := p.isContactable(u, now) && (isSmallFleet || now.Sub(u.lastThrottled) < throttledWindow)
			if isChecked && !u.suspectedAt.IsZero() && u.isCold(s.policy.WarmUp, now) && !now.Before(u.suspectedAt) {
				list = append(list, u.Upstream)
			}
		}
	}
	return list
}

// LocalUpstreams returns the upstreams of the host's own region that take requests: not
// draining, not in an evacuated zone, not ejected as unreachable, and not closed by a
// Retry-After of their own. Those that are left to other hosts are included, since each
// upstream is checked by one host only.
func (p *Placer) LocalUpstreams(now time.Time) []core.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []core.Upstream
	for _, u := range p.upstreams {
		if u.region != p.Zone.Region {
			continue
		}
		if reason, _ := p.closure(u, toCheck, now); reason == Open {
			list = append(list, u.Upstream)
		}
	}
	return list
}

// MarkCold records that an upstream stays cold for a duration, as found by
// this host or another one. It returns the upstream as it is listed, and whether this is
// new: the upstream was not known to be cold. For a name that is not listed and did not
// leave the list recently it returns an empty upstream and false.
func (p *Placer) MarkCold(name core.UpstreamName, cold time.Duration, now time.Time) (core.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[name]
	if u == nil {
		u = p.removed[name]
	}
	if u == nil {
		return core.Upstream{}, false
	}
	isNew := !now.Before(u.coldUntil)
	u.coldUntil = later(u.coldUntil, now.Add(cold))
	return u.Upstream, isNew
}

// SuspectZoneCold treats the upstreams of a zone as possibly cold, except those that are
// known to be cold.
func (p *Placer) SuspectZoneCold(zone core.ZoneName, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for u := range p.allIncarnations() {
		if u.Zone == zone && !now.Before(u.coldUntil) {
			u.suspectedAt = later(u.suspectedAt, now)
		}
	}
}

// RecordHealthCheck records the response to a health check: for how long the upstream
// stays cold, 0 if it is warm. The upstream is then no longer possibly cold. Failed checks
// are not recorded here.
func (p *Placer) RecordHealthCheck(upstream core.Upstream, cold time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[upstream.Name]
	if u == nil || !u.isSameIncarnation(upstream) {
		return
	}
	u.suspectedAt = time.Time{}
	u.coldUntil = now.Add(cold)
}
