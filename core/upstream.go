package core

import (
	"math"
	"net/netip"
	"time"
)

// UpstreamName names an upstream. It is unique across all services.
type UpstreamName string

// Upstream is one process that runs the requests of a service.
type Upstream struct {
	Name    UpstreamName `json:"name"`
	Service ServiceName  `json:"service"`
	Zone    ZoneName     `json:"zone"`
	// Address is the IP address and TCP port.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream runs at a time. They are not the
	// slots of a link (LinkCap).
	Slots int `json:"slots"`
	// Draining says that the upstream should get no new requests. An evacuated zone has the
	// same effect on all upstreams of the zone.
	Draining bool `json:"draining,omitempty"`
	// Incarnation distinguishes successive processes of the upstream under the same
	// name; 0 where they are not distinguished.
	Incarnation Incarnation `json:"-" cbor:"incarnation"`
	// ColdUntil is the end of the warm-up that the upstream announced, converted to this
	// host's clock.
	ColdUntil time.Time `json:"-" cbor:"-"`
}

// MaxSlots is the largest number of slots of an upstream. Sums over many upstreams stay far
// below the range of an int.
const MaxSlots = 1 << 20

// Validate returns an error of type ErrPeer where the upstream cannot get requests: a field
// is empty, the address is no unicast IP address and port, or the number of slots is out of
// range.
func (u Upstream) Validate() error {
	if u.Name == "" || u.Service == "" || u.Zone == "" {
		return ErrPeer.New("upstream %q has no name, no service or no availability zone", u.Name)
	}
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil {
		return ErrPeer.Wrap(err, "address of upstream %s", u.Name)
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return ErrPeer.New("upstream %s has the address %s", u.Name, u.Address)
	}
	if u.Slots < 0 || u.Slots > MaxSlots {
		return ErrPeer.New("upstream %s has %d slots", u.Name, u.Slots)
	}
	return nil
}

// RateLimitNotice is what a host tells other hosts about the rate limit of an upstream.
type RateLimitNotice struct {
	_ struct{} `cbor:",toarray"`
	// Rate is the limit in requests a second; it is negative if the upstream has ended its
	// limit.
	Rate RequestRate
	// Age is the time since the response arrived that the notice is based on, at whichever
	// host.
	Age Milliseconds
}

// endedRate is the rate of a notice about a limit that has ended.
const endedRate = -1

// NewRateLimitNotice returns a notice about a limit in force, or about one that has ended.
func NewRateLimitNotice(rate RequestRate, inForce bool, age time.Duration) RateLimitNotice {
	notice := RateLimitNotice{Rate: rate, Age: MillisecondsOf(age)}
	if !inForce {
		notice.Rate = endedRate
	}
	return notice
}

// InForce reports whether the limit is in force.
func (n RateLimitNotice) InForce() bool {
	return n.Rate >= 0
}

// Validate returns an error of type ErrPeer if the rate or the age is no possible value.
func (n RateLimitNotice) Validate() error {
	rate := float64(n.Rate)
	if math.IsNaN(rate) || math.IsInf(rate, 0) || (rate < 0 && rate != endedRate) {
		return ErrPeer.New("rate limit of %v requests a second", n.Rate)
	}
	if n.Age < 0 {
		return ErrPeer.New("rate limit with an age of %d ms", n.Age)
	}
	return nil
}

// Phase is the lifecycle phase of a host or an upstream.
type Phase string

// The phases.
const (
	// PhaseStarting is that of a host without a configuration.
	PhaseStarting Phase = "starting"
	// PhaseLive is that of a host or upstream that accepts requests.
	PhaseLive Phase = "live"
	// PhaseLeaving is that of a host or upstream that drains: it finishes its requests and
	// accepts no more.
	PhaseLeaving Phase = "leaving"
	// PhaseGone is that of a host that has ended. Package tracker does not count it as live.
	PhaseGone Phase = "gone"
)
