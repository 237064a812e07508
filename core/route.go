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
// they have large bodies. It counts on hosts that run on a RoutingPolicy; on those that
// run on a Configuration, Service.Repeatable does.
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

// WeightedService is one service of a route's traffic split and its weight. Here a weight
// of 0 means that the service gets no requests.
type WeightedService struct {
	Service ServiceName
	Weight  Weight
}

// Route says which services get the requests for one host name below one path prefix.
// The host name is that of the request's URL, not the name of an entry host.
type Route struct {
	Name     RouteName
	Hostname string `cbor:"Host"`
	Prefix   string
	Class    RequestClass
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// TargetLatency is the response time that the operator aims for. A request that would
	// queue for so long that it misses the target is refused, as it would also delay
	// requests that can still meet it; 0 means no target.
	TargetLatency time.Duration `cbor:"Objective"`
	Priority      Priority
	// WeightedServices are the services that the requests are split over by weight; one or more.
	WeightedServices []WeightedService `cbor:"Parts"`
	// MaxAttempts is the greatest number of upstreams that may run one request. Attempts
	// that certainly did not run do not count.
	MaxAttempts int
	// HasAffinity says that upstreams are faster with objects that they handled before,
	// so that requests for an object should go to the same upstream.
	HasAffinity bool
	// HomeRegions are the only regions in which the requests may run; empty means all.
	// They are unrelated to the home of an idempotency key.
	HomeRegions []RegionName `cbor:"Homes"`
	// IsAnonymous says that requests need no API key, and belong to no organisation. It counts
	// only in a policy that has organisations.
	IsAnonymous bool `cbor:"IsAnonymous,omitempty"`
	// UnservableReason says why requests of the route cannot be served; empty where they
	// can. A route whose UnservableReason is not empty still matches its requests, so that
	// none of them goes to the service of a shorter prefix.
	UnservableReason string `cbor:"Fault"`
}

// IsMatchable reports whether the route has a host name and path prefix that requests
// can match.
func (r *Route) IsMatchable() bool {
	return r.Hostname != "" && strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/")
}

// HasService reports whether the route sends requests to the service.
func (r *Route) HasService(name ServiceName) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == name && s.Weight > 0 })
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

// ServicePolicy is the policy of one service in a RoutingPolicy. It is the counterpart of
// Service, which is part of a Configuration.
type ServicePolicy struct {
	Name ServiceName
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections bounds the connections to one upstream, of all hosts together.
	MaxConnections int
	// WarmUp is the time for which an upstream stays cold after its start: it is slow until
	// its warm-up has ended.
	WarmUp time.Duration
	// WarmUpRate is the number of requests per second that a cold upstream tolerates from
	// all hosts together. Package pacer derives the limit from it.
	WarmUpRate float64
}

// ClientLimits bound the size of requests and the time that clients may take. Of these
// limits, package forwarder reads only BodyBytes.
type ClientLimits struct {
	// HeaderBytes bounds the size of the header of a request.
	HeaderBytes Bytes
	// BodyBytes bounds the size of a request body.
	BodyBytes Bytes
	// HeaderTimeout bounds the time that a client takes to send the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection of a client stays open without a
	// request.
	IdleTimeout time.Duration
}

// RoutingPolicy is one version of the routes and service policies of the operator, read
// from one object of the platform's store. It is immutable. Hosts that run on it use no
// Configuration.
type RoutingPolicy struct {
	Version  uint64
	Services map[ServiceName]ServicePolicy
	Limits   ClientLimits
	// HasUnreadableOrganisations says that the policy has organisations that could not be read,
	// so that an unknown key may be theirs.
	HasUnreadableOrganisations bool
	// organisations are those of the policy by the digests of their keys; nil if the policy has
	// none, so that requests need no key.
	organisations map[KeyDigest]*OrganisationPolicy
	// quotas holds the quotas of the organisations that have one.
	quotas map[Organisation]Quota
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

// WithOrganisations returns the policy with the given organisations. Of two that hold the same
// key the first counts; NewOrganisationIndex reports it.
func (p *RoutingPolicy) WithOrganisations(organisations []OrganisationPolicy, hasUnreadable bool) *RoutingPolicy {
	next := *p
	next.HasUnreadableOrganisations = hasUnreadable
	if len(organisations) > 0 || hasUnreadable {
		next.organisations, _ = NewOrganisationIndex(organisations)
	}
	next.quotas = map[Organisation]Quota{}
	for _, organisation := range organisations {
		if organisation.Quota.Rate > 0 {
			next.quotas[organisation.Name] = organisation.Quota
		}
	}
	return &next
}

// Quotas returns the quotas of the organisations that have one. The caller must not change them.
func (p *RoutingPolicy) Quotas() map[Organisation]Quota {
	return p.quotas
}

// HasOrganisations reports whether requests need an API key, except on anonymous routes.
func (p *RoutingPolicy) HasOrganisations() bool {
	return p.organisations != nil
}

// OrganisationOf returns the organisation that holds the key with the digest.
func (p *RoutingPolicy) OrganisationOf(key KeyDigest) (*OrganisationPolicy, bool) {
	organisation, ok := p.organisations[key]
	return organisation, ok
}

// Match returns the route of the host name with the longest prefix that the path begins with.
func (p *RoutingPolicy) Match(host, path string) (*Route, bool) {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HomeRegionsOf returns the intersection of the home regions of all routes of a host name
// that have home regions; empty means all regions. Routes are considered from the longest
// prefix to the shortest, and one that would make the intersection empty is left out.
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
