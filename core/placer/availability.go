package placer

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// returnSpread is the time in which hosts return one after the other to an upstream
	// whose pauses end together, or less after a shorter pause. With many hosts the share of
	// one may be less than one request, so a gradual return of each is not enough.
	returnSpread = time.Second
	// returnTime is how long after its return the requests of a host grow to their usual
	// number.
	returnTime = 2 * time.Second
)

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
// upstream, from its responses or from another host.
type AvailabilityChange struct {
	Upstream     core.Upstream
	Availability Availability
	// Source is the host that told this one; empty means a response to this host.
	Source core.HostName
}

// availability is what an incarnation of an upstream has said of itself.
type availability struct {
	// pausedUntil is the end of the upstream's last pause: the latest end of the times for
	// which it wanted no requests from this host. A later statement of a shorter time does
	// not bring it forward.
	pausedUntil time.Time
	// returnStart is when this host sends to the upstream again after that pause.
	returnStart time.Time
	finding     string
	// pausedSince is when that pause began; zero once its end was recorded. pauseUse is what
	// it kept away from the upstream.
	pausedSince time.Time
	pauseUse    pauseUse
}

// pauseUse counts what a pause of an upstream kept away from it.
type pauseUse struct {
	moved, refused int
}

// EndedPause is a pause that is over: a time for which an upstream wanted no requests from
// this host.
type EndedPause struct {
	Upstream core.Upstream
	Length   time.Duration
	// Moved counts the attempts that went to another upstream because of it, and Refused the
	// requests that found all upstreams in a pause, this one with the next end.
	Moved, Refused int
}

// isPaused reports whether the upstream wants no requests from this host now.
func (a *availability) isPaused(now time.Time) bool {
	return now.Before(a.pausedUntil)
}

// isReturning reports whether the last pause of the upstream ended so recently that this host
// still sends it fewer requests than usual.
func (a *availability) isReturning(now time.Time) bool {
	return !a.pausedUntil.IsZero() && !a.isPaused(now) && now.Sub(a.returnStart) < returnTime
}

// returnsAt returns when a returning upstream may get one more request while none of those
// in flight ends, the zero time if the upstream is not returning. The requests in flight at
// it grow from one to its slots.
func (u *upstream) returnsAt(now time.Time) time.Time {
	if !u.isReturning(now) {
		return time.Time{}
	}
	if now.Before(u.returnStart) {
		return u.returnStart
	}
	progress := float64(u.inFlight) / float64(u.slots())
	return u.returnStart.Add(time.Duration(min(progress, 1) * float64(returnTime)))
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
	return p.updateAvailability(checked, said, now)
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
func (p *Placer) updateAvailability(sought core.Upstream, said Availability, now time.Time) *AvailabilityChange {
	if said == (Availability{}) {
		return nil
	}
	var left *AvailabilityChange
	if said.IsLeaving {
		left = p.recordDeparture(sought, "", now)
	}
	u := p.incarnationOf(sought)
	if u == nil {
		return left
	}
	said.IsLeaving = left != nil
	isNew := said.IsLeaving || said.RetryAfter > 0 && !u.isPaused(now)
	isNew = isNew || said.Finding != "" && said.Finding != u.finding
	if said.RetryAfter > 0 {
		p.endPause(u, now)
		if u.pausedSince.IsZero() {
			u.pausedSince = now
		}
		p.extendPause(u, said.RetryAfter, now)
	}
	u.finding = said.Finding
	if !isNew {
		return nil
	}
	return &AvailabilityChange{Upstream: u.Upstream, Availability: said}
}

// extendPause keeps requests from the upstream for a time, unless a longer one is in force.
func (p *Placer) extendPause(u *upstream, pause time.Duration, now time.Time) {
	until := now.Add(pause)
	if !until.After(u.pausedUntil) {
		return
	}
	spread := min(returnSpread, pause)
	u.pausedUntil, u.returnStart = until, until.Add(time.Duration(p.Pacer.Turn(u.Name)*float64(spread)))
}

// endPause records the end of the upstream's pause, if there was one and it is over.
func (p *Placer) endPause(u *upstream, now time.Time) {
	if u.pausedSince.IsZero() || u.isPaused(now) {
		return
	}
	p.endedPauses = append(p.endedPauses, EndedPause{
		Upstream: u.Upstream, Length: u.pausedUntil.Sub(u.pausedSince), Moved: u.pauseUse.moved, Refused: u.pauseUse.refused,
	})
	u.pausedSince, u.pauseUse = time.Time{}, pauseUse{}
}

// TakeEndedPauses returns the pauses that have ended since the last call. A pause that ends
// because the upstream is replaced by its next incarnation is left out.
func (p *Placer) TakeEndedPauses(now time.Time) []EndedPause {
	p.mu.Lock()
	defer p.mu.Unlock()
	for u := range p.allIncarnations() {
		p.endPause(u, now)
	}
	ended := p.endedPauses
	p.endedPauses = nil
	return ended
}

// PausedUpstreams returns the number of listed upstreams that want no requests from this host
// now.
func (p *Placer) PausedUpstreams(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.upstreams {
		if u.isPaused(now) {
			n++
		}
	}
	return n
}
