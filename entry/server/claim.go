package server

import (
	"context"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/deduplicator"
	"github.com/endiverun/endiverun/core/dispatcher"
)

// claimBatcher claims idempotency keys that clients chose. Keys of the same bucket that
// arrive while a write is in progress share the next write.
type claimBatcher struct {
	claimer deduplicator.Claimer
	now     func() time.Time

	mu      sync.Mutex
	pending map[int]*claimBatch
	writing map[int]bool
}

// claimBatch holds the keys of one bucket that one write claims. The other fields are
// set before done is closed.
type claimBatch struct {
	keys    []string
	holders map[string]core.HostInstance
	err     error
	done    chan struct{}
}

func newClaimBatcher(instance core.HostInstance, store core.Store, now func() time.Time) *claimBatcher {
	return &claimBatcher{
		claimer: deduplicator.Claimer{Instance: instance, Store: store},
		now:     now,
		pending: map[int]*claimBatch{},
		writing: map[int]bool{},
	}
}

// claim claims a key and returns its holder. It fails if the platform does not respond
// before the deadline.
func (c *claimBatcher) claim(key string, deadline time.Time) dispatcher.Claim {
	batch := c.enqueue(deduplicator.BucketOf(key), key)
	waitForSignal(context.Background(), batch.done, deadline.Sub(c.now()))
	select {
	case <-batch.done:
	default:
		return dispatcher.Claim{Failed: true}
	}
	holder, ok := batch.holders[key]
	return dispatcher.Claim{Failed: batch.err != nil || !ok, Holder: holder}
}

// enqueue adds a key to the next write of its bucket and starts the writer if none is
// running.
func (c *claimBatcher) enqueue(bucket int, key string) *claimBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.pending[bucket]
	if batch == nil {
		batch = &claimBatch{done: make(chan struct{})}
		c.pending[bucket] = batch
	}
	batch.keys = append(batch.keys, key)
	if !c.writing[bucket] {
		c.writing[bucket] = true
		go c.writeBatches(bucket)
	}
	return batch
}

// writeBatches writes the pending batches of a bucket until none is left.
func (c *claimBatcher) writeBatches(bucket int) {
	for {
		c.mu.Lock()
		batch := c.pending[bucket]
		delete(c.pending, bucket)
		if batch == nil {
			c.writing[bucket] = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		batch.holders, batch.err = c.claimer.Claim(bucket, batch.keys, c.now())
		close(batch.done)
	}
}
