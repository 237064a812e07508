package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/watcher"
)

// lossyStore is a store with one object that can lose its responses. The caller then waits
// for them in vain while later calls succeed.
type lossyStore struct {
	mu       sync.Mutex
	value    int
	revision uint64
	changed  chan struct{}
	// isSilent says that every response is lost, losesWatches that those of watches are.
	isSilent     bool
	losesWatches bool
}

// set changes the object.
func (s *lossyStore) set(value int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	s.revision++
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// lose makes the store lose all responses, or only those of watches; neither ends it.
func (s *lossyStore) lose(all, watches bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isSilent, s.losesWatches = all, watches
}

func (s *lossyStore) isLost(isWatch bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isSilent || isWatch && s.losesWatches
}

// respond ends a call that was sent at the given time and may wait.
func (s *lossyStore) respond(isWatch bool, sent time.Time, wait time.Duration) error {
	if !s.isLost(isWatch) {
		return nil
	}
	time.Sleep(time.Until(sent.Add(wait + caller.StoreTimeout)))
	return core.ErrPlatform.New("timeout")
}

func (s *lossyStore) ping() error {
	return s.respond(false, time.Now(), 0)
}

func (s *lossyStore) list() (watcher.List[int], error) {
	s.mu.Lock()
	list := watcher.List[int]{Objects: map[string]int{"object": s.value}, Revision: s.revision}
	s.mu.Unlock()
	return list, s.respond(false, time.Now(), 0)
}

func (s *lossyStore) watch(after uint64, wait time.Duration) (watcher.Changes[int], error) {
	sent := time.Now()
	s.mu.Lock()
	isPending, changed := s.revision == after, s.changed
	s.mu.Unlock()
	if isPending {
		select {
		case <-changed:
		case <-time.After(wait):
		}
	}
	s.mu.Lock()
	changes := watcher.Changes[int]{Revision: s.revision}
	if s.revision > after {
		changes.List = []watcher.Change[int]{{Name: "object", Object: s.value}}
	}
	s.mu.Unlock()
	return changes, s.respond(true, sent, wait)
}

// TestLostWatchHidesNoChange guards against hosts that miss changes because the response
// to a watch was lost while its connection stayed open: a change that is made as soon as
// the hosts must be stable again has to arrive in time, whether other calls showed that
// the store had been silent or not.
func TestLostWatchHidesNoChange(t *testing.T) {
	const history = 20 * time.Second
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for _, bounds := range []Bounds{
		{StabilizationTime: seconds(4), MaxPropagationDelay: seconds(2.5)},
		{StabilizationTime: seconds(3), MaxPropagationDelay: seconds(2.5)},
		{StabilizationTime: seconds(5), MaxPropagationDelay: seconds(4)},
		{StabilizationTime: seconds(2), MaxPropagationDelay: seconds(2)},
	} {
		for _, silence := range []time.Duration{0, 100 * time.Millisecond, seconds(1.6), seconds(4.5), seconds(9)} {
			t.Run(fmt.Sprint(bounds.StabilizationTime, bounds.MaxPropagationDelay, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkLostWatch(t, bounds, history, silence) })
			})
		}
	}
}

// checkLostWatch lets a store be silent for some time, at whose beginning the response to
// a watch is due; 0 means that only this response is lost.
func checkLostWatch(t *testing.T, bounds Bounds, history, silence time.Duration) {
	is := is.New(t)
	store := &lossyStore{}
	store.set(1)
	c := newController("host-1")
	c.Bounds.StabilizationTime, c.Bounds.MaxPropagationDelay = bounds.StabilizationTime, bounds.MaxPropagationDelay
	breaker := &watcher.CircuitBreaker{}
	c.PingStore, c.RenewWatches = store.ping, breaker.RenewWatches
	copied := 0
	w := &watcher.Watcher[int]{
		List: store.list, Watch: store.watch, Breaker: breaker,
		WatchTimeout: c.Bounds.WatchTimeout(history), BatchDelay: c.Bounds.BatchDelay(),
		OnSnapshot: func(list watcher.List[int]) { copied = list.Objects["object"] },
		OnSuccess:  func(core.Era) { c.RecordStoreResponse(time.Now()) },
		OnFailure:  func(err error) { c.RecordStoreFailure(err, time.Now()) },
	}
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { c.probeStore(ctx) })
	group.Go(func() { w.Run(ctx) })
	time.Sleep(1230 * time.Millisecond)
	store.lose(silence > 0, true)
	store.set(2)
	time.Sleep(max(silence, time.Millisecond))
	store.lose(false, false)
	time.Sleep(bounds.StabilizationTime)
	store.set(3)
	time.Sleep(bounds.MaxPropagationDelay)
	inForce, isCurrent := copied, c.storeStatus.isSnapshotCurrent(time.Now())
	stop()
	group.Wait()
	time.Sleep(history) // Abandoned watches end.
	is.Equal(inForce, 3)
	is.True(isCurrent)
}

