package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// TestSplit checks that the services of a route get requests in proportion to their
// weights, with a deviation of less than one request at any time.
func TestSplit(t *testing.T) {
	is := is.New(t)
	route := &core.Route{WeightedServices: []core.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	s := &splitter{}
	counts := map[core.ServiceName]int{}
	for i := 1; i <= 200; i++ {
		counts[s.next(route)]++
		deviation := float64(counts["b"]) - 0.1*float64(i)
		is.True(deviation > -1 && deviation < 1)
	}
	is.Equal(counts["a"], 180)
}
