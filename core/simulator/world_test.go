// Package simulator runs the decisions of several entry hosts under random events and
// faults, and checks what they guarantee.
//
// The checks don't look at the internal state of the decisions. They compare what clients,
// upstreams and links observed: the simulation records every execution at an upstream and
// every transfer over a link. Time is simulated, so the same seed repeats the same history.
//
// # Usage
//
//	go test ./simulator -run TestPromises -rapid.seed=20261204 -rapid.checks=1500
package simulator

import (
	"encoding/json"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/deduplicator"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/sequencer"
	"github.com/endiverun/endiverun/core/steerer"
)

// The simulated deployment: three availability zones in two regions, and the index of the
// zone of each host.
var (
	zones = []core.Zone{
		{Name: "a-1", Region: "a"}, {Name: "a-2", Region: "a"}, {Name: "b-1", Region: "b"},
	}
	hostZones = []int{0, 0, 1, 2, 2}
)

const (
	serviceLookup core.ServiceName = "lookup"
	serviceOrder  core.ServiceName = "order"

	upstreamSlots = 3
	linkCap       = 8 * core.Megabit
	// maxClockSkew bounds how far a host's clock differs from the simulated time.
	maxClockSkew = time.Hour
	// priorRequests is the number of requests that a host counts before the simulation
	// starts; they fill its retry budget.
	priorRequests = 100
)

// simulation is the state of one simulated history.
type simulation struct {
	now time.Time
	// nodes holds the current incarnation of each host.
	nodes       []*node
	upstreams   map[core.UpstreamName]*upstream
	store       *store
	messages    []*message
	attempts    []*attempt
	submissions []*submission
	// operations holds the operations that must run at most once.
	operations  []*operation
	partitions  map[[2]core.ZoneName]bool
	lastFaultAt time.Time
	acceptedAt  map[core.TicketNumber]time.Time
	// acceptedWeights holds the latency weight of each accepted ticket, which differs
	// between tickets.
	acceptedWeights map[core.TicketNumber]float64
	transfers       map[core.Link][]transfer
	requestCount    int
	// arrivedAttempts is the number of attempts that arrived at an upstream.
	arrivedAttempts int
	// rapidT draws random values and reports failures.
	rapidT *rapid.T
	// serial is the last of the unique numbers of incarnations, keys and tickets.
	serial int
	// incarnations is the number of incarnations of all hosts.
	incarnations int
}

// transfer is data that was sent over a link.
type transfer struct {
	at   time.Time
	size core.Bytes
}

// node is one incarnation of a simulated host.
type node struct {
	simulation *simulation
	steerer    *steerer.Steerer
	keeper     *limiter.SlotManager
	claimer    deduplicator.Claimer
	archive    sequencer.TicketStore
	// clockSkew is the difference of the node's clock from the simulated time.
	clockSkew time.Duration
	crashed   bool
	paused    bool
	// number is the highest number of a ticket that was in force.
	number       core.TicketNumber
	hostRequests []*hostRequest
	// claiming holds the requests whose keys are to be claimed.
	claiming []*hostRequest
	// inFlight is the number of the node's requests at each upstream.
	inFlight map[core.UpstreamName]int
}

// now returns the time on the node's clock.
func (n *node) now() time.Time { return n.simulation.now.Add(n.clockSkew) }

// isActive reports whether the node is neither crashed nor paused.
func (n *node) isActive() bool { return !n.crashed && !n.paused }

// upstream is a simulated upstream process.
type upstream struct {
	core.Upstream
	running int
	shed    bool
	// drainingSince is when the upstream began to report that it drains; zero where it
	// doesn't.
	drainingSince time.Time
	// listedSince is when the platform began to list the upstream as draining; zero where
	// it doesn't.
	listedSince time.Time
	// reportedLoad is the load that the upstream reports.
	reportedLoad float64
}

// newSimulation starts all hosts and lets them apply the first ticket.
func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		now:             time.Unix(1_800_000_000, 0),
		upstreams:       map[core.UpstreamName]*upstream{},
		partitions:      map[[2]core.ZoneName]bool{},
		acceptedAt:      map[core.TicketNumber]time.Time{},
		acceptedWeights: map[core.TicketNumber]float64{},
		transfers:       map[core.Link][]transfer{},
		rapidT:          t,
	}
	sim.store = newStore(sim)
	sim.writeFirstTicket()
	for i := range hostZones {
		sim.nodes = append(sim.nodes, sim.newNode(i))
	}
	sim.advance(4 * time.Second)
	return sim
}

