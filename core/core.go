// Package core holds the domain types that all programs share and, in its
// subpackages, every decision of the system.
//
// The system steers traffic. Its entry hosts accept the requests of clients and send
// each to an upstream, a process that runs the requests of one service. Regions consist
// of availability zones, and hosts and upstreams run in zones.
//
// This package and its subpackages open no sockets, read no files and do not read
// the clock. A decision is a function of its state, its input and the time that the
// caller passes in, so tests can run the same code under any order of events.
//
// # Terms
//
//   - The platform is the environment in which the hosts run. Its store holds versioned
//     objects, which all hosts read and write through the platform's object API: type
//     Store. The hosts keep a copy, with which they go on while the store is unavailable.
//   - A Configuration is the sum of numbered changes, the tickets. The program entry runs
//     on it. A RoutingPolicy is one versioned object of the store that holds routes and
//     service policies. The program platform runs on it, and reads upstreams,
//     evacuations and hosts from the store too. A host uses one of the two, never both.
//   - An evacuated zone is an availability zone whose upstreams get no requests.
//   - An upstream is cold during its warm-up, which follows its start or the end of
//     its zone's evacuation: it then tolerates only the WarmUpRate of its service.
//   - The reader of a zone is the host that reads the store for the other hosts of the
//     zone, in a large fleet.
//   - Home has two meanings. The home of an idempotency key is the one incarnation of a
//     host that decides whether a request with the key may run. The home regions of a
//     route are the only regions in which its requests may run.
//   - Key has two meanings. An IdempotencyKey identifies a request, so that it runs at
//     most once although the client sends it again. The affinity key of package placer
//     selects the upstreams that served the same key before.
//   - Slots are counted in two places. The slots of an upstream are the requests that it
//     runs at a time. The slots of a region's outgoing links are the hosts that may send
//     on them at a time.
//   - An attempt sends a request to one upstream, or to another host that selects one. A
//     request may take several attempts.
//
// # Usage
//
//	ticket, err := core.ParseTicket(data)
//	if err != nil {
//		return err // core.Findings: every problem with its JSON pointer
//	}
//	next := configuration.Apply(ticket)
//
// Package steerer combines those subpackages that decide by the configuration. The hosts
// of the program entry run it, and the tests of package simulator call it with random
// sequences of events.
package core
