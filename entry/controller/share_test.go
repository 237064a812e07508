package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/exchanger"
)

// newFleetController returns one host of a fleet that knows all hosts and upstreams.
func newFleetController(self core.Host, maxConnections int, hosts []core.Host, upstreams []core.Upstream) *Controller {
	c := newBareController(self.Name)
	c.Self = self
	c.RegionByZone = map[core.ZoneName]core.RegionName{"for-a": "for", "slz-a": "slz", "nat-a": "nat"}
	c.Init()
	now := time.Now()
	c.ApplyUpdate(replicator.Snapshot{
		Policy: &replicator.Policy{
			Version: 2, Services: []core.ServicePolicy{{Name: "desk", MaxConnections: maxConnections}, {Name: "mail"}},
		},
		Upstreams:   &replicator.Upstreams{Revision: 1, List: upstreams},
		Evacuations: &replicator.Evacuations{Revision: 1},
		Hosts:       &replicator.Hosts{Revision: 1, List: hosts},
	}, now)
	c.divideSharedLimits(now)
	return c
}

// hostsOfFleet returns hosts that are spread over three regions.
func hostsOfFleet(n int) []core.Host {
	zones := []core.Zone{{Name: "for-a", Region: "for"}, {Name: "slz-a", Region: "slz"}, {Name: "nat-a", Region: "nat"}}
	list := make([]core.Host, n)
	for i := range list {
		list[i] = core.Host{
			Name: core.HostName(fmt.Sprintf("host-%d", i)), Zone: zones[i%len(zones)], Incarnation: 1,
			ClientAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:1",
		}
	}
	return list
}

// upstreamsOfFleet returns upstreams of the service desk in two regions.
func upstreamsOfFleet(n int) []core.Upstream {
	zones := []core.ZoneName{"for-a", "slz-a"}
	list := make([]core.Upstream, n)
	for i := range list {
		list[i] = core.Upstream{
			Name: core.UpstreamName(fmt.Sprintf("desk-%d", i)), Service: "desk", Zone: zones[i%len(zones)], Address: "127.0.0.1:3", Slots: 4,
		}
	}
	return list
}

// TestConnectionsOverManyHosts guards against a connection limit of an upstream that all
// hosts together exceed, because there are more hosts than connections and each may open
// one, and against hosts that may open none although there are enough.
func TestConnectionsOverManyHosts(t *testing.T) {
	const maxConnections = 390
	for _, n := range []int{11, 295, 1300} {
		is := is.New(t)
		hosts, upstreams := hostsOfFleet(n), upstreamsOfFleet(10)
		sums := map[core.UpstreamName]int{}
		for _, h := range hosts {
			c := newFleetController(h, maxConnections, hosts, upstreams)
			is.Equal(c.sharingHosts.Load(), int64(n))
			own := 0
			for _, u := range upstreams {
				sums[u.Name] += c.maxConnections(u)
				own += c.maxConnections(u)
			}
			is.True(own > 0)
			choice, ok := c.placer.Choose(placer.Query{Service: "desk", Key: string(h.Name)}, time.Now())
			is.True(ok)
			is.True(c.maxConnections(choice.Upstream) > 0)
			is.Equal(c.maxConnections(core.Upstream{Name: "mail-1", Service: "mail"}), exchanger.Unlimited)
		}
		for _, sum := range sums {
			is.True(sum <= maxConnections)
		}
	}
}

// TestSubsetsFollowLists checks that a host selects again when a zone is evacuated, so that
// it does not keep upstreams only there, and uses all upstreams again when hosts go.
func TestSubsetsFollowLists(t *testing.T) {
	is := is.New(t)
	hosts, upstreams := hostsOfFleet(40), upstreamsOfFleet(8)
	c := newFleetController(hosts[0], 20, hosts, upstreams)
	usable := func() (n int) {
		for _, u := range upstreams {
			n += min(c.maxConnections(u), 1)
		}
		return n
	}
	is.True(usable() < len(upstreams))

	c.ApplyUpdate(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: 2, Zones: []core.ZoneName{"for-a"}}}, time.Now())
	c.divideSharedLimits(time.Now())
	for _, u := range upstreams {
		is.True(u.Zone != "for-a" || c.maxConnections(u) == 0)
	}
	is.True(usable() > 0)

	c.ApplyUpdate(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: 3}}, time.Now())
	for _, h := range hosts[10:] {
		c.roster.Remove(h.Name)
	}
	c.divideSharedLimits(time.Now())
	is.Equal(usable(), len(upstreams))
	is.Equal(c.maxConnections(upstreams[0]), 1) // 18 connections over 10 hosts
	_, ok := c.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now())
	is.True(ok)
}

// TestFewerConnectionsThanHosts checks that hosts beyond the connections of all upstreams
// know why they refuse requests, and never choose an upstream.
func TestFewerConnectionsThanHosts(t *testing.T) {
	is := is.New(t)
	hosts, upstreams := hostsOfFleet(12), upstreamsOfFleet(2)
	served := 0
	for _, h := range hosts {
		c := newFleetController(h, 5, hosts, upstreams)
		choice, ok := c.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now())
		if ok {
			served++
			continue
		}
		is.True(choice.IsLeftToOthers)
		is.Equal(c.maxConnections(upstreams[0])+c.maxConnections(upstreams[1]), 0)
	}
	is.Equal(served, 8) // 0.9 of five connections, for each upstream
}
