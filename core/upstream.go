package core

import "time"

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
