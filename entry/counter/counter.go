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
	// Answered counts complete responses to clients by service.
	Answered *expvar.Map
	// Refused counts refused requests and those with an unknown outcome by kind of
	// refusal.
	Refused *expvar.Map
	// Unknown counts requests with an unknown outcome by service.
	Unknown *expvar.Map
	// Attempts counts attempts at upstreams by service.
	Attempts *expvar.Map
	// Forwards counts requests forwarded to other hosts by the region of the host.
	Forwards *expvar.Map
	// Platform counts calls to the platform's store by kind of call. A watch counts as
	// one call.
	Platform *expvar.Map
	// Sent counts bytes sent over links between regions by destination region.
	Sent *expvar.Map
	// Control counts bytes of heartbeats by direction, sent or received.
	Control *expvar.Map
	// Routes counts route queries.
	Routes *expvar.Int

	variables *expvar.Map
}

// New returns a set in which all metrics are zero.
func New() *Set {
	s := &Set{
		Requests:  new(expvar.Map).Init(),
		Answered:  new(expvar.Map).Init(),
		Refused:   new(expvar.Map).Init(),
		Unknown:   new(expvar.Map).Init(),
		Attempts:  new(expvar.Map).Init(),
		Forwards:  new(expvar.Map).Init(),
		Platform:  new(expvar.Map).Init(),
		Sent:      new(expvar.Map).Init(),
		Control:   new(expvar.Map).Init(),
		Routes:    new(expvar.Int),
		variables: new(expvar.Map).Init(),
	}
	s.variables.Set("requests", s.Requests)
	s.variables.Set("answered", s.Answered)
	s.variables.Set("refused", s.Refused)
	s.variables.Set("unknown", s.Unknown)
	s.variables.Set("attempts", s.Attempts)
	s.variables.Set("forwards", s.Forwards)
	s.variables.Set("platform-calls", s.Platform)
	s.variables.Set("link-bytes", s.Sent)
	s.variables.Set("control-bytes", s.Control)
	s.variables.Set("routes", s.Routes)
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