// writeFirstTicket stores ticket 1: two services with two upstreams in each availability
// zone, and a link in each direction between the two regions.
func (sim *simulation) writeFirstTicket() {
	ticket := core.Ticket{Number: 1, Author: "first", Zones: zones, Objectives: &core.Objectives{Latency: 1}}
	for _, s := range []core.ServiceName{serviceLookup, serviceOrder} {
		ticket.Services = append(ticket.Services, core.Service{
			Name: s, Repeatable: s == serviceLookup, Deadline: 3000, ProgressTimeout: 1000, MaxBody: core.Mebibyte,
		})
		for _, z := range zones {
			for i := range 2 {
				u := core.Upstream{
					Name: core.UpstreamName(fmt.Sprintf("%s-%s-%d", s, z.Name, i)), Service: s, Zone: z.Name,
					Address: "127.0.0.1:1", Slots: upstreamSlots,
				}
				ticket.Upstreams = append(ticket.Upstreams, u)
				sim.upstreams[u.Name] = &upstream{Upstream: u}
			}
		}
	}
	for _, l := range []core.Link{{From: "a", To: "b"}, {From: "b", To: "a"}} {
		ticket.Links = append(ticket.Links, core.LinkCap{Link: l, Cap: linkCap, Slots: 4})
	}
	data, _ := json.Marshal(sequencer.StoredTicket{Ticket: ticket, Nonce: "first"})
	_ = sim.store.create(sequencer.KindTicket, sequencer.TicketObjectName(1), data)
	sim.acceptedWeights[1] = 1
}

// newNode starts an incarnation of host i, the clock of which has a random skew.
func (sim *simulation) newNode(i int) *node {
	sim.serial++
	sim.incarnations++
	n := &node{simulation: sim, inFlight: map[core.UpstreamName]int{}}
	n.clockSkew = time.Duration(rapid.Int64Range(-int64(maxClockSkew), int64(maxClockSkew)).Draw(sim.rapidT, "skew"))
	self := core.Host{
		Name:        core.HostName(fmt.Sprintf("h%d", i)),
		Incarnation: core.Incarnation(sim.serial),
		Zone:        zones[hostZones[i]],
	}
	n.steerer = &steerer.Steerer{Self: self, RoundTrip: n.roundTrip, Policy: balancer.LeastServiceTime}
	n.steerer.Init(n.now())
	for range priorRequests {
		n.steerer.RetryBudget.RecordRequest()
	}
	client := sim.store.client(n)
	n.keeper = &limiter.SlotManager{
		Instance: self.Instance(), Store: client, LinkLimiter: n.steerer.LinkLimiter, Now: n.now,
		LinkCaps: func() map[core.Link]core.LinkCap { return n.steerer.Sequencer.Configuration().Links },
		IsLive: func(l core.HostInstance) bool {
			m, ok := n.steerer.Tracker.Lookup(l.Host, n.now())
			return ok && m.Host.Incarnation == l.Incarnation
		},
		OnRenewed: func(requestedAt time.Time) { n.steerer.RecordSlotRenewal(requestedAt, n.now()) },
	}
	n.claimer = deduplicator.Claimer{Instance: self.Instance(), Store: client}
	n.archive = sequencer.TicketStore{Store: client, Backoff: func() {}}
	return n
}

// roundTrip returns the round-trip time to another host: 40 ms to another region, 1 ms
// within the region.
func (n *node) roundTrip(to core.Host) time.Duration {
	if to.Zone.Region != n.steerer.Self.Zone.Region {
		return 40 * time.Millisecond
	}
	return time.Millisecond
}

// isPartitioned reports whether two availability zones can't reach each other.
func (sim *simulation) isPartitioned(a, b core.ZoneName) bool {
	if a > b {
		a, b = b, a
	}
	return sim.partitions[[2]core.ZoneName{a, b}]
}

// node returns the current incarnation of a host.
func (sim *simulation) node(name core.HostName) *node {
	for i := range sim.nodes {
		if sim.nodes[i].steerer.Self.Name == name {
			return sim.nodes[i]
		}
	}
	return nil
}

