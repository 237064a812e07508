package core

// UpstreamName names an upstream. It is unique over all services.
type UpstreamName string

// Upstream is one process that runs requests of a service.
type Upstream struct {
	Name    UpstreamName `json:"name"`
	Service ServiceName  `json:"service"`
	Zone    ZoneName     `json:"zone"`
	// Address is the IP address and TCP port.
	Address string `json:"address"`
	// Slots is the number of requests that it runs at a time.
	Slots int `json:"slots"`
	// Draining asks for no new work.
	Draining bool `json:"draining,omitempty"`
}

// Phase is where a host or an upstream stands between start and stop.
type Phase string

// The phases. A leaving host or upstream finishes its work and takes no more.
const (
	PhaseStarting Phase = "starting"
	PhaseLive     Phase = "live"
	PhaseLeaving  Phase = "leaving"
	PhaseGone     Phase = "gone"
)
