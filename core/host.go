package core

import (
	"math"
	"net/netip"
	"strconv"
)

// HostName names an entry host.
type HostName string

// Incarnation tells one life of a host from the next under the same name.
type Incarnation uint64

// String returns the incarnation in base 36.
func (i Incarnation) String() string {
	return strconv.FormatUint(uint64(i), 36)
}

// ParseIncarnation is the inverse of Incarnation.String.
func ParseIncarnation(s string) (Incarnation, error) {
	value, err := strconv.ParseUint(s, 36, 64)
	if err != nil {
		return 0, ErrKey.New("incarnation %q is not a base 36 number", s)
	}
	return Incarnation(value), nil
}

// Host is one entry host as its peers and clients know it.
type Host struct {
	Name        HostName    `json:"name" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Zone        Zone        `json:"zone" cbor:"3,keyasint"`
	// ClientAddress is the IP address and TCP port for clients.
	ClientAddress string `json:"client-address" cbor:"4,keyasint"`
	// PeerAddress is the IP address and UDP port for other hosts.
	PeerAddress string `json:"peer-address" cbor:"5,keyasint"`
	// Capacity says how much the host can do, to compare hosts; 0 where it is not
	// known.
	Capacity Capacity `json:"capacity,omitempty" cbor:"6,keyasint,omitempty"`
}

// Capacity is the scarcer of a host's processor, in thousandths of a core, and its
// link, in units of 100 kbit/s.
type Capacity uint32

// NewCapacity returns the capacity of a host with the given part of a core and
// link.
func NewCapacity(cores, linkMbps float64) Capacity {
	const (
		perCore = 1000
		perMbps = 10
	)
	return Capacity(max(0, min(cores*perCore, linkMbps*perMbps, math.MaxUint32)))
}

// Check returns an error of type ErrPeer where a field is missing without which
// the host cannot be reached.
func (h Host) Check() error {
	if h.Name == "" || h.ClientAddress == "" || h.PeerAddress == "" {
		return ErrPeer.New("host %q lacks its name or an address", h.Name)
	}
	return nil
}

// Life identifies one life of a host.
type Life struct {
	Host        HostName
	Incarnation Incarnation
}

// Life returns the host's name with its incarnation.
func (h Host) Life() Life {
	return Life{Host: h.Name, Incarnation: h.Incarnation}
}

// AddressAt returns the host's IP address with the port of another address;
// empty where one of them cannot be read.
func (h Host) AddressAt(other string) string {
	own, err := netip.ParseAddrPort(h.PeerAddress)
	if err != nil {
		return ""
	}
	port, err := netip.ParseAddrPort(other)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(own.Addr(), port.Port()).String()
}
