package core

import "time"

// exitMargin is the part of a host's grace period that is reserved for the exit of the process.
const exitMargin = 400 * time.Millisecond

// DrainSchedule holds the times of a graceful stop of a host.
type DrainSchedule struct {
	// ListedUntil is until when clients may connect because they use an older list of hosts.
	ListedUntil time.Time
	// End is when the host ends. Requests that are in flight then are cut.
	End time.Time
}

// NewDrainSchedule returns the schedule of a stop that starts now, in which clients may
// connect for the time listedFor and the process is killed after the grace period.
func NewDrainSchedule(listedFor, gracePeriod time.Duration, now time.Time) DrainSchedule {
	return DrainSchedule{
		ListedUntil: now.Add(listedFor),
		End:         now.Add(max(gracePeriod-exitMargin, listedFor+exitMargin)),
	}
}

// Allows reports whether a request may be forwarded whose response is due at the given time.
// After ListedUntil the host must be able to await the response: a client that is refused
// then finds another host. Before it, the client might be sent to this host again. A nil
// schedule, of a host that does not stop, allows every request.
func (s *DrainSchedule) Allows(responseDeadline, now time.Time) bool {
	return s == nil || now.Before(s.ListedUntil) || !responseDeadline.After(s.End)
}
