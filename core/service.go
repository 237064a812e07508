package core

// ServiceName names a service.
type ServiceName string

// Organisation names a client organisation. Fair queueing shares the capacity of a
// service among organisations.
type Organisation string

// Service is the configuration of one service in a Configuration. It is the counterpart
// of ServicePolicy, which is part of a RoutingPolicy.
type Service struct {
	Name ServiceName `json:"name"`
	// Repeatable says that a request may safely run more than once. Requests of other
	// services need an idempotency key.
	Repeatable bool `json:"repeatable"`
	// Deadline is the longest duration of a request whose client states no deadline.
	Deadline Milliseconds `json:"deadline-ms"`
	// ProgressTimeout is the longest time for which a hop of a request may be silent before
	// it counts as failed. It is the timeout of each read and write on the connection to an
	// upstream.
	ProgressTimeout Milliseconds `json:"progress-timeout-ms"`
	// MaxBody is the size of the largest request or response body; 0 means no limit of
	// the service. ClientLimits.BodyBytes is the limit under a RoutingPolicy.
	MaxBody Bytes `json:"max-body-bytes"`
	// OrganisationWeights holds the weights of fair queueing; an absent one means 1.
	OrganisationWeights map[Organisation]Weight `json:"organisations,omitempty"`
}

// Objectives are the weights of the measures that the choice of the host for a request
// optimises (package dispatcher).
type Objectives struct {
	// Latency is the weight of the response time.
	Latency Weight `json:"latency"`
	// Headroom is the weight of free slots: the greater it is relative to Latency, the
	// more a host's utilization adds to the cost of running a request there.
	Headroom Weight `json:"headroom"`
	// Drain is stored and validated. No decision uses it.
	Drain Weight `json:"drain"`
}
