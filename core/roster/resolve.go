package roster

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Query asks which entry hosts a client should use.
type Query struct {
	// Zone is the availability zone nearest to the client.
	Zone core.Zone
	// HomeRegions are the regions whose hosts may receive the bodies of the requests;
	// empty means all. They apply where the client's own region has no ready host.
	HomeRegions []core.RegionName
	// MaxAddresses is the greatest number of addresses to return.
	MaxAddresses int
}

// Resolve returns the client addresses of ready hosts: those of the client's zone,
// those of the whole region where the zone has few, and those of the other allowed
// regions where the client's region has none.
func (r *Roster) Resolve(query Query, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprint(query)
	if c, ok := r.resolveCache[key]; ok && now.Sub(c.computedAt) < resolveCacheTTL {
		return c.addresses
	}
	if r.resolveCache == nil || len(r.resolveCache) >= maxResolveCacheEntries {
		r.resolveCache = map[string]cachedAddresses{}
	}
	list := selectAddresses(r.ready(now), query)
	r.resolveCache[key] = cachedAddresses{addresses: list, computedAt: now}
	return list
}

// maxResolveCacheEntries bounds the cached results of Resolve. There is one for each
// availability zone and set of home regions.
const maxResolveCacheEntries = 512

// selectAddresses returns the client addresses of those of the ready hosts that the
// query asks for.
func selectAddresses(hosts []core.Host, query Query) []string {
	zone := filter(hosts, func(h core.Host) bool { return h.Zone.Name == query.Zone.Name })
	if len(zone) >= minZoneHosts {
		return addresses(zone, query.MaxAddresses)
	}
	region := filter(hosts, func(h core.Host) bool { return h.Zone.Region == query.Zone.Region })
	if len(region) > 0 {
		return addresses(region, query.MaxAddresses)
	}
	return addresses(filter(hosts, func(h core.Host) bool {
		return len(query.HomeRegions) == 0 || slices.Contains(query.HomeRegions, h.Zone.Region)
	}), query.MaxAddresses)
}

// ready returns the hosts that take requests of clients, and of which a heartbeat arrived lately.
// The caller holds Roster.mu.
func (r *Roster) ready(now time.Time) []core.Host {
	var hosts []core.Host
	if r.isReady {
		hosts = append(hosts, r.Self)
	}
	s := r.schedule()
	for _, m := range r.members {
		if s.isNamed(m, now) {
			hosts = append(hosts, m.host)
		}
	}
	return hosts
}

// filter returns the hosts for which keep returns true.
func filter(hosts []core.Host, keep func(core.Host) bool) []core.Host {
	var kept []core.Host
	for _, h := range hosts {
		if keep(h) {
			kept = append(kept, h)
		}
	}
	return kept
}

// addresses sorts the hosts by name and returns the client addresses of the first
// ones, up to the limit.
func addresses(hosts []core.Host, limit int) []string {
	slices.SortFunc(hosts, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	list := make([]string, 0, min(len(hosts), limit))
	for _, h := range hosts[:min(len(hosts), limit)] {
		list = append(list, h.ClientAddress)
	}
	return list
}
