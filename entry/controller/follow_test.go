package controller

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/heartbeater"
)

// serve serves requests of other hosts and returns the address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// serveSnapshots serves the snapshots of a host and returns the address.
func serveSnapshots(t *testing.T, c *Controller) string {
	t.Helper()
	return serve(t, func(ctx *fasthttp.RequestCtx) {
		held := heartbeater.DecodeRevisions(func(name string) string { return string(ctx.QueryArgs().Peek(name)) })
		data, err := c.Snapshot(held, time.Now())
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBody(data)
	})
}

// TestFollowReader checks that a host fetches the snapshot of its zone's reader after
// a change, and reads the store itself when the reader's heartbeats stop.
func TestFollowReader(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	reader, follower := newController("reader", upstream), newController("follower", upstream)
	reader.Self.Capacity = 1
	var isReading atomic.Bool
	isReading.Store(true)
	follower.SetReadMode = func(reading ReadMode) { isReading.Store(reading == ReadAll) }
	address := serveSnapshots(t, reader)
	follower.SnapshotAddress = func(core.Host) string { return address }
	sendHeartbeat := func() {
		revisions := reader.replicator.Snapshot().Revisions()
		receiveHeartbeats(follower, roster.Heartbeat{Host: reader.Self, Ready: true, ReadsStore: true, Revisions: revisions})
	}
	sendHeartbeat()
	if _, ok := follower.roster.Reader(time.Now()); !ok {
		t.Fatal("the follower has no reader")
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.followReader(ctx)
	}()
	upstream.Draining = true
	reader.ApplyUpdate(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: 2, List: []core.Upstream{upstream}}}, time.Now())
	sendHeartbeat()
	for !follower.replicator.Snapshot().Upstreams.List[0].Draining {
		time.Sleep(time.Millisecond)
	}
	is.True(!isReading.Load())
	for !isReading.Load() { // The reader sends no further heartbeat.
		time.Sleep(time.Millisecond)
	}
	stop()
	<-done
}

// TestFollowerReadsListsItself guards against a host that keeps, for good, what another host retained
// in a list after an outage, since the list of the reader that it follows again is older. It must
// read the store until it has the store's own list, and then follow the reader.
func TestFollowerReadsListsItself(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	left := upstream
	left.Name = "u-left"
	reader, follower := newController("reader", upstream), newController("follower", upstream)
	reader.Self.Capacity = 1
	var isReading atomic.Bool
	follower.SetReadMode = func(reading ReadMode) { isReading.Store(reading == ReadAll) }
	address := serveSnapshots(t, reader)
	follower.SnapshotAddress = func(core.Host) string { return address }
	const later = 5 // The reader's list has revision 1.
	follower.ApplyUpdate(replicator.Snapshot{Upstreams: &replicator.Upstreams{
		Revision: later, List: []core.Upstream{upstream, left}, MayIncludeExpired: true,
	}}, time.Now())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.followReader(ctx)
	}()
	await := func(want bool) {
		for start := time.Now(); isReading.Load() != want; time.Sleep(time.Millisecond) {
			if time.Since(start) > 10*time.Second {
				t.Errorf("the host reads the store: %v", isReading.Load())
				return
			}
			revisions := reader.replicator.Snapshot().Revisions()
			receiveHeartbeats(follower, roster.Heartbeat{Host: reader.Self, Ready: true, ReadsStore: true, Revisions: revisions})
		}
	}
	follower.setReadMode(ReadNone, reader.Self.Name)
	await(true)
	follower.ApplyUpdate(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: later, List: []core.Upstream{upstream}}}, time.Now())
	await(false)
	stop()
	<-done
	is.Equal(len(follower.replicator.Snapshot().Upstreams.List), 1)
}

// TestWaitingWatchHidesOutage checks that the probe detects an outage of the store
// that begins while the host's watches are pending. No call fails then, and only the
// probe shows that the snapshot may be outdated and that upstreams in the host's own
// region must be checked. When the outage is over, the watches must be renewed, and the
// snapshot counts as current only after the response to one of them.
func TestWaitingWatchHidesOutage(t *testing.T) {
	is := is.New(t)
	c := newController("host-1", coldUpstream(t))
	var isDown atomic.Bool
	c.PingStore = func() error {
		if isDown.Load() {
			return core.ErrPlatform.New("busy")
		}
		return nil
	}
	renewed := make(chan struct{}, 1)
	c.RenewWatches = func() { renewed <- struct{}{} }
	c.RecordStoreResponse(time.Now()) // From now on a watch is pending.
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.probeStore(ctx)
	}()
	is.True(c.storeStatus.isSnapshotCurrent(time.Now()))
	isDown.Store(true)
	for c.storeStatus.isSnapshotCurrent(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	isDown.Store(false)
	<-renewed
	is.True(!c.storeStatus.isSnapshotCurrent(time.Now()))
	c.RecordStoreResponse(time.Now())
	is.True(c.storeStatus.isSnapshotCurrent(time.Now()))
	stop()
	<-done
}

// TestHostThatJustReadsAgain checks that a follower whose reader is gone reports that
// it reads the store only after it has reached the store itself, so that no other
// host depends on it before.
func TestHostThatJustReadsAgain(t *testing.T) {
	is := is.New(t)
	c := newController("host-1", core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1"})
	c.SetReadMode = func(ReadMode) {}
	now := time.Now()
	c.setReadMode(ReadNone, "reader")
	c.storeStatus.confirmSnapshot(now)
	is.True(!c.newHeartbeat().ReadsStore) // The host follows its reader.
	c.setReadMode(ReadAll, "")
	is.True(!c.newHeartbeat().ReadsStore) // The host has not reached the store yet.
	c.RecordStoreResponse(now)
	is.True(c.newHeartbeat().ReadsStore)
}

// TestFirstStartAwaitsReader checks that in a large fleet that starts for the first
// time, a host leaves the reads of the store to the host of its zone with the greatest
// capacity and fetches its snapshot.
func TestFirstStartAwaitsReader(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	reader := newController("reader", upstream)
	reader.Self.Capacity = 800
	follower := newBareController("follower")
	var readings []ReadMode
	follower.SetReadMode = func(reading ReadMode) { readings = append(readings, reading) }
	address := serveSnapshots(t, reader)
	follower.SnapshotAddress = func(core.Host) string { return address }
	follower.Init()
	heartbeat := roster.Heartbeat{Host: reader.Self}
	receiveHeartbeats(follower, heartbeat)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.followReader(ctx)
	}()
	time.Sleep(initialListenTime + 2*followInterval)
	is.True(!follower.IsServing()) // The reader is not ready.
	heartbeat.Ready, heartbeat.ReadsStore, heartbeat.Revisions = true, true, reader.replicator.Snapshot().Revisions()
	receiveHeartbeats(follower, heartbeat)
	for !follower.IsServing() {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-done
	is.Equal(readings, []ReadMode{ReadNone, ReadHosts, ReadNone})
}

// receiveHeartbeats passes the given heartbeat to a host after those of many hosts in
// another zone, so that the fleet counts as large.
func receiveHeartbeats(c *Controller, heartbeat roster.Heartbeat) {
	now := time.Now()
	for i := range 30 {
		h := core.Host{Name: core.HostName("far-" + strconv.Itoa(i)), Zone: core.Zone{Name: "nat-a", Region: "nat"}}
		c.roster.RecordHeartbeat(roster.Heartbeat{Host: h, Ready: true}, now)
	}
	c.roster.RecordHeartbeat(heartbeat, now)
}
