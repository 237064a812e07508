package core

// ServiceName names a service.
type ServiceName string

// Organisation names a client organisation. Fair queueing shares the capacity of a
// service among organisations.
type Organisation string

// Service is the configuration of one service.
type Service struct {
	Name ServiceName `json:"name"`
	// Repeatable says that a request may safely run more than once.
	Repeatable bool `json:"repeatable"`
	// Deadline bounds the time of a request whose client states no deadline.
	Deadline Milliseconds `json:"deadline-ms"`
	// ProgressTimeout is the longest time for which a hop of a request may be silent before it
	// counts as failed.
	ProgressTimeout Milliseconds `json:"progress-timeout-ms"`
	// MaxBody is the size of the largest request or response body.
	MaxBody Bytes `json:"max-body-bytes"`
	// OrganisationWeights holds the weights of fair queueing; an absent one means 1.
	OrganisationWeights map[Organisation]Weight `json:"organisations,omitempty"`
}

// Objectives are the weights of the measures that placement optimises.
type Objectives struct {
	Latency  Weight `json:"latency"`
	Headroom Weight `json:"headroom"`
	Drain    Weight `json:"drain"`
}
