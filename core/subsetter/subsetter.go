// Package subsetter selects the upstreams of a service that one host may connect to, where
// the upstreams take fewer connections than there are hosts.
//
// Each upstream is selected by at most as many hosts as it has connections for, and each of
// these hosts may open one. Every host has at least one upstream if there are as many
// connections as hosts. All hosts with the same lists make the same selection without
// exchanging messages.
//
// The selection has two parts. First each host, in the order of the hashes of their names,
// takes one upstream that has a connection left: the first one of its own region in the order of
// rendezvous hashing, or of all regions if its own has none left. The remaining connections
// of an upstream then go to the hosts with the highest rendezvous scores for it, which are
// weighted in favour of its own region.
//
// The second part of an upstream does not depend on other upstreams, and a host that comes
// or goes changes it by one host. So hosts whose lists differ for a moment by a few hosts or
// upstreams exceed the connections of an upstream by few. The limit that the user of this
// package passes should leave room for them.
//
// A Subsetter keeps the rank of its host at each upstream. An update costs time in
// proportion to the changed hosts times all upstreams, and to the changed upstreams times
// all hosts, besides the first part.
//
// # Usage
//
//	s := &subsetter.Subsetter{Self: host.Name}
//	s.Update(subsetter.Lists{Hosts: hosts, Upstreams: upstreams, Connections: 351})
//	if s.Contains("desk-7") { ... }
package subsetter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// localWeight is the weight of a host in the region of an upstream, where that of hosts in
// other regions is 1. Hosts of a region without upstreams still get a fair part.
const localWeight = 4

// Upstream is an upstream that hosts may connect to.
type Upstream struct {
	Name   core.UpstreamName
	Region core.RegionName
}

// Lists are what a selection is based on.
type Lists struct {
	Hosts []core.Host
	// Upstreams are those of one service that take requests.
	Upstreams []Upstream
	// Connections is the number of hosts that may connect to each upstream.
	Connections int
}

// equals reports whether the lists are the same, in the same order.
func (l *Lists) equals(other Lists) bool {
	return l.Connections == other.Connections && slices.Equal(l.Hosts, other.Hosts) && slices.Equal(l.Upstreams, other.Upstreams)
}

// Subsetter selects the upstreams of one service for one host. It must not be used by
// several goroutines at a time.
type Subsetter struct {
	Self core.HostName

	last        Lists
	connections int
	self        node
	hosts       map[core.HostName]node
	upstreams   map[core.UpstreamName]*entry
	selected    map[core.UpstreamName]bool
}

// node is a host or an upstream.
type node struct {
	hash   uint64
	region core.RegionName
}

// entry is an upstream in the lists.
type entry struct {
	node
	name core.UpstreamName
	// score is that of this host, and rank the number of hosts with a higher score.
	score float64
	rank  int
	// homeHosts counts the hosts that took the upstream in the first part.
	homeHosts int
	isHome    bool
}

// Update makes the selection for new lists and reports whether the lists changed. The caller
// must not change the lists afterwards.
func (s *Subsetter) Update(lists Lists) bool {
	if s.last.equals(lists) {
		return false
	}
	s.last = lists
	hasNewConnections := s.connections != lists.Connections
	s.connections = lists.Connections
	hasNewHosts := s.updateHosts(lists.Hosts)
	hasNewUpstreams := s.updateUpstreams(lists.Upstreams)
	if !hasNewConnections && !hasNewHosts && !hasNewUpstreams {
		return false
	}
	s.assignHomes()
	s.selected = map[core.UpstreamName]bool{}
	for name, e := range s.upstreams {
		if e.isHome || e.rank < s.connections-e.homeHosts {
			s.selected[name] = true
		}
	}
	return true
}

// Contains reports whether this host may connect to an upstream.
func (s *Subsetter) Contains(name core.UpstreamName) bool {
	return s.selected[name]
}

// Selected returns the upstreams that this host may connect to. It must not be changed.
func (s *Subsetter) Selected() map[core.UpstreamName]bool {
	return s.selected
}

