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
	// because the connection of a pending watch does not show an outage, nor that its
	// response was lost in one that is over. The reader
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

// ReadMode says which parts of the store a host reads itself.
type ReadMode int32

const (
	// ReadAll means that the host reads everything from the store itself and follows no
	// other host.
	ReadAll ReadMode = iota
	// ReadHosts means that the host reads only the list of hosts, to find the one whose
	// snapshots it fetches.
	ReadHosts
	// ReadNone means that the host reads nothing from the store, and fetches the snapshots
	// of another host that does.
	ReadNone
)

// followReader fetches the snapshots of the zone's reader while there is one, and
// makes the host read the store itself otherwise.
func (c *Controller) followReader(ctx context.Context) {
	started := time.Now()
	isStarting := c.IsFirstStart && c.SetReadMode != nil
	waiter.Every(ctx, followInterval, func(now time.Time) {
		reader, ok := c.roster.Reader(now)
		ok = ok && (c.isReady.Load() || c.IsFirstStart) && c.knowsEra(reader.Revisions)
		ok = ok && !c.mustReplaceLists(reader.Revisions, now)
		if !ok && isStarting && c.isAwaitingReader(now.Sub(started), now) {
			return
		}
		isStarting = false
		if !ok {
			c.setReadMode(ReadAll, "")
			return
		}
		c.setReadMode(ReadNone, reader.Host.Name)
		c.syncWithReader(reader, now)
		c.confirmWithReader(reader)
	})
}

// knowsEra reports whether another host's copy is of this host's era of the store or a
// later one. If it is of an earlier era, it says nothing about the store as it is now.
func (c *Controller) knowsEra(revisions core.Revisions) bool {
	return revisions.Era >= c.replicator.Held().Era
}

// mustReplaceLists reports whether this host holds lists in which another host retained or corrected
// entries, and a reader with the given revisions will not replace them: its own are the store's, but
// older.
func (c *Controller) mustReplaceLists(reader core.Revisions, now time.Time) bool {
	isProvisional := reader.MayIncludeExpired || reader.UpstreamsSettling || reader.EvacuationsSettling
	return !isProvisional && !c.replicator.Held().IsBehind(reader) && c.replicator.LacksStoreLists(now)
}

// isAwaitingReader reports whether a host of a fleet that starts for the first time
// still leaves the reads of the store to others. It reads the list of hosts once they
// have registered, and then waits for the host that should read the store for it.
func (c *Controller) isAwaitingReader(age time.Duration, now time.Time) bool {
	if age < registrationTime {
		return true
	}
	c.setReadMode(ReadHosts, "")
	return age < initialListenTime || age < maxReaderWait && !c.roster.HasHighestRank(now)
}

// WatchDelay returns how long a host that has listed the objects of the store waits
// before it watches them. In this time it may find the reader of its zone, which makes
// the watch unnecessary. It is 0 in a small fleet, where every host reads the store.
func (c *Controller) WatchDelay() time.Duration {
	const fraction = 0.25
	if !c.roster.IsLargeFleet() {
		return 0
	}
	return time.Duration(fraction * float64(c.Bounds.MaxPropagationDelay))
}

// currentReadMode returns which parts of the store the host reads.
func (c *Controller) currentReadMode() ReadMode {
	return ReadMode(c.readMode.Load())
}

// setReadMode changes which parts of the store the host reads. The reader is the host
// that it follows from now on, if any.
func (c *Controller) setReadMode(reading ReadMode, reader core.HostName) {
	if c.SetReadMode == nil || ReadMode(c.readMode.Swap(int32(reading))) == reading {
		return
	}
	c.SetReadMode(reading)
	switch reading {
	case ReadNone:
		c.Log.Event(logger.ReaderFollowed).Str("peer", string(reader)).Send()
	case ReadAll:
		c.storeStatus.resetReachability()
		c.Log.Event(logger.StoreRead).Send()
	case ReadHosts:
	}
}

// syncWithReader fetches the changes that the reader's snapshot has beyond the host's
// own. If there are none, the host's snapshot is as new as the reader's.
func (c *Controller) syncWithReader(reader roster.ReaderStatus, now time.Time) {
	held := c.replicator.Held()
	if !held.IsBehind(reader.Revisions) {
		c.replicator.RecordStoreResponse(now)
		c.replicator.ConfirmUpstreams(reader.Revisions.Era, reader.UpstreamsConfirmed)
		c.storeStatus.confirmSnapshot(now)
		return
	}
	address := c.SnapshotAddress(reader.Host)
	update, err := c.fetcher.Fetch(address, held, c.Bounds.fetchTimeout())
	if err != nil {
		c.Log.Event(logger.PeerSilent).Str("peer", address).Err(err).Send()
		return
	}
	c.replicator.ApplyUpdate(update, time.Now())
}

// probeStore checks periodically whether the host reaches the store, unless it
// follows another host.
func (c *Controller) probeStore(ctx context.Context) {
	if c.PingStore == nil {
		return
	}
	var lastProbe time.Time
	waiter.Every(ctx, readerProbeInterval, func(now time.Time) {
		isDue := c.roster.IsReader(now) || now.Sub(lastProbe) >= probeInterval
		if c.currentReadMode() != ReadAll || !isDue {
			return
		}
		lastProbe = now
		c.recordProbe(c.PingStore(), time.Now())
	})
}

// recordProbe records the result of a probe of the store. A probe does not show changes,
// but it shows that upstreams could reach the store too.
func (c *Controller) recordProbe(err error, now time.Time) {
	hasChanged := c.storeStatus.recordProbe(err == nil, now)
	if err != nil {
		c.replicator.RecordStoreFailure()
		if hasChanged {
			c.Log.Event(logger.PlatformLost).Err(err).Send()
		}
		return
	}
	c.replicator.RecordStoreResponse(now)
	if hasChanged {
		c.handleStoreFound()
	}
}

// addReaderStatus adds to a heartbeat what the hosts of the zone need to know to
// depend on this host's reads.
func (c *Controller) addReaderStatus(heartbeat *roster.Heartbeat, now time.Time) {
	storeAge, isReached := c.storeStatus.timeSinceReached(now)
	heartbeat.ReadsStore = isReached && c.currentReadMode() == ReadAll
	heartbeat.StoreAge = core.MillisecondsOf(storeAge)
	heartbeat.HasKnowledge = c.replicator.HasKnowledge()
	if known, ok := c.replicator.KnownBefore(); ok {
		heartbeat.KnownBefore = &known
	}
	if confirmed := c.replicator.UpstreamsConfirmed(); !confirmed.IsZero() {
		heartbeat.UpstreamsAge = max(core.MillisecondsOf(now.Sub(confirmed)), 1)
	}
}
