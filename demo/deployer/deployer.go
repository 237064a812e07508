// Package deployer describes the deployments of the first users for runs on one
// machine: regions, availability zones, network delays, link capacities,
// services, upstreams and entry hosts.
//
// All addresses are loopback addresses. Each availability zone has a /24
// network of its own, so that the zone of a socket follows from its address.
//
// # Usage
//
//	d, ok := deployer.Find("rijnvaart")
//	ticket := d.Ticket()
//	settings, err := d.Settings(host, authority, now)
package deployer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/endiverun/endiverun/core"
)

// ServiceSpec describes a service, its upstreams and the requests of its
// clients.
type ServiceSpec struct {
	Name core.ServiceName
	// Upstreams is the number of upstreams.
	Upstreams int
	// Slots is the concurrency limit of each upstream.
	Slots int
	// Repeatable says that requests are idempotent.
	Repeatable bool
	// Mean is the mean service time of the upstreams.
	Mean time.Duration
	// Request and Answer are the sizes of request and response bodies.
	Request, Answer core.Bytes
	// Organisations are those that the requests are sent for.
	Organisations []core.Organisation
}

// Deployment describes the deployment of one user.
type Deployment struct {
	Name    string
	Regions []core.RegionName
	// Hosts is the number of entry hosts in all zones.
	Hosts    int
	Services []ServiceSpec
	// Zone, Region and Client are one-way network delays: between two
	// availability zones of a region, between two regions, and between a client
	// and its availability zone.
	Zone, Region, Client time.Duration
	// LinkCap is the capacity of each link from one region to another.
	LinkCap    core.BitsPerSecond
	Objectives core.Objectives
	// Net is the second octet of all loopback addresses. It differs between
	// deployments.
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

// Zones returns all availability zones, grouped by region.
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

// Last octets in the network of a zone: of the first entry host, of the first
// upstream, and of the clients.
const (
	firstHostOctet     = 10
	firstUpstreamOctet = 100
	clientOctet        = 200
)

// Ports of the processes. Services other than the first add a multiple of
// portsPerService to upstreamPort.
const (
	clientPort   = 18080
	peerPort     = 18443
	upstreamPort = 17000
	platformPort = 19000
)

// address returns the address with the given last octet in the network of the
// zone with the given index.
func (d Deployment) address(zone, octet int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.Net, byte(zone + 1), byte(octet)})
}

// Prefix returns the network of the zone with the given index. It holds the
// addresses of the zone's hosts, upstreams and clients.
func (d Deployment) Prefix(zone int) netip.Prefix {
	return netip.PrefixFrom(d.address(zone, 0), 24)
}

// HostList returns the entry hosts, assigned to the zones round robin.
func (d Deployment) HostList() []core.Host {
	zones := d.Zones()
	var hosts []core.Host
	for i := range d.Hosts {
		index := i % len(zones)
		address := d.address(index, firstHostOctet+i/len(zones))
		hosts = append(hosts, core.Host{
			Name:          core.HostName(fmt.Sprintf("%s-%d", zones[index].Name, i/len(zones)+1)),
			Zone:          zones[index],
			ClientAddress: netip.AddrPortFrom(address, clientPort).String(),
			PeerAddress:   netip.AddrPortFrom(address, peerPort).String(),
		})
	}
	return hosts
}

// PlatformAddress returns the address of the platform's store, which is in the
// first zone of the first region.
func (d Deployment) PlatformAddress() string {
	return netip.AddrPortFrom(d.address(0, 1), platformPort).String()
}

// ClientAddress returns the local address of the clients in the zone with the
// given index.
func (d Deployment) ClientAddress(zone int) netip.Addr {
	return d.address(zone, clientOctet)
}

// UpstreamList returns the upstreams of a service, assigned to the zones round
// robin.
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
		address := d.address(index, firstUpstreamOctet+i/len(zones))
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

// portsPerService is the distance between the upstream ports of two services.
const portsPerService = 100

// Probe returns the address of the idle upstream of a service that only direct
// calls use, which bypass the entry hosts to measure the baseline latency.
func (d Deployment) Probe(service ServiceSpec) string {
	upstream := d.UpstreamList(service)[0]
	address := netip.MustParseAddrPort(upstream.Address)
	return netip.AddrPortFrom(address.Addr(), address.Port()+1).String()
}

// ZoneByName returns the zone with the given name, or the zero value.
func (d Deployment) ZoneByName(name core.ZoneName) core.Zone {
	for _, z := range d.Zones() {
		if z.Name == name {
			return z
		}
	}
	return core.Zone{}
}

// Time limits of the requests of every service.
const (
	deadline        = 3 * time.Second
	progressTimeout = 1500 * time.Millisecond
)

// Ticket returns the first ticket, which configures the whole deployment.
func (d Deployment) Ticket() core.Ticket {
	objectives := d.Objectives
	ticket := core.Ticket{Number: 1, Author: "demo", Reason: "first configuration", Zones: d.Zones(), Objectives: &objectives}
	for i, z := range d.Zones() {
		ticket.Blocks = append(ticket.Blocks, core.AddressBlock{Prefix: d.Prefix(i), Zone: z.Name})
	}
	for _, s := range d.Services {
		ticket.Services = append(ticket.Services, core.Service{
			Name:            s.Name,
			Repeatable:      s.Repeatable,
			Deadline:        core.MillisecondsOf(deadline),
			ProgressTimeout: core.MillisecondsOf(progressTimeout),
			MaxBody:         core.Mebibyte,
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

// Places returns the zone of every address in the networks of all zones.
func (d Deployment) Places() map[netip.Addr]core.Zone {
	zoneOf := map[netip.Addr]core.Zone{}
	for i, z := range d.Zones() {
		for octet := range 256 {
			zoneOf[d.address(i, octet)] = z
		}
	}
	return zoneOf
}

// Delay returns the one-way network delay between two zones.
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
