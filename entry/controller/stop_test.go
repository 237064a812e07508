package controller

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

// TestStopWaitsForNoCall checks that a graceful stop ends within its grace period even
// if a call to another host is pending that takes longer. Calls to upstreams are
// handled in the same way.
func TestStopWaitsForNoCall(t *testing.T) {
	is := is.New(t)
	silent, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	asked, closed := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := silent.Accept()
		if err != nil {
			return
		}
		close(asked)
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	c := newBareController("host-1")
	c.SnapshotAddress = func(core.Host) string { return silent.Addr().String() }
	c.SetReadMode = func(ReadMode) {}
	c.Bounds.GracePeriod = time.Second
	c.Bounds.MaxPropagationDelay = 5 * time.Minute // The call then takes a minute.
	c.Init()
	reader := core.Host{Name: "reader", Zone: c.Self.Zone, PeerAddress: "127.0.0.1:1", Capacity: 1}
	receiveHeartbeats(c, roster.Heartbeat{Host: reader, Ready: true, ReadsStore: true, Revisions: core.Revisions{Policy: 9}})
	clients, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx, clients) }()
	<-asked
	stop()
	is.NoErr(<-ended)
	select {
	case <-closed:
		t.Error("the stop waited for the call")
	default:
	}
	is.NoErr(silent.Close())
}
