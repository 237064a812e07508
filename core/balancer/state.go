package balancer

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// State is what the owner knows of one upstream.
type State struct {
	core.Upstream
	InFlight int
	// Limit is the number of slots in use now, at most Upstream.Slots.
	Limit int
	// Mean is the running mean of service times; 0 before the first.
	Mean time.Duration
	// Measured is when Mean last changed.
	Measured time.Time
	// Reported is the load that the upstream itself reports, 0 to 1.
	Reported float64
	// Leaving is the upstream's own word that it drains.
	Leaving bool
	// Listed says that the platform's list shows it as leaving.
	Listed bool
	// Elsewhere is the number of requests of earlier owners that still run.
	Elsewhere int
	// Checked is when the upstream was last asked for its report, whether or
	// not it answered.
	Checked time.Time
	// EjectedUntil is in the past for an upstream in good standing.
	EjectedUntil time.Time

	owned   bool
	ownedAt time.Time
	// abandoned holds until when attempts that got no answer may still run.
	abandoned []time.Time
	rampedAt  time.Time
	failing   float64
	ejections int
	picked    uint64
}

// Free returns the number of free slots.
func (s *State) Free() int {
	return max(0, s.Limit-s.InFlight-s.Elsewhere-len(s.abandoned))
}

// expire forgets abandoned attempts that have ended by now.
func (s *State) expire(now time.Time) {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(until time.Time) bool { return !now.Before(until) })
}

// Result is what became of an attempt.
type Result struct {
	State core.RunState
	// Duration is the time between sending and the whole answer.
	Duration time.Duration
	// Shed says that the upstream refused for lack of room.
	Shed bool
	// Stale says that a connection used before brought no answer, which is no
	// evidence against the upstream.
	Stale bool
	// Cancelled says that the attempt ended for the caller's reasons.
	Cancelled bool
}

// Demand is what an acquisition asks for.
type Demand struct {
	// Reserve is the number of slots that must stay free.
	Reserve int
	// Exclude lists upstreams that were already tried.
	Exclude []core.UpstreamName
	// OnlyCertain leaves out upstreams that may run more than this host knows.
	OnlyCertain bool
}

// isUsable reports whether an upstream may get new work. One that was not asked
// for its report recently may be leaving without this host's knowledge: it is
// new to this host, or the host was paused.
func (s *State) isUsable(now time.Time) bool {
	return now.Sub(s.Checked) <= checkedWithin && !s.Leaving && !s.Listed && !s.Draining && !now.Before(s.EjectedUntil)
}

// abandon keeps the slot of an attempt without an answer for as long as the
// upstream may still run it.
func (s *State) abandon(now time.Time) {
	s.abandoned = append(s.abandoned, now.Add(abandonFactor*s.Mean))
}

// isCertain reports whether this host knows of all work of the upstream: it has
// owned it for a while and no attempt is without an answer.
func (s *State) isCertain(now time.Time) bool {
	return now.Sub(s.ownedAt) > certainAfter+certainFactor*s.Mean && s.Limit >= s.Slots && len(s.abandoned) == 0
}

// measure takes in a service time.
func (s *State) measure(d time.Duration, now time.Time) {
	if s.Mean == 0 || now.Sub(s.Measured) > staleAfter {
		s.Mean = d
	} else {
		s.Mean += time.Duration(smoothing * float64(d-s.Mean))
	}
	s.Measured = now
}
