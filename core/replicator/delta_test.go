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
// then, also after outages from which registrations are missing. After each fetch both
// copies must be equal, and the follower's revision must never decrease.
func TestFollowerMatchesReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
		registered := map[string]core.Upstream{}
		now, revision := start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("u-", rapid.IntRange(0, 9).Draw(t, "upstream"))
			switch rapid.SampledFrom([]string{"change", "leave", "expire", "outage", "recovery", "evacuate", "follow"}).Draw(t, "action") {
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
				reader.RemoveExpired(now)
			case "outage":
				reader.RecordStoreFailure()
			case "recovery":
				reader.RecordStoreResponse(now)
			case "evacuate":
				revision++
				reader.ApplyUpdate(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: revision}}, now)
			case "follow":
				before := follower.Snapshot().Revisions()
				follower.ApplyUpdate(reader.ChangesSince(before, now), now)
				if follower.Snapshot().Revisions().Upstreams < before.Upstreams {
					t.Fatal("the follower's revision decreased")
				}
				requireEqual(t, reader.Snapshot(), follower.Snapshot())
				continue
			}
			revision++
			update := &replicator.Upstreams{Revision: revision}
			for _, n := range slices.Sorted(maps.Keys(registered)) {
				update.List = append(update.List, registered[n])
			}
			reader.ApplyUpdate(replicator.Snapshot{Upstreams: update}, now)
		}
	})
}

// requireEqual fails the test where the follower's copy differs from the reader's.
func requireEqual(t *rapid.T, reader, follower replicator.Snapshot) {
	if reader.Revisions() != follower.Revisions() {
		t.Fatalf("follower has revisions %+v, reader %+v", follower.Revisions(), reader.Revisions())
	}
	if reader.Upstreams == nil {
		return
	}
	want, got := byName(reader.Upstreams.List), byName(follower.Upstreams.List)
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
// registrations are missing. Both must hold the same upstreams after each step.
func TestDeltasMatchFullLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, delta := &replicator.Replicator{}, &replicator.Replicator{}
		registered, sent := map[string]core.Upstream{}, map[string]core.Upstream{}
		now, sentRevision := start, uint64(0)
		take := func(revision uint64) {
			update := &replicator.Upstreams{Revision: revision}
			for _, name := range slices.Sorted(maps.Keys(registered)) {
				update.List = append(update.List, registered[name])
			}
			full.ApplyUpdate(replicator.Snapshot{Upstreams: update}, now)
			if sentRevision > 0 {
				update = deltaBetween(sent, registered, sentRevision, revision)
			}
			delta.ApplyUpdate(replicator.Snapshot{Upstreams: update}, now)
			sent, sentRevision = maps.Clone(registered), revision
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"change", "change", "leave", "expire", "outage", "recovery"}).Draw(t, "action") {
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
				full.RemoveExpired(now)
				delta.RemoveExpired(now)
			case "outage":
				full.RecordStoreFailure()
				delta.RecordStoreFailure()
			case "recovery":
				full.RecordStoreResponse(now)
				delta.RecordStoreResponse(now)
			}
			take(uint64(step + 1))
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
	reader.RemoveExpired(ended)
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