// tickInterval is the interval of the hosts' background tasks.
const tickInterval = steerer.HeartbeatInterval

// advance lets time pass, while the active hosts run their background tasks.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(min(tickInterval, end.Sub(sim.now)))
		for i, n := range sim.nodes {
			if n.isActive() {
				sim.runBackgroundTasks(n, i)
				sim.claim(n)
			}
		}
		sim.resumeWaiting()
	}
}

// runBackgroundTasks runs once what the program of an entry host does in the background: it
// expires IDs, sends heartbeats, checks upstreams, fetches tickets and renews its slot.
func (sim *simulation) runBackgroundTasks(n *node, index int) {
	now := n.now()
	s := n.steerer
	s.Tick(now)
	s.Keys.RemoveExpired(now)
	s.Attempts.RemoveExpired(now)
	if s.Phase() == core.PhaseLeaving {
		_ = n.keeper.Release()
	}
	for _, l := range s.NextRecordBatches(now) {
		sim.deliverRecords(n, l)
	}
	own := steerer.RecordBatch{Records: nil}
	own.Records = append(own.Records, s.NextRecord(now))
	for _, other := range sim.nodes {
		own.To = other.steerer.Self
		sim.deliverRecords(n, own)
	}
	for _, state := range s.Balancer.UpstreamStates() {
		u := sim.upstreams[state.Name]
		s.Balancer.RecordHealthCheck(u.Name, u.reportedLoad, !u.drainingSince.IsZero(), now)
	}
	listed := map[core.UpstreamName]bool{}
	for name, u := range sim.upstreams {
		listed[name] = !u.listedSince.IsZero()
	}
	s.Balancer.SetListedDraining(listed)
	sim.fetchTickets(n)
	if s.Phase() == core.PhaseLive && (int(sim.now.UnixMilli()/tickInterval.Milliseconds())+index)%12 == 0 {
		_ = n.keeper.Renew(now)
	}
	if s.Sequencer.TicketNumber() != n.number {
		n.number = max(n.number, s.Sequencer.TicketNumber())
	}
}

// deliverRecords delivers records of a heartbeat unless their path is partitioned or the
// receiver is not active.
func (sim *simulation) deliverRecords(from *node, l steerer.RecordBatch) {
	to := sim.node(l.To.Name)
	if to == nil || to == from || !to.isActive() || sim.isPartitioned(from.steerer.Self.Zone.Name, to.steerer.Self.Zone.Name) {
		return
	}
	to.steerer.ReceiveRecords(l.Records, to.now())
}

// fetchTickets reads new tickets from the store and from hosts that have newer ones.
func (sim *simulation) fetchTickets(n *node) {
	for {
		ticket, _, err := n.archive.Read(n.steerer.Sequencer.TicketNumber() + 1)
		if err != nil {
			break
		}
		n.steerer.AddTicket(ticket, n.now())
	}
	for _, h := range n.steerer.HostsAhead(n.now()) {
		other := sim.node(h.Name)
		if !other.isActive() || sim.isPartitioned(h.Zone.Name, n.steerer.Self.Zone.Name) {
			continue
		}
		tickets, ok := other.steerer.Sequencer.TicketsFrom(n.steerer.Sequencer.TicketNumber() + 1)
		if !ok {
			n.steerer.RestoreSnapshot(other.steerer.Sequencer.Configuration().SnapshotTicket("snapshot"), n.now())
		}
		for _, t := range tickets {
			n.steerer.AddTicket(t, n.now())
		}
	}
}

// transferOverLink records what a host sends to a region, in chunks at the times at which
// the limiter permits them. It returns false where the limiter refuses a chunk.
func (sim *simulation) transferOverLink(n *node, to core.RegionName, size core.Bytes) bool {
	from := n.steerer.Self.Zone.Region
	if from == to {
		return true
	}
	at := n.now()
	for left := size; left > 0; left -= limiter.ChunkSize {
		part := min(left, limiter.ChunkSize)
		reservation := n.steerer.LinkLimiter.Reserve(to, part, at)
		if reservation.Forbidden || !reservation.Granted {
			return false
		}
		link := core.Link{From: from, To: to}
		at = at.Add(reservation.Delay)
		sim.transfers[link] = append(sim.transfers[link], transfer{at: at.Add(-n.clockSkew), size: part})
	}
	return true
}
