package roster_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

// zonedFleet returns the rosters of n hosts in three zones that heard each other at
// the given time, with the age of their last contact with the store.
func zonedFleet(n int, storeAge time.Duration, now time.Time) []*roster.Roster {
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
			r.Hear(roster.Heartbeat{Host: h, Ready: true, Reads: true, StoreAge: core.MillisecondsOf(storeAge)}, now)
		}
		fleet = append(fleet, r)
	}
	return fleet
}

// countReaders returns how many hosts read the store themselves.
func countReaders(fleet []*roster.Roster, now time.Time) int {
	n := 0
	for _, r := range fleet {
		if _, _, ok := r.Reader(now); !ok {
			n++
		}
	}
	return n
}

// TestReader checks who reads the store itself. The last cases are the pattern
// of a reader that is frozen, or cut off from the store.
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
			fleet := zonedFleet(tt.hosts, tt.storeAge, start)
			is.New(t).Equal(countReaders(fleet, start.Add(tt.silence)), tt.want)
		})
	}
}

// TestTrustFollowsTheBound checks that a host depends on a reader for a part of the
// time in which changes must be in force.
func TestTrustFollowsTheBound(t *testing.T) {
	is := is.New(t)
	const hosts, zones = 60, 3
	for _, inForce := range []time.Duration{2 * time.Second, 5 * time.Second} {
		fleet := zonedFleet(hosts, 0, start)
		for _, r := range fleet {
			r.SetInForce(inForce)
		}
		is.Equal(countReaders(fleet, start.Add(inForce/2)), zones)
		is.Equal(countReaders(fleet, start.Add(inForce*3/4)), hosts)
	}
}

// TestReaderOfGreatCapacity is the pattern of hosts of unequal size: the zone's
// reader is the one of the greatest capacity, and while that does not read yet,
// the hosts that depended on another one still do.
func TestReaderOfGreatCapacity(t *testing.T) {
	is := is.New(t)
	const hosts = 60
	fleet := zonedFleet(hosts, 0, start)
	mighty := fleet[3].Self // of the first zone
	mighty.Capacity = 800
	for _, reads := range []bool{false, true} {
		for _, r := range fleet {
			if r.Self.Name != mighty.Name {
				r.Hear(roster.Heartbeat{Host: mighty, Ready: true, Reads: reads}, start)
			}
		}
		fleet[3].Self = mighty
		is.True(fleet[3].Leads(start))
		followers := 0
		for _, r := range fleet {
			if reader, _, ok := r.Reader(start); ok && r.Self.Zone == mighty.Zone {
				is.Equal(reader.Name == mighty.Name, reads)
				followers++
			}
		}
		// Of the zone's twenty hosts all but the reader follow: until it reads, the
		// former reader reads beside it.
		if reads {
			is.Equal(followers, hosts/3-1)
		} else {
			is.Equal(followers, hosts/3-2)
		}
	}
}

// TestReaderThatFollows checks that no host depends on one that does not read the
// store itself.
func TestReaderThatFollows(t *testing.T) {
	is := is.New(t)
	const hosts = 60
	fleet := zonedFleet(hosts, 0, start)
	for _, r := range fleet {
		for _, other := range fleet {
			if other.Self.Name != r.Self.Name {
				r.Hear(roster.Heartbeat{Host: other.Self, Ready: true}, start)
			}
		}
	}
	is.Equal(countReaders(fleet, start), hosts)
}
