package controller

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/entry/logger"
)

// confirmedFor is how long after an answer of the store the copy counts as the
// newest. Watches are answered at once when something changes, and at least
// this often when nothing does.
const confirmedFor = 27 * time.Second

// contact is what the host knows of its connection to the store.
type contact struct {
	mu       sync.Mutex
	answered time.Time
	failed   time.Time
	// reached is when the store was last known to be reachable.
	reached time.Time
	// isUnreached says that the last probe failed.
	isUnreached bool
}

// setAnswered reports whether the store answers again after failures.
func (c *contact) setAnswered(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isBack := c.failed.After(c.answered)
	c.answered = now
	c.reached = now
	return isBack
}

// setFailed reports whether this is the first failure after answers.
func (c *contact) setFailed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFirst := !c.failed.After(c.answered)
	c.failed = now
	return isFirst
}

// isConfirmed reports whether the copy is known to be the newest.
func (c *contact) isConfirmed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered.After(c.failed) && !c.isUnreached && now.Sub(c.answered) < confirmedFor
}

// setProbed takes the result of a probe, and reports whether it differs from that
// of the one before.
func (c *contact) setProbed(isReached bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isReached {
		c.reached = now
	}
	differs := c.isUnreached == isReached
	c.isUnreached = !isReached
	return differs
}

// confirm states that the copy is as new as that of a host that reads the store.
func (c *contact) confirm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = now
}

// forgetReach states that this host has not reached the store itself lately.
func (c *contact) forgetReach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached = time.Time{}
	c.isUnreached = false
}

// storeAge returns how long ago the store was reached. It returns false where
// that was never, or the host's reads fail since.
func (c *contact) storeAge(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reached.IsZero() {
		return 0, false
	}
	return now.Sub(c.reached), c.answered.After(c.failed) && !c.isUnreached
}

// age returns the time since the last answer.
func (c *contact) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered.IsZero() {
		return 0
	}
	return now.Sub(c.answered)
}

// StoreAnswered states that the store gave an answer.
func (c *Controller) StoreAnswered(now time.Time) {
	c.replicator.Answered(now)
	if c.contact.setAnswered(now) {
		c.Log.Event(logger.PlatformFound).Send()
	}
}

// StoreFailed states that a call to the store failed.
func (c *Controller) StoreFailed(err error, now time.Time) {
	c.replicator.Failed(now)
	if c.contact.setFailed(now) {
		c.Log.Event(logger.PlatformLost).Err(err).Send()
	}
}
