// Package steerer combines the decision packages into the state of one entry host.
//
// A Steerer owns the tables and keeps them consistent: a ticket or a change of
// membership reassigns the upstreams to their owners, records of other hosts update the
// free capacity of those hosts, and leases expire with time. It performs no input or
// output: its caller passes in messages and the time, and sends what it returns.
//
// # Usage
//
//	s := &steerer.Steerer{Self: host, RoundTrip: messenger.RoundTrip, Policy: balancer.LeastServiceTime}
//	s.Init(now)
//	s.AddTicket(ticket, now)
//	s.ReceiveRecords(records, now)
//	for _, b := range s.NextRecordBatches(now) {
//		send(b.To, b.Records)
//	}
//	d := s.Dispatcher.Start(request, dispatcher.Origin{}, wake)
//
// Lock order: Steerer.mu, then Dispatcher.mu, then the leaves that package dispatcher
// names.
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

// Intervals and timeouts of membership and of routes.
const (
	// HeartbeatInterval is the interval between two records of a host.
	HeartbeatInterval = 250 * time.Millisecond
	// HeartbeatTimeout is the heartbeat timeout: a host is live for this long after its newest
	// record arrived.
	HeartbeatTimeout = 2500 * time.Millisecond
	// ForgetAfter is the time without a record after which an expired host is no longer
	// contacted.
	ForgetAfter = 10 * time.Minute
	// routeLifetime is how long clients may cache a route.
	routeLifetime = 2 * time.Second
	// routeRefreshInterval is how long the router reuses a list of targets.
	routeRefreshInterval = 200 * time.Millisecond
)

const (
	// retryFraction is the number of retries that each request adds to the retry budget.
	retryFraction = 0.1
	// retryBurst is the greatest number of retries in the retry budget.
	retryBurst = 10
	// maxTableEntries is the greatest number of IDs in each table of the deduplicator.
	maxTableEntries = 200_000
	// maxBodyBytes is the greatest total size of the response bodies in each table.
	maxBodyBytes = 32 * core.Mebibyte
)

// Steerer holds the state and the decisions of one entry host.
type Steerer struct {
	Self core.Host
	// RoundTrip returns the round-trip time to another host.
	RoundTrip func(to core.Host) time.Duration
	// Policy selects one of the upstreams with free slots.
	Policy balancer.Policy

	Sequencer   *sequencer.Sequencer
	Tracker     *tracker.Tracker
	Balancer    *balancer.Table
	LinkLimiter *limiter.LinkLimiter
	RetryBudget *limiter.RetryBudget
	Keys        *deduplicator.Table
	Attempts    *deduplicator.Table
	Dispatcher  *dispatcher.Dispatcher
	Router      *router.Router

	mu    sync.Mutex
	phase core.Phase
	// sequence is the sequence number of the newest record of this host.
	sequence uint64
	// heartbeats is the number of calls of NextRecordBatches.
	heartbeats uint64
	// owned lists the upstreams that this host owns; nil where they must be set again.
	owned            []core.Upstream
	slotConfirmation limiter.SlotValidity
	freeCapacities   map[zoneService]*freeCapacity
}

// Init creates the tables. Call it once, before every other method.
func (s *Steerer) Init(now time.Time) {
	s.phase = core.PhaseStarting
	s.freeCapacities = map[zoneService]*freeCapacity{}
	s.Sequencer = sequencer.New()
	s.Tracker = &tracker.Tracker{Self: s.Self, HeartbeatTimeout: HeartbeatTimeout, ForgetAfter: ForgetAfter}
	s.Balancer = balancer.New(s.Policy)
	s.LinkLimiter = &limiter.LinkLimiter{Region: s.Self.Zone.Region}
	s.RetryBudget = &limiter.RetryBudget{Ratio: retryFraction, Burst: retryBurst}
	s.Keys = &deduplicator.Table{MaxEntries: maxTableEntries, MaxBodyBytes: maxBodyBytes}
	s.Attempts = &deduplicator.Table{MaxEntries: maxTableEntries, MaxBodyBytes: maxBodyBytes, HasSequenceNumbers: true}
	s.Dispatcher = &dispatcher.Dispatcher{
		Self:          s.Self,
		Phase:         s.Phase,
		Configuration: s.Sequencer.Configuration,
		RoundTrip:     s.RoundTrip,
		Tracker:       s.Tracker,
		Balancer:      s.Balancer,
		LinkLimiter:   s.LinkLimiter,
		RetryBudget:   s.RetryBudget,
		Keys:          s.Keys,
		Attempts:      s.Attempts,
	}
	s.Router = &router.Router{Lifetime: routeLifetime, RefreshInterval: routeRefreshInterval, Candidates: s.candidates}
	s.Tick(now)
}

