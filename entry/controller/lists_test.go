package controller

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/entry/watcher"
)

// upstreamStore is a store of upstreams that is always available.
type upstreamStore struct {
	mu       sync.Mutex
	names    []core.UpstreamName
	revision uint64
	// joined are the revisions at which upstreams were added after the first list.
	joined map[core.UpstreamName]uint64
	calls  int
}

// add registers an upstream.
func (s *upstreamStore) add(name core.UpstreamName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.names = append(s.names, name)
	s.joined[name] = s.revision
}

func (s *upstreamStore) list() (watcher.List[core.Upstream], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := watcher.List[core.Upstream]{Objects: map[string]core.Upstream{}, Revision: s.revision}
	for _, name := range s.names {
		list.Objects[string(name)] = core.Upstream{Name: name, Service: "desk"}
	}
	return list, nil
}

func (s *upstreamStore) watch(after uint64, wait time.Duration) (watcher.Changes[core.Upstream], error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for ends := time.Now().Add(wait); time.Now().Before(ends); time.Sleep(time.Millisecond) {
		if s.changedAfter(after).List != nil {
			break
		}
	}
	return s.changedAfter(after), nil
}

func (s *upstreamStore) changedAfter(after uint64) watcher.Changes[core.Upstream] {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := watcher.Changes[core.Upstream]{Revision: s.revision}
	for name, revision := range s.joined {
		if revision > after {
			joined := core.Upstream{Name: name, Service: "desk"}
			changes.List = append(changes.List, watcher.Change[core.Upstream]{Name: string(name), Object: joined})
		}
	}
	return changes
}

func upstreamsNamed(names ...core.UpstreamName) []core.Upstream {
	var list []core.Upstream
	for _, name := range names {
		list = append(list, core.Upstream{Name: name, Service: "desk"})
	}
	return list
}

// TestListsOfOtherHostsEnd guards against hosts that keep, for good, what another host retained
// or corrected in the lists that it gave them: upstreams that left during an outage of the store,
// and zones whose evacuation ended before it was restored. The host reads the store again, whose
// later changes do not name these entries, or which does not change.
func TestListsOfOtherHostsEnd(t *testing.T) {
	retained := replicator.Snapshot{
		Upstreams: &replicator.Upstreams{Revision: 20, List: upstreamsNamed("a", "b", "left"), MayIncludeExpired: true},
	}
	corrected := replicator.Snapshot{
		Upstreams:   &replicator.Upstreams{Revision: 20, List: upstreamsNamed("b"), IsSettling: true},
		Evacuations: &replicator.Evacuations{Revision: 20, Zones: []core.ZoneName{"ended"}, IsSettling: true},
		Knowledge:   &replicator.Knowledge{IsSettling: true, Remaining: 2000, RemainingGrace: 2000},
	}
	tests := []struct {
		name    string
		fetched replicator.Snapshot
		joins   bool
	}{
		{"retained, and the store changes", retained, true},
		{"retained, and the store does not change", retained, false},
		{"corrected, and the store changes", corrected, true},
		{"corrected, and the store does not change", corrected, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkListsEnd(t, tt.fetched, tt.joins) })
		})
	}
}

// checkListsEnd applies a snapshot that was fetched from another host at the revision of the
// store, and requires the lists of the store 10 s later.
func checkListsEnd(t *testing.T, fetched replicator.Snapshot, joins bool) {
	is := is.New(t)
	store := &upstreamStore{names: []core.UpstreamName{"a", "b"}, revision: 20, joined: map[core.UpstreamName]uint64{}}
	c := newController("host-1")
	var breakers Breakers
	c.RenewWatches = breakers.RenewWatches
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	upstreams := &watcher.Watcher[core.Upstream]{
		List: store.list, Watch: store.watch, Breaker: &breakers.Shared, WatchTimeout: 4 * time.Second,
		OnSnapshot: func(list watcher.List[core.Upstream]) { c.ApplyUpstreams(list, time.Now()) },
		OnDelta:    c.ApplyUpstreamChanges,
		OnSuccess: func(era core.Era) {
			c.RecordStoreResponse(time.Now())
			c.ConfirmUpstreams(era, time.Now())
		},
		OnFailure: func(err error) { t.Error(err) },
	}
	evacuations := &watcher.Watcher[core.ZoneName]{
		List: func() (watcher.List[core.ZoneName], error) {
			return watcher.List[core.ZoneName]{Objects: map[string]core.ZoneName{}, Revision: 20}, nil
		},
		Watch: func(after uint64, wait time.Duration) (watcher.Changes[core.ZoneName], error) {
			time.Sleep(wait)
			return watcher.Changes[core.ZoneName]{Revision: after}, nil
		},
		Breaker: &breakers.Shared, WatchTimeout: 4 * time.Second,
		OnSnapshot: func(list watcher.List[core.ZoneName]) { c.ApplyEvacuations(list, time.Now()) },
		OnSuccess:  func(core.Era) { c.RecordStoreResponse(time.Now()) },
		OnFailure:  func(err error) { t.Error(err) },
	}
	// The fetched lists are newer than the first ones of the watchers.
	store.revision = 19
	group.Go(func() { upstreams.Run(ctx) })
	time.Sleep(50 * time.Millisecond)
	store.revision = 20
	c.ApplyUpdate(fetched, time.Now())
	group.Go(func() { evacuations.Run(ctx) })
	group.Go(func() { c.runPeriodicTasks(ctx) })
	time.Sleep(time.Second)
	want := []core.UpstreamName{"a", "b"}
	if joins {
		store.add("c")
		want = append(want, "c")
	}
	time.Sleep(9 * time.Second)
	now := c.replicator.Snapshot()
	calls := store.calls
	stop()
	time.Sleep(2 * time.Minute)
	group.Wait()
	var names []core.UpstreamName
	for _, u := range now.Upstreams.List {
		names = append(names, u.Name)
	}
	slices.Sort(names)
	is.Equal(names, want)
	is.Equal(len(now.Evacuations.Zones), 0)
	is.True(calls <= 7) // Few calls beyond the watches that end by themselves.
}
