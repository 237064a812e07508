package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy picks one of several upstreams with free slots.
type Policy struct {
	Name string
	// Pick gets at least one candidate and the number of earlier picks.
	Pick func(candidates []*State, picks uint64, now time.Time) *State
}

// The policies. LeastExpected is the default; the others are baselines.
var (
	// RoundRobin takes the candidate that was picked longest ago.
	RoundRobin = Policy{Name: "round-robin", Pick: pickBy(func(s *State, _ time.Time) float64 {
		return float64(s.picked)
	})}
	// Random takes any candidate.
	Random = Policy{Name: "random", Pick: func(candidates []*State, picks uint64, _ time.Time) *State {
		return candidates[hash(picks)%uint64(len(candidates))]
	}}
	// LeastInFlight takes the candidate with the smallest used part of its
	// slots: what was sent and not yet answered, after NServiceBus's fair
	// distribution sample, but counted exactly since one host owns it.
	LeastInFlight = Policy{Name: "least-in-flight", Pick: pickBy(usedPart)}
	// TwoChoices takes the better of two random candidates.
	TwoChoices = Policy{Name: "two-choices", Pick: pickOfTwo}
	// LeastExpected takes the candidate that would answer first.
	LeastExpected = Policy{Name: "least-expected", Pick: pickBy(expected)}
)

// Policies lists all policies.
var Policies = []Policy{RoundRobin, Random, LeastInFlight, TwoChoices, LeastExpected}

// FindPolicy returns the policy of the given name.
func FindPolicy(name string) (Policy, bool) {
	for _, p := range Policies {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// pickBy returns a pick of the lowest cost; ties go to the smallest used part,
// then to the one picked longest ago.
func pickBy(cost func(*State, time.Time) float64) func([]*State, uint64, time.Time) *State {
	return func(candidates []*State, _ uint64, now time.Time) *State {
		best := candidates[0]
		bestCost := cost(best, now)
		for _, s := range candidates[1:] {
			c := cost(s, now)
			if c < bestCost || (c == bestCost && isLess(s, best)) {
				best, bestCost = s, c
			}
		}
		return best
	}
}

func isLess(a, b *State) bool {
	if x, y := a.Reported, b.Reported; x != y {
		return x < y
	}
	return a.picked < b.picked
}

func pickOfTwo(candidates []*State, picks uint64, now time.Time) *State {
	first := candidates[hash(2*picks)%uint64(len(candidates))]
	second := candidates[hash(2*picks+1)%uint64(len(candidates))]
	if usedPart(second, now) < usedPart(first, now) {
		return second
	}
	return first
}

func usedPart(s *State, _ time.Time) float64 {
	return float64(s.InFlight) / float64(s.Slots)
}

// expected returns the service time to expect, in seconds. It grows with the
// used part, because upstreams slow down as their slots fill, and forgets an
// old measurement step by step, so that a recovered upstream is tried again.
func expected(s *State, now time.Time) float64 {
	mean := s.Mean.Seconds()
	if age := now.Sub(s.Measured); age > staleAfter {
		mean *= staleAfter.Seconds() / age.Seconds()
	}
	return mean * (1 + crowding*usedPart(s, now))
}

// crowding is the additional part of the service time of a full upstream.
const crowding = 0.25

// hash spreads consecutive numbers.
func hash(n uint64) uint64 {
	var data [8]byte
	for i := range data {
		data[i] = byte(n >> (8 * i))
	}
	return xxhash.Sum64(data[:])
}
