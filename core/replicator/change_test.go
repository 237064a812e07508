package replicator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

// TestFollowerHoldsWhatTheReaderHolds plays a host that reads the store and one
// that takes what changed from it now and then, over outages after which
// registrations are missing. Whenever the follower has caught up, both hold the
// same, and nothing of the follower ever goes back.
func TestFollowerHoldsWhatTheReaderHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
		listed := map[string]core.Upstream{}
		now, revision := start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("u-", rapid.IntRange(0, 9).Draw(t, "upstream"))
			switch rapid.SampledFrom([]string{"change", "leave", "expire", "outage", "evacuate", "follow"}).Draw(t, "action") {
			case "change":
				one := core.Upstream{Name: core.UpstreamName(name), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
				one.Draining = rapid.Bool().Draw(t, "draining")
				if rapid.Bool().Draw(t, "cold") {
					one.ColdUntil = now.Add(2 * time.Second)
				}
				listed[name] = one
			case "leave":
				delete(listed, name)
			case "expire":
				reader.Expire(now)
			case "outage":
				reader.Failed(now)
			case "evacuate":
				revision++
				reader.Take(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: revision}}, now)
			case "follow":
				before := follower.Snapshot().Revisions()
				follower.Take(reader.Changes(before, now), now)
				if follower.Snapshot().Revisions().Upstreams < before.Upstreams {
					t.Fatal("the follower went back")
				}
				compare(t, reader.Snapshot(), follower.Snapshot())
				continue
			}
			revision++
			update := &replicator.Upstreams{Revision: revision}
			for _, n := range slices.Sorted(maps.Keys(listed)) {
				update.List = append(update.List, listed[n])
			}
			reader.Take(replicator.Snapshot{Upstreams: update}, now)
		}
	})
}

func compare(t *rapid.T, reader, follower replicator.Snapshot) {
	if reader.Revisions() != follower.Revisions() {
		t.Fatalf("revisions %+v, reader %+v", follower.Revisions(), reader.Revisions())
	}
	if reader.Upstreams == nil {
		return
	}
	want, got := index(reader.Upstreams.List), index(follower.Upstreams.List)
	for name, u := range want {
		held := got[name]
		// Coldness is passed on in whole milliseconds of what is left.
		if late := held.ColdUntil.Sub(u.ColdUntil); late > 0 && !held.ColdUntil.IsZero() {
			t.Fatalf("%s stays cold for %v longer", name, late)
		}
		u.ColdUntil, held.ColdUntil = time.Time{}, time.Time{}
		if u != held {
			t.Fatalf("holds %+v, reader %+v", held, u)
		}
	}
	if len(want) != len(got) {
		t.Fatalf("holds %d upstreams, reader %d", len(got), len(want))
	}
}

func index(list []core.Upstream) map[core.UpstreamName]core.Upstream {
	named := map[core.UpstreamName]core.Upstream{}
	for _, u := range list {
		named[u.Name] = u
	}
	return named
}

// TestChangesMakeTheSameList plays a host that gets whole lists and one that gets
// what changed, over outages after which registrations are missing. Both hold
// the same all the time.
func TestChangesMakeTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, delta := &replicator.Replicator{}, &replicator.Replicator{}
		listed, told := map[string]core.Upstream{}, map[string]core.Upstream{}
		now, toldRevision := start, uint64(0)
		take := func(revision uint64) {
			update := &replicator.Upstreams{Revision: revision}
			for _, name := range slices.Sorted(maps.Keys(listed)) {
				update.List = append(update.List, listed[name])
			}
			whole.Take(replicator.Snapshot{Upstreams: update}, now)
			if toldRevision > 0 {
				update = difference(told, listed, toldRevision, revision)
			}
			delta.Take(replicator.Snapshot{Upstreams: update}, now)
			told, toldRevision = maps.Clone(listed), revision
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"change", "change", "leave", "expire", "outage"}).Draw(t, "action") {
			case "change":
				for range rapid.IntRange(1, 5).Draw(t, "number") {
					name := fmt.Sprint("u-", rapid.IntRange(0, 9).Draw(t, "upstream"))
					listed[name] = core.Upstream{Name: core.UpstreamName(name), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
				}
			case "leave":
				for range rapid.IntRange(1, 8).Draw(t, "number") {
					delete(listed, fmt.Sprint("u-", rapid.IntRange(0, 9).Draw(t, "upstream")))
				}
			case "expire":
				whole.Expire(now)
				delta.Expire(now)
			case "outage":
				whole.Failed(now)
				delta.Failed(now)
			}
			take(uint64(step + 1))
			compare(t, whole.Snapshot(), delta.Snapshot())
		}
	})
}

// difference returns what changed between two states.
func difference(before, after map[string]core.Upstream, base, revision uint64) *replicator.Upstreams {
	update := &replicator.Upstreams{Revision: revision, Base: base}
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