// Phase returns the lifecycle phase of the host.
func (s *Steerer) Phase() core.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// StartDraining starts draining the host for a graceful stop: the host gives up its roles, no
// longer appears in routes, and finishes the requests that it has. It refuses those whose
// responses it could not await until the end of the schedule.
func (s *Steerer) StartDraining(schedule core.DrainSchedule, now time.Time) {
	s.Dispatcher.StartDraining(schedule)
	s.mu.Lock()
	s.phase = core.PhaseLeaving
	s.mu.Unlock()
	s.Tick(now)
}

// AddTicket adds an accepted ticket and returns the numbers of the tickets that came into
// force.
func (s *Steerer) AddTicket(ticket core.Ticket, now time.Time) []core.TicketNumber {
	applied := s.Sequencer.AddTicket(ticket)
	if len(applied) > 0 {
		s.reconfigure(now)
	}
	return applied
}

// RestoreSnapshot replaces the configuration with a snapshot and reports whether the snapshot was
// newer.
func (s *Steerer) RestoreSnapshot(snapshot core.Ticket, now time.Time) bool {
	if !s.Sequencer.RestoreSnapshot(snapshot) {
		return false
	}
	s.reconfigure(now)
	return true
}

// reconfigure updates the state after the configuration changed. The first configuration
// ends the starting phase.
func (s *Steerer) reconfigure(now time.Time) {
	configuration := s.Sequencer.Configuration()
	s.mu.Lock()
	if s.phase == core.PhaseStarting && configuration.Number > 0 {
		s.phase = core.PhaseLive
	}
	s.slotConfirmation.OtherZones = otherZones(configuration, s.Self.Zone)
	s.owned = nil
	s.mu.Unlock()
	s.LinkLimiter.Configure(configuration.Links, now)
	s.Tick(now)
}

// otherZones returns the names of the other availability zones in the zone's region, in
// alphabetical order.
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

// ReceiveRecords processes records of other hosts.
func (s *Steerer) ReceiveRecords(records []tracker.Record, now time.Time) {
	greatest := tracker.ChangeNone
	for _, r := range records {
		news := s.Tracker.Observe(r, now)
		greatest = max(greatest, news)
		if news != tracker.ChangeNone {
			s.mu.Lock()
			s.slotConfirmation.RecordHeartbeat(r.Host.Zone.Name, now)
			s.mu.Unlock()
		}
	}
	switch greatest {
	case tracker.ChangeMembership:
		s.Tick(now)
	case tracker.ChangeState:
		s.Dispatcher.AssignAllQueued(now)
	default:
	}
}

// RecordSlotRenewal records that the host's slot was renewed in the store by a request that was
// sent at the given time.
func (s *Steerer) RecordSlotRenewal(requestedAt, now time.Time) {
	s.mu.Lock()
	s.slotConfirmation.RecordRenewal(requestedAt)
	s.mu.Unlock()
	s.Tick(now)
}

// Tick updates the tables to the given time and grants free slots to queued requests.
func (s *Steerer) Tick(now time.Time) {
	live := s.Tracker.Live(now)
	s.mu.Lock()
	s.refresh(live, now)
	s.mu.Unlock()
	s.Dispatcher.AssignAllQueued(now)
}

// refresh updates whether the host may use its slot, which upstreams it owns, and how many
// requests earlier owners have in flight at them. The caller holds mu.
func (s *Steerer) refresh(live []tracker.Member, now time.Time) {
	s.LinkLimiter.SetSlot(s.slotConfirmation.IsValid(now), now)
	owned := s.ownedUpstreams(s.Sequencer.Configuration(), live)
	if s.owned == nil || !slices.Equal(owned, s.owned) {
		s.owned = owned
		s.Balancer.SetOwned(owned, now)
	}
	inFlight := map[core.UpstreamName]int{}
	for _, m := range live {
		for _, h := range m.FormerInFlight {
			inFlight[h.Upstream] += h.InFlight
		}
	}
	s.Balancer.SetInFlightElsewhere(inFlight)
}

