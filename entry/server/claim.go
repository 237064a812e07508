package server

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/deduplicator"
	"github.com/endiverun/endiverun/core/dispatcher"
	"github.com/endiverun/endiverun/entry/storer"
)

// kindClaims is the kind of the objects that hold claims of clients' keys.
const kindClaims = "claims"

// claimTries is how often a lost race for a bucket is repeated.
const claimTries = 8

// claimer claims clients' own keys in the platform's store. Keys of the same
// bucket that arrive while a write is under way share the next one.
type claimer struct {
	server *Server

	mu      sync.Mutex
	pending map[int]*batch
	busy    map[int]bool
}

// batch is the keys of one bucket that the next write claims.
type batch struct {
	keys    []string
	holders map[string]core.Life
	err     error
	done    chan struct{}
}

func newClaimer(server *Server) *claimer {
	return &claimer{server: server, pending: map[int]*batch{}, busy: map[int]bool{}}
}

// claim claims a key and tells who holds it.
func (c *claimer) claim(key string, until time.Time) dispatcher.Claim {
	bucket := deduplicator.Bucket(key)
	b := c.join(bucket, key)
	waitFor(b.done, until.Sub(c.server.now()))
	select {
	case <-b.done:
	default:
		return dispatcher.Claim{Failed: true}
	}
	holder, ok := b.holders[key]
	return dispatcher.Claim{Failed: b.err != nil || !ok, Holder: holder}
}

// join adds a key to the next write of its bucket.
func (c *claimer) join(bucket int, key string) *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.pending[bucket]
	if b == nil {
		b = &batch{done: make(chan struct{})}
		c.pending[bucket] = b
	}
	b.keys = append(b.keys, key)
	if !c.busy[bucket] {
		c.busy[bucket] = true
		go c.work(bucket)
	}
	return b
}

// work writes batches of a bucket until there are none.
func (c *claimer) work(bucket int) {
	for {
		c.mu.Lock()
		b := c.pending[bucket]
		delete(c.pending, bucket)
		if b == nil {
			c.busy[bucket] = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		b.holders, b.err = c.write(bucket, b.keys)
		close(b.done)
	}
}

// write claims keys by conditional update. A write without an answer is
// settled by the next read, which shows whose the claims are.
func (c *claimer) write(bucket int, keys []string) (map[string]core.Life, error) {
	s := c.server
	var err error
	for range claimTries {
		var object storer.Object
		var table deduplicator.ClaimTable
		object, table, err = c.read(bucket)
		if err != nil {
			continue
		}
		holders := table.Holders(keys)
		if len(holders) == len(keys) {
			return holders, nil
		}
		next, holders := table.Add(keys, s.host.Life(), s.now())
		if object.Metadata.ResourceVersion == 0 {
			_, err = s.storer.Create(object.Kind, object.Metadata.Name, next)
		} else {
			_, err = s.storer.Update(object, next)
		}
		if err == nil {
			return holders, nil
		}
	}
	return nil, err
}

func (c *claimer) read(bucket int) (storer.Object, deduplicator.ClaimTable, error) {
	name := strconv.Itoa(bucket)
	object, err := c.server.storer.Get(kindClaims, name)
	if err != nil && errorx.IsOfType(err, core.ErrNotFound) {
		return storer.Object{Kind: kindClaims, Metadata: storer.Metadata{Name: name}}, deduplicator.ClaimTable{}, nil
	}
	if err != nil {
		return storer.Object{}, deduplicator.ClaimTable{}, err
	}
	var table deduplicator.ClaimTable
	if err := json.Unmarshal(object.Data, &table); err != nil {
		return storer.Object{}, deduplicator.ClaimTable{}, core.ErrPlatform.Wrap(err, "claims")
	}
	return object, table, nil
}
