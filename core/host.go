package core

import (
	"math"
	"net/netip"
	"strconv"
)

// HostName names an entry host. It is not the host name of a URL, which is Route.Hostname.
type HostName string

// Incarnation distinguishes successive processes of a host or an upstream under the same
// name. That of a host is the time of its start in Unix milliseconds, so it usually grows;
// after the clock was set back, a later process has a lower number.
type Incarnation uint64

// String returns the incarnation in base 36.
func (i Incarnation) String() string {
	return strconv.FormatUint(uint64(i), 36)
}

// ParseIncarnation is the inverse of Incarnation.String.
func ParseIncarnation(s string) (Incarnation, error) {
	value, err := strconv.ParseUint(s, 36, 64)
	if err != nil {
		return 0, ErrInvalidKey.New("incarnation %q is not a base 36 number", s)
	}
	return Incarnation(value), nil
}

// Host is what peers and clients know of an entry host.
type Host struct {
	Name        HostName    `json:"name" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Zone        Zone        `json:"zone" cbor:"3,keyasint"`
	// ClientAddress is the IP address and TCP port for clients.
	ClientAddress string `json:"client-address" cbor:"4,keyasint"`
	// PeerAddress is the IP address and UDP port for other hosts.
	PeerAddress string `json:"peer-address" cbor:"5,keyasint"`
	// Capacity compares hosts by the load that they can take; 0 where it is unknown.
	Capacity Capacity `json:"capacity,omitempty" cbor:"6,keyasint,omitempty"`
}

// Capacity is the smaller one of a host's processor capacity, in thousandths of a
// core, and its link capacity, in units of 100 kbit/s. One core thus counts as much as
// 100 Mbit/s.
type Capacity uint32

// NewCapacity returns the capacity of a host with the given number of cores, which
// may be a fraction, and the given link rate in Mbit/s.
func NewCapacity(cores, linkMbps float64) Capacity {
	const (
		unitsPerCore = 1000
		unitsPerMbps = 10
	)
	return Capacity(max(0, min(cores*unitsPerCore, linkMbps*unitsPerMbps, math.MaxUint32)))
}

// Validate returns an error of type ErrPeer where a field is empty that is needed to
// reach the host.
func (h Host) Validate() error {
	if h.Name == "" || h.ClientAddress == "" || h.PeerAddress == "" {
		return ErrPeer.New("host %q has no name, no client address or no peer address", h.Name)
	}
	return nil
}

// HostInstance identifies one incarnation of a host: one process, from its start to its end.
type HostInstance struct {
	Host        HostName
	Incarnation Incarnation
}

// Instance returns the host's name and incarnation.
func (h Host) Instance() HostInstance {
	return HostInstance{Host: h.Name, Incarnation: h.Incarnation}
}

// AddressWithPortOf returns the IP address of the host's peer address with the port of
// another address; empty where one of the two cannot be parsed. Given this host's own
// address of an endpoint for which all hosts use the same port, it returns the other
// host's address of that endpoint.
func (h Host) AddressWithPortOf(other string) string {
	peer, err := netip.ParseAddrPort(h.PeerAddress)
	if err != nil {
		return ""
	}
	parsed, err := netip.ParseAddrPort(other)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(peer.Addr(), parsed.Port()).String()
}
