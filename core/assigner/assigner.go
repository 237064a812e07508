// Package assigner gives each role to one host by rendezvous hashing.
//
// A role is a name: an upstream to own, an availability zone to relay for. All
// hosts that hold the same membership view assign it to the same host without
// a message, and the loss of a host moves only the roles that it held.
//
// # Usage
//
//	owner, ok := assigner.Assign("upstream/fitchart-3", hosts)
package assigner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// Assign returns the host with the highest score for the role. It reports
// false where there are no hosts.
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

// scoreOf hashes a role with a host.
func scoreOf(role string, host core.HostName) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(role)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}

// Balanced assigns every role so that no host holds more than its even part,
// rounded up. Roles are taken in the given order; each goes to the
// highest-scored host that still has room, so one host's loss moves few others.
func Balanced(roles []string, hosts []core.HostName) map[string]core.HostName {
	assigned := make(map[string]core.HostName, len(roles))
	if len(hosts) == 0 {
		return assigned
	}
	limit := (len(roles) + len(hosts) - 1) / len(hosts)
	held := make(map[core.HostName]int, len(hosts))
	for _, r := range roles {
		free := make([]core.HostName, 0, len(hosts))
		for _, h := range hosts {
			if held[h] < limit {
				free = append(free, h)
			}
		}
		owner, _ := Assign(r, free)
		assigned[r] = owner
		held[owner]++
	}
	return assigned
}
