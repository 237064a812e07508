// Package deployer describes the deployments of the first users: their
// places, links, services and entry hosts, on loopback addresses.
//
// # Usage
//
//	d, ok := deployer.Find("rijnvaart")
//	ticket := d.Ticket()
//	settings := d.Settings(host, authority, now)
package deployer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/endiverun/endiverun/core"
)

// ServiceSpec describes a service and the load that suits it.
type ServiceSpec struct {
	Name       core.ServiceName
	Upstreams  int
	Slots      int
	Repeatable bool
	// Mean is the mean service time of its stand-ins.
	Mean time.Duration
	// Request and Answer are the sizes of bodies.
	Request, Answer core.Bytes
	Organisations   []core.Organisation
}

// Deployment describes one user's site.
type Deployment struct {
	Name     string
	Regions  []core.RegionName
	Hosts    int
	Services []ServiceSpec
	// Zone, Region and Client are one-way delays between availability zones of
	// a region, between regions, and to clients.
	Zone, Region, Client time.Duration
	LinkCap              core.BitsPerSecond
	Objectives           core.Objectives
	// Net is the second byte of all loopback addresses.
	Net byte
}

// Deployments lists all deployments.
var Deployments = []Deployment{
	{
		Name:    "consorcio",
		Regions: []core.RegionName{"slz", "for", "nat"},
		Hosts:   11,
		Services: []ServiceSpec{
			{
				Name: "consulta", Upstreams: 22, Slots: 6, Repeatable: true, Mean: 40 * time.Millisecond,
				Answer: 4 * core.Kibibyte, Organisations: []core.Organisation{"vento-norte", "mare-alta", "duna"},
			},
			{
				Name: "despacho", Upstreams: 12, Slots: 4, Mean: 80 * time.Millisecond,
				Request: core.Kibibyte, Answer: core.Kibibyte, Organisations: []core.Organisation{"vento-norte", "mare-alta", "duna"},
			},
			{
				Name: "ingesta", Upstreams: 12, Slots: 3, Mean: 250 * time.Millisecond,
				Request: 128 * core.Kibibyte, Answer: 512, Organisations: []core.Organisation{"vento-norte", "mare-alta", "duna"},
			},
		},
		Zone: 500 * time.Microsecond, Region: 55 * time.Millisecond, Client: time.Millisecond,
		LinkCap:    4 * core.Gigabit,
		Objectives: core.Objectives{Latency: 1, Headroom: 3, Drain: 3},
		Net:        21,
	},
	{
		Name:    "rijnvaart",
		Regions: []core.RegionName{"nl-south", "de-west", "be-north"},
		Hosts:   12,
		Services: []ServiceSpec{
			{
				Name: "fitchart", Upstreams: 24, Slots: 5, Repeatable: true, Mean: 30 * time.Millisecond,
				Answer: 8 * core.Kibibyte, Organisations: []core.Organisation{"dealers", "shops"},
			},
			{
				Name: "ordrdesk", Upstreams: 12, Slots: 4, Mean: 60 * time.Millisecond,
				Request: 2 * core.Kibibyte, Answer: core.Kibibyte, Organisations: []core.Organisation{"dealers", "shops"},
			},
			{
				Name: "lotvault", Upstreams: 12, Slots: 3, Mean: 200 * time.Millisecond,
				Request: 96 * core.Kibibyte, Answer: 512, Organisations: []core.Organisation{"plant-qa"},
			},
		},
		Zone: 1400 * time.Microsecond, Region: 20 * time.Millisecond, Client: 8 * time.Millisecond,
		LinkCap:    280 * core.Megabit,
		Objectives: core.Objectives{Latency: 3, Headroom: 1, Drain: 1},
		Net:        22,
	},
}

// Find returns the deployment of the given name.
func Find(name string) (Deployment, bool) {
	for _, d := range Deployments {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// zonesPerRegion is the number of availability zones of each region.
const zonesPerRegion = 2

// Zones returns all availability zones, those of a region next to each other.
func (d Deployment) Zones() []core.Zone {
	var zones []core.Zone
	for _, r := range d.Regions {
		for i := range zonesPerRegion {
			name := fmt.Sprintf("%s-%c", r, 'a'+i)
			zones = append(zones, core.Zone{Name: core.ZoneName(name), Region: r})
		}
	}
	return zones
}

// Last bytes of the addresses in a zone's network.
const (
	hostBase     = 10
	upstreamBase = 100
	clientBase   = 200
)

// Ports of the stand-ins.
const (
	clientPort   = 18080
	peerPort     = 18443
	upstreamPort = 17000
	platformPort = 19000
)

// address returns the address with the last byte in the zone of the index.
func (d Deployment) address(zone, last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.Net, byte(zone + 1), byte(last)})
}

