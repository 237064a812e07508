package controller

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/logger"
)

// maxLeavingInHeartbeat limits the upstreams that drain in one heartbeat, at about 22 bytes
// each, so that the heartbeat fits in a datagram.
const maxLeavingInHeartbeat = 8

// recordLeaving records that the head of a response said that its upstream drains.
func (c *Controller) recordLeaving(upstream core.Upstream) {
	c.placer.RecordAvailability(upstream, placer.Availability{IsLeaving: true}, time.Now())
}

// addLeaving adds the upstreams that announced that they drain to a heartbeat. If some that
// other hosts do not know yet have to wait, it requests the next heartbeat at once.
func (c *Controller) addLeaving(heartbeat *roster.Heartbeat, now time.Time) {
	notices, hasMoreNews := c.placer.LeavingNotices(maxLeavingInHeartbeat, now)
	heartbeat.Leaving = notices
	if hasMoreNews {
		c.requestUrgentHeartbeat()
	}
}

// mergeLeaving records which upstreams announced to another host that they drain.
func (c *Controller) mergeLeaving(heartbeat roster.Heartbeat, now time.Time) {
	peer := heartbeat.Host.Name
	if peer == c.Self.Name {
		return
	}
	for name, incarnation := range heartbeat.Leaving {
		if name == "" || incarnation == 0 {
			err := core.ErrPeer.New("a leaving upstream without a name or an incarnation")
			c.Log.Event(logger.PeerRejected).Str("peer", string(peer)).Str("upstream", string(name)).Err(err).Send()
			continue
		}
		c.placer.MergeLeavingNotice(name, incarnation, peer, now)
	}
}
