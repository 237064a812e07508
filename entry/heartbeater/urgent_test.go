package heartbeater_test

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/heartbeater"
)

// countingConn counts what is sent and receives nothing.
type countingConn struct {
	net.PacketConn
	sent   atomic.Int64
	closed chan struct{}
}

func (c *countingConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	c.sent.Add(1)
	return len(p), nil
}

func (c *countingConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.closed
	return 0, nil, net.ErrClosed
}

func (c *countingConn) Close() error {
	close(c.closed)
	return nil
}

// TestNewsInQuickSuccession is the pattern of a store that is away while many
// upstreams become cold: each host finds some every moment, and what all of them
// tell must not grow with the square of the fleet.
func TestNewsInQuickSuccession(t *testing.T) {
	// regular is what a host tells in a period, urgent what it may tell beside it in
	// a second.
	const (
		regular = 36
		urgent  = 200
		most    = 100
		length  = 4 * time.Second
	)
	for _, hosts := range []int{12, 76, 295, 1300} {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &roster.Roster{Self: fleetHost(0)}
				for i := range hosts - 1 {
					r.Hear(roster.Heartbeat{Host: fleetHost(i + 1)}, time.Now())
				}
				conn := &countingConn{closed: make(chan struct{})}
				news := make(chan struct{}, 1)
				h := &heartbeater.Heartbeater{
					Roster: r,
					Self:   func() roster.Heartbeat { return roster.Heartbeat{Host: r.Self} },
					Listen: func(string) (net.PacketConn, error) { return conn, nil },
					Urgent: news,
				}
				ctx, stop := context.WithTimeout(t.Context(), length)
				defer stop()
				told := make(chan struct{})
				go func() {
					defer close(told)
					for ctx.Err() == nil {
						select {
						case news <- struct{}{}:
						default:
						}
						time.Sleep(10 * time.Millisecond)
					}
				}()
				is.NoErr(h.Run(ctx))
				<-told
				seconds := int64(length / time.Second)
				is.True(conn.sent.Load() > 0)
				is.True(conn.sent.Load() <= (2*regular+urgent)*seconds+regular+most)
			})
		})
	}
}

// fleetHost returns host i of a fleet in three regions of three zones.
func fleetHost(i int) core.Host {
	region := "region-" + strconv.Itoa(i%3)
	return core.Host{
		Name:        core.HostName("host-" + strconv.Itoa(i)),
		Zone:        core.Zone{Name: core.ZoneName(region + "-" + strconv.Itoa(i/3%3)), Region: core.RegionName(region)},
		PeerAddress: "127.0.0.1:" + strconv.Itoa(1000+i),
	}
}