// Prefix returns the network of a zone, from which its clients come too.
func (d Deployment) Prefix(zone int) netip.Prefix {
	return netip.PrefixFrom(d.address(zone, 0), 24)
}

// HostList lists the entry hosts, spread over the zones in turn.
func (d Deployment) HostList() []core.Host {
	zones := d.Zones()
	var hosts []core.Host
	for i := range d.Hosts {
		index := i % len(zones)
		address := d.address(index, hostBase+i/len(zones))
		hosts = append(hosts, core.Host{
			Name:          core.HostName(fmt.Sprintf("%s-%d", zones[index].Name, i/len(zones)+1)),
			Zone:          zones[index],
			ClientAddress: netip.AddrPortFrom(address, clientPort).String(),
			PeerAddress:   netip.AddrPortFrom(address, peerPort).String(),
		})
	}
	return hosts
}

// PlatformAddress returns the address of the platform's store, in the first
// region.
func (d Deployment) PlatformAddress() string {
	return netip.AddrPortFrom(d.address(0, 1), platformPort).String()
}

// ClientAddress returns the address that a zone's clients call from.
func (d Deployment) ClientAddress(zone int) netip.Addr {
	return d.address(zone, clientBase)
}

// UpstreamList lists the upstreams of a service, spread over the zones in turn.
func (d Deployment) UpstreamList(service ServiceSpec) []core.Upstream {
	zones := d.Zones()
	offset := 0
	for i, s := range d.Services {
		if s.Name == service.Name {
			offset = i * portsPerService
		}
	}
	var upstreams []core.Upstream
	for i := range service.Upstreams {
		index := i % len(zones)
		address := d.address(index, upstreamBase+i/len(zones))
		upstreams = append(upstreams, core.Upstream{
			Name:    core.UpstreamName(fmt.Sprintf("%s-%d", service.Name, i+1)),
			Service: service.Name,
			Zone:    zones[index].Name,
			Address: netip.AddrPortFrom(address, uint16(upstreamPort+offset)).String(),
			Slots:   service.Slots,
		})
	}
	return upstreams
}

// portsPerService keeps the ports of services apart.
const portsPerService = 100

// Probe returns the address of a stand-in that only direct calls use.
func (d Deployment) Probe(service ServiceSpec) string {
	upstream := d.UpstreamList(service)[0]
	address := netip.MustParseAddrPort(upstream.Address)
	return netip.AddrPortFrom(address.Addr(), address.Port()+1).String()
}

// ZoneByName returns the zone with the name.
func (d Deployment) ZoneByName(name core.ZoneName) core.Zone {
	for _, z := range d.Zones() {
		if z.Name == name {
			return z
		}
	}
	return core.Zone{}
}

// Times that services permit.
const (
	deadline        = 3 * time.Second
	progressTimeout = 1500 * time.Millisecond
)

// Ticket returns the first ticket: the whole deployment.
func (d Deployment) Ticket() core.Ticket {
	objectives := d.Objectives
	ticket := core.Ticket{Number: 1, Author: "demo", Reason: "first configuration", Zones: d.Zones(), Objectives: &objectives}
	for i, z := range d.Zones() {
		ticket.Blocks = append(ticket.Blocks, core.Block{Prefix: d.Prefix(i), Zone: z.Name})
	}
	for _, s := range d.Services {
		ticket.Services = append(ticket.Services, core.Service{
			Name:       s.Name,
			Repeatable: s.Repeatable,
			Deadline:   core.MillisecondsOf(deadline),
			Progress:   core.MillisecondsOf(progressTimeout),
			MaxBody:    core.Mebibyte,
		})
		ticket.Upstreams = append(ticket.Upstreams, d.UpstreamList(s)...)
	}
	for _, from := range d.Regions {
		for _, to := range d.Regions {
			if from != to {
				ticket.Links = append(ticket.Links, core.LinkCap{Link: core.Link{From: from, To: to}, Cap: d.LinkCap})
			}
		}
	}
	return ticket
}

// Places returns the zone of every address in use.
func (d Deployment) Places() map[netip.Addr]core.Zone {
	places := map[netip.Addr]core.Zone{}
	for i, z := range d.Zones() {
		for last := range 256 {
			places[d.address(i, last)] = z
		}
	}
	return places
}

// Delay returns the one-way time between two places.
func (d Deployment) Delay(from, to core.Zone) time.Duration {
	switch {
	case from.Name == to.Name:
		return 0
	case from.Region == to.Region:
		return d.Zone
	default:
		return d.Region
	}
}
