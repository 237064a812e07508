package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/endiverun/endiverun/core/allotter"
	"github.com/endiverun/endiverun/entry/creditor"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
)

// newCreditor returns the creditor of a host whose roster exists; nil if the host has no address for
// credits.
func (c *Controller) newCreditor() *creditor.Creditor {
	address, ok := c.creditAddress()
	if !ok {
		return nil
	}
	return &creditor.Creditor{
		Address: address,
		Self:    c.Self.Name,
		Allotter: &allotter.Allotter{
			Self:      c.Self,
			Zones:     len(c.RegionByZone),
			Tolerance: allotter.Tolerance{Overage: c.Bounds.QuotaOverage, Slack: c.Bounds.QuotaSlack},
		},
		OnEnd: c.countCredit,
		OnError: func(peer string, err error) {
			c.Log.Event(logger.PeerRejected).Str("peer", peer).Err(err).Send()
		},
	}
}

// creditAddress returns the IP address and UDP port at which this host grants credits: the port
// after that of its heartbeats. All hosts use the same ports. It returns false if that is not among
// the ports for other hosts.
func (c *Controller) creditAddress() (string, bool) {
	peer, err := netip.ParseAddrPort(c.Self.PeerAddress)
	if err != nil || peer.Port() >= c.LastPeerPort {
		return "", false
	}
	return netip.AddrPortFrom(peer.Addr(), peer.Port()+1).String(), true
}

// exchangeCredits answers other hosts that ask for credits until ctx ends. It begins with the
// first policy that has organisations.
func (c *Controller) exchangeCredits(ctx context.Context) {
	if c.creditor == nil {
		return
	}
	select {
	case <-c.hasOrganisations:
	case <-ctx.Done():
		return
	}
	if err := c.creditor.Run(ctx); err != nil {
		c.Log.Event(logger.ListenFailed).Str("address", c.creditor.Address).Err(err).Send()
	}
}

// updateGrantors tells the allotter which hosts and quotas there are.
func (c *Controller) updateGrantors(now time.Time) {
	policy := c.policy.Load()
	if c.creditor == nil || policy == nil || !policy.HasOrganisations() {
		return
	}
	c.creditor.Allotter.Update(c.roster.Members(now), policy.Quotas(), now)
}

// countCredit counts the outcome of a call for a credit, by how near the grantor is.
func (c *Controller) countCredit(outcome creditor.Outcome) {
	cause := ""
	switch {
	case outcome.Result != creditor.Granted:
	case outcome.Asked == 0:
		cause = "same-host"
	case outcome.Zone.Name == c.Self.Zone.Name:
		cause = "same-zone"
	case outcome.Zone.Region == c.Self.Zone.Region:
		cause = "same-region"
	default:
		cause = "other-region"
	}
	c.Meter.Count(meter.Credits, meter.Labels{Outcome: outcome.Result.String(), Cause: cause})
}
