package controller

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/entry/logger"
)

// confirmationTime is how long after a response of the store the host's snapshot
// counts as the newest. The store responds to a watch at once when something
// changes, and at least this often when nothing does.
const confirmationTime = 27 * time.Second

// storeStatus tracks whether this host can read the store.
type storeStatus struct {
	mu           sync.Mutex
	lastResponse time.Time
	lastFailure  time.Time
	// lastReached is when the store was last known to be reachable.
	lastReached time.Time
	// hasProbeFailed says that the last probe failed.
	hasProbeFailed bool
}

// recordResponse records a response of the store, and reports whether it is the
// first one after failures.
func (s *storeStatus) recordResponse(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasRecovered := s.lastFailure.After(s.lastResponse)
	s.lastResponse = now
	s.lastReached = now
	return hasRecovered
}

// recordFailure records a failed call, and reports whether it is the first one
// after responses.
func (s *storeStatus) recordFailure(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isFirst := !s.lastFailure.After(s.lastResponse)
	s.lastFailure = now
	return isFirst
}

// isSnapshotCurrent reports whether the host's snapshot is known to be the newest.
func (s *storeStatus) isSnapshotCurrent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResponse.After(s.lastFailure) && !s.hasProbeFailed && now.Sub(s.lastResponse) < confirmationTime
}

// recordProbe records the result of a probe, and reports whether it differs from
// the previous one.
func (s *storeStatus) recordProbe(isReachable bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isReachable {
		s.lastReached = now
	}
	hasChanged := s.hasProbeFailed == isReachable
	s.hasProbeFailed = !isReachable
	return hasChanged
}

// confirmSnapshot records that the host's snapshot is as new as that of a host that
// reads the store.
func (s *storeStatus) confirmSnapshot(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = now
}

// resetReachability records that this host itself has not reached the store lately.
func (s *storeStatus) resetReachability() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReached = time.Time{}
	s.hasProbeFailed = false
}

// timeSinceReached returns the time since the store was last reached. It returns
// false if the store was never reached or the host's reads have failed since.
func (s *storeStatus) timeSinceReached(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastReached.IsZero() {
		return 0, false
	}
	return now.Sub(s.lastReached), s.lastResponse.After(s.lastFailure) && !s.hasProbeFailed
}

// timeSinceResponse returns the time since the last response, or 0 if there was none.
func (s *storeStatus) timeSinceResponse(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastResponse.IsZero() {
		return 0
	}
	return now.Sub(s.lastResponse)
}

// RecordStoreResponse records a response of the store. It makes the host's snapshot
// count as current for a limited time, or until a call or a probe of the store fails.
func (c *Controller) RecordStoreResponse(now time.Time) {
	c.replicator.RecordStoreResponse(now)
	if c.storeStatus.recordResponse(now) {
		c.Log.Event(logger.PlatformFound).Send()
	}
}

// RecordStoreFailure records a failed call to the store. Until the next response the
// host's snapshot does not count as current: the host looks for a newer one at other
// hosts, and does not reject requests without a matching route for good.
func (c *Controller) RecordStoreFailure(err error, now time.Time) {
	c.replicator.RecordStoreFailure(now)
	c.Log.Event(logger.StoreReadFailed).Err(err).Send()
	if c.storeStatus.recordFailure(now) {
		c.Log.Event(logger.PlatformLost).Err(err).Send()
	}
}
