package controller

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/heartbeater"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/waiter"
	"github.com/endiverun/endiverun/entry/watcher"
)

const (
	// taskInterval is the time between two runs of the host's periodic tasks.
	taskInterval = 250 * time.Millisecond
	// preconnectWorkers limits the connections that are opened in advance at the
	// same time.
	preconnectWorkers = 16
	// preconnectTimeout is the time limit for opening one of them.
	preconnectTimeout = time.Second
)

// ApplyUpdate applies those parts of a full or partial snapshot that are newer than the
// host's. Parts that are nil or not newer change nothing. If Era is later than that of the
// host's snapshot, the host takes the lists of that era from then on.
func (c *Controller) ApplyUpdate(update replicator.Snapshot, now time.Time) {
	c.replicator.ApplyUpdate(update, now)
}

// ApplyUpstreamChanges applies the changes of upstreams after the given revision. They
// are ignored if the host's list of upstreams is older than that revision, or of another
// era.
func (c *Controller) ApplyUpstreamChanges(after uint64, changes watcher.Changes[core.Upstream]) {
	latest := make(map[string]watcher.Change[core.Upstream], len(changes.List))
	for _, change := range changes.List {
		latest[change.Name] = change
	}
	update := &replicator.Upstreams{Revision: changes.Revision, BaseRevision: after}
	for name, change := range latest {
		if change.IsRemoved {
			update.Removed = append(update.Removed, core.UpstreamName(name))
			continue
		}
		update.List = append(update.List, change.Object)
	}
	c.ApplyUpdate(replicator.Snapshot{Era: changes.Era, Upstreams: update}, time.Now())
}

// apply passes the changed parts of the host's snapshot on to the components that
// use them.
func (c *Controller) apply(now time.Time, current, changed replicator.Snapshot) {
	if p := changed.Policy; p != nil {
		policy := core.NewRoutingPolicy(p.Version, p.Routes, p.Services, p.Limits).
			WithOrganisations(p.Organisations, p.HasUnreadableOrganisations)
		c.policy.Store(policy)
		c.placer.SetPolicy(policy)
		c.forwarder.SetPolicy(policy)
		if policy.HasOrganisations() {
			c.noteOrganisations.Do(func() { close(c.hasOrganisations) })
		}
		c.Log.Event(logger.PolicyApplied).Uint64("policy", p.Version).Int("routes", len(p.Routes)).Send()
		for _, f := range p.Findings {
			c.Log.Event(logger.PolicyEntryUnreadable).Uint64("policy", p.Version).Str("entry", f.Pointer).Str("error", f.Message).Send()
		}
	}
	if e := changed.Evacuations; e != nil {
		c.placer.SetEvacuatedZones(e.Zones, now)
		c.Log.Event(logger.EvacuationsApplied).Uint64("revision", e.Revision).Int("zones", len(e.Zones)).Send()
	}
	if u := changed.Upstreams; u != nil {
		c.placer.SetUpstreams(u.List, now)
		c.Log.Event(logger.UpstreamsApplied).Uint64("revision", u.Revision).Int("upstreams", len(u.List)).
			Bool("may-include-expired", u.MayIncludeExpired).Bool("settling", u.IsSettling).Send()
	}
	if h := changed.Hosts; h != nil {
		c.roster.SetRegistrations(h.List, now)
	}
	if current.IsComplete() && c.isReady.CompareAndSwap(false, true) {
		c.Log.Event(logger.HostReady).Uint64("policy", current.Revisions().Policy).Send()
		c.roster.SetReady(!c.isDraining.Load())
	}
	if c.roster.IsReader(now) {
		select {
		case c.zoneHeartbeat <- struct{}{}:
		default: // A heartbeat has already been requested.
		}
	}
}

