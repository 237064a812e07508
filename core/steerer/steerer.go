// Package steerer joins the decisions of one entry host.
//
// A Steerer owns the tables and keeps them in step: a ticket or a change of
// membership moves the ownership of upstreams, records of other hosts update
// what they can take in, and the passing of time lets leases lapse. It does no
// input or output; an adapter feeds it and carries out what it says.
//
// # Usage
//
//	s := &steerer.Steerer{Self: host, RoundTrip: messenger.RoundTrip}
//	s.Init(now)
//	s.Offer(ticket, now)
//	s.Receive(records, now)
//	for _, h := range s.Contacts(now) { send(h, s.Records(h, now)) }
//	d := s.Dispatcher.Start(request, dispatcher.Origin{}, wake)
//
// Lock order: Steerer.mu, then Dispatcher.mu, then the leaves named there.
package steerer

import (
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/assigner"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/deduplicator"
	"github.com/endiverun/endiverun/core/dispatcher"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/router"
	"github.com/endiverun/endiverun/core/sequencer"
	"github.com/endiverun/endiverun/core/tracker"
)

// Times of membership.
const (
	// Heartbeat is the time between two records of a host.
	Heartbeat = 250 * time.Millisecond
	// Expiry is how long a host counts as live without a new record.
	Expiry = 2500 * time.Millisecond
	// Forget is how long an expired host is still contacted.
	Forget = 10 * time.Minute
	// routeLifetime is how long clients may cache a route answer.
	routeLifetime = 2 * time.Second
	// routeRefresh is how long a list of targets is reused.
	routeRefresh = 200 * time.Millisecond
)

// Retry budget and table bounds.
const (
	retryFraction = 0.1
	retryBurst    = 10
	maxKeys       = 200_000
	maxKeptBytes  = 32 * core.Mebibyte
)

// Steerer holds the decisions of one entry host.
type Steerer struct {
	Self core.Host
	// RoundTrip is the time to another host and back.
	RoundTrip func(to core.Host) time.Duration
	// Policy picks among upstreams.
	Policy balancer.Policy

	Sequencer  *sequencer.Sequencer
	Tracker    *tracker.Tracker
	Balancer   *balancer.Table
	Links      *limiter.Links
	Budget     *limiter.Budget
	Keys       *deduplicator.Table
	Attempts   *deduplicator.Table
	Dispatcher *dispatcher.Dispatcher
	Router     *router.Router

	mu           sync.Mutex
	phase        core.Phase
	sequence     uint64
	rounds       uint64
	owned        []core.Upstream
	confirmation limiter.Confirmation
	rooms        map[zoneService]*room
}

// Init builds the tables. Call it once, before anything else.
func (s *Steerer) Init(now time.Time) {
	s.phase = core.PhaseStarting
	s.rooms = map[zoneService]*room{}
	s.Sequencer = sequencer.New()
	s.Tracker = &tracker.Tracker{Self: s.Self, Expiry: Expiry, Forget: Forget}
	s.Balancer = balancer.New(s.Policy)
	s.Links = &limiter.Links{Region: s.Self.Zone.Region}
	s.Budget = &limiter.Budget{Fraction: retryFraction, Burst: retryBurst}
	s.Keys = &deduplicator.Table{MaxEntries: maxKeys, MaxBytes: maxKeptBytes}
	s.Attempts = &deduplicator.Table{MaxEntries: maxKeys, MaxBytes: maxKeptBytes, Numbered: true}
	s.Dispatcher = &dispatcher.Dispatcher{
		Self:          s.Self,
		Phase:         s.Phase,
		Configuration: s.Sequencer.Configuration,
		RoundTrip:     s.RoundTrip,
		Tracker:       s.Tracker,
		Balancer:      s.Balancer,
		Links:         s.Links,
		Budget:        s.Budget,
		Keys:          s.Keys,
		Attempts:      s.Attempts,
	}
	s.Router = &router.Router{Lifetime: routeLifetime, Refresh: routeRefresh, Candidates: s.candidates}
	s.Tick(now)
}