// updateHosts applies a list of hosts to the ranks and reports whether it differs from the
// last one.
func (s *Subsetter) updateHosts(list []core.Host) bool {
	next := make(map[core.HostName]core.RegionName, len(list))
	for _, h := range list {
		next[h.Name] = h.Zone.Region
	}
	if region, ok := next[s.Self]; !ok || s.hosts == nil || s.self.region != region {
		// All ranks start again.
		s.self = node{xxhash.Sum64String(string(s.Self)), region}
		s.hosts, s.upstreams = map[core.HostName]node{}, map[core.UpstreamName]*entry{}
	}
	isChanged := false
	for name, h := range s.hosts {
		if region, ok := next[name]; !ok || region != h.region {
			s.shiftRanks(h, -1)
			delete(s.hosts, name)
			isChanged = true
		}
	}
	for name, region := range next {
		if _, ok := s.hosts[name]; ok {
			continue
		}
		h := node{xxhash.Sum64String(string(name)), region}
		s.shiftRanks(h, 1)
		s.hosts[name] = h
		isChanged = true
	}
	return isChanged
}

// shiftRanks adds a number to this host's rank at all upstreams where another host has a
// higher score.
func (s *Subsetter) shiftRanks(other node, by int) {
	for _, e := range s.upstreams {
		if s.isAbove(other, e) {
			e.rank += by
		}
	}
}

// isAbove reports whether a host has a higher score for the upstream than this host.
func (s *Subsetter) isAbove(other node, e *entry) bool {
	if other.hash == s.self.hash {
		return false
	}
	score := scoreOf(other, e.node)
	return score > e.score || (score == e.score && other.hash < s.self.hash)
}

// scoreOf returns the weighted rendezvous score of a host for an upstream.
func scoreOf(host, upstream node) float64 {
	weight := 1.0
	if host.region == upstream.region {
		weight = localWeight
	}
	return core.RendezvousScore(upstream.hash, host.hash, weight)
}

// updateUpstreams applies a list of upstreams and reports whether it differs from the last
// one.
func (s *Subsetter) updateUpstreams(list []Upstream) bool {
	next := make(map[core.UpstreamName]core.RegionName, len(list))
	for _, u := range list {
		next[u.Name] = u.Region
	}
	isChanged := false
	for name, e := range s.upstreams {
		if region, ok := next[name]; !ok || region != e.region {
			delete(s.upstreams, name)
			isChanged = true
		}
	}
	for name, region := range next {
		if s.upstreams[name] != nil {
			continue
		}
		s.upstreams[name] = s.newEntry(name, region)
		isChanged = true
	}
	return isChanged
}

func (s *Subsetter) newEntry(name core.UpstreamName, region core.RegionName) *entry {
	e := &entry{node: node{xxhash.Sum64String(string(name)), region}, name: name}
	e.score = scoreOf(s.self, e.node)
	for _, h := range s.hosts {
		if s.isAbove(h, e) {
			e.rank++
		}
	}
	return e
}

// assignHomes lets each host take one upstream, in the order of the hashes of the hosts.
func (s *Subsetter) assignHomes() {
	open := map[core.RegionName][]*entry{}
	for _, e := range s.upstreams {
		e.homeHosts, e.isHome = 0, false
		if s.connections > 0 {
			open[e.region] = append(open[e.region], e)
		}
	}
	hosts := slices.SortedFunc(maps.Values(s.hosts), func(a, b node) int { return cmp.Compare(a.hash, b.hash) })
	for _, h := range hosts {
		home := firstFor(h, open)
		if home == nil {
			return // All connections are taken.
		}
		home.homeHosts++
		home.isHome = home.isHome || h.hash == s.self.hash
		if home.homeHosts == s.connections {
			open[home.region] = slices.DeleteFunc(open[home.region], func(e *entry) bool { return e == home })
		}
	}
}

// firstFor returns the first of the open upstreams in the host's order, those of its own
// region before all others; nil if there are none.
func firstFor(host node, open map[core.RegionName][]*entry) *entry {
	if local := open[host.region]; len(local) > 0 {
		first, _ := heaviest(host, local)
		return first
	}
	var first *entry
	var highest uint64
	for _, list := range open {
		if e, weight := heaviest(host, list); e != nil && (first == nil || isBefore(e, weight, first, highest)) {
			first, highest = e, weight
		}
	}
	return first
}

// heaviest returns the upstream with the highest rendezvous weight for the host.
func heaviest(host node, list []*entry) (first *entry, highest uint64) {
	for _, e := range list {
		if weight := core.CombineHashes(host.hash, e.hash); first == nil || isBefore(e, weight, first, highest) {
			first, highest = e, weight
		}
	}
	return first, highest
}

// isBefore compares two upstreams in the order of a host; the name decides between equal
// weights.
func isBefore(a *entry, weightA uint64, b *entry, weightB uint64) bool {
	return weightA > weightB || (weightA == weightB && a.name < b.name)
}
