package core

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// CombineHashes combines two hashes into one hash that depends on every bit of both.
func CombineHashes(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b|1)
	return high ^ low ^ (a << 1) ^ b
}

// RendezvousWeight returns the weight of a candidate for a task in rendezvous hashing: the task
// is assigned to the candidate with the highest weight. A task is whatever one of the
// candidates is selected for, such as the health checks of an upstream. The weight is a
// hash and not a share like Weight.
func RendezvousWeight(candidate, task string) uint64 {
	return CombineHashes(xxhash.Sum64String(task), xxhash.Sum64String(candidate))
}
