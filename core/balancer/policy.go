package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy selects one of several upstreams with free slots.
type Policy struct {
	Name string
	// Pick returns one of the candidates, of which there is at least one. pickCount
	// is the number of earlier picks of the table.
	Pick func(candidates []*UpstreamState, pickCount uint64, now time.Time) *UpstreamState
}

// The policies. LeastServiceTime is the default. The others are baselines for comparison.
var (
	// RoundRobin picks the candidate with the least recent pick.
	RoundRobin = Policy{Name: "round-robin", Pick: pickLowest(func(s *UpstreamState, _ time.Time) float64 {
		return float64(s.lastPick)
	})}
	// Random picks a random candidate.
	Random = Policy{Name: "random", Pick: func(candidates []*UpstreamState, pickCount uint64, _ time.Time) *UpstreamState {
		return candidates[hash(pickCount)%uint64(len(candidates))]
	}}
	// LeastInFlight picks the candidate with the lowest ratio of requests in flight to
	// slots. It follows the fair distribution sample of NServiceBus, except that the
	// count is exact because one host owns the upstream.
	LeastInFlight = Policy{Name: "least-in-flight", Pick: pickLowest(utilization)}
	// TwoChoices picks the candidate with the lower utilization of two random ones.
	TwoChoices = Policy{Name: "two-choices", Pick: pickOfTwo}
	// LeastServiceTime picks the candidate with the lowest expected service time.
	LeastServiceTime = Policy{Name: "least-expected", Pick: pickLowest(expectedServiceTime)}
)

// Policies lists all policies.
var Policies = []Policy{RoundRobin, Random, LeastInFlight, TwoChoices, LeastServiceTime}

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (Policy, bool) {
	for _, p := range Policies {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// pickLowest returns a Pick function that picks the candidate with the lowest cost.
// Ties are broken by isPreferred.
func pickLowest(cost func(*UpstreamState, time.Time) float64) func([]*UpstreamState, uint64, time.Time) *UpstreamState {
	return func(candidates []*UpstreamState, _ uint64, now time.Time) *UpstreamState {
		best := candidates[0]
		bestCost := cost(best, now)
		for _, s := range candidates[1:] {
			c := cost(s, now)
			if c < bestCost || (c == bestCost && isPreferred(s, best)) {
				best, bestCost = s, c
			}
		}
		return best
	}
}

// isPreferred reports whether a is preferred to b at equal cost: the one with the lower
// reported load, or else the one with the less recent pick.
func isPreferred(a, b *UpstreamState) bool {
	if x, y := a.ReportedLoad, b.ReportedLoad; x != y {
		return x < y
	}
	return a.lastPick < b.lastPick
}

// pickOfTwo implements TwoChoices.
func pickOfTwo(candidates []*UpstreamState, pickCount uint64, now time.Time) *UpstreamState {
	first := candidates[hash(2*pickCount)%uint64(len(candidates))]
	second := candidates[hash(2*pickCount+1)%uint64(len(candidates))]
	if utilization(second, now) < utilization(first, now) {
		return second
	}
	return first
}

// utilization returns the ratio of this host's requests in flight to slots.
func utilization(s *UpstreamState, _ time.Time) float64 {
	return float64(s.InFlight) / float64(s.Slots)
}

// expectedServiceTime returns the expected service time of the next request, in seconds.
// It grows with the utilization, because upstreams become slower as their slots fill.
// Beyond maxMeasurementAge it decreases with the age of the measurement, so that an
// upstream that has recovered gets requests again.
func expectedServiceTime(s *UpstreamState, now time.Time) float64 {
	mean := s.MeanServiceTime.Seconds()
	if age := now.Sub(s.MeasuredAt); age > maxMeasurementAge {
		mean *= maxMeasurementAge.Seconds() / age.Seconds()
	}
	return mean * (1 + utilizationPenalty*utilization(s, now))
}

// utilizationPenalty is the relative increase of the expected service time at full
// utilization.
const utilizationPenalty = 0.25

// hash returns a hash of n, so that consecutive numbers give uncorrelated results.
func hash(n uint64) uint64 {
	var data [8]byte
	for i := range data {
		data[i] = byte(n >> (8 * i))
	}
	return xxhash.Sum64(data[:])
}