// Phase returns where the host stands between start and stop.
func (s *Steerer) Phase() core.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Leave begins a planned stop: the host gives up its roles and its place in
// route answers, and finishes what it has.
func (s *Steerer) Leave(now time.Time) {
	s.mu.Lock()
	s.phase = core.PhaseLeaving
	s.mu.Unlock()
	s.Tick(now)
}

// Offer takes in an accepted ticket and returns the numbers that came in force.
func (s *Steerer) Offer(ticket core.Ticket, now time.Time) []core.Number {
	applied := s.Sequencer.Offer(ticket)
	if len(applied) > 0 {
		s.reconfigure(now)
	}
	return applied
}

// Restore takes in a snapshot and reports whether it came in force.
func (s *Steerer) Restore(snapshot core.Ticket, now time.Time) bool {
	if !s.Sequencer.Restore(snapshot) {
		return false
	}
	s.reconfigure(now)
	return true
}

func (s *Steerer) reconfigure(now time.Time) {
	configuration := s.Sequencer.Configuration()
	s.mu.Lock()
	if s.phase == core.PhaseStarting && configuration.Number > 0 {
		s.phase = core.PhaseLive
	}
	s.confirmation.Zones = otherZones(configuration, s.Self.Zone)
	s.owned = nil
	s.mu.Unlock()
	s.Links.Configure(configuration.Links, now)
	s.Tick(now)
}

// otherZones returns the other availability zones of a zone's region.
func otherZones(configuration *core.Configuration, zone core.Zone) []core.ZoneName {
	var zones []core.ZoneName
	for n, z := range configuration.Zones {
		if z.Region == zone.Region && n != zone.Name {
			zones = append(zones, n)
		}
	}
	slices.Sort(zones)
	return zones
}

// Receive takes in records of other hosts.
func (s *Steerer) Receive(records []tracker.Record, now time.Time) {
	newest := tracker.Old
	for _, r := range records {
		news := s.Tracker.Observe(r, now)
		newest = max(newest, news)
		if news != tracker.Old {
			s.mu.Lock()
			s.confirmation.Hear(r.Host.Zone.Name, now)
			s.mu.Unlock()
		}
	}
	switch newest {
	case tracker.Changed:
		s.Tick(now)
	case tracker.Fresh:
		s.Dispatcher.PumpAll(now)
	default:
	}
}

// ConfirmSlot notes that the host's slot was renewed in the store, as asked at
// the given time.
func (s *Steerer) ConfirmSlot(asked, now time.Time) {
	s.mu.Lock()
	s.confirmation.Renew(asked)
	s.mu.Unlock()
	s.Tick(now)
}

// Tick brings the tables in step with the present time.
func (s *Steerer) Tick(now time.Time) {
	live := s.Tracker.Live(now)
	s.mu.Lock()
	s.refresh(live, now)
	s.mu.Unlock()
	s.Dispatcher.PumpAll(now)
}

// refresh moves the ownership of upstreams. The caller holds mu.
func (s *Steerer) refresh(live []tracker.Member, now time.Time) {
	s.Links.SetSlot(s.confirmation.IsValid(now), now)
	owned := s.ownedOf(s.Sequencer.Configuration(), live)
	if s.owned == nil || !slices.Equal(owned, s.owned) {
		s.owned = owned
		s.Balancer.Own(owned, now)
	}
	held := map[core.UpstreamName]int{}
	for _, m := range live {
		for _, h := range m.Held {
			held[h.Upstream] += h.InFlight
		}
	}
	s.Balancer.SetElsewhere(held)
}

