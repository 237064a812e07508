package controller

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/heartbeater"
)

const (
	// copyFor is how long an encoded copy is handed out. Times in it that are left
	// are too long by that much, which is on the safe side.
	copyFor = 200 * time.Millisecond
	// maxCopies bounds the copies kept: the hosts of a zone lack the same.
	maxCopies = 16
)

// copier encodes what other hosts lack, once for all that lack the same.
//
// Lock order: copier.mu, then Replicator's.
type copier struct {
	mu     sync.Mutex
	copies map[copyKey]encoded
}

// copyKey names what one host holds and what the other has beyond it.
type copyKey struct {
	held, has core.Revisions
}

type encoded struct {
	data []byte
	made time.Time
}

// encode returns what the replicator has beyond the given revisions.
func (c *copier) encode(r *replicator.Replicator, held core.Revisions, now time.Time) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := copyKey{held: held, has: r.Snapshot().Revisions()}
	if e, ok := c.copies[key]; ok && now.Sub(e.made) < copyFor {
		return e.data, nil
	}
	data, err := heartbeater.EncodeSnapshot(r.Changes(held, now))
	if err != nil {
		return nil, err
	}
	if c.copies == nil || len(c.copies) >= maxCopies {
		c.copies = map[copyKey]encoded{}
	}
	c.copies[key] = encoded{data: data, made: now}
	return data, nil
}
