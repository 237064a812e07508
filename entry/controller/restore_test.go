package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/watcher"
)

// restoredLists returns the lists of a store that was restored once and lists one upstream.
func restoredLists(upstream core.Upstream) replicator.Snapshot {
	return replicator.Snapshot{
		Era:         1,
		Upstreams:   &replicator.Upstreams{Revision: 1, List: []core.Upstream{upstream}},
		Evacuations: &replicator.Evacuations{Revision: 1},
		Hosts:       &replicator.Hosts{Revision: 1},
	}
}

// TestFollowerLearnsOfRestore guards against a follower that goes on with the lists of before
// a restore of the store, whose revisions are higher than its reader's, and against one that
// never checks its own registration. It must report the restore once.
func TestFollowerLearnsOfRestore(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4, Incarnation: 1}
	reader, follower := newController("reader", upstream), newController("follower", upstream)
	reader.Self.Capacity = 1
	for _, c := range []*Controller{reader, follower} {
		c.ApplyUpdate(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: 5000, List: []core.Upstream{upstream}}}, time.Now())
	}
	follower.SetReadMode = func(ReadMode) {}
	address := serveSnapshots(t, reader)
	follower.SnapshotAddress = func(core.Host) string { return address }
	restored := make(chan core.Era, 8)
	follower.OnStoreRestored = func(era core.Era) {
		_ = follower.newHeartbeat() // Callers may use the host.
		restored <- era
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.followReader(ctx)
	}()
	upstream.Incarnation, upstream.Slots = 2, 8
	reader.ApplyUpdate(restoredLists(upstream), time.Now())
	for follower.replicator.Snapshot().Upstreams.List[0].Slots != upstream.Slots {
		revisions := reader.replicator.Snapshot().Revisions()
		receiveHeartbeats(follower, roster.Heartbeat{Host: reader.Self, Ready: true, ReadsStore: true, Revisions: revisions})
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * followInterval)
	stop()
	<-done
	is.Equal(<-restored, core.Era(1))
	is.Equal(len(restored), 0)
	is.Equal(follower.Meter.Snapshot().Gauges["store_era"], 1.0)
	is.True(follower.storeStatus.isSnapshotCurrent(time.Now()))
}

// TestReaderOfEarlierEra guards against a host that counts its lists as confirmed by a reader
// that has not heard of a restore of the store yet, and ignores that reader's lists: it must
// read the store itself until the reader knows the era.
func TestReaderOfEarlierEra(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}
	reader, follower := newController("reader", upstream), newController("follower", upstream)
	reader.Self.Capacity = 1
	var isReading atomic.Bool
	follower.SetReadMode = func(reading ReadMode) { isReading.Store(reading == ReadAll) }
	address := serveSnapshots(t, reader)
	follower.SnapshotAddress = func(core.Host) string { return address }
	follower.readMode.Store(int32(ReadNone))
	follower.ApplyUpdate(restoredLists(upstream), time.Now())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.followReader(ctx)
	}()
	awaitReading := func(want bool) {
		for isReading.Load() != want {
			revisions := reader.replicator.Snapshot().Revisions()
			receiveHeartbeats(follower, roster.Heartbeat{Host: reader.Self, Ready: true, ReadsStore: true, Revisions: revisions})
			time.Sleep(time.Millisecond)
		}
	}
	awaitReading(true)
	is.True(!follower.storeStatus.isSnapshotCurrent(time.Now()))
	reader.ApplyUpdate(restoredLists(upstream), time.Now())
	awaitReading(false)
	stop()
	<-done
}

// TestChangesOfOtherEra guards against changes that a watch of a restored store returns after
// a revision of before the restore: they are no delta of the host's list.
func TestChangesOfOtherEra(t *testing.T) {
	is := is.New(t)
	c := newController("host-1", core.Upstream{Name: "u-1"})
	changes := watcher.Changes[core.Upstream]{
		List: []watcher.Change[core.Upstream]{{Name: "u-1", IsRemoved: true}}, Revision: 2, Era: 1,
	}
	c.ApplyUpstreamChanges(1, changes)
	is.Equal(c.upstreamCount(), 1)
	c.ApplyUpdate(restoredLists(core.Upstream{Name: "u-1", Draining: true}), time.Now())
	c.ApplyUpstreamChanges(1, changes)
	is.Equal(c.upstreamCount(), 0)
}

