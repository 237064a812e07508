package core

import (
	"maps"
	"net/netip"

	"github.com/gaissmai/bart"
)

// Configuration is the state that all tickets up to Number add up to. It is
// immutable: Apply returns a new one.
type Configuration struct {
	Number     Number
	Services   map[ServiceName]Service
	Zones      map[ZoneName]Zone
	Upstreams  map[UpstreamName]Upstream
	Links      map[Link]LinkCap
	Objectives Objectives
	blocks     *bart.Table[ZoneName]
}

// NewConfiguration returns the state before the first ticket.
func NewConfiguration() *Configuration {
	return &Configuration{
		Services:   map[ServiceName]Service{},
		Zones:      map[ZoneName]Zone{},
		Upstreams:  map[UpstreamName]Upstream{},
		Links:      map[Link]LinkCap{},
		Objectives: Objectives{Latency: 1, Headroom: 1, Drain: 1},
		blocks:     &bart.Table[ZoneName]{},
	}
}

// Apply returns the configuration after the ticket. It does not check the
// ticket's number; package sequencer orders tickets.
func (c *Configuration) Apply(t Ticket) *Configuration {
	next := *c
	next.Number = t.Number
	next.Services = merge(c.Services, t.Services, func(s Service) ServiceName { return s.Name }, t.Remove.Services)
	next.Zones = merge(c.Zones, t.Zones, func(z Zone) ZoneName { return z.Name }, t.Remove.Zones)
	next.Upstreams = merge(c.Upstreams, t.Upstreams, func(u Upstream) UpstreamName { return u.Name }, t.Remove.Upstreams)
	next.Links = merge(c.Links, t.Links, func(l LinkCap) Link { return l.Link }, t.Remove.Links)
	next.blocks = applyBlocks(c.blocks, t)
	if t.Objectives != nil {
		next.Objectives = *t.Objectives
	}
	return &next
}

// merge returns base without the removed names and with the items put over it.
// It returns base itself where nothing changes.
func merge[K comparable, V any](base map[K]V, items []V, name func(V) K, removed []K) map[K]V {
	if len(items) == 0 && len(removed) == 0 {
		return base
	}
	next := maps.Clone(base)
	for _, k := range removed {
		delete(next, k)
	}
	for _, v := range items {
		next[name(v)] = v
	}
	return next
}

func applyBlocks(base *bart.Table[ZoneName], t Ticket) *bart.Table[ZoneName] {
	next := base
	for _, p := range t.Remove.Blocks {
		next = next.DeletePersist(p)
	}
	for _, b := range t.Blocks {
		next = next.InsertPersist(b.Prefix, b.Zone)
	}
	return next
}

// ZoneOf returns the availability zone nearest to a client's address.
func (c *Configuration) ZoneOf(address netip.Addr) (ZoneName, bool) {
	return c.blocks.Lookup(address.Unmap())
}

// RegionOf returns the region of an availability zone; empty where unknown.
func (c *Configuration) RegionOf(zone ZoneName) RegionName {
	return c.Zones[zone].Region
}

// Whole returns one ticket that carries the whole configuration.
func (c *Configuration) Whole(author string) Ticket {
	objectives := c.Objectives
	ticket := Ticket{Number: c.Number, Author: author, Objectives: &objectives}
	for _, s := range c.Services {
		ticket.Services = append(ticket.Services, s)
	}
	for _, z := range c.Zones {
		ticket.Zones = append(ticket.Zones, z)
	}
	for _, u := range c.Upstreams {
		ticket.Upstreams = append(ticket.Upstreams, u)
	}
	for _, l := range c.Links {
		ticket.Links = append(ticket.Links, l)
	}
	for p, z := range c.blocks.All() {
		ticket.Blocks = append(ticket.Blocks, Block{Prefix: p, Zone: z})
	}
	return ticket
}

// Check returns every problem of the configuration as a whole: names that
// stand nowhere. Places are given by kind and name.
func (c *Configuration) Check() Findings {
	var findings Findings
	regions := map[RegionName]bool{}
	for _, z := range c.Zones {
		regions[z.Region] = true
	}
	for _, u := range c.Upstreams {
		if _, ok := c.Services[u.Service]; !ok {
			findings.Addf(Pointer("upstreams", u.Name, "service"), "service %q is not defined", u.Service)
		}
		if _, ok := c.Zones[u.Zone]; !ok {
			findings.Addf(Pointer("upstreams", u.Name, "zone"), "availability zone %q is not defined", u.Zone)
		}
	}
	for l := range c.Links {
		for _, r := range []RegionName{l.From, l.To} {
			if !regions[r] {
				findings.Addf(Pointer("links", string(l.From)+":"+string(l.To)), "region %q is not defined", r)
			}
		}
	}
	for p, z := range c.blocks.All() {
		if _, ok := c.Zones[z]; !ok {
			findings.Addf(Pointer("blocks", p), "availability zone %q is not defined", z)
		}
	}
	return findings
}
