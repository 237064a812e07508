package placer

import "time"

// Closure is why an upstream may not be used now.
type Closure uint8

// The reasons. Draining and Evacuated keep everything from an upstream, Unassigned everything
// but health checks, and Ejected and Paused everything for a time; the others only space its
// requests.
const (
	// Open means that there is no reason.
	Open Closure = iota
	// Draining means that the upstream leaves, as the list or one of its responses says.
	Draining
	// Evacuated means that the upstream's zone is evacuated.
	Evacuated
	// Unassigned means that the upstream takes fewer connections than there are hosts and is
	// left to others (SetSubsets).
	Unassigned
	// Ejected means that this host lately could not reach the upstream.
	Ejected
	// Paused means that the upstream wants no requests from this host for a time that it
	// stated.
	Paused
	// Returning means that such a time ended lately and this host has as many requests at
	// the upstream as it may have so soon.
	Returning
	// RateLimited means that this host has used its share of the upstream's rate limit.
	RateLimited
	// Cold means that this host has used its share of the upstream's warm-up limit.
	Cold
)

// String returns the name of the reason that is written to logs.
func (c Closure) String() string {
	names := [...]string{"open", "draining", "evacuated", "unassigned", "ejected", "paused", "returning", "rate-limited", "cold"}
	if int(c) < len(names) {
		return names[c]
	}
	return "invalid"
}

// isStated reports whether the upstream itself asked for fewer or no requests, while it
// keeps its place among the upstreams of its service.
func (c Closure) isStated() bool {
	return c == Paused || c == Returning || c == RateLimited
}

// purpose is what a host wants to use an upstream for.
type purpose uint8

const (
	// toCheck is a health check that one host makes for all.
	toCheck purpose = iota
	// toContact is a connection that is opened in advance, or a health check of an upstream
	// that this host uses.
	toContact
	// toSend is an attempt of a request.
	toSend
	// toSendAnyway is an attempt that may also go to an ejected upstream, since no other one
	// may get the request.
	toSendAnyway
)

// isRequest reports whether the purpose is a request of a client.
func (p purpose) isRequest() bool {
	return p == toSend || p == toSendAnyway
}

// closure returns why the upstream may not be used now, Open if it may, and when that ends by
// itself; the time is zero if that is not known. The warm-up limit is not included, since an
// attempt has to be counted against it: see admit. The caller holds Placer.mu.
func (p *Placer) closure(u *upstream, use purpose, now time.Time) (Closure, time.Time) {
	if u.excluded != Open && (use != toCheck || u.excluded != Unassigned) {
		return u.excluded, time.Time{}
	}
	if use != toSendAnyway && u.isEjected(now) {
		return Ejected, u.ejectedUntil
	}
	if !u.pausedUntil.IsZero() {
		if reason, until := u.pauseClosure(use, now); reason != Open {
			return reason, until
		}
	}
	if !use.isRequest() || !u.limit.InForce {
		return Open, time.Time{}
	}
	return p.rateClosure(u, now)
}

// isContactable reports whether this host may contact the upstream outside of requests.
func (p *Placer) isContactable(u *upstream, now time.Time) bool {
	reason, _ := p.closure(u, toContact, now)
	return reason == Open
}

// exclusion returns why the upstream is not among those of its service that get requests,
// Open if it is. groupByService keeps the result in upstream.excluded.
func (p *Placer) exclusion(u *upstream) Closure {
	switch {
	case u.isLeaving():
		return Draining
	case p.evacuated[u.Zone]:
		return Evacuated
	case p.isUnassigned(u):
		return Unassigned
	default:
		return Open
	}
}

// pauseClosure returns Paused or Returning, with its end, if the times for which the upstream
// wanted no requests keep this host from using it now.
func (u *upstream) pauseClosure(use purpose, now time.Time) (Closure, time.Time) {
	if u.isPaused(now) {
		return Paused, u.pausedUntil
	}
	if until := u.returnsAt(now); use.isRequest() && now.Before(until) {
		return Returning, until
	}
	return Open, time.Time{}
}

// rateClosure returns RateLimited if this host may make no attempt now because of the rate
// limit that the upstream named, and when it may if it has a share.
func (p *Placer) rateClosure(u *upstream, now time.Time) (Closure, time.Time) {
	interval, ok := p.Pacer.Interval(u.Name, u.region, u.limit.Rate)
	if !ok {
		return RateLimited, time.Time{}
	}
	if now.Sub(u.lastSentAt) < interval {
		return RateLimited, u.lastSentAt.Add(interval)
	}
	return Open, time.Time{}
}

// admit counts an attempt against the warm-up limit of an upstream that may be cold. It
// returns Cold if the limit does not allow it.
func (p *Placer) admit(u *upstream, s *service, now time.Time) Closure {
	if !u.isCold(s.policy.WarmUp, now) || p.Pacer.Allow(u.Name, s.policy.WarmUpRate, u.sentLastSecond(now), now) {
		return Open
	}
	u.lastThrottled, p.lastThrottled = now, now
	return Cold
}
