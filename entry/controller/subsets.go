package controller

import (
	"sync/atomic"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/subsetter"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/logger"
)

// subsets holds the upstreams that this host may connect to, for the services whose
// upstreams take fewer connections than there are hosts.
type subsets struct {
	// subsetters is used by updateSubsets only.
	subsetters map[core.ServiceName]*subsetter.Subsetter
	current    atomic.Pointer[map[core.ServiceName]map[core.UpstreamName]bool]
}

// maxConnections returns this host's share of the connections to an upstream.
func (c *Controller) maxConnections(upstream core.Upstream) int {
	policy := c.policy.Load()
	if policy == nil {
		return 1
	}
	connections := sharedConnections(policy.Services[upstream.Service])
	hosts := max(int(c.sharingHosts.Load()), 1)
	if connections >= hosts {
		if connections == exchanger.Unlimited {
			return connections
		}
		return connections / hosts
	}
	if selected := c.subsets.current.Load(); selected != nil && (*selected)[upstream.Service][upstream.Name] {
		return 1
	}
	return 0
}

// sharedConnections returns the number of connections to one upstream that the known hosts
// share.
func sharedConnections(service core.ServicePolicy) int {
	// The rest is reserved for hosts that this host does not know of yet, and for those whose
	// subsets are based on other lists.
	const sharedFraction = 0.9
	if service.MaxConnections == 0 {
		return exchanger.Unlimited
	}
	return max(int(sharedFraction*float64(service.MaxConnections)), 1)
}

// updateSubsets selects the upstreams that this host may connect to, for the services whose
// upstreams take fewer connections than there are hosts.
func (c *Controller) updateSubsets(hosts []core.Host) {
	policy := c.policy.Load()
	if policy == nil {
		return
	}
	isChanged := false
	for name, service := range policy.Services {
		if sharedConnections(service) < len(hosts) {
			isChanged = c.updateSubset(name, hosts, sharedConnections(service)) || isChanged
		}
	}
	for name := range c.subsets.subsetters {
		service, ok := policy.Services[name]
		if !ok || sharedConnections(service) >= len(hosts) {
			delete(c.subsets.subsetters, name)
			isChanged = true
		}
	}
	if !isChanged {
		return
	}
	current := make(map[core.ServiceName]map[core.UpstreamName]bool, len(c.subsets.subsetters))
	for name, s := range c.subsets.subsetters {
		current[name] = s.Selected()
	}
	c.logSubsets(current, len(hosts))
	c.subsets.current.Store(&current)
	c.placer.SetSubsets(current)
}

// updateSubset makes the selection for one service and reports whether its lists changed.
func (c *Controller) updateSubset(service core.ServiceName, hosts []core.Host, connections int) bool {
	s := c.subsets.subsetters[service]
	if s == nil {
		if c.subsets.subsetters == nil {
			c.subsets.subsetters = map[core.ServiceName]*subsetter.Subsetter{}
		}
		s = &subsetter.Subsetter{Self: c.Self.Name}
		c.subsets.subsetters[service] = s
	}
	upstreams := c.upstreamsToDivide(c.replicator.Snapshot(), service)
	return s.Update(subsetter.Lists{Hosts: hosts, Upstreams: upstreams, Connections: connections})
}

// upstreamsToDivide returns the upstreams of a service that take requests according to the
// lists, which all hosts have in common.
func (c *Controller) upstreamsToDivide(snapshot replicator.Snapshot, service core.ServiceName) []subsetter.Upstream {
	if snapshot.Upstreams == nil {
		return nil
	}
	evacuated := map[core.ZoneName]bool{}
	if snapshot.Evacuations != nil {
		for _, zone := range snapshot.Evacuations.Zones {
			evacuated[zone] = true
		}
	}
	var list []subsetter.Upstream
	for _, u := range snapshot.Upstreams.List {
		if u.Service == service && !u.Draining && !evacuated[u.Zone] {
			list = append(list, subsetter.Upstream{Name: u.Name, Region: c.RegionByZone[u.Zone]})
		}
	}
	return list
}

// logSubsets logs the services for which the host begins or ceases to use a subset of the
// upstreams, or to have none.
func (c *Controller) logSubsets(next map[core.ServiceName]map[core.UpstreamName]bool, hosts int) {
	var last map[core.ServiceName]map[core.UpstreamName]bool
	if current := c.subsets.current.Load(); current != nil {
		last = *current
	}
	for service, subset := range next {
		if before, ok := last[service]; !ok || (len(before) == 0) != (len(subset) == 0) {
			c.Log.Event(logger.UpstreamsDivided).Str("service", string(service)).
				Int("upstreams", len(subset)).Int("hosts", hosts).Send()
		}
	}
	for service := range last {
		if _, ok := next[service]; !ok {
			c.Log.Event(logger.UpstreamsShared).Str("service", string(service)).Int("hosts", hosts).Send()
		}
	}
}
