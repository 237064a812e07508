package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// noticeExpiry is how long what a host heard about a rate limit counts and is told to
	// others. While requests arrive, some host hears of every limit much more often.
	noticeExpiry = time.Minute
	// noticeTolerance is how much newer than this host's knowledge a notice must be to renew
	// or raise a limit or to end it. Each hop between hosts makes a notice look newer by the
	// time that it travels, so hosts could otherwise renew a notice among themselves.
	noticeTolerance = 400 * time.Millisecond
	// newsTime is how long a change of a limit comes before other notices.
	newsTime = 2 * time.Second
)

// RateLimitNotices returns what this host knows about rate limits for other hosts, about
// at most the given number of upstreams. Limits that changed lately come first, the
// others in rotation.
func (p *Placer) RateLimitNotices(most int, now time.Time) map[core.UpstreamName]core.RateLimitNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.knownLimits(now)
	if len(known) == 0 || most <= 0 {
		return nil
	}
	notices := make(map[core.UpstreamName]core.RateLimitNotice, min(most, len(known)))
	add := func(u *upstream) {
		if len(notices) < most {
			notices[u.Name] = core.NewRateLimitNotice(u.limit.Rate, u.limit.InForce, now.Sub(u.limit.HeardAt))
		}
	}
	for _, u := range known {
		if now.Sub(u.limitChangedAt) < newsTime {
			add(u)
		}
	}
	first, _ := slices.BinarySearchFunc(known, p.lastNotice, func(u *upstream, name core.UpstreamName) int {
		return cmp.Compare(u.Name, name)
	})
	for i := range min(most, len(known)) {
		u := known[(first+1+i)%len(known)]
		if len(notices) < most {
			p.lastNotice = u.Name
		}
		add(u)
	}
	return notices
}

// knownLimits returns the upstreams whose limit is in force or ended lately, by name.
func (p *Placer) knownLimits(now time.Time) []*upstream {
	var known []*upstream
	for _, u := range p.upstreams {
		if !u.limit.HeardAt.IsZero() && now.Sub(u.limit.HeardAt) < noticeExpiry {
			known = append(known, u)
		}
	}
	slices.SortFunc(known, func(a, b *upstream) int { return cmp.Compare(a.Name, b.Name) })
	return known
}

// MergeRateLimitNotice records a notice of another host, unless it is no newer than what
// this host knows.
func (p *Placer) MergeRateLimitNotice(name core.UpstreamName, notice core.RateLimitNotice, source core.HostName, now time.Time) {
	change := p.mergeNotice(name, notice, source, now)
	if change != nil && p.OnLimitChange != nil {
		p.OnLimitChange(*change)
	}
}

// mergeNotice records a notice and returns the change of the limit, nil if there is none.
func (p *Placer) mergeNotice(name core.UpstreamName, notice core.RateLimitNotice, source core.HostName, now time.Time) *LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[name]
	if u == nil {
		return nil
	}
	next := KnownLimit{InForce: notice.InForce(), HeardAt: now.Add(-notice.Age.Duration()), Source: source}
	if next.InForce {
		next.Rate = notice.Rate
	}
	if !u.isNews(next, now) {
		return nil
	}
	return u.setLimit(next, now)
}

// isNews reports whether a notice is newer than what the host knows. One from before the
// upstream was listed may be about an earlier incarnation.
func (u *upstream) isNews(next KnownLimit, now time.Time) bool {
	isKnown := next.InForce || u.limit.InForce
	if !isKnown || now.Sub(next.HeardAt) >= noticeExpiry || next.HeardAt.Before(u.listedAt) {
		return false
	}
	isLower := next.InForce && (!u.limit.InForce || next.Rate < u.limit.Rate)
	if isLower {
		return next.HeardAt.After(u.limit.HeardAt)
	}
	return next.HeardAt.After(u.limit.HeardAt.Add(noticeTolerance))
}

// forgetOldLimits forgets the limits of which no host has heard for long.
func (p *Placer) forgetOldLimits(now time.Time) []LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []LimitChange
	for _, u := range p.upstreams {
		if u.limit.InForce && now.Sub(u.limit.HeardAt) >= noticeExpiry {
			if change := u.setLimit(KnownLimit{}, now); change != nil {
				changes = append(changes, *change)
			}
		}
	}
	return changes
}

// ForgetOldLimits ends the rate limits of which no host has heard for a minute, since then
// no host has sent a request to the upstream. It should be called every second or so.
func (p *Placer) ForgetOldLimits(now time.Time) {
	for _, change := range p.forgetOldLimits(now) {
		if p.OnLimitChange != nil {
			p.OnLimitChange(change)
		}
	}
}
