package controller

import (
	"context"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/heartbeater"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/timekeeper"
	"github.com/endiverun/endiverun/entry/waiter"
	"github.com/endiverun/endiverun/entry/watcher"
)

// confirmInterval is the time between two calls in which a host asks the reader of its zone as
// of when the policy is known to be the newest. A heartbeat would not do: one that lay unread
// while the host was frozen would make an old state look new.
const confirmInterval = 500 * time.Millisecond

// ConfirmPolicies records as of when the policy of the given name is known to be the newest. One that
// cannot be decoded is not in the list. It may have withdrawn keys, so nothing is confirmed then.
func (c *Controller) ConfirmPolicies(name string, list watcher.List[*replicator.Policy], asOf core.Uptime) {
	if policy, ok := list.Objects[name]; ok {
		c.authenticator.ConfirmByStore(policy.Version, list.Era, asOf, timekeeper.Uptime())
	}
}

// Confirmation returns as of when this host knows which policy is the newest.
func (c *Controller) Confirmation(now core.Uptime) heartbeater.Confirmation {
	var confirmation heartbeater.Confirmation
	if era, enteredAt := c.authenticator.Era(); era > 0 {
		confirmation.Era, confirmation.EraAge = era, now.Sub(enteredAt)
	}
	if version, asOf, ok := c.authenticator.Confirmed(); ok {
		confirmation.Version, confirmation.Age, confirmation.IsKnown = version, now.Sub(asOf), true
	}
	return confirmation
}

// confirmWithReader asks the reader of the zone, if keys must be withdrawn in time.
func (c *Controller) confirmWithReader(reader roster.ReaderStatus) {
	if c.Bounds.KeyWithdrawalTime <= 0 {
		return
	}
	sent := timekeeper.Uptime()
	if sent.Sub(c.confirmationAsked) < confirmInterval {
		return
	}
	c.confirmationAsked = sent
	c.confirmWith(c.SnapshotAddress(reader.Host), sent)
}

// confirmWith asks the host at the address.
func (c *Controller) confirmWith(address string, sent core.Uptime) {
	confirmation, err := c.fetcher.FetchConfirmation(address, c.Bounds.fetchTimeout())
	if err != nil {
		c.Log.Event(logger.PeerSilent).Str("peer", address).Err(err).Send()
		return
	}
	// The host stated the ages after the call was sent.
	if confirmation.IsKnown && confirmation.Age >= 0 {
		c.authenticator.Confirm(confirmation.Version, sent.Add(-confirmation.Age))
	}
	if confirmation.Era > 0 && confirmation.EraAge >= 0 {
		c.authenticator.RecordEra(confirmation.Era, sent.Add(-confirmation.EraAge))
	}
}

// confirmWithPeers asks other hosts in turn while the store may lack the newest policy, if keys
// must be withdrawn in time: they know the policy of before a restore, or that it was long ago.
func (c *Controller) confirmWithPeers(ctx context.Context) {
	if c.Bounds.KeyWithdrawalTime <= 0 || c.SnapshotAddress == nil {
		return
	}
	wasComplete, asked := true, 0
	var sent core.Uptime
	waiter.Every(ctx, followInterval, func(now time.Time) {
		uptime := timekeeper.Uptime()
		isComplete := c.authenticator.IsStoreComplete(uptime)
		if isComplete != wasComplete {
			wasComplete = isComplete
			era, _ := c.authenticator.Era()
			c.Log.Event(logger.PolicyTrusted).Uint64("era", uint64(era)).Bool("trusted", isComplete).Send()
		}
		addresses := c.confirmationSources(now)
		if isComplete || len(addresses) == 0 || uptime.Sub(sent) < confirmInterval {
			return
		}
		sent = uptime
		c.confirmWith(addresses[asked%len(addresses)], sent)
		asked++
	})
}

// confirmationSources returns the addresses of the ready hosts, or the seeds while none is known.
func (c *Controller) confirmationSources(now time.Time) []string {
	var addresses []string
	for _, m := range c.roster.Members(now) {
		if m.IsReady && m.Host.Name != c.Self.Name {
			addresses = append(addresses, c.SnapshotAddress(m.Host))
		}
	}
	if len(addresses) == 0 {
		return *c.seeds.Load()
	}
	slices.Sort(addresses)
	return addresses
}