// exchangeHeartbeats sends and receives heartbeats until ctx ends.
func (c *Controller) exchangeHeartbeats(ctx context.Context) {
	h := &heartbeater.Heartbeater{
		Address:      c.Self.PeerAddress,
		Roster:       c.roster,
		NewHeartbeat: c.newHeartbeat,
		RateLimits:   c.placer.RateLimitNotices,
		OnHeartbeat:  c.handleHeartbeat,
		SendUrgent:   c.urgentHeartbeat,
		SendToZone:   c.zoneHeartbeat,
		OnError: func(from string, err error) {
			c.Log.Event(logger.PeerRejected).Str("peer", from).Err(err).Send()
		},
	}
	if err := h.Run(ctx); err != nil {
		c.Log.Event(logger.ListenFailed).Str("address", c.Self.PeerAddress).Err(err).Send()
	}
}

func (c *Controller) newHeartbeat() roster.Heartbeat {
	now := time.Now()
	heartbeat := roster.Heartbeat{
		Host:             c.Self,
		Ready:            c.IsServing(),
		Revisions:        c.replicator.Snapshot().Revisions(),
		RemainingWarmUps: c.coldUpstreams.remaining(now),
		LoanSteps:        uint8(c.loanSteps.Load()),
		NeedsShares:      c.needsShares.Load(),
		IsJoining:        !c.roster.HasJoined(now),
	}
	c.addLeaving(&heartbeat, now)
	c.addReaderStatus(&heartbeat, now)
	return heartbeat
}

// runPeriodicTasks runs the host's periodic tasks until ctx ends.
func (c *Controller) runPeriodicTasks(ctx context.Context) {
	waiter.Every(ctx, taskInterval, func(now time.Time) {
		c.replicator.Settle(now)
		c.exchanger.CloseExpiredConnections(now)
		c.divideSharedLimits(now)
		c.updateGrantors(now)
		c.placer.ForgetOldLimits(now)
		c.reportEndedPauses(now)
		c.fetchFromPeers(now)
		c.requestStoreLists(now)
	})
}

// divideSharedLimits divides the limits that all hosts share over the hosts that may
// be alive.
func (c *Controller) divideSharedLimits(now time.Time) {
	c.roster.SetPartitioned(!c.storeStatus.isSnapshotCurrent(now), now)
	sharingHosts := c.roster.SharingHosts(now)
	c.updateSubsets(sharingHosts)
	c.sharingHosts.Store(int64(len(sharingHosts)))
	c.retryBudget.SetHosts(len(sharingHosts))
	if c.replicator.Snapshot().Hosts != nil {
		c.pacer.SetHosts(sharingHosts)
	}
}

// preconnect keeps connections open to upstreams in other regions.
func (c *Controller) preconnect(ctx context.Context) {
	waiter.Every(ctx, taskInterval, func(now time.Time) {
		if !c.IsServing() {
			return
		}
		group := pool.New().WithMaxGoroutines(preconnectWorkers)
		for _, upstream := range c.placer.PreconnectTargets(now) {
			group.Go(func() {
				if err := c.exchanger.Preconnect(upstream, preconnectTimeout); err != nil {
					c.Log.Event(logger.UpstreamNotPrepared).Str("upstream", string(upstream.Name)).Err(err).Send()
				}
			})
		}
		group.Wait()
	})
}

// fetchFromPeers fetches the snapshot of a host that has read a newer one, while
// this host's own reads fail.
func (c *Controller) fetchFromPeers(now time.Time) {
	if c.storeStatus.isSnapshotCurrent(now) {
		return
	}
	for _, address := range c.snapshotSources(now) {
		update, err := c.fetcher.Fetch(address, c.replicator.Held(), c.Bounds.fetchTimeout())
		if err != nil {
			c.Log.Event(logger.PeerSilent).Str("peer", address).Err(err).Send()
			continue
		}
		c.recordFetched(address, update)
		c.replicator.ApplyUpdate(update, time.Now())
	}
}

