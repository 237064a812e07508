package core

import (
	"maps"
	"net/netip"

	"github.com/gaissmai/bart"
)

// Configuration is the state that results from all tickets up to Number. It is
// immutable: Apply returns a new one. Hosts that run on a RoutingPolicy have none.
type Configuration struct {
	Number     TicketNumber
	Services   map[ServiceName]Service
	Zones      map[ZoneName]Zone
	Upstreams  map[UpstreamName]Upstream
	Links      map[Link]LinkCap
	Objectives Objectives
	// blocks maps blocks of client addresses to the nearest availability zone.
	blocks *bart.Table[ZoneName]
}

// NewConfiguration returns the configuration before the first ticket.
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

// Apply returns the configuration that results from applying the ticket. It does not
// check the ticket's number; package sequencer orders tickets.
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

// merge returns a copy of base without the removed keys and with the items added or
// replaced. It returns base itself where there are neither.
func merge[K comparable, V any](base map[K]V, items []V, key func(V) K, removed []K) map[K]V {
	if len(items) == 0 && len(removed) == 0 {
		return base
	}
	next := maps.Clone(base)
	for _, k := range removed {
		delete(next, k)
	}
	for _, v := range items {
		next[key(v)] = v
	}
	return next
}

// applyBlocks returns the table of blocks that results from applying the ticket.
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

// RegionOf returns the region of an availability zone; empty where the zone is
// unknown.
func (c *Configuration) RegionOf(zone ZoneName) RegionName {
	return c.Zones[zone].Region
}

// SnapshotTicket returns one ticket that creates the whole configuration. It is stored
// as a snapshot, so that a starting host reads few tickets.
func (c *Configuration) SnapshotTicket(author string) Ticket {
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
		ticket.Blocks = append(ticket.Blocks, AddressBlock{Prefix: p, Zone: z})
	}
	return ticket
}

// Validate returns every reference of the configuration to a service, availability zone
// or region that is not defined. There is no JSON input, so the pointer of a finding
// consists of an object's kind, its name and in some cases its field, as in
// /upstreams/<name>/zone.
func (c *Configuration) Validate() Findings {
	var findings Findings
	regions := map[RegionName]bool{}
	for _, z := range c.Zones {
		regions[z.Region] = true
	}
	for _, u := range c.Upstreams {
		if _, ok := c.Services[u.Service]; !ok {
			findings.Addf(JSONPointer("upstreams", u.Name, "service"), "service %q is not defined", u.Service)
		}
		if _, ok := c.Zones[u.Zone]; !ok {
			findings.Addf(JSONPointer("upstreams", u.Name, "zone"), "availability zone %q is not defined", u.Zone)
		}
	}
	for link := range c.Links {
		for _, region := range []RegionName{link.From, link.To} {
			if !regions[region] {
				findings.Addf(JSONPointer("links", string(link.From)+":"+string(link.To)), "region %q is not defined", region)
			}
		}
	}
	for p, z := range c.blocks.All() {
		if _, ok := c.Zones[z]; !ok {
			findings.Addf(JSONPointer("blocks", p), "availability zone %q is not defined", z)
		}
	}
	return findings
}
