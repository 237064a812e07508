package server

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/router"
	"github.com/endiverun/endiverun/core/tracker"
	"github.com/endiverun/endiverun/entry/listener"
)

// Status is the response to a status query of an operator.
type Status struct {
	Host           core.HostName     `json:"host"`
	Zone           core.ZoneName     `json:"zone"`
	Region         core.RegionName   `json:"region"`
	Phase          core.Phase        `json:"phase"`
	Ticket         core.TicketNumber `json:"ticket"`
	Members        []MemberStatus    `json:"members"`
	Upstreams      []UpstreamStatus  `json:"upstreams"`
	Links          []LinkStatus      `json:"links"`
	QueuedRequests map[string]int    `json:"waiting"`
	HasLinkSlot    bool              `json:"has-link-slot"`
	Incarnation    string            `json:"incarnation"`
	RememberedKeys int               `json:"keys-remembered"`
	Now            time.Time         `json:"time"`
}

// MemberStatus describes another host as this one knows it.
type MemberStatus struct {
	Host         core.HostName     `json:"host"`
	Address      string            `json:"client-address"`
	Zone         core.ZoneName     `json:"zone"`
	Phase        core.Phase        `json:"phase"`
	Ticket       core.TicketNumber `json:"ticket"`
	IsLive       bool              `json:"live"`
	HeartbeatAge core.Milliseconds `json:"silence-ms"`
}

// UpstreamStatus describes an upstream that this host owns.
type UpstreamStatus struct {
	Name             core.UpstreamName `json:"name"`
	Service          core.ServiceName  `json:"service"`
	Slots            int               `json:"slots"`
	ConcurrencyLimit int               `json:"limit"`
	InFlight         int               `json:"in-flight"`
	MeanServiceTime  core.Milliseconds `json:"mean-ms"`
	IsDraining       bool              `json:"leaving"`
	IsEjected        bool              `json:"ejected"`
}

// LinkStatus is the rate at which this host may send to another region.
type LinkStatus struct {
	ToRegion core.RegionName    `json:"to"`
	Rate     core.BitsPerSecond `json:"rate-bits"`
}

// Status returns the current status of the host.
func (s *Server) Status() Status {
	now := s.now()
	status := Status{
		Host:           s.host.Name,
		Zone:           s.host.Zone.Name,
		Region:         s.host.Zone.Region,
		Phase:          s.steerer.Phase(),
		Ticket:         s.steerer.Sequencer.TicketNumber(),
		QueuedRequests: s.waitingRequests(),
		HasLinkSlot:    s.steerer.LinkLimiter.HasSlot(),
		Incarnation:    s.host.Incarnation.String(),
		RememberedKeys: s.steerer.Keys.Len(),
		Now:            now,
	}
	s.addMembers(&status, now)
	s.addUpstreams(&status, now)
	for region, rate := range s.steerer.LinkLimiter.CurrentRates(now) {
		status.Links = append(status.Links, LinkStatus{ToRegion: region, Rate: rate})
	}
	return status
}

func (s *Server) addMembers(status *Status, now time.Time) {
	for _, member := range s.steerer.Tracker.Live(now) {
		status.Members = append(status.Members, newMemberStatus(member, true, now))
	}
	for _, member := range s.steerer.Tracker.Expired(now) {
		status.Members = append(status.Members, newMemberStatus(member, false, now))
	}
}

func newMemberStatus(member tracker.Member, isLive bool, now time.Time) MemberStatus {
	return MemberStatus{
		Host: member.Host.Name, Address: member.Host.ClientAddress, Zone: member.Host.Zone.Name, Phase: member.Phase,
		Ticket: member.TicketNumber, IsLive: isLive, HeartbeatAge: core.MillisecondsOf(now.Sub(member.ReceivedAt)),
	}
}

func (s *Server) addUpstreams(status *Status, now time.Time) {
	for _, upstream := range s.steerer.Balancer.UpstreamStates() {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name: upstream.Name, Service: upstream.Service, Slots: upstream.Slots, ConcurrencyLimit: upstream.ConcurrencyLimit,
			InFlight:        upstream.InFlight,
			MeanServiceTime: core.MillisecondsOf(upstream.MeanServiceTime),
			IsDraining:      upstream.ReportedDraining || upstream.ListedDraining || upstream.Draining,
			IsEjected:       now.Before(upstream.EjectedUntil),
		})
	}
}

// waitingRequests returns the number of queued requests by service.
func (s *Server) waitingRequests() map[string]int {
	waiting := map[string]int{}
	for n := range s.steerer.Sequencer.Configuration().Services {
		waiting[string(n)] = s.steerer.Dispatcher.QueueLength(n)
	}
	return waiting
}

// route returns the entry hosts that a client should use.
func (s *Server) route(query listener.RouteQuery) (any, *core.Refusal) {
	s.counters.RouteQueries.Add(1)
	route, refusal := s.findRoute(query)
	return route, refusal
}

