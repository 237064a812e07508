package controller

import (
	"context"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// followEvery is the time between two looks whether another host reads the
	// store for this one.
	followEvery = 100 * time.Millisecond
	// probeEvery is the time between two looks whether the host still reaches the
	// store: a connection on which a watch waits does not show it. A zone's
	// reader looks more often, since others depend on it.
	probeEvery       = time.Second
	readerProbeEvery = 500 * time.Millisecond
)

// follow takes the copy of the zone's reader as long as there is one, and reads
// the store otherwise.
func (c *Controller) follow(ctx context.Context) {
	waiter.Every(ctx, followEvery, func(now time.Time) {
		reader, revisions, ok := c.roster.Reader(now)
		ok = ok && c.isReady.Load()
		c.setFollowing(reader, ok)
		if ok {
			c.catchUp(reader, revisions, now)
		}
	})
}

// setFollowing starts and stops the host's own reads.
func (c *Controller) setFollowing(reader core.Host, isFollowing bool) {
	if c.SetReading == nil || c.isFollowing.Swap(isFollowing) == isFollowing {
		return
	}
	c.SetReading(!isFollowing)
	if isFollowing {
		c.Log.Event(logger.ReaderFollowed).Str("peer", string(reader.Name)).Send()
		return
	}
	c.contact.forgetReach()
	c.Log.Event(logger.StoreRead).Send()
}

// catchUp fetches what the reader's copy has beyond the own one. While it has
// nothing more, the own copy is as new as the reader's.
func (c *Controller) catchUp(reader core.Host, revisions core.Revisions, now time.Time) {
	held := c.replicator.Snapshot().Revisions()
	if !held.IsBehind(revisions) {
		c.replicator.Answered(now)
		c.contact.confirm(now)
		return
	}
	address := c.SnapshotAddress(reader)
	update, err := c.fetcher.Fetch(address, held)
	if err != nil {
		c.Log.Event(logger.PeerSilent).Str("peer", address).Err(err).Send()
		return
	}
	c.replicator.Take(update, time.Now())
}

// probe looks from time to time whether the host reaches the store, unless it
// follows another one.
func (c *Controller) probe(ctx context.Context) {
	if c.ReachStore == nil {
		return
	}
	var last time.Time
	waiter.Every(ctx, readerProbeEvery, func(now time.Time) {
		isDue := c.roster.IsReader(now) || now.Sub(last) >= probeEvery
		if c.isFollowing.Load() || !isDue {
			return
		}
		last = now
		err := c.ReachStore()
		if !c.contact.setProbed(err == nil, time.Now()) {
			return
		}
		if err != nil {
			c.Log.Event(logger.PlatformLost).Err(err).Send()
			return
		}
		c.Log.Event(logger.PlatformFound).Send()
	})
}

// readerPart completes a heartbeat with what hosts of the own zone need to know
// to depend on this host's reads.
func (c *Controller) readerPart(beat *roster.Heartbeat, now time.Time) {
	age, isReached := c.contact.storeAge(now)
	beat.Reads = isReached && !c.isFollowing.Load()
	beat.StoreAge = core.MillisecondsOf(age)
}
