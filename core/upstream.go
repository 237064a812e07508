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
	// Slots is the number of requests that the upstream runs at a time.
	Slots int `json:"slots"`
	// Draining says that the upstream should get no new requests.
	Draining bool `json:"draining,omitempty"`
	// Incarnation distinguishes successive processes of the upstream under the same
	// name; 0 where they are not distinguished.
	Incarnation Incarnation `json:"-" cbor:"incarnation"`
	// ColdUntil is the end of the warm-up that the upstream announced, on this host's
	// clock.
	ColdUntil time.Time `json:"-" cbor:"-"`
}

// Phase is the lifecycle phase of a host or an upstream.
type Phase string

// The phases. A leaving host or upstream finishes its requests and accepts no more.
const (
	PhaseStarting Phase = "starting"
	PhaseLive     Phase = "live"
	PhaseLeaving  Phase = "leaving"
	PhaseGone     Phase = "gone"
)
