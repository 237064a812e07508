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
	// registerTime is the time in which the hosts of a system that starts register.
	// listenFirst is how long each then listens for others before it reads the
	// store, and maxFirstWait how long it waits for its reader, all from the start.
	registerTime = 500 * time.Millisecond
	listenFirst  = 1200 * time.Millisecond
	maxFirstWait = 2 * time.Second
)

// Reading says what of the store a host reads itself.
type Reading int32

const (
	// ReadsAll is the reading of a host that follows no other.
	ReadsAll Reading = iota
	// ReadsHosts is that of a host that looks for another to follow.
	ReadsHosts
	// ReadsNothing is that of a host for which another one reads the store.
	ReadsNothing
)

// follow takes the copy of the zone's reader as long as there is one, and reads
// the store otherwise.
func (c *Controller) follow(ctx context.Context) {
	started := time.Now()
	isStarting := c.IsFirstStart && c.SetReading != nil
	waiter.Every(ctx, followEvery, func(now time.Time) {
		reader, revisions, ok := c.roster.Reader(now)
		ok = ok && (c.isReady.Load() || c.IsFirstStart)
		if !ok && isStarting && c.isAwaitingReader(now.Sub(started), now) {
			return
		}
		isStarting = false
		if !ok {
			c.setReading(ReadsAll, "")
			return
		}
		c.setReading(ReadsNothing, reader.Name)
		c.catchUp(reader, revisions, now)
	})
}

// isAwaitingReader reports whether a host that started with the whole system leaves
// the first reads to others: it learns which hosts there are once they have
// registered, and waits for the one that should read the store for it.
func (c *Controller) isAwaitingReader(age time.Duration, now time.Time) bool {
	if age < registerTime {
		return true
	}
	c.setReading(ReadsHosts, "")
	return age < listenFirst || age < maxFirstWait && !c.roster.Leads(now)
}

// Settle returns how long a host that listed the store waits for the reader of its
// zone before it watches the store itself.
func (c *Controller) Settle() time.Duration {
	const part = 0.25
	if !c.roster.IsLarge() {
		return 0
	}
	return time.Duration(part * float64(c.Bounds.InForce))
}

// reads returns what the host reads of the store.
func (c *Controller) reads() Reading {
	return Reading(c.reading.Load())
}

// setReading starts and stops the host's own reads. The reader is the host that it
// follows.
func (c *Controller) setReading(reading Reading, reader core.HostName) {
	if c.SetReading == nil || Reading(c.reading.Swap(int32(reading))) == reading {
		return
	}
	c.SetReading(reading)
	switch reading {
	case ReadsNothing:
		c.Log.Event(logger.ReaderFollowed).Str("peer", string(reader)).Send()
	case ReadsAll:
		c.contact.forgetReach()
		c.Log.Event(logger.StoreRead).Send()
	case ReadsHosts:
	}
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
	update, err := c.fetcher.Fetch(address, held, c.Bounds.fetchTimeout())
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
		if c.reads() != ReadsAll || !isDue {
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
	beat.Reads = isReached && c.reads() == ReadsAll
	beat.StoreAge = core.MillisecondsOf(age)
}
