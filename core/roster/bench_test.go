package roster_test

import (
	"fmt"
	"testing"

	"github.com/endiverun/endiverun/core/roster"
)

// rosterOf returns the roster of a host that got heartbeats of n other hosts.
func rosterOf(n int) *roster.Roster {
	r := newRoster()
	for i := range n {
		region := fmt.Sprintf("region-%d", i%30)
		if i%30 == 0 {
			region = "for"
		}
		h := host(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%96), region, 1)
		r.RecordHeartbeat(roster.Heartbeat{Host: h, Ready: true}, start)
	}
	return r
}

// BenchmarkResolve measures Resolve by the number of hosts in the fleet.
func BenchmarkResolve(b *testing.B) {
	for _, n := range []int{12, 130, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rosterOf(n)
			for b.Loop() {
				r.Resolve(query("for-a", "for"), start)
			}
		})
	}
}

// BenchmarkTurn measures the selection of the hosts that get a heartbeat in one
// period.
func BenchmarkTurn(b *testing.B) {
	for _, n := range []int{12, 130, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rosterOf(n)
			for period := 0; b.Loop(); period++ {
				r.HeartbeatTargets(period, start)
			}
		})
	}
}
