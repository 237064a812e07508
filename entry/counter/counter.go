// Package counter keeps the metrics of an entry host as expvar variables.
//
// # Usage
//
//	set := counter.New()
//	set.Requests.Add("fitchart", 1)
//	fmt.Fprintln(w, set) // JSON
package counter

import (
	"expvar"
)

// Set holds the metrics of one host. The comments of the maps name their keys.
type Set struct {
	// Requests counts client requests by service.
	Requests *expvar.Map
	// Responses counts complete responses to clients by service.
	Responses *expvar.Map
	// Refused counts refused requests and those with an unknown outcome by kind of
	// refusal.
	Refused *expvar.Map
	// UnknownOutcomes counts requests with an unknown outcome by service.
	UnknownOutcomes *expvar.Map
	// Attempts counts attempts at upstreams by service.
	Attempts *expvar.Map
	// Forwards counts requests forwarded to other hosts by the region of the host.
	Forwards *expvar.Map
	// PlatformCalls counts calls to the platform's store by kind of call. A watch counts as
	// one call.
	PlatformCalls *expvar.Map
	// MalformedResponses counts responses that were no valid ones by who sent them: upstream or
	// platform.
	MalformedResponses *expvar.Map
	// LinkBytes counts bytes sent over links between regions by destination region.
	LinkBytes *expvar.Map
	// ControlBytes counts bytes of heartbeats by direction, sent or received.
	ControlBytes *expvar.Map
	// RouteQueries counts route queries.
	RouteQueries *expvar.Int

	variables *expvar.Map
}

// New returns a set in which all metrics are zero.
func New() *Set {
	s := &Set{
		Requests:           new(expvar.Map).Init(),
		Responses:          new(expvar.Map).Init(),
		Refused:            new(expvar.Map).Init(),
		UnknownOutcomes:    new(expvar.Map).Init(),
		Attempts:           new(expvar.Map).Init(),
		Forwards:           new(expvar.Map).Init(),
		PlatformCalls:      new(expvar.Map).Init(),
		MalformedResponses: new(expvar.Map).Init(),
		LinkBytes:          new(expvar.Map).Init(),
		ControlBytes:       new(expvar.Map).Init(),
		RouteQueries:       new(expvar.Int),
		variables:          new(expvar.Map).Init(),
	}
	s.variables.Set("requests", s.Requests)
	s.variables.Set("answered", s.Responses)
	s.variables.Set("refused", s.Refused)
	s.variables.Set("unknown", s.UnknownOutcomes)
	s.variables.Set("attempts", s.Attempts)
	s.variables.Set("forwards", s.Forwards)
	s.variables.Set("platform-calls", s.PlatformCalls)
	s.variables.Set("malformed-responses", s.MalformedResponses)
	s.variables.Set("link-bytes", s.LinkBytes)
	s.variables.Set("control-bytes", s.ControlBytes)
	s.variables.Set("routes", s.RouteQueries)
	return s
}

// Add adds a variable under the given name.
func (s *Set) Add(name string, variable expvar.Var) {
	s.variables.Set(name, variable)
}

// String returns all metrics as a JSON object.
func (s *Set) String() string {
	return s.variables.String()
}

// Total returns the sum of all counts in a map.
func Total(m *expvar.Map) int64 {
	var total int64
	m.Do(func(kv expvar.KeyValue) {
		if i, ok := kv.Value.(*expvar.Int); ok {
			total += i.Value()
		}
	})
	return total
}
