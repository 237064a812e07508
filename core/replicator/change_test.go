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
