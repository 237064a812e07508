package controller

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
)

// confirmationTime is how long after a response of the store the host's snapshot
// counts as the newest. The store responds to a watch at once when something
// changes, and at least this often when nothing does.
const confirmationTime = 27 * time.Second

// storeStatus tracks whether this host can read the store.
type storeStatus struct {
	mu sync.Mutex
	// lastResponse is when the store last confirmed the host's snapshot by its response
	// to a list or a watch.
	lastResponse time.Time
	// lastFailure is when a list, a watch or a probe last failed.
	lastFailure time.Time
	// lastReached is when the store was last known to be reachable.
	lastReached time.Time
	// hasProbeFailed says that the last probe failed.
	hasProbeFailed bool
	// isLost says that no call has succeeded since the last failure.
	isLost bool
}

// recordResponse records a response of the store, and reports whether it is the
// first one after failures.
func (s *storeStatus) recordResponse(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = now
	return s.markReached(now)
}

// markReached records that the store was reached, and reports whether it was lost before.
// The caller holds storeStatus.mu.
func (s *storeStatus) markReached(now time.Time) bool {
	wasLost := s.isLost
	s.lastReached, s.isLost = now, false
	return wasLost
}

// recordFailure records a failed call, and reports whether it is the first one
// after successful calls.
func (s *storeStatus) recordFailure(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.markLost(now)
}

// markLost records that a call failed, and reports whether the store was not lost before.
// The caller holds storeStatus.mu.
func (s *storeStatus) markLost(now time.Time) bool {
	isFirst := !s.isLost
	s.lastFailure, s.isLost = now, true
	return isFirst
}

// isSnapshotCurrent reports whether the host's snapshot is known to be the newest. After
// a failure only a list or a watch shows that: changes may have been missed meanwhile,
// which a probe does not find.
func (s *storeStatus) isSnapshotCurrent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastResponse.After(s.lastFailure) && !s.hasProbeFailed && now.Sub(s.lastResponse) < confirmationTime
}

// recordProbe records the result of a probe, and reports whether it is the first success
// after failures or the first failure after successful calls.
func (s *storeStatus) recordProbe(isReachable bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasProbeFailed = !isReachable
	if isReachable {
		return s.markReached(now)
	}
	return s.markLost(now)
}

// confirmSnapshot records that the host's snapshot is as new as that of a host that
// reads the store. The result of this host's own last probe no longer counts.
func (s *storeStatus) confirmSnapshot(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = now
	s.hasProbeFailed = false
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
		c.handleStoreFound()
	}
}

// ConfirmUpstreams records that the store answered a list or a watch of the upstreams in the
// given era. Call it after the results of that call were applied.
func (c *Controller) ConfirmUpstreams(era core.Era, now time.Time) {
	c.replicator.ConfirmUpstreams(era, now)
}

// handleStoreFound is called when the store responds again after failures. Watches that
// were pending meanwhile may have lost their responses, so they are renewed.
func (c *Controller) handleStoreFound() {
	c.Log.Event(logger.PlatformFound).Send()
	if c.RenewWatches != nil {
		c.RenewWatches()
	}
}

// handleStoreRestored is called when the host learns that the store came back from an older
// copy, in which the host's own entries may be missing.
func (c *Controller) handleStoreRestored(earlier, era core.Era) {
	c.Log.Event(logger.StoreRestored).Uint64("era", uint64(era)).Uint64("earlier", uint64(earlier)).Send()
	if c.OnStoreRestored != nil {
		c.OnStoreRestored(era)
	}
}

// RecordStoreFailure records a failed call to the store. Until the next response the
// host's snapshot does not count as current: the host looks for a newer one at other
// hosts, and does not reject requests without a matching route for good.
func (c *Controller) RecordStoreFailure(err error, now time.Time) {
	c.replicator.RecordStoreFailure()
	c.Log.Event(logger.StoreReadFailed).Err(err).Send()
	if c.storeStatus.recordFailure(now) {
		c.Log.Event(logger.PlatformLost).Err(err).Send()
	}
}
