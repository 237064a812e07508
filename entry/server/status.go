package server

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/router"
	"github.com/endiverun/endiverun/entry/listener"
)

// Status is the response to a status query of an operator.
type Status struct {
	Host     core.HostName    `json:"host"`
	Zone     core.ZoneName    `json:"zone"`
	Region   core.RegionName  `json:"region"`
	Phase    core.Phase       `json:"phase"`
	Ticket   core.Number      `json:"ticket"`
	Members  []MemberStatus   `json:"members"`
	Upstream []UpstreamStatus `json:"upstreams"`
	Links    []LinkStatus     `json:"links"`
	Waiting  map[string]int   `json:"waiting"`
	HasSlot  bool             `json:"has-link-slot"`
	Life     string           `json:"incarnation"`
	Keys     int              `json:"keys-remembered"`
	Now      time.Time        `json:"time"`
}

// MemberStatus describes another host as this one knows it.
type MemberStatus struct {
	Host    core.HostName     `json:"host"`
	Zone    core.ZoneName     `json:"zone"`
	Phase   core.Phase        `json:"phase"`
	Ticket  core.Number       `json:"ticket"`
	IsLive  bool              `json:"live"`
	Silence core.Milliseconds `json:"silence-ms"`
}

// UpstreamStatus describes an upstream that this host owns.
type UpstreamStatus struct {
	Name     core.UpstreamName `json:"name"`
	Service  core.ServiceName  `json:"service"`
	Slots    int               `json:"slots"`
	Limit    int               `json:"limit"`
	InFlight int               `json:"in-flight"`
	Mean     core.Milliseconds `json:"mean-ms"`
	Leaving  bool              `json:"leaving"`
	Ejected  bool              `json:"ejected"`
}

// LinkStatus is the rate at which this host may send to another region.
type LinkStatus struct {
	To   core.RegionName    `json:"to"`
	Rate core.BitsPerSecond `json:"rate-bits"`
}

// Status returns the current status of the host.
func (s *Server) Status() Status {
	now := s.now()
	status := Status{
		Host:    s.host.Name,
		Zone:    s.host.Zone.Name,
		Region:  s.host.Zone.Region,
		Phase:   s.steerer.Phase(),
		Ticket:  s.steerer.Sequencer.Number(),
		Waiting: s.waitingRequests(),
		HasSlot: s.steerer.Links.HasSlot(),
		Life:    s.host.Incarnation.String(),
		Keys:    s.steerer.Keys.Len(),
		Now:     now,
	}
	s.addMembers(&status, now)
	s.addUpstreams(&status, now)
	for region, rate := range s.steerer.Links.Rates(now) {
		status.Links = append(status.Links, LinkStatus{To: region, Rate: rate})
	}
	return status
}

func (s *Server) addMembers(status *Status, now time.Time) {
	for _, member := range s.steerer.Tracker.Live(now) {
		status.Members = append(status.Members, MemberStatus{
			Host: member.Host.Name, Zone: member.Host.Zone.Name, Phase: member.Phase, Ticket: member.Ticket,
			IsLive: true, Silence: core.MillisecondsOf(now.Sub(member.Heard)),
		})
	}
	for _, member := range s.steerer.Tracker.Expired(now) {
		status.Members = append(status.Members, MemberStatus{
			Host: member.Host.Name, Zone: member.Host.Zone.Name, Phase: member.Phase, Ticket: member.Ticket,
			Silence: core.MillisecondsOf(now.Sub(member.Heard)),
		})
	}
}

func (s *Server) addUpstreams(status *Status, now time.Time) {
	for _, upstream := range s.steerer.Balancer.States() {
		status.Upstream = append(status.Upstream, UpstreamStatus{
			Name: upstream.Name, Service: upstream.Service, Slots: upstream.Slots, Limit: upstream.Limit, InFlight: upstream.InFlight,
			Mean:    core.MillisecondsOf(upstream.Mean),
			Leaving: upstream.Leaving || upstream.Listed || upstream.Draining,
			Ejected: now.Before(upstream.EjectedUntil),
		})
	}
}

// waitingRequests returns the number of queued requests by service.
func (s *Server) waitingRequests() map[string]int {
	waiting := map[string]int{}
	for n := range s.steerer.Sequencer.Configuration().Services {
		waiting[string(n)] = s.steerer.Dispatcher.Waiting(n)
	}
	return waiting
}

// route returns the entry hosts that a client should use.
func (s *Server) route(query listener.RouteQuery) (any, *core.Refusal) {
	s.counters.Routes.Add(1)
	route, refusal := s.findRoute(query)
	return route, refusal
}

