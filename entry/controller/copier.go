package controller

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/heartbeater"
)

const (
	// snapshotTTL is how long an encoded snapshot is cached. Remaining times in it,
	// such as warm-ups, are too long by at most this, which is on the safe side.
	snapshotTTL = 200 * time.Millisecond
	// maxSnapshots limits the cached snapshots. Few are needed, since the hosts of a
	// zone usually lack the same changes.
	maxSnapshots = 16
)

// snapshotCache encodes the changes that other hosts lack, once for all hosts that
// lack the same changes.
//
// Lock order: snapshotCache.mu, then Replicator's.
type snapshotCache struct {
	mu      sync.Mutex
	entries map[snapshotKey]encodedSnapshot
}

// snapshotKey identifies a snapshot by the revisions that the receiver holds and
// those that this host has.
type snapshotKey struct {
	held, current core.Revisions
}

type encodedSnapshot struct {
	data    []byte
	created time.Time
}

// encode returns the encoded changes that the replicator has beyond the given
// revisions.
func (c *snapshotCache) encode(r *replicator.Replicator, held core.Revisions, now time.Time) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := snapshotKey{held: held, current: r.Snapshot().Revisions()}
	if e, ok := c.entries[key]; ok && now.Sub(e.created) < snapshotTTL {
		return e.data, nil
	}
	data, err := heartbeater.EncodeSnapshot(r.ChangesSince(held, now))
	if err != nil {
		return nil, err
	}
	if c.entries == nil || len(c.entries) >= maxSnapshots {
		c.entries = map[snapshotKey]encodedSnapshot{}
	}
	c.entries[key] = encodedSnapshot{data: data, created: now}
	return data, nil
}
