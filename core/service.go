package core

// ServiceName names a service.
type ServiceName string

// Organisation names a client organisation, the unit of fairness.
type Organisation string

// Service is what operators describe of one service.
type Service struct {
	Name ServiceName `json:"name"`
	// Repeatable tells whether running a request twice does no harm.
	Repeatable bool `json:"repeatable"`
	// Deadline bounds a request whose client states no deadline.
	Deadline Milliseconds `json:"deadline-ms"`
	// Progress is the longest silence on a hop before it counts as dead.
	Progress Milliseconds `json:"progress-timeout-ms"`
	// MaxBody is the largest request or answer body.
	MaxBody Bytes `json:"max-body-bytes"`
	// Organisations gives the weights of fair queueing; absent means 1.
	Organisations map[Organisation]Weight `json:"organisations,omitempty"`
}

// Objectives weighs the measures that an operator wants kept best.
type Objectives struct {
	Latency  Weight `json:"latency"`
	Headroom Weight `json:"headroom"`
	Drain    Weight `json:"drain"`
}
