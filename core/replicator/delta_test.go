package replicator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

// TestFollowerMatchesReader guards against a follower whose copy diverges from its
// reader's. The reader reads the store, and the follower fetches its changes now and
// then, also after outages from which registrations are missing, and after the store has
// come back from older copies, of which the follower may miss some. After each fetch both
// copies must be equal, and the follower's era and revision must never decrease. For a
// time after it has learnt of a restore the follower may hold back more than the reader.
func TestFollowerMatchesReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
		store := storeModel{era: core.Era(rapid.IntRange(0, 1).Draw(t, "era"))}
		store.change(map[string]core.Upstream{})
		now, settled := start, start
		read := func() {
			update := store.list()
			update.Evacuations = &replicator.Evacuations{Revision: store.revision, Zones: store.zones()}
			reader.ApplyUpdate(update, now)
			reader.ConfirmUpstreams(store.era, now)
		}
		follow := func() {
			before, hasContents := follower.Held(), follower.Snapshot().Upstreams != nil
			update := reader.ChangesSince(before, now)
			follower.ApplyUpdate(update, now)
			after := follower.Held()
			isSettling := update.Upstreams != nil && update.Upstreams.IsSettling || update.Knowledge != nil && update.Knowledge.IsSettling
			if after.Era > before.Era && hasContents || isSettling {
				settled = now.Add(settleTime)
			}
			if after.Era < before.Era || after.Era == before.Era && after.Upstreams < before.Upstreams {
				t.Fatal("the follower's revision decreased")
			}
			follower.ConfirmUpstreams(after.Era, reader.UpstreamsConfirmed())
			follower.Settle(now)
			if !now.Before(settled) {
				requireEqual(t, reader.Snapshot(), follower.Snapshot())
			}
		}
		actions := []string{"change", "leave", "expire", "outage", "recovery", "evacuate", "restore", "follow"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			follower.RecordStoreResponse(now)
			reader.ConfirmUpstreams(store.era, now) // Nothing has changed since it read.
			name := fmt.Sprint("u-", rapid.IntRange(0, 9).Draw(t, "upstream"))
			registered := maps.Clone(store.registered)
			switch rapid.SampledFrom(actions).Draw(t, "action") {
			case "change":
				changed := core.Upstream{Name: core.UpstreamName(name), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
				changed.Draining = rapid.Bool().Draw(t, "draining")
				if rapid.Bool().Draw(t, "cold") {
					changed.ColdUntil = now.Add(2 * time.Second)
				}
				registered[name] = changed
			case "leave":
				delete(registered, name)
			case "expire":
				reader.Settle(now)
			case "outage":
				reader.RecordStoreFailure()
			case "recovery":
				reader.RecordStoreResponse(now)
			case "evacuate":
				store.isEvacuated = !store.isEvacuated
			case "restore":
				store.restore(rapid.IntRange(0, len(store.history)-1).Draw(t, "copy"))
				read()
				continue
			case "follow":
				follow()
				continue
			}
			store.change(registered)
			read()
		}
		read()
		for range 25 { // longer than all grace periods and settle times together
			now = now.Add(time.Second)
			settle(reader, now)
			follower.RecordStoreResponse(now)
			follow()
		}
		requireEqual(t, reader.Snapshot(), follower.Snapshot())
		requireListed(t, store.list().Upstreams.List, reader.Snapshot().Upstreams.List)
	})
}

// storeModel is a store that can come back from an older copy of its own.
type storeModel struct {
	era         core.Era
	revision    uint64
	registered  map[string]core.Upstream
	isEvacuated bool
	history     []storeCopy
}

// storeCopy is the state of a storeModel at a revision.
type storeCopy struct {
	revision    uint64
	registered  map[string]core.Upstream
	isEvacuated bool
}

// change replaces the registrations and gives out a revision.
func (s *storeModel) change(registered map[string]core.Upstream) {
	s.revision++
	s.registered = registered
	s.history = append(s.history, storeCopy{revision: s.revision, registered: registered, isEvacuated: s.isEvacuated})
}

// restore makes the store come back from one of its copies.
func (s *storeModel) restore(i int) {
	copied := s.history[i]
	s.history = s.history[:i+1]
	s.era++
	s.revision, s.registered, s.isEvacuated = copied.revision, copied.registered, copied.isEvacuated
}

// list returns the full list of registrations.
func (s *storeModel) list() replicator.Snapshot {
	update := &replicator.Upstreams{Revision: s.revision}
	for _, name := range slices.Sorted(maps.Keys(s.registered)) {
		update.List = append(update.List, s.registered[name])
	}
	return replicator.Snapshot{Era: s.era, Upstreams: update}
}