// TestReaderConfirmsUpstreams guards against requests to an upstream that has ended, on a host
// whose reader has not heard of upstreams from the store since the settle time, though it
// reaches the store: the reader's list may still have the entry.
func TestReaderConfirmsUpstreams(t *testing.T) {
	is := is.New(t)
	upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Incarnation: 1}
	draining := upstream
	draining.Draining = true
	reader, follower := newController("reader", upstream), newController("follower", draining)
	now := time.Now()
	late := now.Add(time.Minute)
	for _, c := range []*Controller{reader, follower} {
		c.ApplyUpdate(restoredLists(upstream), now)
	}
	is.Equal(reader.newHeartbeat().UpstreamsAge, core.Milliseconds(0))
	reader.ConfirmUpstreams(1, now)
	is.True(reader.newHeartbeat().UpstreamsAge > 0)
	status := roster.ReaderStatus{Host: reader.Self, Revisions: reader.replicator.Snapshot().Revisions()}
	isDraining := func(confirmed time.Time) bool {
		status.UpstreamsConfirmed = confirmed
		follower.syncWithReader(status, late)
		follower.replicator.Settle(late)
		return follower.replicator.Snapshot().Upstreams.List[0].Draining
	}
	is.True(isDraining(time.Time{}))
	is.True(isDraining(now))
	is.True(!isDraining(late))
}

// TestHostLearnsLastChangesBeforeRestore guards against requests to upstreams that drain or have
// left, on a host that had not heard of it before a restore, unlike another host.
func TestHostLearnsLastChangesBeforeRestore(t *testing.T) {
	is := is.New(t)
	drains := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Incarnation: 1}
	leaves := core.Upstream{Name: "u-2", Service: "desk", Zone: "for-a", Address: "127.0.0.1:2", Incarnation: 1}
	draining := drains
	draining.Draining = true
	list := func(era core.Era, revision uint64, upstreams ...core.Upstream) replicator.Snapshot {
		return replicator.Snapshot{Era: era, Upstreams: &replicator.Upstreams{Revision: revision, List: upstreams}}
	}
	knowing, other := newBareController("knowing"), newBareController("other")
	for _, c := range []*Controller{knowing, other} {
		c.IsFirstStart = true
		c.Init()
		c.ApplyUpdate(list(1, 50, drains, leaves), time.Now())
	}
	knowing.ApplyUpdate(list(1, 51, draining), time.Now())
	for _, c := range []*Controller{knowing, other} {
		c.ApplyUpdate(list(2, 40, drains, leaves), time.Now())
	}
	is.True(!other.replicator.LacksKnowledge())
	var asked atomic.Int64
	address := serveSnapshots(t, knowing)
	other.SnapshotAddress = func(core.Host) string {
		asked.Add(1)
		return address
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		other.learnFromPeers(ctx)
	}()
	isTold := func() bool {
		held := other.replicator.Snapshot().Upstreams.List
		return len(held) == 1 && held[0].Draining
	}
	for start := time.Now(); !isTold(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("the host has not learnt what drains and what has left")
		}
		receiveHeartbeats(other, knowing.newHeartbeat())
	}
	time.Sleep(3 * followInterval)
	stop()
	<-done
	is.Equal(asked.Load(), int64(1))
	is.Equal(*other.newHeartbeat().KnownBefore, *knowing.newHeartbeat().KnownBefore)
	knowing.SnapshotAddress = other.SnapshotAddress
	receiveHeartbeats(knowing, other.newHeartbeat())
	_, hasPeer := knowing.peerToLearnFrom(time.Now())
	is.True(!hasPeer)
}

// TestHostLearnsOfTimeBeforeRestore guards against requests to an upstream that drains, on a host
// that started shortly before or after a restore and reads from the store that the upstream is
// ready: it must ask a seed when it starts, or a host that says that it knows more.
func TestHostLearnsOfTimeBeforeRestore(t *testing.T) {
	for _, hasSeed := range []bool{false, true} {
		t.Run(map[bool]string{false: "from a peer", true: "from a seed"}[hasSeed], func(t *testing.T) {
			is := is.New(t)
			upstream := core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Incarnation: 1}
			draining := upstream
			draining.Draining = true
			knowing, starter := newController("knowing", draining), newBareController("starter")
			starter.IsFirstStart, starter.Self.Incarnation = false, knowing.Self.Incarnation+1
			starter.Init()
			for _, c := range []*Controller{knowing, starter} {
				c.ApplyUpdate(restoredLists(upstream), time.Now())
			}
			is.True(!starter.replicator.Snapshot().Upstreams.List[0].Draining)
			address := serveSnapshots(t, knowing)
			starter.SnapshotAddress = func(core.Host) string { return address }
			if hasSeed {
				starter.SetSeeds([]string{"127.0.0.1:1", address})
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				starter.learnFromPeers(ctx)
			}()
			for start := time.Now(); !starter.replicator.Snapshot().Upstreams.List[0].Draining; time.Sleep(time.Millisecond) {
				if time.Since(start) > 10*time.Second {
					t.Fatal("the host has not learnt that the upstream drains")
				}
				if !hasSeed {
					receiveHeartbeats(starter, knowing.newHeartbeat())
				}
			}
			stop()
			<-done
			is.True(!starter.replicator.LacksKnowledge())
		})
	}
}
