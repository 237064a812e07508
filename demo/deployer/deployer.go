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
//	ticket := d.FirstTicket()
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
	// MeanServiceTime is the mean service time of the upstreams.
	MeanServiceTime time.Duration
	// RequestSize and ResponseSize are the sizes of request and response bodies.
	RequestSize, ResponseSize core.Bytes
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
	// ZoneDelay, RegionDelay and ClientDelay are one-way network delays: between two
	// availability zones of a region, between two regions, and between a client
	// and its availability zone.
	ZoneDelay, RegionDelay, ClientDelay time.Duration
	// LinkCap is the capacity of each link from one region to another.
	LinkCap    core.BitsPerSecond
	Objectives core.Objectives
	// SecondOctet is the second octet of all loopback addresses. It differs between
	// deployments.
	SecondOctet byte
}

// Deployments lists all deployments.
var Deployments = []Deployment{
	{
		Name:    "consorcio",
		Regions: []core.RegionName{"slz", "for", "nat"},
		Hosts:   11,
		Services: []ServiceSpec{
			{
				Name: "consulta", Upstreams: 22, Slots: 6, Repeatable: true, MeanServiceTime: 40 * time.Millisecond,
				ResponseSize: 4 * core.Kibibyte, Organisations: []core.Organisation{"vento-norte", "mare-alta", "duna"},
			},
			{
				Name: "despacho", Upstreams: 12, Slots: 4, MeanServiceTime: 80 * time.Millisecond,
				RequestSize: core.Kibibyte, ResponseSize: core.Kibibyte, Organisations: []core.Organisation{"vento-norte", "mare-alta", "duna"},
			},
			{
				Name: "ingesta", Upstreams: 12, Slots: 3, MeanServiceTime: 250 * time.Millisecond,
				RequestSize: 128 * core.Kibibyte, ResponseSize: 512, Organisations: []core.Organisation{"vento-norte", "mare-alta", "duna"},
			},
		},
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 55 * time.Millisecond, ClientDelay: time.Millisecond,
		LinkCap:     4 * core.Gigabit,
		Objectives:  core.Objectives{Latency: 1, Headroom: 3, Drain: 3},
		SecondOctet: 21,
	},
	{
		Name:    "rijnvaart",
		Regions: []core.RegionName{"nl-south", "de-west", "be-north"},
		Hosts:   12,
		Services: []ServiceSpec{
			{
				Name: "fitchart", Upstreams: 24, Slots: 5, Repeatable: true, MeanServiceTime: 30 * time.Millisecond,
				ResponseSize: 8 * core.Kibibyte, Organisations: []core.Organisation{"dealers", "shops"},
			},
			{
				Name: "ordrdesk", Upstreams: 12, Slots: 4, MeanServiceTime: 60 * time.Millisecond,
				RequestSize: 2 * core.Kibibyte, ResponseSize: core.Kibibyte, Organisations: []core.Organisation{"dealers", "shops"},
			},
			{
				Name: "lotvault", Upstreams: 12, Slots: 3, MeanServiceTime: 200 * time.Millisecond,
				RequestSize: 96 * core.Kibibyte, ResponseSize: 512, Organisations: []core.Organisation{"plant-qa"},
			},
		},
		ZoneDelay: 1400 * time.Microsecond, RegionDelay: 20 * time.Millisecond, ClientDelay: 8 * time.Millisecond,
		LinkCap:     280 * core.Megabit,
		Objectives:  core.Objectives{Latency: 3, Headroom: 1, Drain: 1},
		SecondOctet: 22,
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
	return netip.AddrFrom4([4]byte{127, d.SecondOctet, byte(zone + 1), byte(octet)})
}

// ZonePrefix returns the network of the zone with the given index. It holds the
// addresses of the zone's hosts, upstreams and clients.
func (d Deployment) ZonePrefix(zone int) netip.Prefix {
	return netip.PrefixFrom(d.address(zone, 0), 24)
}

// EntryHosts returns the entry hosts, assigned to the zones round robin.
func (d Deployment) EntryHosts() []core.Host {
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

// ServiceUpstreams returns the upstreams of a service, assigned to the zones round
// robin.
func (d Deployment) ServiceUpstreams(service ServiceSpec) []core.Upstream {
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

// DirectUpstreamAddress returns the address of the idle upstream of a service that only direct
// calls use, which bypass the entry hosts to measure the baseline latency.
func (d Deployment) DirectUpstreamAddress(service ServiceSpec) string {
	upstream := d.ServiceUpstreams(service)[0]
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

// FirstTicket returns the first ticket, which configures the whole deployment.
func (d Deployment) FirstTicket() core.Ticket {
	objectives := d.Objectives
	ticket := core.Ticket{Number: 1, Author: "demo", Reason: "first configuration", Zones: d.Zones(), Objectives: &objectives}
	for i, z := range d.Zones() {
		ticket.Blocks = append(ticket.Blocks, core.AddressBlock{Prefix: d.ZonePrefix(i), Zone: z.Name})
	}
	for _, s := range d.Services {
		ticket.Services = append(ticket.Services, core.Service{
			Name:            s.Name,
			Repeatable:      s.Repeatable,
			Deadline:        core.MillisecondsOf(deadline),
			ProgressTimeout: core.MillisecondsOf(progressTimeout),
			MaxBody:         core.Mebibyte,
		})
		ticket.Upstreams = append(ticket.Upstreams, d.ServiceUpstreams(s)...)
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

// ZonesByAddress returns the zone of every address in the networks of all zones.
func (d Deployment) ZonesByAddress() map[netip.Addr]core.Zone {
	zoneOf := map[netip.Addr]core.Zone{}
	for i, z := range d.Zones() {
		for octet := range 256 {
			zoneOf[d.address(i, octet)] = z
		}
	}
	return zoneOf
}

// OneWayDelay returns the one-way network delay between two zones.
func (d Deployment) OneWayDelay(from, to core.Zone) time.Duration {
	switch {
	case from.Name == to.Name:
		return 0
	case from.Region == to.Region:
		return d.ZoneDelay
	default:
		return d.RegionDelay
	}
}
