package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

// TestLapsed guards against registrations that nobody removes, or several hosts do:
// a host that crashes leaves its registration in the store, and exactly one of the
// live hosts must remove it.
func TestLapsed(t *testing.T) {
	is := is.New(t)
	crashed, alive := host("gone", "for-a", "for", 1), host("alive", "for-a", "for", 1)
	first, second := newRoster(), &roster.Roster{Self: alive}
	self := host("self", "for-b", "for", 1)
	registered := []core.Host{self, crashed, alive}
	now := start
	for now.Sub(start) < 59*time.Second {
		first.SetRegistrations(registered, now)
		second.SetRegistrations(registered, now)
		first.RecordHeartbeat(roster.Heartbeat{Host: alive, Ready: true}, now)
		second.RecordHeartbeat(roster.Heartbeat{Host: self, Ready: true}, now)
		is.Equal(len(first.ExpiredHosts(now))+len(second.ExpiredHosts(now)), 0)
		now = now.Add(time.Second)
	}
	now = now.Add(2 * time.Second)
	first.RecordHeartbeat(roster.Heartbeat{Host: alive, Ready: true}, now)
	second.RecordHeartbeat(roster.Heartbeat{Host: self, Ready: true}, now)
	expired := append(first.ExpiredHosts(now), second.ExpiredHosts(now)...)
	is.Equal(expired, []core.Host{crashed}) // exactly one of the two removes it
	// A silent host that is still registered does not count for shared limits.
	first.SetRegistrations(registered, now)
	is.Equal(names(first.SharingHosts(now)), []core.HostName{"self", "alive"})
	// The registration of a later incarnation of the same host is not removed.
	crashed.Incarnation = 2
	first.SetRegistrations([]core.Host{self, crashed, alive}, now)
	second.SetRegistrations([]core.Host{self, crashed, alive}, now)
	is.Equal(len(first.ExpiredHosts(now))+len(second.ExpiredHosts(now)), 0)
}

// TestExpiryAfterPause guards against a host that was paused for longer than the time of
// expiry and then removes the registrations of live hosts, which it did not hear meanwhile.
func TestExpiryAfterPause(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	alive := host("alive", "for-a", "for", 1)
	registered := []core.Host{host("self", "for-b", "for", 1), alive}
	r.SetRegistrations(registered, start)
	r.RecordHeartbeat(roster.Heartbeat{Host: alive, Ready: true}, start)
	resumed := start.Add(2 * time.Minute)
	is.Equal(len(r.ExpiredHosts(resumed)), 0)
	r.SetRegistrations(registered, resumed)
	is.Equal(len(r.ExpiredHosts(resumed)), 0)
	// A host that stays silent expires all the same.
	for elapsed := time.Duration(0); elapsed <= time.Minute; elapsed += time.Second {
		r.SetRegistrations(registered, resumed.Add(elapsed))
	}
	is.Equal(r.ExpiredHosts(resumed.Add(time.Minute)), []core.Host{alive})
}