// zones returns the evacuated zones.
func (s *storeModel) zones() []core.ZoneName {
	if s.isEvacuated {
		return []core.ZoneName{"for-a"}
	}
	return nil
}

// requireEqual fails the test where the follower's copy differs from the reader's.
func requireEqual(t *rapid.T, reader, follower replicator.Snapshot) {
	if reader.Revisions() != follower.Revisions() {
		t.Fatalf("follower has revisions %+v, reader %+v", follower.Revisions(), reader.Revisions())
	}
	if reader.Upstreams == nil {
		return
	}
	requireListed(t, reader.Upstreams.List, follower.Upstreams.List)
	if reader.Evacuations != nil && !slices.Equal(reader.Evacuations.Zones, follower.Evacuations.Zones) {
		t.Fatalf("follower holds the zones %v, reader %v", follower.Evacuations.Zones, reader.Evacuations.Zones)
	}
}

// requireListed fails the test where a follower's list differs from its reader's.
func requireListed(t *rapid.T, reader, follower []core.Upstream) {
	want, got := byName(reader), byName(follower)
	for name, u := range want {
		held := got[name]
		// The remaining warm-up is exchanged in whole milliseconds, rounded down.
		if late := held.ColdUntil.Sub(u.ColdUntil); late > 0 && !held.ColdUntil.IsZero() {
			t.Fatalf("the warm-up of %s ends %v later than on the reader", name, late)
		}
		u.ColdUntil, held.ColdUntil = time.Time{}, time.Time{}
		if u != held {
			t.Fatalf("follower holds %+v, reader %+v", held, u)
		}
	}
	if len(want) != len(got) {
		t.Fatalf("follower holds %d upstreams, reader %d", len(got), len(want))
	}
}

// byName returns the upstreams of a list by their names.
func byName(list []core.Upstream) map[core.UpstreamName]core.Upstream {
	index := map[core.UpstreamName]core.Upstream{}
	for _, u := range list {
		index[u.Name] = u
	}
	return index
}

// TestDeltasMatchFullLists guards against deltas that yield another list than full
// lists do. One host gets full lists and one gets deltas, also after outages from which
// registrations are missing, and after the store has come back from older copies, between
// which a delta says nothing. Both must hold the same upstreams after each step.
func TestDeltasMatchFullLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, delta := &replicator.Replicator{}, &replicator.Replicator{}
		store, sent := storeModel{era: core.Era(rapid.IntRange(0, 1).Draw(t, "era"))}, storeModel{}
		now := start
		take := func() {
			update := store.list()
			full.ApplyUpdate(update, now)
			if sent.revision > 0 {
				update.Upstreams = deltaBetween(sent.registered, store.registered, sent.revision, store.revision)
			}
			delta.ApplyUpdate(update, now)
			if sent.era != store.era {
				delta.ApplyUpdate(store.list(), now)
			}
			sent = store
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			registered := maps.Clone(store.registered)
			if registered == nil {
				registered = map[string]core.Upstream{}
			}
			switch rapid.SampledFrom([]string{"change", "change", "leave", "expire", "outage", "recovery", "restore"}).Draw(t, "action") {
			case "change":
				for range rapid.IntRange(1, 5).Draw(t, "number") {
					name := fmt.Sprint("u-", rapid.IntRange(0, 9).Draw(t, "upstream"))
					registered[name] = core.Upstream{Name: core.UpstreamName(name), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
				}
			case "leave":
				for range rapid.IntRange(1, 8).Draw(t, "number") {
					delete(registered, fmt.Sprint("u-", rapid.IntRange(0, 9).Draw(t, "upstream")))
				}
			case "expire":
				full.Settle(now)
				delta.Settle(now)
			case "outage":
				full.RecordStoreFailure()
				delta.RecordStoreFailure()
			case "recovery":
				full.RecordStoreResponse(now)
				delta.RecordStoreResponse(now)
				full.ConfirmUpstreams(store.era, now)
				delta.ConfirmUpstreams(store.era, now)
			case "restore":
				if len(store.history) > 0 {
					store.restore(rapid.IntRange(0, len(store.history)-1).Draw(t, "copy"))
					take()
					requireEqual(t, full.Snapshot(), delta.Snapshot())
					continue
				}
			}
			store.change(registered)
			take()
			requireEqual(t, full.Snapshot(), delta.Snapshot())
		}
	})
}

