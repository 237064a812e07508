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

// countingConn counts the datagrams sent and never receives one.
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

// TestUrgentHeartbeatRate covers an outage of the store while many upstreams start to
// warm up. Every host then keeps finding cold upstreams and requests urgent heartbeats
// all the time. The rate per host must stay bounded, or the traffic would grow with the
// square of the number of hosts.
func TestUrgentHeartbeatRate(t *testing.T) {
	const (
		// maxRegular is the most regular datagrams of a host per heartbeat interval; a
		// second has 2 intervals.
		maxRegular = 36
		// maxUrgent is the most urgent datagrams of a host per second.
		maxUrgent = 200
		// maxPeers is the most peers that one urgent heartbeat is sent to.
		maxPeers = 100
		duration = 4 * time.Second
	)
	for _, hosts := range []int{12, 76, 295, 1300} {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &roster.Roster{Self: fleetHost(0)}
				for i := range hosts - 1 {
					r.RecordHeartbeat(roster.Heartbeat{Host: fleetHost(i + 1)}, time.Now())
				}
				conn := &countingConn{closed: make(chan struct{})}
				requests := make(chan struct{}, 1)
				h := &heartbeater.Heartbeater{
					Roster:       r,
					NewHeartbeat: func() roster.Heartbeat { return roster.Heartbeat{Host: r.Self} },
					Listen:       func(string) (net.PacketConn, error) { return conn, nil },
					SendUrgent:   requests,
				}
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				requesterDone := make(chan struct{})
				go func() {
					defer close(requesterDone)
					for ctx.Err() == nil {
						select {
						case requests <- struct{}{}:
						default:
						}
						time.Sleep(10 * time.Millisecond)
					}
				}()
				is.NoErr(h.Run(ctx))
				<-requesterDone
				seconds := int64(duration / time.Second)
				is.True(conn.sent.Load() > 0)
				is.True(conn.sent.Load() <= (2*maxRegular+maxUrgent)*seconds+maxRegular+maxPeers)
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