// ownedOf returns the upstreams that this host owns in its availability zone.
// Each service is divided evenly over the zone's hosts.
func (s *Steerer) ownedOf(configuration *core.Configuration, live []tracker.Member) []core.Upstream {
	owners := tracker.Owners(s.Self, s.phase, s.Self.Zone.Name, live)
	roles := map[core.ServiceName][]string{}
	for n, u := range configuration.Upstreams {
		if u.Zone == s.Self.Zone.Name {
			roles[u.Service] = append(roles[u.Service], string(n))
		}
	}
	owned := []core.Upstream{}
	for _, names := range roles {
		slices.Sort(names)
		for role, host := range assigner.Balanced(names, owners) {
			if host == s.Self.Name {
				owned = append(owned, configuration.Upstreams[core.UpstreamName(role)])
			}
		}
	}
	slices.SortFunc(owned, func(a, b core.Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return owned
}

// Record returns what the host says of itself, with a new sequence number.
func (s *Steerer) Record(now time.Time) tracker.Record {
	s.mu.Lock()
	s.sequence++
	record := tracker.Record{Host: s.Self, Phase: s.phase, Sequence: s.sequence}
	s.mu.Unlock()
	record.Second = now.Unix()
	record.Ticket = s.Sequencer.Number()
	record.Spares = s.Spares(now)
	record.Held = s.Balancer.Held()
	return record
}

// Spares returns what the host can take in for each service.
func (s *Steerer) Spares(now time.Time) []tracker.Spare {
	var spares []tracker.Spare
	for n := range s.Sequencer.Configuration().Services {
		summary := s.Balancer.Summarize(n, now)
		if summary.Total == 0 {
			continue
		}
		free := summary.Free
		if s.Dispatcher.Waiting(n) > 0 {
			free = 0
		}
		spares = append(spares, tracker.Spare{
			Service: n, Free: free, Total: summary.Total, Expected: summary.Expected,
		})
	}
	slices.SortFunc(spares, func(a, b tracker.Spare) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return spares
}

// candidates returns the hosts that may stand in route answers.
func (s *Steerer) candidates(service core.ServiceName, now time.Time) []router.Candidate {
	live := s.Tracker.Live(now)
	candidates := make([]router.Candidate, 0, len(live)+1)
	if s.Phase() == core.PhaseLive {
		candidates = append(candidates, router.Candidate{Host: s.Self, Second: now.Unix()})
	}
	for _, m := range live {
		if m.Phase == core.PhaseLive {
			candidates = append(candidates, router.Candidate{Host: m.Host, Second: m.Clock(now)})
		}
	}
	s.markRoom(candidates, service, live, now)
	return candidates
}

// zoneService is a service in an availability zone.
type zoneService struct {
	zone    core.ZoneName
	service core.ServiceName
}

// room is the smoothed free part of a service's slots in a zone.
type room struct {
	free    float64
	at      time.Time
	hasRoom bool
}

// Hysteresis of room keeps routes from following every small change of load.
const (
	roomTime  = 3 * time.Second
	roomLost  = 0.02
	roomFound = 0.10
)

// markRoom tells which hosts are in an availability zone with free slots.
func (s *Steerer) markRoom(candidates []router.Candidate, service core.ServiceName, live []tracker.Member, now time.Time) {
	free := map[core.ZoneName]int{}
	total := map[core.ZoneName]int{}
	add := func(zone core.ZoneName, spares []tracker.Spare) {
		for _, p := range spares {
			if p.Service == service {
				free[zone] += p.Free
				total[zone] += p.Total
			}
		}
	}
	add(s.Self.Zone.Name, s.Spares(now))
	for _, m := range live {
		add(m.Host.Zone.Name, m.Spares)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for z, n := range total {
		s.smooth(zoneService{zone: z, service: service}, float64(free[z])/float64(n), now)
	}
	for i, c := range candidates {
		r := s.rooms[zoneService{zone: c.Host.Zone.Name, service: service}]
		candidates[i].Room = r == nil || r.hasRoom
	}
}

// smooth takes in the free part of a zone's slots. The caller holds mu.
func (s *Steerer) smooth(key zoneService, free float64, now time.Time) {
	r := s.rooms[key]
	if r == nil {
		r = &room{free: free, hasRoom: true}
		s.rooms[key] = r
	}
	part := min(1, now.Sub(r.at).Seconds()/roomTime.Seconds())
	r.free += part * (free - r.free)
	r.at = now
	switch {
	case r.free < roomLost:
		r.hasRoom = false
	case r.free > roomFound:
		r.hasRoom = true
	default:
	}
}
