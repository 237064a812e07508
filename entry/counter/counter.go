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

// Set is the metrics of one host. Maps are keyed as their comments say.
type Set struct {
	// Requests counts clients' requests by service.
	Requests *expvar.Map
	// Answered counts whole answers to clients by service.
	Answered *expvar.Map
	// Refused counts refusals to clients by kind.
	Refused *expvar.Map
	// Unknown counts outcomes without proof by service.
	Unknown *expvar.Map
	// Attempts counts attempts at upstreams by service.
	Attempts *expvar.Map
	// Forwards counts requests handed to other hosts by their region.
	Forwards *expvar.Map
	// Platform counts calls to the platform's store by kind; a waiting watch
	// counts as one.
	Platform *expvar.Map
	// Sent counts bytes charged to links by the region they lead to.
	Sent *expvar.Map
	// Control counts bytes of heartbeats and tickets by direction.
	Control *expvar.Map
	// Routes counts route answers.
	Routes *expvar.Int

	all *expvar.Map
}

// New returns an empty set.
func New() *Set {
	s := &Set{
		Requests: new(expvar.Map).Init(),
		Answered: new(expvar.Map).Init(),
		Refused:  new(expvar.Map).Init(),
		Unknown:  new(expvar.Map).Init(),
		Attempts: new(expvar.Map).Init(),
		Forwards: new(expvar.Map).Init(),
		Platform: new(expvar.Map).Init(),
		Sent:     new(expvar.Map).Init(),
		Control:  new(expvar.Map).Init(),
		Routes:   new(expvar.Int),
		all:      new(expvar.Map).Init(),
	}
	s.all.Set("requests", s.Requests)
	s.all.Set("answered", s.Answered)
	s.all.Set("refused", s.Refused)
	s.all.Set("unknown", s.Unknown)
	s.all.Set("attempts", s.Attempts)
	s.all.Set("forwards", s.Forwards)
	s.all.Set("platform-calls", s.Platform)
	s.all.Set("link-bytes", s.Sent)
	s.all.Set("control-bytes", s.Control)
	s.all.Set("routes", s.Routes)
	return s
}

// Add includes a further variable under the given name.
func (s *Set) Add(name string, variable expvar.Var) {
	s.all.Set(name, variable)
}

// String returns all metrics as a JSON object.
func (s *Set) String() string {
	return s.all.String()
}

// Total returns the sum over all keys of a map of counts.
func Total(m *expvar.Map) int64 {
	var total int64
	m.Do(func(kv expvar.KeyValue) {
		if i, ok := kv.Value.(*expvar.Int); ok {
			total += i.Value()
		}
	})
	return total
}
