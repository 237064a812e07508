package controller

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/heartbeater"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/timekeeper"
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
		c.authenticator.Confirm(policy.Version, asOf)
	}
}

// Confirmation returns as of when this host knows which policy is the newest.
func (c *Controller) Confirmation(now core.Uptime) heartbeater.Confirmation {
	version, asOf, ok := c.authenticator.Confirmed()
	if !ok {
		return heartbeater.Confirmation{}
	}
	return heartbeater.Confirmation{Version: version, Age: now.Sub(asOf), IsKnown: true}
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
	address := c.SnapshotAddress(reader.Host)
	confirmation, err := c.fetcher.FetchConfirmation(address, c.Bounds.fetchTimeout())
	if err != nil {
		c.Log.Event(logger.PeerSilent).Str("peer", address).Err(err).Send()
		return
	}
	if confirmation.IsKnown && confirmation.Age >= 0 {
		// The reader stated the age after the call was sent.
		c.authenticator.Confirm(confirmation.Version, sent.Add(-confirmation.Age))
	}
}
