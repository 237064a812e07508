package balancer

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// State is what a host knows about one upstream.
type State struct {
	core.Upstream
	// InFlight is the number of requests that this host has in flight.
	InFlight int
	// Limit is the concurrency limit, at most Upstream.Slots.
	Limit int
	// Mean is the moving average of the service times; 0 before the first measurement.
	Mean time.Duration
	// Measured is the time at which Mean was last updated.
	Measured time.Time
	// Reported is the load that the upstream reports, from 0 to 1.
	Reported float64
	// Leaving reports whether the upstream announced that it is draining.
	Leaving bool
	// Listed reports whether the platform's list shows the upstream as draining.
	Listed bool
	// Elsewhere is the number of requests that earlier owners still have in flight.
	Elsewhere int
	// Checked is the time of the last health check, successful or not.
	Checked time.Time
	// EjectedUntil is the end of the ejection; zero or in the past for an upstream that
	// is not ejected.
	EjectedUntil time.Time

	isOwned bool
	// ownedSince is the time at which this host became the owner; zero while it is not.
	ownedSince time.Time
	// abandonedUntil holds, for each attempt without a response, the time until which it
	// may still be running.
	abandonedUntil []time.Time
	limitRaisedAt  time.Time
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// ejections is the number of ejections since the last response at a failure rate
	// below ejectionResetRate.
	ejections int
	// lastPick is the number of the last pick that selected the upstream.
	lastPick uint64
}

// Free returns the number of free slots.
func (s *State) Free() int {
	return max(0, s.Limit-s.InFlight-s.Elsewhere-len(s.abandonedUntil))
}

// expireAbandoned frees the slots of abandoned attempts that have ended.
func (s *State) expireAbandoned(now time.Time) {
	s.abandonedUntil = slices.DeleteFunc(s.abandonedUntil, func(until time.Time) bool { return !now.Before(until) })
}

// Result is the result of an attempt.
type Result struct {
	State core.RunState
	// Duration is the service time, from sending the request to the complete response.
	Duration time.Duration
	// Shed reports that the upstream rejected the request because it was overloaded.
	Shed bool
	// Stale reports that a reused connection closed without a response. This is not a
	// failure of the upstream.
	Stale bool
	// Cancelled reports that the caller cancelled the attempt.
	Cancelled bool
}

// Demand holds the conditions of an acquisition.
type Demand struct {
	// Reserve is the number of slots of the service that must stay free.
	Reserve int
	// Exclude lists upstreams that must not be selected because they were already tried.
	Exclude []core.UpstreamName
	// OnlyCertain excludes upstreams that may be running requests that this host does
	// not know of.
	OnlyCertain bool
}

// isUsable reports whether an upstream may get new requests. One without a recent health
// check may be draining without this host knowing, because the upstream is new to the
// host or because the host was paused.
func (s *State) isUsable(now time.Time) bool {
	return now.Sub(s.Checked) <= maxCheckAge && !s.Leaving && !s.Listed && !s.Draining && !now.Before(s.EjectedUntil)
}

// addAbandoned keeps the slot of an attempt without a response occupied for as long as
// the upstream may still be running it.
func (s *State) addAbandoned(now time.Time) {
	s.abandonedUntil = append(s.abandonedUntil, now.Add(abandonFactor*s.Mean))
}

// isCountExact reports whether this host knows of all requests that the upstream is
// running: the requests of the previous owner have ended, the concurrency limit has
// reached the number of slots and there are no abandoned attempts.
func (s *State) isCountExact(now time.Time) bool {
	return now.Sub(s.ownedSince) > takeoverTime+takeoverFactor*s.Mean && s.Limit >= s.Slots && len(s.abandonedUntil) == 0
}

// recordServiceTime updates the moving average of the service times. An average older
// than maxMeasurementAge is replaced.
func (s *State) recordServiceTime(d time.Duration, now time.Time) {
	if s.Mean == 0 || now.Sub(s.Measured) > maxMeasurementAge {
		s.Mean = d
	} else {
		s.Mean += time.Duration(serviceTimeWeight * float64(d-s.Mean))
	}
	s.Measured = now
}
