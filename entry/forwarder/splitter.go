package forwarder

import (
	"sync"

	"github.com/endiverun/endiverun/core"
)

// splitter distributes the requests of each route over its services by smooth
// weighted round robin.
type splitter struct {
	mu sync.Mutex
	// creditsByRoute holds the current weights of a route's services.
	creditsByRoute map[*core.Route][]float64
}

// next returns the service for the next request of a route.
func (s *splitter) next(route *core.Route) core.ServiceName {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.creditsByRoute[route]
	if credits == nil {
		credits = make([]float64, len(route.WeightedServices))
		s.store(route, credits)
	}
	total, best := 0.0, 0
	for i, part := range route.WeightedServices {
		credits[i] += float64(part.Weight)
		total += float64(part.Weight)
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return route.WeightedServices[best].Service
}

// maxRoutes limits the routes with stored credits. All of them are dropped when
// it is reached, including those of older policies.
const maxRoutes = 1024

func (s *splitter) store(route *core.Route, credits []float64) {
	if s.creditsByRoute == nil || len(s.creditsByRoute) >= maxRoutes {
		s.creditsByRoute = map[*core.Route][]float64{}
	}
	s.creditsByRoute[route] = credits
}