// deltaBetween returns the delta from one state to another.
func deltaBetween(before, after map[string]core.Upstream, base, revision uint64) *replicator.Upstreams {
	update := &replicator.Upstreams{Revision: revision, BaseRevision: base}
	for name, u := range after {
		if before[name] != u {
			update.List = append(update.List, u)
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			update.Removed = append(update.Removed, core.UpstreamName(name))
		}
	}
	return update
}

// TestFollowerDropsExpired guards against a follower that keeps upstreams whose
// registrations had expired: dropping them does not change the reader's revision, so a
// delta from it would say nothing about them.
func TestFollowerDropsExpired(t *testing.T) {
	reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
	follow := func(now time.Time) {
		follower.ApplyUpdate(reader.ChangesSince(follower.Snapshot().Revisions(), now), now)
	}
	reader.RecordStoreResponse(start)
	reader.ApplyUpdate(upstreams(50, manyNames(10)...), start)
	follow(start)
	reader.RecordStoreFailure()
	recovery := start.Add(8 * time.Second)
	reader.ApplyUpdate(upstreams(60, "upstream-00"), recovery)
	reader.RecordStoreResponse(recovery)
	follow(recovery)
	is := is.New(t)
	is.Equal(len(names(follower)), 10)
	ended := recovery.Add(3 * time.Second)
	reader.Settle(ended)
	reader.ApplyUpdate(upstreams(61, "upstream-00", "upstream-10"), ended)
	follow(ended)
	is.Equal(names(reader), []string{"upstream-00", "upstream-10"})
	is.Equal(names(follower), names(reader))
}

// TestDeltaFromRevisionOfAnotherHost guards against a follower that keeps an upstream that
// has left: it knows the upstream from another host, and its present reader has read the
// store only before the upstream joined and after it left.
func TestDeltaFromRevisionOfAnotherHost(t *testing.T) {
	is := is.New(t)
	reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
	reader.ApplyUpdate(upstreams(50, "a"), start)
	follower.ApplyUpdate(upstreams(51, "a", "b"), start)
	reader.ApplyUpdate(upstreams(52, "a"), start)
	follower.ApplyUpdate(reader.ChangesSince(follower.Snapshot().Revisions(), start), start)
	is.Equal(names(follower), []string{"a"})
}

// TestDeltaFromListWithoutRetained guards against a follower that never learns of an upstream
// that has registered again: its present reader retained the upstream, so that for the reader
// nothing changed, but the follower held the list of the store without it.
func TestDeltaFromListWithoutRetained(t *testing.T) {
	is := is.New(t)
	reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
	reader.RecordStoreResponse(start)
	reader.ApplyUpdate(upstreams(50, "a", "b"), start)
	recovery := start.Add(8 * time.Second)
	reader.RecordStoreResponse(recovery)
	reader.ApplyUpdate(upstreams(60, "a"), recovery)
	is.Equal(names(reader), []string{"a", "b"}) // b is retained
	follower.ApplyUpdate(upstreams(60, "a"), recovery)
	reader.ApplyUpdate(upstreams(61, "a", "b"), recovery.Add(time.Second))
	follower.ApplyUpdate(reader.ChangesSince(follower.Snapshot().Revisions(), recovery), recovery)
	is.Equal(names(follower), []string{"a", "b"})
}

// TestDeltaKeepsMarks guards against a host that takes a list for the store's own although another
// host retained or corrected upstreams in it: a delta from the store names none of them, so only a
// full list ends the difference.
func TestDeltaKeepsMarks(t *testing.T) {
	for name, mark := range map[string]func(u *replicator.Upstreams){
		"retained":  func(u *replicator.Upstreams) { u.MayIncludeExpired = true },
		"corrected": func(u *replicator.Upstreams) { u.IsSettling = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &replicator.Replicator{}
			r.ApplyUpdate(upstreams(60, "a", "b"), start)
			is.True(!r.LacksStoreLists(start))
			fetched := upstreams(61, "a", "b", "left")
			mark(fetched.Upstreams)
			fetched.Knowledge = &replicator.Knowledge{IsSettling: fetched.Upstreams.IsSettling}
			r.ApplyUpdate(fetched, start)
			delta := upstreams(62, "c")
			delta.Upstreams.BaseRevision = 60
			r.ApplyUpdate(delta, start)
			later := start.Add(10 * time.Second)
			settle(r, later)
			is.True(r.LacksStoreLists(later))
			r.ApplyUpdate(upstreams(62, "a", "b", "c"), later)
			is.Equal(names(r), []string{"a", "b", "c"})
			is.True(!r.LacksStoreLists(later))
		})
	}
}
