package placer

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// returnTime is how long after the end of the time that an upstream stated its requests
// grow to their usual number.
const returnTime = 2 * time.Second

// Availability is what a response says about the requests that its upstream takes from now
// on.
type Availability struct {
	// IsLeaving says that the upstream drains: it finishes its requests and takes no more.
	IsLeaving bool
	// RetryAfter is the time for which the upstream wants no requests from this host; 0 if
	// the response does not state one.
	RetryAfter time.Duration
	// Finding says what is wrong with the stated time; empty if nothing is.
	Finding string
}

// AvailabilityChange reports what a host has newly learned about the availability of an
// upstream from its responses.
type AvailabilityChange struct {
	Upstream     core.Upstream
	Availability Availability
}

// availability is what an incarnation of an upstream has said of itself.
type availability struct {
	// saidLeaving says that a response announced that the upstream drains. No list undoes
	// that, since a list may be older; it ends with the incarnation.
	saidLeaving bool
	// closedUntil is the latest end of the times for which the upstream wanted no requests
	// from this host. A later statement of a shorter time does not bring it forward.
	closedUntil time.Time
	finding     string
}

// isClosed reports whether the upstream wants no requests from this host now.
func (a *availability) isClosed(now time.Time) bool {
	return now.Before(a.closedUntil)
}

// isReturning reports whether the time in which the upstream wanted no requests ended so
// recently that this host still sends it fewer than usual.
func (a *availability) isReturning(now time.Time) bool {
	return !a.closedUntil.IsZero() && !a.isClosed(now) && now.Sub(a.closedUntil) < returnTime
}

// isLeaving reports whether the upstream drains, as the list or one of its responses says.
func (u *upstream) isLeaving() bool {
	return u.Draining || u.saidLeaving
}

// hasReturned reports whether the upstream may get one more request as far as its stated
// times go. The requests in flight at a returning upstream grow from one to its slots.
func (u *upstream) hasReturned(now time.Time) bool {
	if u.isClosed(now) {
		return false
	}
	if !u.isReturning(now) {
		return true
	}
	progress := now.Sub(u.closedUntil).Seconds() / returnTime.Seconds()
	return u.inFlight < 1+int(progress*float64(u.slots()))
}

// isEligible reports whether the upstream may get requests of this host at all: it takes
// requests and is not left to other hosts.
func (p *Placer) isEligible(u *upstream) bool {
	return !u.isUnassigned && p.takesRequests(u)
}

// takesRequests reports whether the upstream may get requests of any host: it does not drain
// and its zone is not evacuated.
func (p *Placer) takesRequests(u *upstream) bool {
	return !u.isLeaving() && !p.evacuated[u.Zone]
}

// isReachable reports whether this host may contact the upstream outside of requests, to
// prepare a connection or to check an upstream that it uses.
func (p *Placer) isReachable(u *upstream, now time.Time) bool {
	return p.isEligible(u) && !u.isEjected(now) && !u.isClosed(now)
}

// RecordAvailability records what a health check said about the availability of an upstream.
func (p *Placer) RecordAvailability(checked core.Upstream, said Availability, now time.Time) {
	p.notifyAvailability(p.recordAvailability(checked, said, now))
}

func (p *Placer) notifyAvailability(change *AvailabilityChange) {
	if change != nil && p.OnAvailabilityChange != nil {
		p.OnAvailabilityChange(*change)
	}
}

func (p *Placer) recordAvailability(checked core.Upstream, said Availability, now time.Time) *AvailabilityChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.updateAvailability(p.incarnationOf(checked), said, now)
}

// incarnationOf returns the state of an incarnation of an upstream that is or was listed,
// nil if there is none. The caller holds Placer.mu.
func (p *Placer) incarnationOf(sought core.Upstream) *upstream {
	for _, list := range []map[core.UpstreamName]*upstream{p.upstreams, p.removed} {
		if u := list[sought.Name]; u != nil && u.isSameIncarnation(sought) {
			return u
		}
	}
	return nil
}

// updateAvailability records what a response of an upstream said and returns what is new,
// nil if nothing is. The caller holds Placer.mu.
func (p *Placer) updateAvailability(u *upstream, said Availability, now time.Time) *AvailabilityChange {
	if u == nil || said == (Availability{}) {
		return nil
	}
	isNew := said.IsLeaving && !u.saidLeaving
	isNew = isNew || said.RetryAfter > 0 && !u.isClosed(now)
	isNew = isNew || said.Finding != "" && said.Finding != u.finding
	if said.IsLeaving && !u.saidLeaving {
		u.saidLeaving = true
		p.groupByService()
	}
	if said.RetryAfter > 0 {
		u.closedUntil = later(u.closedUntil, now.Add(said.RetryAfter))
	}
	u.finding = said.Finding
	if !isNew {
		return nil
	}
	return &AvailabilityChange{Upstream: u.Upstream, Availability: said}
}

// reopening returns the time until the first upstream wants requests again, if all that may
// get the request want none now, otherwise 0. It also reports whether one that was not tried
// is returning, so that it may soon take one more request.
func (p *Placer) reopening(s *service, query Query, now time.Time) (opensIn time.Duration, isReturning bool) {
	isAnyOpen := false
	for _, r := range s.regions {
		if !query.allowsRegion(r.name) {
			continue
		}
		for _, u := range r.members {
			isReturning = isReturning || u.isReturning(now) && !slices.Contains(query.Exclude, u.Name)
			isAnyOpen = isAnyOpen || !u.isClosed(now)
			if remaining := u.closedUntil.Sub(now); remaining > 0 && (opensIn == 0 || remaining < opensIn) {
				opensIn = remaining
			}
		}
	}
	if isAnyOpen {
		return 0, isReturning
	}
	return opensIn, isReturning
}
