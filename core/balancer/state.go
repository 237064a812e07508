package balancer

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// UpstreamState is what a host knows about one upstream.
type UpstreamState struct {
	core.Upstream
	// InFlight is the number of requests that this host has in flight.
	InFlight int
	// ConcurrencyLimit is the concurrency limit, at most Upstream.Slots.
	ConcurrencyLimit int
	// MeanServiceTime is the moving average of the service times; 0 before the first measurement.
	MeanServiceTime time.Duration
	// MeasuredAt is the time at which MeanServiceTime was last updated.
	MeasuredAt time.Time
	// ReportedLoad is the load that the upstream reports, from 0 to 1.
	ReportedLoad float64
	// ReportedDraining reports whether the upstream announced that it is draining.
	ReportedDraining bool
	// ListedDraining reports whether the platform's list shows the upstream as draining.
	ListedDraining bool
	// InFlightElsewhere is the number of requests that earlier owners still have in flight.
	InFlightElsewhere int
	// CheckedAt is the time of the last health check, successful or not.
	CheckedAt time.Time
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

// FreeSlots returns the number of free slots.
func (s *UpstreamState) FreeSlots() int {
	return max(0, s.ConcurrencyLimit-s.InFlight-s.InFlightElsewhere-len(s.abandonedUntil))
}

// expireAbandoned frees the slots of abandoned attempts that have ended.
func (s *UpstreamState) expireAbandoned(now time.Time) {
	s.abandonedUntil = slices.DeleteFunc(s.abandonedUntil, func(until time.Time) bool { return !now.Before(until) })
}

// Result is the result of an attempt.
type Result struct {
	RunState core.RunState
	// ServiceTime is the service time, from sending the request to the complete response.
	ServiceTime time.Duration
	// Shed reports that the upstream rejected the request because it was overloaded.
	Shed bool
	// StaleConnection reports that a reused connection closed without a response. This is not a
	// failure of the upstream.
	StaleConnection bool
	// Cancelled reports that the caller cancelled the attempt.
	Cancelled bool
}

// AcquireOptions holds the conditions of an acquisition.
type AcquireOptions struct {
	// ReservedSlots is the number of slots of the service that must stay free.
	ReservedSlots int
	// Exclude lists upstreams that must not be selected because they were already tried.
	Exclude []core.UpstreamName
	// RequireExactCount excludes upstreams that may be running requests that this host does
	// not know of.
	RequireExactCount bool
}

// isUsable reports whether an upstream may get new requests. One without a recent health
// check may be draining without this host knowing, because the upstream is new to the
// host or because the host was paused.
func (s *UpstreamState) isUsable(now time.Time) bool {
	return now.Sub(s.CheckedAt) <= maxCheckAge && !s.ReportedDraining && !s.ListedDraining && !s.Draining && !now.Before(s.EjectedUntil)
}

// addAbandoned keeps the slot of an attempt without a response occupied for as long as
// the upstream may still be running it.
func (s *UpstreamState) addAbandoned(now time.Time) {
	s.abandonedUntil = append(s.abandonedUntil, now.Add(abandonFactor*s.MeanServiceTime))
}

// isCountExact reports whether this host knows of all requests that the upstream is
// running: the requests of the previous owner have ended, the concurrency limit has
// reached the number of slots and there are no abandoned attempts.
func (s *UpstreamState) isCountExact(now time.Time) bool {
	return now.Sub(s.ownedSince) > takeoverTime+takeoverFactor*s.MeanServiceTime && s.ConcurrencyLimit >= s.Slots && len(s.abandonedUntil) == 0
}

// recordServiceTime updates the moving average of the service times. An average older
// than maxMeasurementAge is replaced.
func (s *UpstreamState) recordServiceTime(d time.Duration, now time.Time) {
	if s.MeanServiceTime == 0 || now.Sub(s.MeasuredAt) > maxMeasurementAge {
		s.MeanServiceTime = d
	} else {
		s.MeanServiceTime += time.Duration(serviceTimeWeight * float64(d-s.MeanServiceTime))
	}
	s.MeasuredAt = now
}
