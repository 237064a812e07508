package controller

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/logger"
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

// lockedLog collects the lines of a log.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write adds a line.
func (l *lockedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// String returns all lines.
func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestStopNamesCutRequests guards against a stop that cuts requests and says nothing about
// them: each has a line, and the end of the host counts them.
func TestStopNamesCutRequests(t *testing.T) {
	is := is.New(t)
	var log lockedLog
	c := newBareController("host-1")
	c.Bounds.GracePeriod = 300 * time.Millisecond
	c.Log = logger.New(&log, "info", c.Self)
	c.Init()
	upstream, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0") // It never responds.
	is.NoErr(err)
	stuck := core.Upstream{Name: "u-1", Service: "desk", Zone: c.Self.Zone.Name, Address: upstream.Addr().String(), Slots: 1}
	route := core.Route{
		Name: "r-order", Hostname: "desk.example", Prefix: "/o/", Class: core.NonIdempotent,
		WeightedServices: []core.WeightedService{{Service: "desk", Weight: 1}},
	}
	c.ApplyUpdate(replicator.Snapshot{
		Policy:      &replicator.Policy{Version: 3, Routes: []core.Route{route}},
		Upstreams:   &replicator.Upstreams{Revision: 1, List: []core.Upstream{stuck}},
		Evacuations: &replicator.Evacuations{Revision: 1},
	}, time.Now())
	clients, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx, clients) }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", clients.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /o/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	sent, err := upstream.Accept()
	is.NoErr(err)
	defer func() { _ = sent.Close() }()
	_, err = sent.Read(make([]byte, 1))
	is.NoErr(err)
	stop()
	is.NoErr(<-ended)
	for _, want := range []string{`"request-cut"`, `"upstream":"u-1"`, `"host-stop-timeout"`, `"cut":1`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %s in\n%s", want, log.String())
		}
	}
}