func (s *Server) findRoute(query listener.RouteQuery) (router.Route, *core.Refusal) {
	configuration := s.steerer.Sequencer.Configuration()
	if configuration.Number == 0 {
		return router.Route{}, &core.Refusal{Kind: core.RefusalNotReady, Detail: "this host has no configuration yet", RetryAfter: time.Second}
	}
	if _, ok := configuration.Services[query.Service]; !ok {
		return router.Route{}, &core.Refusal{Kind: core.RefusalUnknownService, Detail: "no service of that name is configured"}
	}
	zone := s.clientZone(configuration, query)
	routed := router.Query{Service: query.Service, Zone: zone, ClientHash: query.ClientHash}
	return s.steerer.Router.Route(routed, configuration.Number, s.now()), nil
}

// clientZone returns the availability zone of the client: the zone that the query
// names, else the zone of its address, else this host's zone.
func (s *Server) clientZone(configuration *core.Configuration, query listener.RouteQuery) core.Zone {
	if zone, ok := configuration.Zones[query.Zone]; ok {
		return zone
	}
	if name, ok := configuration.ZoneOf(query.ClientAddress); ok {
		if zone, ok := configuration.Zones[name]; ok {
			return zone
		}
	}
	return s.host.Zone
}

// Explanation describes where a request of a service would be sent now, and why.
type Explanation struct {
	Service    core.ServiceName  `json:"service"`
	Host       core.HostName     `json:"host"`
	ClientZone core.ZoneName     `json:"client-zone"`
	Ticket     core.TicketNumber `json:"ticket"`
	Route      []router.Target   `json:"route"`
	Candidates []Candidate       `json:"choices"`
	Decision   string            `json:"verdict"`
}

// Candidate describes an upstream or a host that could run the request.
type Candidate struct {
	Name       string  `json:"name"`
	Kind       string  `json:"kind"`
	Zone       string  `json:"zone"`
	FreeSlots  int     `json:"free"`
	TotalSlots int     `json:"total"`
	CostMs     float64 `json:"cost-ms"`
	IsUsable   bool    `json:"usable"`
	Reason     string  `json:"reason,omitempty"`
}

// explain returns where a request of a service would be sent now.
func (s *Server) explain(query listener.RouteQuery) (any, *core.Refusal) {
	route, refusal := s.findRoute(query)
	if refusal != nil {
		return nil, refusal
	}
	configuration := s.steerer.Sequencer.Configuration()
	explanation := Explanation{
		Service:    query.Service,
		Host:       s.host.Name,
		ClientZone: s.clientZone(configuration, query).Name,
		Ticket:     configuration.Number,
		Route:      route.Hosts,
	}
	s.explainUpstreams(&explanation)
	s.explainPeers(&explanation)
	explanation.Decision = s.steerer.Dispatcher.Explain(query.Service, s.now())
	return explanation, nil
}

func (s *Server) explainUpstreams(explanation *Explanation) {
	now := s.now()
	for _, upstream := range s.steerer.Balancer.UpstreamStates() {
		if upstream.Service != explanation.Service {
			continue
		}
		reason := ""
		switch {
		case upstream.Draining:
			reason = "the ticket drains it"
		case upstream.ReportedDraining:
			reason = "it reports that it leaves"
		case upstream.ListedDraining:
			reason = "the platform lists it as leaving"
		case now.Before(upstream.EjectedUntil):
			reason = "ejected after failures"
		case upstream.FreeSlots() == 0:
			reason = "all slots are in use"
		default:
		}
		explanation.Candidates = append(explanation.Candidates, Candidate{
			Name: string(upstream.Name), Kind: "upstream", Zone: string(upstream.Zone), FreeSlots: upstream.FreeSlots(), TotalSlots: upstream.Slots,
			CostMs: float64(upstream.MeanServiceTime) / float64(time.Millisecond), IsUsable: reason == "", Reason: reason,
		})
	}
}

func (s *Server) explainPeers(explanation *Explanation) {
	for _, member := range s.steerer.Tracker.Live(s.now()) {
		for _, spare := range member.Capacities {
			if spare.Service != explanation.Service {
				continue
			}
			roundTrip := s.steerer.RoundTrip(member.Host)
			candidate := Candidate{
				Name: string(member.Host.Name), Kind: "host", Zone: string(member.Host.Zone.Name),
				FreeSlots: spare.FreeSlots, TotalSlots: spare.TotalSlots,
				CostMs:   float64(roundTrip+spare.BestServiceTime) / float64(time.Millisecond),
				IsUsable: spare.FreeSlots > 0 && member.Phase == core.PhaseLive,
			}
			if !candidate.IsUsable {
				candidate.Reason = "no free slots, or leaving"
			}
			explanation.Candidates = append(explanation.Candidates, candidate)
		}
	}
}
