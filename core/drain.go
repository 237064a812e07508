package core

import "time"

const (
	// exitMargin is the part of a host's grace period that is reserved for the exit of the
	// process, and exitMarginDivisor limits it to a fraction of a short grace period.
	exitMargin        = 400 * time.Millisecond
	exitMarginDivisor = 6
	// lastAnswersDivisor limits the time for the answers to requests that are broken off to a
	// fraction of that part.
	lastAnswersDivisor = 4
)

// DrainSchedule holds the times of a graceful stop of a host.
type DrainSchedule struct {
	// AcceptsUntil is until when the host accepts connections, since clients may still use an
	// older list of hosts.
	AcceptsUntil time.Time
	// End is when the host ends. It breaks off the requests that are in flight then, and
	// answers them until AnswersUntil. The process then ends.
	End          time.Time
	AnswersUntil time.Time
}

// NewDrainSchedule returns the schedule of a stop that starts now, in which clients may
// connect for the time acceptsFor and the process is killed after the grace period.
func NewDrainSchedule(acceptsFor, gracePeriod time.Duration, now time.Time) DrainSchedule {
	margin := min(exitMargin, gracePeriod/exitMarginDivisor)
	end := now.Add(max(gracePeriod-margin, acceptsFor+margin))
	return DrainSchedule{AcceptsUntil: now.Add(acceptsFor), End: end, AnswersUntil: end.Add(margin / lastAnswersDivisor)}
}

// Allows reports whether a request may be forwarded whose response is due at the given time.
// After AcceptsUntil the host must be able to await the response: a client that is refused
// then finds another host. Before it, the client might be sent to this host again. A nil
// schedule, of a host that does not stop, allows every request.
func (s *DrainSchedule) Allows(responseDeadline, now time.Time) bool {
	return s == nil || now.Before(s.AcceptsUntil) || !responseDeadline.After(s.End)
}
