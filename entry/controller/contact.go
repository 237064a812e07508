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
}

// setAnswered reports whether the store answers again after failures.
func (c *contact) setAnswered(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isBack := c.failed.After(c.answered)
	c.answered = now
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
	return c.answered.After(c.failed) && now.Sub(c.answered) < confirmedFor
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
