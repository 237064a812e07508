package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteName names a route.
type RouteName string

// RequestClass says whether requests of a route may run more than once, and whether
// they have large bodies.
type RequestClass uint8

// The request classes.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestClass = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests have large request bodies and run at most once.
	Upload
	// Download requests have large response bodies and may run more than once.
	Download
)

// IsRepeatable reports whether a request may be attempted again after an unknown
// outcome.
func (c RequestClass) IsRepeatable() bool {
	return c == Idempotent || c == Download
}

// String returns the name of the class in policies and logs.
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

// Priority orders requests by urgency; 0 is the most urgent.
type Priority int

// WeightedService is one service of a route's traffic split and its weight.
type WeightedService struct {
	Service ServiceName
	Weight  Weight
}

// Route says which services get the requests for one host name below one path prefix.
type Route struct {
	Name     RouteName
	Hostname string `cbor:"Host"`
	Prefix   string
	Class    RequestClass
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// TargetLatency is the time within which responses are worth most.
	TargetLatency time.Duration `cbor:"Objective"`
	Priority      Priority
	// WeightedServices are the services that the requests are split over by weight; one or more.
	WeightedServices []WeightedService `cbor:"Parts"`
	// MaxAttempts is the greatest number of upstreams that may run one request.
	MaxAttempts int
	// HasAffinity says that upstreams are faster with objects that they handled before,
	// so that requests for an object should go to the same upstream.
	HasAffinity bool
	// HomeRegions are the only regions in which the requests may run; empty means all.
	HomeRegions []RegionName `cbor:"Homes"`
	// UnservableReason says why requests of the route cannot be served; empty where they can. A
	// route with such a reason still matches its requests, so that none of them goes to the
	// service of a shorter prefix.
	UnservableReason string `cbor:"Fault"`
}

// IsMatchable reports whether the route has a host name and path prefix that requests
// can match.
func (r *Route) IsMatchable() bool {
	return r.Hostname != "" && strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/")
}

// Validate returns Findings with everything that prevents requests of the route from
// being served.
func (r *Route) Validate() error {
	var findings Findings
	if r.Hostname == "" {
		findings.Addf("host", "is empty")
	}
	if !r.IsMatchable() {
		findings.Addf("prefix", "%q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout < 0 || r.TargetLatency < 0 {
		findings.Addf("timeout", "timeout and target latency must not be negative")
	}
	total := Weight(0)
	for i, p := range r.WeightedServices {
		if p.Service == "" {
			findings.Addf(JSONPointer("parts", i), "service name is empty")
		}
		if !(p.Weight >= 0) {
			findings.Addf(JSONPointer("parts", i), "weight %v must be 0 or more", p.Weight)
		}
		total += p.Weight
	}
	if !(total > 0) {
		findings.Addf("parts", "the sum of the weights must be positive")
	}
	return findings.Err()
}

// ServicePolicy is the policy of one service. Its limits apply to all hosts together.
type ServicePolicy struct {
	Name ServiceName
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// WarmUp is the time for which an upstream stays cold after its start.
	WarmUp time.Duration
	// WarmUpRate is the number of requests per second that a cold upstream tolerates.
	WarmUpRate float64
}

// ClientLimits bound the size of requests and the time that clients may take.
type ClientLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RoutingPolicy is one version of the routes and service policies of the operator. It
// is immutable.
type RoutingPolicy struct {
	Version  uint64
	Services map[ServiceName]ServicePolicy
	Limits   ClientLimits
	// byHost holds the routes of each host name, the longest prefix first.
	byHost map[string][]*Route
}

// NewRoutingPolicy returns a policy with the given routes, indexed for Match.
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
		p.byHost[r.Hostname] = append(p.byHost[r.Hostname], r)
	}
	for _, list := range p.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return p
}

// Match returns the route of the host name whose prefix is the longest one of the path.
func (p *RoutingPolicy) Match(host, path string) (*Route, bool) {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HomeRegionsOf returns the regions that are homes of all routes of a host name that have
// homes; empty means all regions. A route that has no home in common with the routes
// before it is left out.
func (p *RoutingPolicy) HomeRegionsOf(host string) []RegionName {
	var homes []RegionName
	for _, r := range p.byHost[host] {
		if len(r.HomeRegions) == 0 {
			continue
		}
		if homes == nil {
			homes = r.HomeRegions
			continue
		}
		common := slices.DeleteFunc(slices.Clone(homes), func(region RegionName) bool {
			return !slices.Contains(r.HomeRegions, region)
		})
		if len(common) > 0 {
			homes = common
		}
	}
	return homes
}
