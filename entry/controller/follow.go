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
	// followInterval is the time between two checks whether another host reads the
	// store for this one.
	followInterval = 100 * time.Millisecond
	// probeInterval is the time between two probes of the store. They are needed
	// because the connection of a pending watch does not show an outage. The reader
	// of a zone probes more often, since other hosts depend on it.
	probeInterval       = time.Second
	readerProbeInterval = 500 * time.Millisecond
	// registrationTime is the time within which the hosts of a starting fleet
	// register. initialListenTime is how long each of them listens for the heartbeats
	// of others before it reads the store, and maxReaderWait how long it waits for
	// the reader of its zone. All are counted from the start of the host.
	registrationTime  = 500 * time.Millisecond
	initialListenTime = 1200 * time.Millisecond
	maxReaderWait     = 2 * time.Second
)

// Reading says which parts of the store a host reads itself.
type Reading int32

const (
	// ReadsAll means that the host follows no other host.
	ReadsAll Reading = iota
	// ReadsHosts means that the host reads the list of hosts to find one to follow.
	ReadsHosts
	// ReadsNothing means that another host reads the store for this one.
	ReadsNothing
)

// followReader fetches the snapshots of the zone's reader while there is one, and
// makes the host read the store itself otherwise.
func (c *Controller) followReader(ctx context.Context) {
	started := time.Now()
	isStarting := c.IsFirstStart && c.SetReading != nil
	waiter.Every(ctx, followInterval, func(now time.Time) {
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
		c.syncWithReader(reader, revisions, now)
	})
}

// isAwaitingReader reports whether a host of a fleet that starts for the first time
// still leaves the reads of the store to others. It reads the list of hosts once they
// have registered, and then waits for the host that should read the store for it.
func (c *Controller) isAwaitingReader(age time.Duration, now time.Time) bool {
	if age < registrationTime {
		return true
	}
	c.setReading(ReadsHosts, "")
	return age < initialListenTime || age < maxReaderWait && !c.roster.Leads(now)
}

// Settle returns how long a host that has listed the store waits for the reader of
// its zone before it watches the store itself.
func (c *Controller) Settle() time.Duration {
	const fraction = 0.25
	if !c.roster.IsLarge() {
		return 0
	}
	return time.Duration(fraction * float64(c.Bounds.InForce))
}

// currentReading returns which parts of the store the host reads.
func (c *Controller) currentReading() Reading {
	return Reading(c.reading.Load())
}

// setReading changes which parts of the store the host reads. The reader is the host
// that it follows from now on, if any.
func (c *Controller) setReading(reading Reading, reader core.HostName) {
	if c.SetReading == nil || Reading(c.reading.Swap(int32(reading))) == reading {
		return
	}
	c.SetReading(reading)
	switch reading {
	case ReadsNothing:
		c.Log.Event(logger.ReaderFollowed).Str("peer", string(reader)).Send()
	case ReadsAll:
		c.storeStatus.resetReachability()
		c.Log.Event(logger.StoreRead).Send()
	case ReadsHosts:
	}
}

// syncWithReader fetches the changes that the reader's snapshot has beyond the host's
// own. If there are none, the host's snapshot is as new as the reader's.
func (c *Controller) syncWithReader(reader core.Host, revisions core.Revisions, now time.Time) {
	held := c.replicator.Snapshot().Revisions()
	if !held.IsBehind(revisions) {
		c.replicator.Answered(now)
		c.storeStatus.confirmSnapshot(now)
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

// probeStore checks periodically whether the host reaches the store, unless it
// follows another host.
func (c *Controller) probeStore(ctx context.Context) {
	if c.ReachStore == nil {
		return
	}
	var lastProbe time.Time
	waiter.Every(ctx, readerProbeInterval, func(now time.Time) {
		isDue := c.roster.IsReader(now) || now.Sub(lastProbe) >= probeInterval
		if c.currentReading() != ReadsAll || !isDue {
			return
		}
		lastProbe = now
		err := c.ReachStore()
		if !c.storeStatus.recordProbe(err == nil, time.Now()) {
			return
		}
		if err != nil {
			c.Log.Event(logger.PlatformLost).Err(err).Send()
			return
		}
		c.Log.Event(logger.PlatformFound).Send()
	})
}

// addReaderStatus adds to a heartbeat what the hosts of the zone need to know to
// depend on this host's reads.
func (c *Controller) addReaderStatus(heartbeat *roster.Heartbeat, now time.Time) {
	storeAge, isReached := c.storeStatus.timeSinceReached(now)
	heartbeat.Reads = isReached && c.currentReading() == ReadsAll
	heartbeat.StoreAge = core.MillisecondsOf(storeAge)
}