// ownedUpstreams returns the upstreams of its availability zone that this host owns, by
// name. The upstreams of each service are divided evenly over the zone's hosts.
func (s *Steerer) ownedUpstreams(configuration *core.Configuration, live []tracker.Member) []core.Upstream {
	owners := tracker.EligibleHosts(s.Self, s.phase, s.Self.Zone.Name, live)
	namesByService := map[core.ServiceName][]string{}
	for n, u := range configuration.Upstreams {
		if u.Zone == s.Self.Zone.Name {
			namesByService[u.Service] = append(namesByService[u.Service], string(n))
		}
	}
	owned := []core.Upstream{}
	for _, names := range namesByService {
		slices.Sort(names)
		for name, host := range assigner.AssignBalanced(names, owners) {
			if host == s.Self.Name {
				owned = append(owned, configuration.Upstreams[core.UpstreamName(name)])
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

// NextRecord returns the host's record about itself, with the next sequence number.
func (s *Steerer) NextRecord(now time.Time) tracker.Record {
	s.mu.Lock()
	s.sequence++
	record := tracker.Record{Host: s.Self, Phase: s.phase, Sequence: s.sequence}
	s.mu.Unlock()
	record.UnixSeconds = now.Unix()
	record.TicketNumber = s.Sequencer.TicketNumber()
	record.Capacities = s.Capacities(now)
	record.FormerInFlight = s.Balancer.FormerInFlight()
	return record
}

// Capacities returns the host's free capacity for each service of which it owns upstreams, by
// service name. A service with queued requests has no free slots for other hosts.
func (s *Steerer) Capacities(now time.Time) []tracker.ServiceCapacity {
	var capacities []tracker.ServiceCapacity
	for n := range s.Sequencer.Configuration().Services {
		summary := s.Balancer.Capacity(n, now)
		if summary.TotalSlots == 0 {
			continue
		}
		free := summary.FreeSlots
		if s.Dispatcher.QueueLength(n) > 0 {
			free = 0
		}
		capacities = append(capacities, tracker.ServiceCapacity{
			Service: n, FreeSlots: free, TotalSlots: summary.TotalSlots, BestServiceTime: summary.BestServiceTime,
		})
	}
	slices.SortFunc(capacities, func(a, b tracker.ServiceCapacity) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return capacities
}

// candidates returns the hosts that may appear in routes.
func (s *Steerer) candidates(service core.ServiceName, now time.Time) []router.Candidate {
	live := s.Tracker.Live(now)
	candidates := make([]router.Candidate, 0, len(live)+1)
	if s.Phase() == core.PhaseLive {
		candidates = append(candidates, router.Candidate{Host: s.Self, UnixSeconds: now.Unix()})
	}
	for _, m := range live {
		if m.Phase == core.PhaseLive {
			candidates = append(candidates, router.Candidate{Host: m.Host, UnixSeconds: m.UnixSecondsAt(now)})
		}
	}
	s.setHasCapacity(candidates, service, live, now)
	return candidates
}

// zoneService identifies a service in an availability zone.
type zoneService struct {
	zone    core.ZoneName
	service core.ServiceName
}

// freeCapacity is the smoothed fraction of a service's slots in an availability zone that
// is free.
type freeCapacity struct {
	fraction    float64
	updatedAt   time.Time
	hasCapacity bool
}

// Smoothing and hysteresis of the free capacity keep small changes of the load from
// changing routes.
const (
	// capacitySmoothing is the time constant of the moving average.
	capacitySmoothing = 3 * time.Second
	// fullBelow is the fraction of free slots below which a zone has no capacity.
	fullBelow = 0.02
	// freeAbove is the fraction of free slots above which a full zone has capacity again.
	freeAbove = 0.10
)

// setHasCapacity sets for each candidate whether its availability zone has free slots.
func (s *Steerer) setHasCapacity(candidates []router.Candidate, service core.ServiceName, live []tracker.Member, now time.Time) {
	free := map[core.ZoneName]int{}
	total := map[core.ZoneName]int{}
	add := func(zone core.ZoneName, capacities []tracker.ServiceCapacity) {
		for _, capacity := range capacities {
			if capacity.Service == service {
				free[zone] += capacity.FreeSlots
				total[zone] += capacity.TotalSlots
			}
		}
	}
	add(s.Self.Zone.Name, s.Capacities(now))
	for _, m := range live {
		add(m.Host.Zone.Name, m.Capacities)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for z, n := range total {
		s.updateFreeCapacity(zoneService{zone: z, service: service}, float64(free[z])/float64(n), now)
	}
	for i, c := range candidates {
		known := s.freeCapacities[zoneService{zone: c.Host.Zone.Name, service: service}]
		candidates[i].HasCapacity = known == nil || known.hasCapacity
	}
}

// updateFreeCapacity adds a sample of the free fraction of a zone's slots to its moving
// average. The caller holds mu.
func (s *Steerer) updateFreeCapacity(key zoneService, sample float64, now time.Time) {
	c := s.freeCapacities[key]
	if c == nil {
		c = &freeCapacity{fraction: sample, hasCapacity: true}
		s.freeCapacities[key] = c
	}
	weight := min(1, now.Sub(c.updatedAt).Seconds()/capacitySmoothing.Seconds())
	c.fraction += weight * (sample - c.fraction)
	c.updatedAt = now
	switch {
	case c.fraction < fullBelow:
		c.hasCapacity = false
	case c.fraction > freeAbove:
		c.hasCapacity = true
	default:
	}
}
