// Package router answers which entry hosts a client should use.
//
// Clients cache the answer, so a wrong one is safe and only slower: every
// entry host takes every request. Hosts near the client come first; within a
// place clients are spread by a hash of their address. Leaving hosts are left
// out, and hosts without room go after others that are as near.
//
// # Usage
//
//	r := &router.Router{Lifetime: 5 * time.Second}
//	route := r.Route(query, view, now)
//
// Lock order: Router.mu is a leaf; the view is read before it is taken.
package router

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Target is an entry host in an answer.
type Target struct {
	Name    core.HostName `json:"name"`
	Address string        `json:"address"`
	// Rank is lower for better hosts; a client spreads its requests over those
	// of equal rank.
	Rank int `json:"rank"`
	// Incarnation goes into home-bound keys, in base 36.
	Incarnation string        `json:"incarnation"`
	Zone        core.ZoneName `json:"zone"`
	// Second is the minting second for keys bound to the host, by its clock.
	Second int64 `json:"key-second"`
}

// Route is the answer to a client.
type Route struct {
	Service core.ServiceName `json:"service"`
	// Hosts are ordered; the client uses the first that it can reach.
	Hosts []Target `json:"hosts"`
	// Lifetime is how long the answer may be cached.
	Lifetime core.Milliseconds `json:"lifetime-ms"`
	// WhenStale tells what to do when no fresh answer can be had.
	WhenStale string `json:"when-stale"`
	// Ticket is the number of the configuration behind the answer.
	Ticket core.Number `json:"ticket"`
}

// UseInOrder is the only value of Route.WhenStale: the client goes on with the
// hosts that it knows, in order.
const UseInOrder = "use-in-order"

// Candidate is a host that may stand in an answer.
type Candidate struct {
	Host core.Host
	// Room tells whether the host or its zone has free slots.
	Room bool
	// Second is the host's own clock, in Unix seconds.
	Second int64
}

// Query is a client's question.
type Query struct {
	Service core.ServiceName
	Zone    core.Zone
	// Spread is a hash of the client.
	Spread uint64
}

// Router answers queries from lists that it rebuilds at times.
type Router struct {
	// Lifetime is how long clients may cache an answer.
	Lifetime time.Duration
	// Refresh is how long a list is used before it is rebuilt.
	Refresh time.Duration
	// Candidates returns the hosts that take requests now.
	Candidates func(service core.ServiceName, now time.Time) []Candidate

	mu    sync.Mutex
	lists map[listKey]*list
}

// maxTargets is the longest answer.
const maxTargets = 12

type listKey struct {
	service core.ServiceName
	zone    core.ZoneName
}

// list is a list of targets by rank.
type list struct {
	targets []Target
	built   time.Time
}

// Route answers a query.
func (r *Router) Route(query Query, ticket core.Number, now time.Time) Route {
	l := r.list(query, now)
	return Route{
		Service:   query.Service,
		Hosts:     spread(l, query.Spread),
		Lifetime:  core.MillisecondsOf(r.Lifetime),
		WhenStale: UseInOrder,
		Ticket:    ticket,
	}
}

// list returns a fresh list for the query.
func (r *Router) list(query Query, now time.Time) *list {
	key := listKey{service: query.Service, zone: query.Zone.Name}
	r.mu.Lock()
	known := r.lists[key]
	r.mu.Unlock()
	if known != nil && now.Sub(known.built) < r.Refresh {
		return known
	}
	built := build(r.Candidates(query.Service, now), query.Zone, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lists == nil || len(r.lists) > maxLists {
		r.lists = map[listKey]*list{}
	}
	r.lists[key] = built
	return built
}

// maxLists bounds the lists kept, since clients choose the names.
const maxLists = 4096

// build orders candidates by room, then by distance from the zone.
func build(candidates []Candidate, zone core.Zone, now time.Time) *list {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(rank(a, zone), rank(b, zone)),
			cmp.Compare(a.Host.Name, b.Host.Name),
		)
	})
	l := &list{built: now}
	for _, c := range ordered {
		l.targets = append(l.targets, Target{
			Rank:        rank(c, zone),
			Name:        c.Host.Name,
			Address:     c.Host.ClientAddress,
			Incarnation: c.Host.Incarnation.String(),
			Zone:        c.Host.Zone.Name,
			Second:      c.Second,
		})
	}
	return l
}

// Ranks by distance; a host without room ranks after those as near with room.
// It stays before more distant ones, because it hands requests over itself.
const (
	rankZone   = 0
	rankRegion = 2
	rankFar    = 4
	rankFull   = 1
)

func rank(c Candidate, zone core.Zone) int {
	base := rankFar
	switch {
	case c.Host.Zone.Name == zone.Name:
		base = rankZone
	case c.Host.Zone.Region == zone.Region:
		base = rankRegion
	default:
	}
	if !c.Room {
		base += rankFull
	}
	return base
}

// spread rotates the targets of each rank by the client's hash and returns the
// first of all.
func spread(l *list, by uint64) []Target {
	targets := make([]Target, 0, maxTargets)
	for start := 0; start < len(l.targets) && len(targets) < maxTargets; {
		end := start + 1
		for end < len(l.targets) && l.targets[end].Rank == l.targets[start].Rank {
			end++
		}
		group := l.targets[start:end]
		shift := int(by % uint64(len(group)))
		for i := 0; i < len(group) && len(targets) < maxTargets; i++ {
			targets = append(targets, group[(i+shift)%len(group)])
		}
		start = end
	}
	return targets
}
