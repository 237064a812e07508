package placer

import (
	"iter"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Room is what upstreams that asked for fewer or no requests leave to this host.
type Room struct {
	// Reason is what keeps requests away: Paused if every upstream that may get the request
	// is in a pause, else RateLimited if the rate limit of at least one keeps the request
	// away, else Returning.
	Reason Closure
	// Next is the upstream that may get an attempt first.
	Next core.UpstreamName
	// OpensIn is the time until then.
	OpensIn time.Duration
	// Rate is the number of attempts a second that this host may make at all of them
	// together, 0 if others may and this host may not.
	Rate core.RequestRate
}

// Wait returns the time after which a request may be sent while a number of others wait.
func (r *Room) Wait(others int) time.Duration {
	if r.Rate <= 0 {
		return maxOpensIn
	}
	return min(r.OpensIn+time.Duration(float64(others)/float64(r.Rate)*float64(time.Second)), maxOpensIn)
}

// maxOpensIn is the longest result of Wait.
const maxOpensIn = time.Minute

// add includes what an upstream leaves.
func (r *Room) add(u *upstream, opensIn time.Duration, rate core.RequestRate) {
	if r.Next == "" || opensIn < r.OpensIn {
		r.Next, r.OpensIn = u.Name, max(opensIn, 0)
	}
	r.Rate += rate
}

// room returns what is left for a request that no upstream may get now, nil if that is not due
// to what upstreams asked for.
func (p *Placer) room(s *service, query Query, now time.Time) *Room {
	var paused []*upstream
	isAnyUnpaused := false
	room := Room{Reason: Open}
	for u := range s.allowed(query) {
		reason, until := p.closure(u, toSendAnyway, now)
		if reason == Paused {
			paused = append(paused, u)
			continue
		}
		// An upstream that this request has tried still takes other requests, so a client
		// that returns soon may find room there.
		isAnyUnpaused = true
		if slices.Contains(query.Exclude, u.Name) {
			continue
		}
		if reason == Returning {
			room.Reason = max(room.Reason, Returning)
			room.add(u, u.returnStart.Sub(now), p.returnRate(s, u))
		}
		if reason == RateLimited {
			room.Reason = RateLimited
			room.addLimited(u, until, now)
		}
	}
	if !isAnyUnpaused && len(paused) > 0 {
		return p.roomAfterPauses(s, paused, now)
	}
	if room.Reason == Open {
		return nil
	}
	return &room
}

// addLimited includes what the rate limit of an upstream leaves, which opens at the given
// time; the zero time means that only other hosts may send to it.
func (r *Room) addLimited(u *upstream, opensAt, now time.Time) {
	if opensAt.IsZero() {
		r.add(u, maxOpensIn, 0)
		return
	}
	r.add(u, opensAt.Sub(now), core.RequestRate(1/opensAt.Sub(u.lastSentAt).Seconds()))
}

// roomAfterPauses returns what upstreams that are all in a pause leave. The rate is that of
// those that open together with the first.
func (p *Placer) roomAfterPauses(s *service, paused []*upstream, now time.Time) *Room {
	first := slices.MinFunc(paused, func(a, b *upstream) int { return a.returnStart.Compare(b.returnStart) })
	first.pauseUse.refused++
	room := &Room{Reason: Paused}
	for _, u := range paused {
		if u.returnStart.Sub(first.returnStart) < returnTime {
			room.add(u, u.returnStart.Sub(now), p.returnRate(s, u))
		}
	}
	return room
}

// returnRate returns the requests a second that this host may expect to place at an upstream
// after its pause: an equal part of what its slots serve.
func (p *Placer) returnRate(s *service, u *upstream) core.RequestRate {
	served := float64(u.slots()) / s.serviceTime.valueOr(defaultServiceTime).Seconds()
	return core.RequestRate(served / float64(p.Pacer.HostCount()))
}

// allowed returns the upstreams of the service that may get the request.
func (s *service) allowed(query Query) iter.Seq[*upstream] {
	return func(yield func(*upstream) bool) {
		for _, r := range s.regions {
			if !query.allowsRegion(r.name) {
				continue
			}
			for _, u := range r.members {
				if !yield(u) {
					return
				}
			}
		}
	}
}
