// Package router answers which entry hosts a client should use.
//
// Clients cache the answer, so a wrong one is safe and only slower: every
// entry host takes every request. Hosts near the client come first; within a
// place clients are spread by a hash of their address. Leaving hosts are left
// out, and hosts without room go last.
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
const maxTargets = 8

type listKey struct {
	service core.ServiceName
	zone    core.ZoneName
}

// list is an ordered list of targets; the first near of them are equally good.
type list struct {
	targets []Target
	near    int
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
	for i, c := range ordered[:min(len(ordered), maxTargets)] {
		l.targets = append(l.targets, Target{
			Name:        c.Host.Name,
			Address:     c.Host.ClientAddress,
			Incarnation: c.Host.Incarnation.String(),
			Zone:        c.Host.Zone.Name,
			Second:      c.Second,
		})
		if rank(c, zone) == rank(ordered[0], zone) {
			l.near = i + 1
		}
	}
	return l
}

// Ranks by distance; a host without room ranks after all with room.
const (
	rankZone = iota
	rankRegion
	rankFar
	rankFull
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

// spread rotates the equally good targets by the client's hash.
func spread(l *list, by uint64) []Target {
	targets := make([]Target, len(l.targets))
	copy(targets, l.targets)
	if l.near < 2 {
		return targets
	}
	shift := int(by % uint64(l.near))
	for i := range l.near {
		targets[i] = l.targets[(i+shift)%l.near]
	}
	return targets
}