// TestUpstreamsLeaveAfterQuietTime guards against requests to upstreams that left while the
// store was available: a change after a quiet time must not look like the end of an outage,
// which probes rule out. After an outage, upstreams that are missing are kept at first.
func TestUpstreamsLeaveAfterQuietTime(t *testing.T) {
	for _, isOutage := range []bool{false, true} {
		t.Run(fmt.Sprint(isOutage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLeaving(t, isOutage) })
		})
	}
}

// checkLeaving removes a quarter of the upstreams after six seconds in which the store had
// nothing to tell, or was silent.
func checkLeaving(t *testing.T, isOutage bool) {
	is := is.New(t)
	store := &lossyStore{}
	store.lose(isOutage, false)
	var upstreams []core.Upstream
	for i := range 20 {
		upstreams = append(upstreams, core.Upstream{Name: core.UpstreamName(fmt.Sprintf("u-%02d", i)), Service: "desk"})
	}
	c := newController("host-1", upstreams...)
	c.PingStore = store.ping
	c.RecordStoreResponse(time.Now())
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { c.probeStore(ctx) })
	time.Sleep(6 * time.Second)
	store.lose(false, false)
	c.RecordStoreResponse(time.Now()) // a change of the configuration
	time.Sleep(300 * time.Millisecond)
	c.ApplyUpdate(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: 2, List: upstreams[5:]}}, time.Now())
	c.RecordStoreResponse(time.Now())
	kept := c.upstreamCount()
	time.Sleep(1900 * time.Millisecond)
	c.RecordStoreResponse(time.Now()) // another one
	c.replicator.Settle(time.Now())
	keptLonger := c.upstreamCount()
	stop()
	group.Wait()
	if isOutage {
		is.Equal(kept, 20)
	} else {
		is.Equal(kept, 15)
	}
	is.Equal(keptLonger, 15)
}

// TestProbeConfirmsNoSnapshot guards against a host that takes its snapshot for the newest
// as soon as a probe succeeds after an outage, although it may have missed changes.
func TestProbeConfirmsNoSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var status storeStatus
	status.recordResponse(now)
	is.True(status.isSnapshotCurrent(now))
	is.True(status.recordProbe(false, now.Add(time.Second)))
	is.True(!status.recordProbe(false, now.Add(2*time.Second))) // It was lost before.
	is.True(!status.isSnapshotCurrent(now.Add(2 * time.Second)))
	is.True(status.recordProbe(true, now.Add(3*time.Second)))
	is.True(!status.isSnapshotCurrent(now.Add(3 * time.Second)))
	is.True(!status.recordResponse(now.Add(4 * time.Second))) // The probe found it before.
	is.True(status.isSnapshotCurrent(now.Add(4 * time.Second)))
}

// TestFollowerForgetsFailedProbe guards against a host that begins to follow a reader before
// its own next probe of the store succeeds: it makes no more probes, so the failed one must
// not keep its snapshot from counting as current.
func TestFollowerForgetsFailedProbe(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var status storeStatus
	status.recordResponse(now)
	status.recordProbe(false, now.Add(time.Second))
	status.confirmSnapshot(now.Add(2 * time.Second))
	is.True(status.isSnapshotCurrent(now.Add(2 * time.Second)))
}

// TestWatchTimeout checks that a watch is shorter than the time in which a lost one must
// be noticed, the store's history and the longest wait that the store allows.
func TestWatchTimeout(t *testing.T) {
	for _, c := range []struct {
		stabilization, propagation, history, want time.Duration
	}{
		{4 * time.Second, 2500 * time.Millisecond, 20 * time.Second, 3700 * time.Millisecond},
		{5 * time.Second, 4 * time.Second, 20 * time.Second, 5700 * time.Millisecond},
		{4 * time.Second, 2500 * time.Millisecond, 4 * time.Second, 3 * time.Second},
		{time.Second, time.Second, 20 * time.Second, minWatchTimeout},
		{time.Minute, time.Minute, time.Hour, maxWatchTimeout},
	} {
		bounds := Bounds{StabilizationTime: c.stabilization, MaxPropagationDelay: c.propagation}
		is.New(t).Equal(bounds.WatchTimeout(c.history), c.want)
	}
}