func (s *Server) findRoute(query listener.RouteQuery) (router.Route, *core.Refusal) {
	configuration := s.steerer.Sequencer.Configuration()
	if configuration.Number == 0 {
		return router.Route{}, &core.Refusal{Kind: core.RefusalNotReady, Detail: "this host has no configuration yet", Retry: time.Second}
	}
	if _, ok := configuration.Services[query.Service]; !ok {
		return router.Route{}, &core.Refusal{Kind: core.RefusalUnknownService, Detail: "no service of that name is configured"}
	}
	zone := s.clientZone(configuration, query)
	return s.steerer.Router.Route(router.Query{Service: query.Service, Zone: zone, Spread: query.Spread}, configuration.Number, s.now()), nil
}

// clientZone returns the availability zone of the client: the zone that the query
// names, else the zone of its address, else this host's zone.
func (s *Server) clientZone(configuration *core.Configuration, query listener.RouteQuery) core.Zone {
	if zone, ok := configuration.Zones[query.Zone]; ok {
		return zone
	}
	if name, ok := configuration.ZoneOf(query.Remote); ok {
		if zone, ok := configuration.Zones[name]; ok {
			return zone
		}
	}
	return s.host.Zone
}

// Explanation describes where a request of a service would be sent now, and why.
type Explanation struct {
	Service core.ServiceName `json:"service"`
	Host    core.HostName    `json:"host"`
	Zone    core.ZoneName    `json:"client-zone"`
	Ticket  core.Number      `json:"ticket"`
	Route   []router.Target  `json:"route"`
	Choices []Choice         `json:"choices"`
	Verdict string           `json:"verdict"`
}

// Choice describes an upstream or a host that could run the request.
type Choice struct {
	Name   string  `json:"name"`
	Kind   string  `json:"kind"`
	Zone   string  `json:"zone"`
	Free   int     `json:"free"`
	Total  int     `json:"total"`
	Cost   float64 `json:"cost-ms"`
	Usable bool    `json:"usable"`
	Reason string  `json:"reason,omitempty"`
}

// explain returns where a request of a service would be sent now.
func (s *Server) explain(query listener.RouteQuery) (any, *core.Refusal) {
	route, refusal := s.findRoute(query)
	if refusal != nil {
		return nil, refusal
	}
	configuration := s.steerer.Sequencer.Configuration()
	explanation := Explanation{
		Service: query.Service,
		Host:    s.host.Name,
		Zone:    s.clientZone(configuration, query).Name,
		Ticket:  configuration.Number,
		Route:   route.Hosts,
	}
	s.explainUpstreams(&explanation)
	s.explainPeers(&explanation)
	explanation.Verdict = s.steerer.Dispatcher.Explain(query.Service, s.now())
	return explanation, nil
}

func (s *Server) explainUpstreams(explanation *Explanation) {
	now := s.now()
	for _, upstream := range s.steerer.Balancer.States() {
		if upstream.Service != explanation.Service {
			continue
		}
		reason := ""
		switch {
		case upstream.Draining:
			reason = "the ticket drains it"
		case upstream.Leaving:
			reason = "it reports that it leaves"
		case upstream.Listed:
			reason = "the platform lists it as leaving"
		case now.Before(upstream.EjectedUntil):
			reason = "ejected after failures"
		case upstream.Free() == 0:
			reason = "all slots are in use"
		default:
		}
		explanation.Choices = append(explanation.Choices, Choice{
			Name: string(upstream.Name), Kind: "upstream", Zone: string(upstream.Zone), Free: upstream.Free(), Total: upstream.Slots,
			Cost: float64(upstream.Mean) / float64(time.Millisecond), Usable: reason == "", Reason: reason,
		})
	}
}

func (s *Server) explainPeers(explanation *Explanation) {
	for _, member := range s.steerer.Tracker.Live(s.now()) {
		for _, spare := range member.Spares {
			if spare.Service != explanation.Service {
				continue
			}
			roundTrip := s.steerer.RoundTrip(member.Host)
			candidate := Choice{
				Name: string(member.Host.Name), Kind: "host", Zone: string(member.Host.Zone.Name), Free: spare.Free, Total: spare.Total,
				Cost: float64(roundTrip+spare.Expected) / float64(time.Millisecond), Usable: spare.Free > 0 && member.Phase == core.PhaseLive,
			}
			if !candidate.Usable {
				candidate.Reason = "no free slots, or leaving"
			}
			explanation.Choices = append(explanation.Choices, candidate)
		}
	}
}
