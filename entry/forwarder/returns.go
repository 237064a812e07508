package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// maxScheduledReturn is the longest Retry-After time of a request that rate limits of
// upstreams prevented. If pauses did, it counts from the end of the first pause.
const maxScheduledReturn = 5 * time.Second

// returnSchedule assigns the times at which refused clients come back, so that they
// return at the rate at which upstreams take requests, in the order of their refusal.
type returnSchedule struct {
	mu sync.Mutex
	// next is the time of the next free return, by service.
	next map[core.ServiceName]time.Time
}

// assign returns the Retry-After time of one client whose request rate limits or pauses
// prevented while a number of others wait. Beyond maxScheduledReturn, and if this host may send
// none, it spreads the clients at random. No client returns before the end of a pause if all
// upstreams are in one.
func (s *returnSchedule) assign(service core.ServiceName, room placer.Room, others int, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if room.Rate <= 0 {
		return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) //nolint:gosec // Not used for security.
	}
	earliest, spreadFrom, latest := minRetryAfter, maxRetryAfter, maxScheduledReturn
	if room.Reason == placer.Paused {
		earliest, spreadFrom, latest = max(earliest, room.OpensIn), room.OpensIn, room.OpensIn+maxScheduledReturn
	}
	at := now.Add(max(room.Wait(others), earliest))
	if next := s.next[service]; next.After(at) {
		at = next
	}
	if at.Sub(now) > latest {
		return spreadFrom + rand.N(latest-spreadFrom) //nolint:gosec // Not used for security.
	}
	if s.next == nil {
		s.next = map[core.ServiceName]time.Time{}
	}
	s.next[service] = at.Add(time.Duration(float64(time.Second) / float64(room.Rate)))
	return at.Sub(now)
}
