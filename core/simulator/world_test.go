// Package simulator drives the decisions of several entry hosts under random
// events and faults, and checks every promise against a ledger.
//
// Nothing here knows the state inside the decisions: the oracle compares what
// clients, upstreams and links saw. Time is injected; a run is repeatable from
// its seed.
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

// The simulated site: three availability zones in two regions.
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
	maxSkew       = time.Hour
	// earnedBefore is the number of earlier requests that fill the retry budget.
	earnedBefore = 100
)

// world is the simulated site.
type world struct {
	now       time.Time
	nodes     []*node
	upstreams map[core.UpstreamName]*upstream
	store     *store
	messages  []*message
	attempts  []*attempt
	sends     []*send
	orders    []*order
	cuts      map[[2]core.ZoneName]bool
	disturbed time.Time
	accepted  map[core.Number]time.Time
	contents  map[core.Number]float64
	spent     map[core.Link][]spending
	requests  int
	runs      int
	random    *rapid.T
	serial    int
}

// spending is bytes that left over a link.
type spending struct {
	at time.Time
	n  core.Bytes
}

// node is one life of a host.
type node struct {
	world   *world
	steerer *steerer.Steerer
	keeper  *limiter.Keeper
	claimer deduplicator.Claimer
	archive sequencer.Archive
	skew    time.Duration
	dead    bool
	paused  bool
	number  core.Number
	flows   []*flow
	running map[core.UpstreamName]int
}

// now is the node's own clock.
func (n *node) now() time.Time { return n.world.now.Add(n.skew) }

func (n *node) acts() bool { return !n.dead && !n.paused }

// upstream is a simulated upstream.
type upstream struct {
	core.Upstream
	running  int
	shed     bool
	leaving  time.Time
	listed   time.Time
	reported float64
}

func newWorld(t *rapid.T) *world {
	w := &world{
		now:       time.Unix(1_800_000_000, 0),
		upstreams: map[core.UpstreamName]*upstream{},
		cuts:      map[[2]core.ZoneName]bool{},
		accepted:  map[core.Number]time.Time{},
		contents:  map[core.Number]float64{},
		spent:     map[core.Link][]spending{},
		random:    t,
	}
	w.store = newStore(w)
	w.writeFirstTicket()
	for i := range hostZones {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	w.advance(4 * time.Second)
	return w
}

func (w *world) writeFirstTicket() {
	ticket := core.Ticket{Number: 1, Author: "first", Zones: zones, Objectives: &core.Objectives{Latency: 1}}
	for _, s := range []core.ServiceName{serviceLookup, serviceOrder} {
		ticket.Services = append(ticket.Services, core.Service{
			Name: s, Repeatable: s == serviceLookup, Deadline: 3000, Progress: 1000, MaxBody: core.Mebibyte,
		})
		for _, z := range zones {
			for i := range 2 {
				u := core.Upstream{
					Name: core.UpstreamName(fmt.Sprintf("%s-%s-%d", s, z.Name, i)), Service: s, Zone: z.Name,
					Address: "127.0.0.1:1", Slots: upstreamSlots,
				}
				ticket.Upstreams = append(ticket.Upstreams, u)
				w.upstreams[u.Name] = &upstream{Upstream: u}
			}
		}
	}
	for _, l := range []core.Link{{From: "a", To: "b"}, {From: "b", To: "a"}} {
		ticket.Links = append(ticket.Links, core.LinkCap{Link: l, Cap: linkCap, Slots: 4})
	}
	data, _ := json.Marshal(sequencer.Stored{Ticket: ticket, Nonce: "first"})
	_ = w.store.create(sequencer.KindTicket, sequencer.ObjectName(1), data)
	w.contents[1] = 1
}

// newNode starts a life of host i with a clock of its own.
func (w *world) newNode(i int) *node {
	w.serial++
	n := &node{world: w, running: map[core.UpstreamName]int{}}
	n.skew = time.Duration(rapid.Int64Range(-int64(maxSkew), int64(maxSkew)).Draw(w.random, "skew"))
	self := core.Host{
		Name:        core.HostName(fmt.Sprintf("h%d", i)),
		Incarnation: core.Incarnation(w.serial),
		Zone:        zones[hostZones[i]],
	}
	n.steerer = &steerer.Steerer{Self: self, RoundTrip: n.roundTrip, Policy: balancer.LeastExpected}
	n.steerer.Init(n.now())
	for range earnedBefore {
		n.steerer.Budget.Earn()
	}
	port := w.store.port(n)
	n.keeper = &limiter.Keeper{
		Life: self.Life(), Store: port, Links: n.steerer.Links, Now: n.now,
		Caps: func() map[core.Link]core.LinkCap { return n.steerer.Sequencer.Configuration().Links },
		IsLive: func(l core.Life) bool {
			m, ok := n.steerer.Tracker.Lookup(l.Host, n.now())
			return ok && m.Host.Incarnation == l.Incarnation
		},
		Confirm: func(asked time.Time) { n.steerer.ConfirmSlot(asked, n.now()) },
	}
	n.claimer = deduplicator.Claimer{Life: self.Life(), Store: port}
	n.archive = sequencer.Archive{Store: port, Wait: func() {}}
	return n
}

func (n *node) roundTrip(to core.Host) time.Duration {
	if to.Zone.Region != n.steerer.Self.Zone.Region {
		return 40 * time.Millisecond
	}
	return time.Millisecond
}

func (w *world) isCut(a, b core.ZoneName) bool {
	if a > b {
		a, b = b, a
	}
	return w.cuts[[2]core.ZoneName{a, b}]
}

// node returns the newest life of a host.
func (w *world) node(name core.HostName) *node {
	for i := range w.nodes {
		if w.nodes[i].steerer.Self.Name == name {
			return w.nodes[i]
		}
	}
	return nil
}

// tickEvery is the time between two rounds of the hosts' duties.
const tickEvery = steerer.Heartbeat

// advance lets time pass; hosts that act do their duties meanwhile.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(tickEvery, end.Sub(w.now)))
		for i, n := range w.nodes {
			if n.acts() {
				w.duties(n, i)
			}
		}
		w.poll()
	}
}

