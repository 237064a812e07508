package heartbeater_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/heartbeater"
)

// measuringConn adds up the bytes sent and never receives a datagram.
type measuringConn struct {
	countingConn
	bytes, largest int
	// notified holds the addresses that got notices about rate limits.
	notified map[string]bool
}

func (c *measuringConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.bytes += len(p)
	c.largest = max(c.largest, len(p))
	var heartbeat roster.Heartbeat
	if cbor.Unmarshal(p, &heartbeat) == nil && len(heartbeat.RateLimits) > 0 {
		c.notified[to.String()] = true
	}
	return c.countingConn.WriteTo(p, to)
}

// TestNoticesFitTheBudget guards against notices about rate limits that multiply the
// traffic between hosts when many upstreams name one. They may take 650 bytes a second,
// about what regular heartbeats leave of 9 KB a second in a large fleet, and a datagram must
// stay below the size that receivers read.
func TestNoticesFitTheBudget(t *testing.T) {
	const (
		maxNoticeBytes = 650
		maxDatagram    = 1400
		duration       = 600 * time.Second
	)
	for _, hosts := range []int{12, 61, 295, 1300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				without := regularBytes(t, hosts, duration, nil)
				with := regularBytes(t, hosts, duration, manyNotices)
				perSecond := float64(with.bytes-without.bytes) / duration.Seconds()
				is.True(perSecond > 100)
				is.True(perSecond <= maxNoticeBytes)
				is.True(with.largest <= maxDatagram)
			})
		})
	}
}

// TestNoticesReachEveryPeer guards against peers that get heartbeats but never the notices,
// because the intervals with notices coincide with those of the other peers.
func TestNoticesReachEveryPeer(t *testing.T) {
	const duration = time.Hour
	for _, hosts := range []int{12, 61, 76, 295} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn := regularBytes(t, hosts, duration, manyNotices)
				is.Equal(len(conn.notified), hosts-1)
			})
		})
	}
}

// manyNotices returns as many notices as it is asked for.
func manyNotices(most int, _ time.Time) map[core.UpstreamName]core.RateLimitNotice {
	notices := map[core.UpstreamName]core.RateLimitNotice{}
	for i := range most {
		name := core.UpstreamName(fmt.Sprintf("i-%010d", i))
		notices[name] = core.NewRateLimitNotice(8.6, true, 40*time.Second)
	}
	return notices
}

// regularBytes returns what a host of a fleet sends in a duration without urgent heartbeats.
func regularBytes(
	t *testing.T, hosts int, duration time.Duration, rateLimits func(int, time.Time) map[core.UpstreamName]core.RateLimitNotice,
) *measuringConn {
	t.Helper()
	is := is.New(t)
	r := &roster.Roster{Self: fleetHost(0)}
	conn := &measuringConn{countingConn: countingConn{closed: make(chan struct{})}, notified: map[string]bool{}}
	for i := range hosts - 1 {
		r.RecordHeartbeat(roster.Heartbeat{Host: fleetHost(i + 1)}, time.Now())
	}
	h := &heartbeater.Heartbeater{
		Roster: r,
		// The peers do not send heartbeats, and are heard here so that they stay listed.
		NewHeartbeat: func() roster.Heartbeat {
			for i := range hosts - 1 {
				r.RecordHeartbeat(roster.Heartbeat{Host: fleetHost(i + 1)}, time.Now())
			}
			return roster.Heartbeat{Host: r.Self}
		},
		RateLimits: rateLimits,
		Listen:     func(string) (net.PacketConn, error) { return conn, nil },
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	is.NoErr(h.Run(ctx))
	return conn
}

// TestInvalidNotices checks that impossible values of a notice are found, and that those at
// the ends of the range are not.
func TestInvalidNotices(t *testing.T) {
	tests := []struct {
		notice  core.RateLimitNotice
		isValid bool
	}{
		{core.NewRateLimitNotice(0, true, 0), true},
		{core.NewRateLimitNotice(1e300, true, time.Hour), true},
		{core.NewRateLimitNotice(0, false, 0), true},
		{core.RateLimitNotice{Rate: core.RequestRate(math.NaN())}, false},
		{core.RateLimitNotice{Rate: core.RequestRate(math.Inf(1))}, false},
		{core.RateLimitNotice{Rate: -2}, false},
		{core.RateLimitNotice{Rate: 4, Age: -1}, false},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(tt.notice.Validate() == nil, tt.isValid)
	}
}

// FuzzHeartbeat checks that no datagram makes decoding or validation of a heartbeat fail
// other than with an error.
func FuzzHeartbeat(f *testing.F) {
	for _, heartbeat := range []roster.Heartbeat{fullBeat, limitBeat("desk-1", core.NewRateLimitNotice(8.5, true, time.Second))} {
		data, err := cbor.Marshal(heartbeat)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var heartbeat roster.Heartbeat
		if cbor.Unmarshal(data, &heartbeat) != nil {
			return
		}
		for _, notice := range heartbeat.RateLimits {
			if notice.Validate() == nil && notice.InForce() && !(notice.Rate >= 0) {
				t.Fatalf("a rate of %v is in force", notice.Rate)
			}
		}
	})
}
