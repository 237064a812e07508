package controller

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/watcher"
)

// ApplyPolicies applies the policy of the given name, if the list includes it.
func (c *Controller) ApplyPolicies(name string, list watcher.List[*replicator.Policy], now time.Time) {
	if policy, ok := list.Objects[name]; ok {
		c.ApplyUpdate(replicator.Snapshot{Era: list.Era, Policy: policy}, now)
	}
}

// ApplyUpstreams applies the list of all upstreams.
func (c *Controller) ApplyUpstreams(list watcher.List[core.Upstream], now time.Time) {
	update := &replicator.Upstreams{Revision: list.Revision, List: watcher.SortedByName(list.Objects)}
	c.ApplyUpdate(replicator.Snapshot{Era: list.Era, Upstreams: update}, now)
}

// ApplyEvacuations applies the list of all evacuated zones.
func (c *Controller) ApplyEvacuations(list watcher.List[core.ZoneName], now time.Time) {
	update := &replicator.Evacuations{Revision: list.Revision, Zones: watcher.SortedByName(list.Objects)}
	c.ApplyUpdate(replicator.Snapshot{Era: list.Era, Evacuations: update}, now)
}

// ApplyHosts applies the list of all registered hosts.
func (c *Controller) ApplyHosts(list watcher.List[core.Host], now time.Time) {
	update := &replicator.Hosts{Revision: list.Revision, List: watcher.SortedByName(list.Objects)}
	c.ApplyUpdate(replicator.Snapshot{Era: list.Era, Hosts: update}, now)
}
