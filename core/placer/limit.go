package placer

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
)

// LimitStatement is what a response says about the rate limit of its upstream.
type LimitStatement uint8

// The statements of a response.
const (
	// LimitNotStated means that there was no response of the upstream.
	LimitNotStated LimitStatement = iota
	// NoLimit means that the response named no limit.
	NoLimit
	// Limited means that the response named a limit.
	Limited
	// LimitUnreadable means that the response named a limit that cannot be read.
	LimitUnreadable
)

// RateLimit is what a response says about the requests a second that its upstream takes
// from all hosts together.
type RateLimit struct {
	Statement LimitStatement
	// Rate is set if Statement is Limited.
	Rate core.RequestRate
	// Finding says what is wrong with the statement; empty if nothing is.
	Finding string
}

// KnownLimit is what a host knows about the rate limit of an upstream.
type KnownLimit struct {
	// InForce says that the upstream named a limit and has not ended it since.
	InForce bool
	Rate    core.RequestRate
	// HeardAt is when the last response that named or ended the limit arrived, at whichever
	// host.
	HeardAt time.Time
	// Source is the host that told this one; empty means a response to this host.
	Source core.HostName
	// Finding says what was wrong with the last statement; empty if nothing was.
	Finding string
}

// LimitChange reports that the rate limit of an upstream changed, or that its statement has
// a new finding.
type LimitChange struct {
	Upstream core.Upstream
	Limit    KnownLimit
	// Previous is what the host knew before.
	Previous KnownLimit
}

// IsUrgent reports whether other hosts should learn of the change at once: this host is the
// first to hear that the upstream takes much less than before.
func (l *LimitChange) IsUrgent() bool {
	const muchLower = 0.8
	if l.Limit.Source != "" || !l.Limit.InForce {
		return false
	}
	return !l.Previous.InForce || l.Limit.Rate < muchLower*l.Previous.Rate
}

// LimitUse is what one host did with an upstream that has a rate limit.
type LimitUse struct {
	Upstream core.Upstream
	Limit    KnownLimit
	// Interval is the shortest time between two attempts of this host. It is 0 if this host
	// may make none, because others do.
	Interval time.Duration
	// Sent counts the attempts at the upstream, and Repeats those of them that followed
	// another attempt of the same request. Moved counts the attempts that went to another
	// upstream because of the limit.
	Sent, Repeats, Moved int
}

// limitUse counts attempts at an upstream since they were reported last.
type limitUse struct {
	sent, repeats, moved int
}

func (l *limitUse) add(isRepeat bool) {
	l.sent++
	if isRepeat {
		l.repeats++
	}
}

// TakeLimitUse returns what the host did with each upstream that has a rate limit since the
// last call. Upstreams that it did not use are left out.
func (p *Placer) TakeLimitUse() []LimitUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []LimitUse
	for _, u := range p.upstreams {
		use := u.limitUse
		u.limitUse = limitUse{}
		if !u.limit.InForce || use == (limitUse{}) {
			continue
		}
		list = append(list, LimitUse{
			Upstream: u.Upstream, Limit: u.limit, Interval: p.limitInterval(u),
			Sent: use.sent, Repeats: use.repeats, Moved: use.moved,
		})
	}
	return list
}

// limitInterval returns the shortest time between two attempts of this host that the rate
// limit of the upstream allows, 0 if there is no limit.
func (p *Placer) limitInterval(u *upstream) time.Duration {
	if !u.limit.InForce {
		return 0
	}
	interval, _ := p.Pacer.Interval(u.Name, u.region, u.limit.Rate)
	return interval
}

// recordShortage records that the host is short of shares until the time at which an
// upstream opens for a request, which may be held until then.
func (p *Placer) recordShortage(room *Room, now time.Time) {
	const (
		shortest = 250 * time.Millisecond // the interval of TakeUse
		longest  = time.Second
	)
	if room != nil && room.Reason == RateLimited {
		p.shortUntil = later(p.shortUntil, now.Add(min(max(room.OpensIn, shortest), longest)))
	}
}

// TakeUse returns what the host did with its shares in rate limits since the last call.
func (p *Placer) TakeUse(now time.Time) pacer.Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	use := p.use
	use.IsShort = now.Before(p.shortUntil)
	p.use = pacer.Use{}
	for _, u := range p.upstreams {
		if u.limit.InForce {
			use.OwnRate += p.Pacer.OwnRate(u.Name, u.region, u.limit.Rate)
		}
	}
	return use
}

// LimitedUpstreams returns the number of upstreams whose rate limit is in force.
func (p *Placer) LimitedUpstreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.upstreams {
		if u.limit.InForce {
			n++
		}
	}
	return n
}

// recordLimit records what a response to a request that was sent at the given time says
// about the rate limit. It returns nil if nothing changed.
func (u *upstream) recordLimit(report Report, sentAt, now time.Time) *LimitChange {
	next := u.limit
	next.Finding = report.RateLimit.Finding
	switch report.RateLimit.Statement {
	case LimitNotStated:
		return nil
	case LimitUnreadable:
		// An unreadable value does not end a limit.
	case Limited:
		isRaised := u.limit.InForce && report.RateLimit.Rate > u.limit.Rate
		if isRaised && sentAt.Before(u.limit.HeardAt) {
			return nil // The response may be older than the lower limit.
		}
		next.InForce, next.Rate = true, report.RateLimit.Rate
		next.HeardAt, next.Source = now, ""
	case NoLimit:
		if report.Outcome != Done || !u.isKnownLimit(now) || sentAt.Before(u.limit.HeardAt) {
			return nil // The response may be older than the limit, or is not a regular one.
		}
		next.InForce, next.Rate = false, 0
		next.HeardAt, next.Source = now, ""
	}
	return u.setLimit(next, now)
}

// isKnownLimit reports whether the limit is in force or ended lately. Responses without a
// limit then confirm its end, for hosts that heard later of the limit than of its end.
func (u *upstream) isKnownLimit(now time.Time) bool {
	return u.limit.InForce || (!u.limit.HeardAt.IsZero() && now.Sub(u.limitChangedAt) < noticeExpiry)
}

// setLimit replaces what is known about the rate limit. It returns nil if only the time or
// the host that heard it changed.
func (u *upstream) setLimit(next KnownLimit, now time.Time) *LimitChange {
	last := u.limit
	u.limit = next
	if last.InForce == next.InForce && last.Rate == next.Rate && last.Finding == next.Finding {
		return nil
	}
	u.limitChangedAt = now
	return &LimitChange{Upstream: u.Upstream, Limit: next, Previous: last}
}
