package roster_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

// fleetOfReaders returns the rosters of n hosts in three zones. All hosts read the
// store, last reached it storeAge ago and got heartbeats of each other at the given
// time.
func fleetOfReaders(n int, storeAge time.Duration, now time.Time) []*roster.Roster {
	zones := []string{"for-a", "for-b", "nat-a"}
	var hosts []core.Host
	for i := range n {
		zone := zones[i%len(zones)]
		hosts = append(hosts, host("host-"+strconv.Itoa(i), zone, zone[:3], 1))
	}
	var fleet []*roster.Roster
	for _, self := range hosts {
		r := &roster.Roster{Self: self}
		for _, h := range hosts {
			r.RecordHeartbeat(roster.Heartbeat{Host: h, Ready: true, ReadsStore: true, StoreAge: core.MillisecondsOf(storeAge)}, now)
		}
		fleet = append(fleet, r)
	}
	return fleet
}

// countReaders returns how many hosts read the store themselves.
func countReaders(fleet []*roster.Roster, now time.Time) int {
	n := 0
	for _, r := range fleet {
		if _, ok := r.Reader(now); !ok {
			n++
		}
	}
	return n
}

// TestReader checks which hosts read the store themselves. The last cases guard
// against hosts that go on depending on a reader that is paused, and so sends no
// heartbeats, or is cut off from the store.
func TestReader(t *testing.T) {
	const (
		small = 12
		large = 60
		zones = 3
	)
	tests := []struct {
		name     string
		hosts    int
		storeAge time.Duration
		silence  time.Duration
		want     int
	}{
		{"small fleet", small, 0, 0, small},
		{"large fleet", large, 0, 0, zones},
		{"a lost heartbeat", large, 200 * time.Millisecond, time.Second, zones},
		{"silent readers", large, 0, 1600 * time.Millisecond, large},
		{"readers that do not reach the store", large, 1600 * time.Millisecond, 0, large},
		{"both add up", large, 800 * time.Millisecond, 800 * time.Millisecond, large},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fleet := fleetOfReaders(tt.hosts, tt.storeAge, start)
			is.New(t).Equal(countReaders(fleet, start.Add(tt.silence)), tt.want)
		})
	}
}

// TestReaderStalenessFollowsInForce checks that a host depends on a silent reader for
// a fraction of the time within which changes must take effect, and no longer.
func TestReaderStalenessFollowsInForce(t *testing.T) {
	is := is.New(t)
	const hosts, zones = 60, 3
	for _, inForce := range []time.Duration{2 * time.Second, 5 * time.Second} {
		fleet := fleetOfReaders(hosts, 0, start)
		for _, r := range fleet {
			r.SetMaxPropagationDelay(inForce)
		}
		is.Equal(countReaders(fleet, start.Add(inForce/2)), zones)
		is.Equal(countReaders(fleet, start.Add(inForce*3/4)), hosts)
	}
}

// TestReaderOfGreatCapacity guards against a small host as the reader of a zone of
// hosts of unequal size: the host of the greatest capacity is the reader. As long as
// that host does not read the store yet, the others go on with the former reader.
func TestReaderOfGreatCapacity(t *testing.T) {
	is := is.New(t)
	const hosts = 60
	fleet := fleetOfReaders(hosts, 0, start)
	largest := fleet[3].Self // of the first zone
	largest.Capacity = 800
	for _, reads := range []bool{false, true} {
		for _, r := range fleet {
			if r.Self.Name != largest.Name {
				r.RecordHeartbeat(roster.Heartbeat{Host: largest, Ready: true, ReadsStore: reads}, start)
			}
		}
		fleet[3].Self = largest
		is.True(fleet[3].HasHighestRank(start))
		followers := 0
		for _, r := range fleet {
			if reader, ok := r.Reader(start); ok && r.Self.Zone == largest.Zone {
				is.Equal(reader.Host.Name == largest.Name, reads)
				followers++
			}
		}
		// All of the zone's twenty hosts follow except the reader, and except the
		// former reader until the new one reads the store.
		if reads {
			is.Equal(followers, hosts/3-1)
		} else {
			is.Equal(followers, hosts/3-2)
		}
	}
}

// TestReaderThatFollows guards against a host that depends on one that follows
// another host itself: only a host that reads the store can be a reader.
func TestReaderThatFollows(t *testing.T) {
	is := is.New(t)
	const hosts = 60
	fleet := fleetOfReaders(hosts, 0, start)
	for _, r := range fleet {
		for _, other := range fleet {
			if other.Self.Name != r.Self.Name {
				r.RecordHeartbeat(roster.Heartbeat{Host: other.Self, Ready: true}, start)
			}
		}
	}
	is.Equal(countReaders(fleet, start), hosts)
}
