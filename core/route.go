package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteName names a route.
type RouteName string

// RequestClass says how often requests of a route may run.
type RequestClass uint8

// The classes of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestClass = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests carry large bodies and run at most once.
	Upload
	// Download requests have large answers and may run more than once.
	Download
)

// IsRepeatable reports whether a request may run again after an unknown outcome.
func (c RequestClass) IsRepeatable() bool {
	return c == Idempotent || c == Download
}

// String returns the class as own formats write it.
func (c RequestClass) String() string {
	switch c {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Upload:
		return "upload"
	case Download:
		return "download"
	default:
		return "invalid"
	}
}

// Priority ranks requests; 0 is the most urgent.
type Priority int

// Part is one service of a route's split.
type Part struct {
	Service ServiceName
	Weight  Weight
}

// Route says where requests of one host name below one path go.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	Class  RequestClass
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	Priority  Priority
	// Parts are the services that share the requests by weight; one or more.
	Parts []Part
	// MaxAttempts is the most upstreams that may run one request.
	MaxAttempts int
	// HasAffinity says that upstreams work faster on objects they handled.
	HasAffinity bool
	// Homes are the only regions that may run the requests; empty means all.
	Homes []RegionName
	// Fault says why requests of the route cannot be served; empty where they
	// can. Such a route still takes its requests, so that none of them goes to
	// the service of a shorter prefix.
	Fault string
}

// IsAddressed reports whether requests can be matched with the route.
func (r *Route) IsAddressed() bool {
	return r.Host != "" && strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/")
}

// Check returns what keeps requests of the route from being served.
func (r *Route) Check() error {
	var findings Findings
	if r.Host == "" {
		findings.Addf("host", "is empty")
	}
	if !r.IsAddressed() {
		findings.Addf("prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout < 0 || r.Objective < 0 {
		findings.Addf("timeout", "a time is negative")
	}
	total := Weight(0)
	for i, p := range r.Parts {
		if p.Service == "" {
			findings.Addf(Pointer("parts", i), "names no service")
		}
		if !(p.Weight >= 0) {
			findings.Addf(Pointer("parts", i), "weight %v is not 0 or more", p.Weight)
		}
		total += p.Weight
	}
	if !(total > 0) {
		findings.Addf("parts", "the weights have no positive sum")
	}
	return findings.Err()
}

// ServicePolicy is what operators state of one service for all hosts together.
type ServicePolicy struct {
	Name ServiceName
	// HealthPath answers whether an upstream is healthy.
	HealthPath string
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// WarmUp is how long an upstream stays cold after its start.
	WarmUp time.Duration
	// WarmUpRate is the requests a second that a cold upstream tolerates.
	WarmUpRate float64
}

// ClientLimits bound what a client may send.
type ClientLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RoutingPolicy is one version of the operator's routes. It is immutable.
type RoutingPolicy struct {
	Version  uint64
	Services map[ServiceName]ServicePolicy
	Limits   ClientLimits
	byHost   map[string][]*Route
}

// NewRoutingPolicy returns a policy with the given routes, prepared for Match.
func NewRoutingPolicy(version uint64, routes []Route, services []ServicePolicy, limits ClientLimits) *RoutingPolicy {
	p := &RoutingPolicy{
		Version:  version,
		Services: make(map[ServiceName]ServicePolicy, len(services)),
		Limits:   limits,
		byHost:   map[string][]*Route{},
	}
	for _, s := range services {
		p.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		p.byHost[r.Host] = append(p.byHost[r.Host], r)
	}
	for _, list := range p.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return p
}

// Match returns the route of the host name with the longest prefix of the path.
func (p *RoutingPolicy) Match(host, path string) (*Route, bool) {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HomesOf returns the regions that are homes of every route of a host name that
// has any; empty means all regions. Where routes have no home in common, those
// of the first one that has homes are returned.
func (p *RoutingPolicy) HomesOf(host string) []RegionName {
	var homes []RegionName
	for _, r := range p.byHost[host] {
		if len(r.Homes) == 0 {
			continue
		}
		if homes == nil {
			homes = r.Homes
			continue
		}
		common := slices.DeleteFunc(slices.Clone(homes), func(region RegionName) bool {
			return !slices.Contains(r.Homes, region)
		})
		if len(common) > 0 {
			homes = common
		}
	}
	return homes
}
