// Package router determines which entry hosts a client should use.
//
// Clients cache the route. A wrong route costs only time, because every entry host
// accepts every request. Hosts in the client's availability zone come first, then those
// in its region, then all others. Clients are spread over the hosts of equal rank by a
// hash of their address. Draining hosts don't appear in routes, and hosts without free
// capacity come after the others at the same distance.
//
// # Usage
//
//	r := &router.Router{
//		Lifetime:   5 * time.Second,
//		RefreshInterval: time.Second,
//		Candidates: candidates,
//	}
//	route := r.Route(query, ticketNumber, now)
//
// Lock order: Router.mu is a leaf; Candidates is called without it.
package router

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Target is an entry host in a route.
type Target struct {
	Name    core.HostName `json:"name"`
	Address string        `json:"address"`
	// Rank is lower for hosts that the client should prefer. A client spreads its
	// requests over the hosts of equal rank.
	Rank int `json:"rank"`
	// Incarnation is the host's incarnation in base 36, for home-bound keys.
	Incarnation string        `json:"incarnation"`
	Zone        core.ZoneName `json:"zone"`
	// KeyIssuedAt is the issue time for keys bound to the host, in Unix seconds on the host's
	// clock.
	KeyIssuedAt int64 `json:"key-second"`
}

// Route lists the entry hosts that a client should use for a service.
type Route struct {
	Service core.ServiceName `json:"service"`
	// Hosts are in order of preference; the client uses the first that it can reach.
	Hosts []Target `json:"hosts"`
	// Lifetime is how long the client may cache the route.
	Lifetime core.Milliseconds `json:"lifetime-ms"`
	// WhenStale says what the client does when it can't get a new route after Lifetime.
	WhenStale string `json:"when-stale"`
	// TicketNumber is the number of the newest ticket in the configuration that the route is
	// based on.
	TicketNumber core.TicketNumber `json:"ticket"`
}

// UseInOrder is the only value of Route.WhenStale: the client continues to use the hosts
// of the route, in order.
const UseInOrder = "use-in-order"

// Candidate is a host that may appear in a route.
type Candidate struct {
	Host core.Host
	// HasCapacity says that the host or its availability zone has free slots.
	HasCapacity bool
	// UnixSeconds is the time on the host's clock, in Unix seconds.
	UnixSeconds int64
}

// Query asks for the route of a client.
type Query struct {
	Service core.ServiceName
	// Zone is the availability zone nearest to the client.
	Zone core.Zone
	// ClientHash is a hash that identifies the client.
	ClientHash uint64
}

// Router answers queries from lists of targets, which it rebuilds when they are older than
// RefreshInterval.
type Router struct {
	// Lifetime is how long clients may cache a route.
	Lifetime time.Duration
	// RefreshInterval is how long a list is used before it is rebuilt.
	RefreshInterval time.Duration
	// Candidates returns the hosts that accept requests at the given time.
	Candidates func(service core.ServiceName, now time.Time) []Candidate

	mu    sync.Mutex
	lists map[listKey]*targetList
}

// maxTargets is the greatest number of hosts in a route.
const maxTargets = 12

// listKey identifies the list for the clients of one availability zone.
type listKey struct {
	service core.ServiceName
	zone    core.ZoneName
}

// targetList is a list of targets by rank, then by name.
type targetList struct {
	targets []Target
	builtAt time.Time
}

// Route returns the route for a client. ticket is the number of the configuration in
// force.
func (r *Router) Route(query Query, ticket core.TicketNumber, now time.Time) Route {
	l := r.targetList(query, now)
	return Route{
		Service:      query.Service,
		Hosts:        selectTargets(l, query.ClientHash),
		Lifetime:     core.MillisecondsOf(r.Lifetime),
		WhenStale:    UseInOrder,
		TicketNumber: ticket,
	}
}

// targetList returns the list for the query, and rebuilds it where it is too old.
func (r *Router) targetList(query Query, now time.Time) *targetList {
	key := listKey{service: query.Service, zone: query.Zone.Name}
	r.mu.Lock()
	known := r.lists[key]
	r.mu.Unlock()
	if known != nil && now.Sub(known.builtAt) < r.RefreshInterval {
		return known
	}
	list := buildList(r.Candidates(query.Service, now), query.Zone, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lists == nil || len(r.lists) > maxLists {
		r.lists = map[listKey]*targetList{}
	}
	r.lists[key] = list
	return list
}

// maxLists is the number of lists above which all are discarded. Clients choose the names
// of services and zones in queries, so the number of lists needs a bound.
const maxLists = 4096

// buildList returns the targets by rank, then by name.
func buildList(candidates []Candidate, zone core.Zone, now time.Time) *targetList {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(rank(a, zone), rank(b, zone)),
			cmp.Compare(a.Host.Name, b.Host.Name),
		)
	})
	l := &targetList{builtAt: now}
	for _, c := range sorted {
		l.targets = append(l.targets, Target{
			Rank:        rank(c, zone),
			Name:        c.Host.Name,
			Address:     c.Host.ClientAddress,
			Incarnation: c.Host.Incarnation.String(),
			Zone:        c.Host.Zone.Name,
			KeyIssuedAt: c.UnixSeconds,
		})
	}
	return l
}

// Ranks by distance from the client. noCapacityPenalty puts a host without free capacity
// after the others at the same distance, but before all more distant ones, because such a
// host forwards requests to other hosts itself.
const (
	rankSameZone      = 0
	rankSameRegion    = 2
	rankOtherRegion   = 4
	noCapacityPenalty = 1
)

// rank returns the rank of a candidate for clients of an availability zone.
func rank(c Candidate, zone core.Zone) int {
	result := rankOtherRegion
	switch {
	case c.Host.Zone.Name == zone.Name:
		result = rankSameZone
	case c.Host.Zone.Region == zone.Region:
		result = rankSameRegion
	default:
	}
	if !c.HasCapacity {
		result += noCapacityPenalty
	}
	return result
}

// selectTargets returns the first maxTargets targets, after it rotated the targets of each
// rank by the client's hash.
func selectTargets(l *targetList, clientHash uint64) []Target {
	targets := make([]Target, 0, maxTargets)
	for start := 0; start < len(l.targets) && len(targets) < maxTargets; {
		end := start + 1
		for end < len(l.targets) && l.targets[end].Rank == l.targets[start].Rank {
			end++
		}
		sameRank := l.targets[start:end]
		offset := int(clientHash % uint64(len(sameRank)))
		for i := 0; i < len(sameRank) && len(targets) < maxTargets; i++ {
			targets = append(targets, sameRank[(i+offset)%len(sameRank)])
		}
		start = end
	}
	return targets
}
