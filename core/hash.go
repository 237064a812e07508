package core

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// CombineHashes combines two hashes into one hash that depends on every bit of both.
func CombineHashes(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b|1)
	return high ^ low ^ (a << 1) ^ b
}

// UnitInterval maps a hash to the range from 0 to 1.
func UnitInterval(hash uint64) float64 {
	const (
		hashBits     = 64
		mantissaBits = 53
	)
	return float64(hash>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}

// RendezvousScore returns the score of a weighted candidate for a key in rendezvous
// hashing. Both are given as hashes. The candidate with the highest score is selected,
// with a probability proportional to its weight.
func RendezvousScore(key, candidate uint64, weight float64) float64 {
	const smallest = 1e-18 // keeps the logarithm finite
	return -weight / math.Log(max(UnitInterval(CombineHashes(key, candidate)), smallest))
}

// RendezvousWeight returns the weight of a candidate for a task in rendezvous hashing: the task
// is assigned to the candidate with the highest weight. A task is whatever one of the
// candidates is selected for, such as the health checks of an upstream. The weight is a
// hash and not a share like Weight.
func RendezvousWeight(candidate, task string) uint64 {
	return CombineHashes(xxhash.Sum64String(task), xxhash.Sum64String(candidate))
}
