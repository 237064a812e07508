package server

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/router"
	"github.com/endiverun/endiverun/entry/listener"
)

// Status is a host's view as operators read it.
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

// MemberStatus is another host as this one sees it.
type MemberStatus struct {
	Host    core.HostName     `json:"host"`
	Zone    core.ZoneName     `json:"zone"`
	Phase   core.Phase        `json:"phase"`
	Ticket  core.Number       `json:"ticket"`
	IsLive  bool              `json:"live"`
	Silence core.Milliseconds `json:"silence-ms"`
}

// UpstreamStatus is an upstream that this host owns.
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

// LinkStatus is what this host may send to another region.
type LinkStatus struct {
	To   core.RegionName    `json:"to"`
	Rate core.BitsPerSecond `json:"rate-bits"`
}

// Status returns the host's view.
func (s *Server) Status() Status {
	now := s.now()
	status := Status{
		Host:    s.host.Name,
		Zone:    s.host.Zone.Name,
		Region:  s.host.Zone.Region,
		Phase:   s.steerer.Phase(),
		Ticket:  s.steerer.Sequencer.Number(),
		Waiting: s.waiting(),
		HasSlot: s.steerer.Links.HasSlot(),
		Life:    s.host.Incarnation.String(),
		Keys:    s.steerer.Keys.Len(),
		Now:     now,
	}
	s.addMembers(&status, now)
	s.addUpstreams(&status, now)
	for r, b := range s.steerer.Links.Rates(now) {
		status.Links = append(status.Links, LinkStatus{To: r, Rate: b})
	}
	return status
}

func (s *Server) addMembers(status *Status, now time.Time) {
	for _, m := range s.steerer.Tracker.Live(now) {
		status.Members = append(status.Members, MemberStatus{
			Host: m.Host.Name, Zone: m.Host.Zone.Name, Phase: m.Phase, Ticket: m.Ticket,
			IsLive: true, Silence: core.MillisecondsOf(now.Sub(m.Heard)),
		})
	}
	for _, m := range s.steerer.Tracker.Expired(now) {
		status.Members = append(status.Members, MemberStatus{
			Host: m.Host.Name, Zone: m.Host.Zone.Name, Phase: m.Phase, Ticket: m.Ticket,
			Silence: core.MillisecondsOf(now.Sub(m.Heard)),
		})
	}
}

func (s *Server) addUpstreams(status *Status, now time.Time) {
	for _, u := range s.steerer.Balancer.States() {
		status.Upstream = append(status.Upstream, UpstreamStatus{
			Name: u.Name, Service: u.Service, Slots: u.Slots, Limit: u.Limit, InFlight: u.InFlight,
			Mean:    core.MillisecondsOf(u.Mean),
			Leaving: u.Leaving || u.Listed || u.Draining,
			Ejected: now.Before(u.EjectedUntil),
		})
	}
}

func (s *Server) waiting() map[string]int {
	waiting := map[string]int{}
	for n := range s.steerer.Sequencer.Configuration().Services {
		waiting[string(n)] = s.steerer.Dispatcher.Waiting(n)
	}
	return waiting
}

// route answers which hosts a client should use.
func (s *Server) route(query listener.RouteQuery) (any, *core.Refusal) {
	s.counters.Routes.Add(1)
	route, refusal := s.routeOf(query)
	return route, refusal
}

func (s *Server) routeOf(query listener.RouteQuery) (router.Route, *core.Refusal) {
	configuration := s.steerer.Sequencer.Configuration()
	if configuration.Number == 0 {
		return router.Route{}, &core.Refusal{Kind: core.RefusalNotReady, Detail: "this host has no configuration yet", Retry: time.Second}
	}
	if _, ok := configuration.Services[query.Service]; !ok {
		return router.Route{}, &core.Refusal{Kind: core.RefusalUnknownService, Detail: "no service of that name is configured"}
	}
	zone := s.zoneOf(configuration, query)
	return s.steerer.Router.Route(router.Query{Service: query.Service, Zone: zone, Spread: query.Spread}, configuration.Number, s.now()), nil
}

// zoneOf returns the client's availability zone: the one it names, the one of
// its address, or this host's.
func (s *Server) zoneOf(configuration *core.Configuration, query listener.RouteQuery) core.Zone {
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

// Explanation tells what a request would use now, and why.
type Explanation struct {
	Service core.ServiceName `json:"service"`
	Host    core.HostName    `json:"host"`
	Zone    core.ZoneName    `json:"client-zone"`
	Ticket  core.Number      `json:"ticket"`
	Route   []router.Target  `json:"route"`
	Choices []Choice         `json:"choices"`
	Verdict string           `json:"verdict"`
}

// Choice is a place that could run the request.
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

// explain tells what a request would use now.
func (s *Server) explain(query listener.RouteQuery) (any, *core.Refusal) {
	route, refusal := s.routeOf(query)
	if refusal != nil {
		return nil, refusal
	}
	configuration := s.steerer.Sequencer.Configuration()
	explanation := Explanation{
		Service: query.Service,
		Host:    s.host.Name,
		Zone:    s.zoneOf(configuration, query).Name,
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
	for _, u := range s.steerer.Balancer.States() {
		if u.Service != explanation.Service {
			continue
		}
		reason := ""
		switch {
		case u.Draining:
			reason = "the ticket drains it"
		case u.Leaving:
			reason = "it reports that it leaves"
		case u.Listed:
			reason = "the platform lists it as leaving"
		case now.Before(u.EjectedUntil):
			reason = "ejected after failures"
		case u.Free() == 0:
			reason = "all slots are in use"
		default:
		}
		explanation.Choices = append(explanation.Choices, Choice{
			Name: string(u.Name), Kind: "upstream", Zone: string(u.Zone), Free: u.Free(), Total: u.Slots,
			Cost: float64(u.Mean) / float64(time.Millisecond), Usable: reason == "", Reason: reason,
		})
	}
}

func (s *Server) explainPeers(explanation *Explanation) {
	for _, m := range s.steerer.Tracker.Live(s.now()) {
		for _, p := range m.Spares {
			if p.Service != explanation.Service {
				continue
			}
			trip := s.steerer.RoundTrip(m.Host)
			choice := Choice{
				Name: string(m.Host.Name), Kind: "host", Zone: string(m.Host.Zone.Name), Free: p.Free, Total: p.Total,
				Cost: float64(trip+p.Expected) / float64(time.Millisecond), Usable: p.Free > 0 && m.Phase == core.PhaseLive,
			}
			if !choice.Usable {
				choice.Reason = "no free slots, or leaving"
			}
			explanation.Choices = append(explanation.Choices, choice)
		}
	}
}
