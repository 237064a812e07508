// Package assigner assigns each role to one host by rendezvous hashing.
//
// A role is a name, such as that of an upstream to own or of an availability zone whose
// relay is to be selected. All hosts that know the same members assign a role to the same
// host without exchanging messages. When a host fails, Assign moves only the roles that
// it held.
//
// # Usage
//
//	owner, ok := assigner.Assign("upstream/fitchart-3", hosts)
package assigner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// Assign returns the host with the highest score for the role. It returns false where
// there are no hosts.
func Assign(role string, hosts []core.HostName) (core.HostName, bool) {
	var best core.HostName
	var bestScore uint64
	for _, h := range hosts {
		score := scoreOf(role, h)
		if best == "" || score > bestScore || (score == bestScore && h < best) {
			best, bestScore = h, score
		}
	}
	return best, best != ""
}

// scoreOf returns the rendezvous hash of a role and a host.
func scoreOf(role string, host core.HostName) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(role)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

// AssignBalanced assigns every role so that no host holds more than its even share, rounded up.
// It assigns the roles in the given order, each to the host with the highest score among
// the hosts below that limit, so the loss of one host moves few roles of others.
func AssignBalanced(roles []string, hosts []core.HostName) map[string]core.HostName {
	assigned := make(map[string]core.HostName, len(roles))
	if len(hosts) == 0 {
		return assigned
	}
	limit := (len(roles) + len(hosts) - 1) / len(hosts)
	roleCounts := make(map[core.HostName]int, len(hosts))
	for _, r := range roles {
		candidates := make([]core.HostName, 0, len(hosts))
		for _, h := range hosts {
			if roleCounts[h] < limit {
				candidates = append(candidates, h)
			}
		}
		owner, _ := Assign(r, candidates)
		assigned[r] = owner
		roleCounts[owner]++
	}
	return assigned
}
