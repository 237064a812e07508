package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

// TestLapsed is the pattern of hosts that end without a word: their
// registrations stay in the store, and one live host removes each.
func TestLapsed(t *testing.T) {
	is := is.New(t)
	gone, alive := host("gone", "for-a", "for", 1), host("alive", "for-a", "for", 1)
	first, second := newRoster(), &roster.Roster{Self: alive}
	self := host("self", "for-b", "for", 1)
	listed := []core.Host{self, gone, alive}
	now := start
	for now.Sub(start) < 59*time.Second {
		first.Register(listed, now)
		second.Register(listed, now)
		first.Hear(roster.Heartbeat{Host: alive, Ready: true}, now)
		second.Hear(roster.Heartbeat{Host: self, Ready: true}, now)
		is.Equal(len(first.Lapsed(now))+len(second.Lapsed(now)), 0)
		now = now.Add(time.Second)
	}
	now = now.Add(2 * time.Second)
	first.Hear(roster.Heartbeat{Host: alive, Ready: true}, now)
	second.Hear(roster.Heartbeat{Host: self, Ready: true}, now)
	lapsed := append(first.Lapsed(now), second.Lapsed(now)...)
	is.Equal(lapsed, []core.Host{gone}) // one of them removes it
	// A registration that stays in the store does not count for shared limits.
	first.Register(listed, now)
	is.Equal(first.Sharers(now), []core.HostName{"self", "alive"})
	// A later life under the same name is not removed.
	gone.Incarnation = 2
	first.Register([]core.Host{self, gone, alive}, now)
	second.Register([]core.Host{self, gone, alive}, now)
	is.Equal(len(first.Lapsed(now))+len(second.Lapsed(now)), 0)
}