// recordFetched logs what the host learns from another one.
func (c *Controller) recordFetched(address string, update replicator.Snapshot) {
	line := c.Log.Event(logger.SnapshotFetched).Str("peer", address).Uint64("policy", update.Revisions().Policy)
	if u := update.Upstreams; u != nil {
		line = line.Uint64("revision", u.Revision).Uint64("base", u.BaseRevision).
			Bool("may-include-expired", u.MayIncludeExpired).Bool("settling", u.IsSettling)
	}
	line.Send()
}

// listsRequestInterval is the time between two requests of the store's lists. It leaves the store
// the time of a call, which a further request would abandon.
const listsRequestInterval = caller.StoreTimeout

// requestStoreLists asks the store for its lists if the host reads it again but still holds what
// another host retained or corrected. No later change of the store need name these entries.
func (c *Controller) requestStoreLists(now time.Time) {
	isReading := c.currentReadMode() == ReadAll && c.storeStatus.isSnapshotCurrent(now)
	if c.RenewWatches == nil || !isReading || !c.replicator.LacksStoreLists(now) {
		return
	}
	if now.Sub(c.listsRequested) < listsRequestInterval {
		return
	}
	c.listsRequested = now
	c.Log.Event(logger.StoreListsRequested).Send()
	c.RenewWatches()
}

// learnFromPeers fetches what other hosts knew before a restore of the store, where this host
// may know less: from the seeds when the host starts, and else from hosts that say that they
// know.
func (c *Controller) learnFromPeers(ctx context.Context) {
	if !c.IsFirstStart {
		c.learnFromSeeds(ctx)
	}
	var last request
	waiter.Every(ctx, followInterval, func(now time.Time) {
		peer, ok := c.peerToLearnFrom(now)
		if !ok || c.SnapshotAddress == nil {
			return
		}
		// A host that no longer knows more, but whose last heartbeat says so, is asked once.
		known, _ := c.replicator.KnownBefore()
		next := request{peer: peer.Name, known: known}
		if next == last && !c.replicator.LacksKnowledge() {
			return
		}
		if c.learnFrom(c.SnapshotAddress(peer)) {
			last = next
		}
	})
}

// request is a request for what another host knew before a restore, by a host that knew the given
// upstreams.
type request struct {
	peer  core.HostName
	known core.KnownUpstreams
}

// peerToLearnFrom returns a host that knew more before a restore of the store than this one, which
// started later, was cut off or had not heard of the last changes.
func (c *Controller) peerToLearnFrom(now time.Time) (core.Host, bool) {
	era := c.replicator.Held().Era
	if c.replicator.LacksKnowledge() {
		return c.roster.PeerWithKnowledge(era, now)
	}
	known, ok := c.replicator.KnownBefore()
	if !ok {
		return core.Host{}, false
	}
	return c.roster.PeerWithLaterKnowledge(era, known, now)
}

// learnFromSeeds asks the seeds until one of them answers.
func (c *Controller) learnFromSeeds(ctx context.Context) {
	for _, address := range *c.seeds.Load() {
		if ctx.Err() != nil || c.learnFrom(address) {
			return
		}
	}
}

// learnFrom fetches the full lists of another host, with what it knew before a restore, and
// reports whether it answered.
func (c *Controller) learnFrom(address string) bool {
	// A host of an earlier era answers only if this one names none.
	held := core.Revisions{Policy: c.replicator.Held().Policy}
	update, err := c.fetcher.Fetch(address, held, c.Bounds.fetchTimeout())
	if err != nil {
		c.Log.Event(logger.PeerSilent).Str("peer", address).Err(err).Send()
		return false
	}
	c.recordFetched(address, update)
	c.replicator.ApplyUpdate(update, time.Now())
	return true
}

// snapshotSources returns the addresses of hosts that may serve a newer snapshot.
func (c *Controller) snapshotSources(now time.Time) []string {
	if !c.replicator.Snapshot().IsComplete() {
		return *c.seeds.Load()
	}
	peer, ok := c.roster.PeerWithNewerCopy(c.replicator.Held(), now)
	if !ok || c.SnapshotAddress == nil {
		return nil
	}
	return []string{c.SnapshotAddress(peer)}
}
