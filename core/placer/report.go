package placer

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Outcome is the result of an attempt from the point of view of the upstream.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Done is a complete response to a request that ran, with an HTTP status below 500.
	Done Outcome = iota
	// Failed is a response that reports a failure of the upstream itself, with an HTTP
	// status of 500 or above.
	Failed
	// Shed is a rejection due to overload.
	Shed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the connection was lost or silent for too long before the
	// response was complete.
	Broken
	// Misdirected means that the address now belongs to another upstream.
	Misdirected
	// Abandoned means that the client disconnected or the deadline passed.
	Abandoned
)

// String returns the name of the outcome that is written to logs.
func (o Outcome) String() string {
	names := [...]string{"done", "failed", "shed", "unreachable", "broken", "misdirected", "abandoned"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// Load is the load that an upstream reported in a response.
type Load struct {
	// Running and Waiting are the numbers of running and of queued requests.
	Running int
	Waiting int
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// Slowness is how long a request takes on the upstream's machine at this moment, as a
	// multiple of the usual time; 0 if the upstream does not say.
	Slowness float64
}

// Report holds the result of an attempt.
type Report struct {
	Outcome Outcome
	// ResponseTime is the time from sending the request to the response.
	ResponseTime time.Duration
	// DialTime is the time that opening a connection took, 0 if an open one was used.
	DialTime time.Duration
	// Load is nil if the response did not report the load in a form that can be read.
	Load *Load
	// ConnectionsClosed reports that the upstream had closed idle connections. That happens
	// when it restarts, so the upstream is then possibly cold.
	ConnectionsClosed bool
	// RemainingWarmUp is the remaining warm-up time that the upstream reported.
	RemainingWarmUp time.Duration
	// RateLimit is what the response says about the rate limit of the upstream.
	RateLimit RateLimit
	// Availability is what the response says about further requests.
	Availability Availability
}

// Report records the result of the attempt for which the choice was made. It is called
// once for each choice with an attempt; Release is called for the others.
func (p *Placer) Report(choice Choice, report Report, now time.Time) {
	change, availability := p.recordReport(choice, report, now)
	if change != nil && p.OnLimitChange != nil {
		p.OnLimitChange(*change)
	}
	p.notifyAvailability(availability)
}

// recordReport records the result and returns the changes of the upstream's rate limit and
// of its availability, nil where there is none.
func (p *Placer) recordReport(choice Choice, report Report, now time.Time) (*LimitChange, *AvailabilityChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if report.DialTime > 0 {
		p.recordRoundTrip(choice, report.DialTime)
	}
	available := p.updateAvailability(choice.Upstream, report.Availability, now)
	u := p.incarnationOf(choice.Upstream)
	if u == nil {
		return nil, available
	}
	u.finishAttempt()
	if report.Load != nil {
		u.updateLoad(*report.Load, now)
	}
	if report.RemainingWarmUp > 0 {
		u.coldUntil = later(u.coldUntil, now.Add(report.RemainingWarmUp))
	}
	if report.ConnectionsClosed {
		u.suspectedAt = later(u.suspectedAt, now)
	}
	p.recordOutcome(u, choice, report, now)
	return u.recordLimit(report, choice.chosenAt, now), available
}

// recordOutcome updates failure rates, service times and the ejection of the
// upstream.
func (p *Placer) recordOutcome(u *upstream, choice Choice, report Report, now time.Time) {
	switch report.Outcome {
	case Done:
		p.recordAttempt(u, false, now)
		u.ejectionTime = 0
		p.recordServiceTime(u, choice, usualTime(report.ResponseTime-choice.RoundTrip, report.Load))
	case Failed:
		p.recordAttempt(u, true, now)
	case Shed:
		if report.Load == nil {
			u.markOverloaded(now)
		}
		// A stated time keeps requests away by itself, and must not keep them away longer.
		if report.Availability.RetryAfter == 0 {
			p.recordAttempt(u, true, now)
		}
	case Broken:
		p.recordAttempt(u, true, now)
		delete(u.servedKeys, choice.key)
	case Unreachable, Misdirected:
		p.recordAttempt(u, true, now)
		delete(u.servedKeys, choice.key)
		u.eject(now)
	case Abandoned:
	}
}

// recordAttempt adds an attempt to the failure rates of the upstream and of its service.
func (p *Placer) recordAttempt(u *upstream, failed bool, now time.Time) {
	u.failures.record(failed, failureWeight, now)
	if s := p.services[u.Service]; s != nil {
		s.failures.record(failed, serviceFailureWeight, now)
	}
}

// usualTime returns how long a request would have taken at the usual speed of its upstream's
// machine, so that the averages of service times do not follow a speed that changes within them.
func usualTime(elapsed time.Duration, load *Load) time.Duration {
	if load == nil || load.Slowness <= 0 {
		return elapsed
	}
	return time.Duration(float64(elapsed) / load.Slowness)
}

// recordServiceTime adds the service time of an attempt that was not expected to queue.
func (p *Placer) recordServiceTime(u *upstream, choice Choice, elapsed time.Duration) {
	if choice.isQueued || elapsed <= 0 {
		return
	}
	u.serviceTime.add(elapsed)
	if s := p.services[u.Service]; s != nil {
		s.serviceTime.add(elapsed)
	}
}

// recordRoundTrip adds the time of opening a connection, which is one round trip.
func (p *Placer) recordRoundTrip(choice Choice, dial time.Duration) {
	if p.roundTrips == nil {
		p.roundTrips = map[core.RegionName]time.Duration{}
	}
	current, ok := p.roundTrips[choice.Region]
	if !ok || dial < current {
		p.roundTrips[choice.Region] = dial
		return
	}
	p.roundTrips[choice.Region] = current + time.Duration(averageWeight*float64(min(dial, 2*current)-current))
}