// duties does what the daemon does in the background.
func (w *world) duties(n *node, index int) {
	now := n.now()
	s := n.steerer
	s.Tick(now)
	s.Keys.Expire(now)
	s.Attempts.Expire(now)
	if s.Phase() == core.PhaseLeaving {
		_ = n.keeper.Release()
	}
	for _, l := range s.Letters(now) {
		w.heartbeat(n, l)
	}
	own := steerer.Letter{Records: nil}
	own.Records = append(own.Records, s.Record(now))
	for _, other := range w.nodes {
		own.To = other.steerer.Self
		w.heartbeat(n, own)
	}
	for _, state := range s.Balancer.States() {
		u := w.upstreams[state.Name]
		s.Balancer.SetReport(u.Name, u.reported, !u.leaving.IsZero(), now)
	}
	listed := map[core.UpstreamName]bool{}
	for name, u := range w.upstreams {
		listed[name] = !u.listed.IsZero()
	}
	s.Balancer.SetListed(listed)
	w.followTickets(n)
	if s.Phase() == core.PhaseLive && (int(w.now.UnixMilli()/tickEvery.Milliseconds())+index)%12 == 0 {
		_ = n.keeper.Renew(now)
	}
	if s.Sequencer.Number() != n.number {
		n.number = max(n.number, s.Sequencer.Number())
	}
}

// heartbeat delivers records unless the zones are cut off from each other.
func (w *world) heartbeat(from *node, l steerer.Letter) {
	to := w.node(l.To.Name)
	if to == nil || to == from || !to.acts() || w.isCut(from.steerer.Self.Zone.Name, to.steerer.Self.Zone.Name) {
		return
	}
	to.steerer.Receive(l.Records, to.now())
}

// followTickets reads the store and asks the hosts that are ahead.
func (w *world) followTickets(n *node) {
	for {
		ticket, _, err := n.archive.Read(n.steerer.Sequencer.Number() + 1)
		if err != nil {
			break
		}
		n.steerer.Offer(ticket, n.now())
	}
	for _, h := range n.steerer.Behind(n.now()) {
		other := w.node(h.Name)
		if !other.acts() || w.isCut(h.Zone.Name, n.steerer.Self.Zone.Name) {
			continue
		}
		tickets, ok := other.steerer.Sequencer.Since(n.steerer.Sequencer.Number() + 1)
		if !ok {
			n.steerer.Restore(other.steerer.Sequencer.Configuration().Whole("snapshot"), n.now())
		}
		for _, t := range tickets {
			n.steerer.Offer(t, n.now())
		}
	}
}

// spend records what a host sends over a link as the daemon paces it.
func (w *world) spend(n *node, to core.RegionName, size core.Bytes) bool {
	from := n.steerer.Self.Zone.Region
	if from == to {
		return true
	}
	at := n.now()
	for left := size; left > 0; left -= limiter.ChunkSize {
		part := min(left, limiter.ChunkSize)
		reservation := n.steerer.Links.Reserve(to, part, at)
		if reservation.Forbidden || !reservation.Granted {
			return false
		}
		link := core.Link{From: from, To: to}
		at = at.Add(reservation.Wait)
		w.spent[link] = append(w.spent[link], spending{at: at.Add(-n.skew), n: part})
	}
	return true
}
