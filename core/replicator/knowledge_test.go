package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

// newKnowingHost returns a copy that knows what a store has lost by a restore, and the list
// that the restored store has.
func newKnowingHost() (r *replicator.Replicator, stored []core.Upstream) {
	r = &replicator.Replicator{}
	live := []core.Upstream{
		entry("cold", 1, "cold"), entry("draining", 1, "draining"), entry("missing", 1, "ready"), entry("restarted", 2, "ready"),
	}
	r.ApplyUpdate(evacuated(1, 49, "for-a"), start)
	r.ApplyUpdate(listOf(1, 50, append(live, entry("gone", 1, "ready"))...), start)
	r.ApplyUpdate(listOf(1, 51, live...), start)
	stored = []core.Upstream{
		entry("cold", 1, "ready"), entry("draining", 1, "ready"), entry("gone", 1, "ready"), entry("other", 1, "ready"),
		entry("restarted", 1, "ready"),
	}
	r.ApplyUpdate(evacuated(2, 39), start)
	r.ApplyUpdate(listOf(2, 40, stored...), start)
	return r, stored
}

// read applies the lists of the restored store.
func read(r *replicator.Replicator, revision uint64, now time.Time, stored ...core.Upstream) {
	r.ApplyUpdate(evacuated(2, revision), now)
	r.ApplyUpdate(listOf(2, revision, stored...), now)
}

// TestHostThatStartsAfterRestore guards against requests to upstreams that have ended, drain or
// are cold and to evacuated zones, and against the loss of live upstreams, on a host that
// started after a restore, whether it reads the store before it hears of another host or after.
func TestHostThatStartsAfterRestore(t *testing.T) {
	want := []string{"cold/1 cold", "draining/1 draining", "missing/1 ready", "other/1 ready", "restarted/2 ready"}
	for _, isReadFirst := range []bool{false, true} {
		t.Run(map[bool]string{false: "told first", true: "read first"}[isReadFirst], func(t *testing.T) {
			is := is.New(t)
			known, stored := newKnowingHost()
			is.Equal(describe(known), want)
			r := &replicator.Replicator{}
			if isReadFirst {
				read(r, 41, start, stored...)
				is.True(r.LacksKnowledge())
			}
			r.ApplyUpdate(known.ChangesSince(core.Revisions{Era: r.Held().Era}, start), start)
			is.Equal(describe(r), want)
			is.Equal(r.Snapshot().Evacuations.Zones, []core.ZoneName{"for-a"})
			is.True(!r.LacksKnowledge())
			read(r, 42, start.Add(time.Second), stored...)
			is.Equal(describe(r), want)
			is.Equal(r.Snapshot().Evacuations.Zones, []core.ZoneName{"for-a"})

			r.Settle(start.Add(grace))
			is.Equal(describe(r), []string{"cold/1 cold", "draining/1 draining", "other/1 ready"})
			is.Equal(len(r.Snapshot().Evacuations.Zones), 0)
			settle(r, start.Add(settleTime))
			is.Equal(len(names(r)), len(stored))
			is.True(!r.HasKnowledge())
		})
	}
}

// TestToldByHostOfEarlierEra guards against requests to upstreams that have ended, drain or are
// cold and to evacuated zones, on a host that started after a restore and asks one that has not
// noticed it yet, before, between or after its first lists.
func TestToldByHostOfEarlierEra(t *testing.T) {
	for _, first := range []string{"nothing", "zones", "all"} {
		is := is.New(t)
		known := &replicator.Replicator{}
		live := []core.Upstream{entry("cold", 1, "cold"), entry("draining", 1, "draining")}
		known.ApplyUpdate(evacuated(1, 49, "for-a"), start)
		known.ApplyUpdate(listOf(1, 50, append(live, entry("gone", 1, "ready"))...), start)
		known.ApplyUpdate(listOf(1, 51, live...), start)
		stored := []core.Upstream{entry("cold", 1, "ready"), entry("draining", 1, "ready"), entry("gone", 1, "ready"), entry("new", 1, "ready")}
		r := &replicator.Replicator{}
		switch first {
		case "zones":
			r.ApplyUpdate(evacuated(2, 41), start)
		case "all":
			read(r, 41, start, stored...)
		}
		r.ApplyUpdate(known.ChangesSince(core.Revisions{}, start), start)
		read(r, 42, start, stored...)
		is.Equal(describe(r), []string{"cold/1 cold", "draining/1 draining", "new/1 ready"})
		is.Equal(r.Snapshot().Evacuations.Zones, []core.ZoneName{"for-a"})
		is.True(r.LacksKnowledge()) // A host that has noticed the restore may know more.
	}
}

// TestToldListIsOlder guards against a host that takes over an upstream which another host's
// list has and that has left since, as if the restore had lost it.
func TestToldListIsOlder(t *testing.T) {
	for _, isReadFirst := range []bool{false, true} {
		is := is.New(t)
		known, _ := newKnowingHost()
		told := known.ChangesSince(core.Revisions{}, start)
		r := &replicator.Replicator{}
		if !isReadFirst {
			r.ApplyUpdate(told, start)
		}
		read(r, 41, start)
		r.ApplyUpdate(told, start)
		is.Equal(describe(r), []string{"missing/1 ready", "restarted/2 ready"})
	}
}

// TestToldBeforeAnyList guards against a host that starts when its peer has entered an era and
// read nothing in it, and then believes the store.
func TestToldBeforeAnyList(t *testing.T) {
	is := is.New(t)
	known := &replicator.Replicator{}
	known.ApplyUpdate(evacuated(1, 49, "for-a"), start)
	known.ApplyUpdate(listOf(1, 50, entry("gone", 1, "ready"), entry("missing", 1, "ready"), entry("u", 1, "draining")), start)
	known.ApplyUpdate(listOf(1, 51, entry("missing", 1, "ready"), entry("u", 1, "draining")), start)
	known.ApplyUpdate(replicator.Snapshot{Era: 2}, start)
	r := &replicator.Replicator{}
	r.ApplyUpdate(known.ChangesSince(core.Revisions{}, start), start)
	read(r, 40, start, entry("gone", 1, "ready"), entry("u", 1, "ready"))
	is.Equal(describe(r), []string{"missing/1 ready", "u/1 draining"})
	is.Equal(r.Snapshot().Evacuations.Zones, []core.ZoneName{"for-a"})
}

// TestLateHostLearnsOfEnd guards against a host that was cut off before an upstream left, and
// that takes it for lost by the restore though other hosts know better.
func TestLateHostLearnsOfEnd(t *testing.T) {
	is := is.New(t)
	known, stored := newKnowingHost()
	late := &replicator.Replicator{}
	late.ApplyUpdate(listOf(1, 50, entry("gone", 1, "ready"), entry("restarted", 1, "ready")), start)
	now := start.Add(time.Second)
	late.ApplyUpdate(known.ChangesSince(late.Held(), now), now)
	is.Equal(describe(late), describe(known))
	read(late, 41, now, stored...)
	is.Equal(describe(late), describe(known))
}

// TestToldEndIsOlder guards against a host that takes a live upstream for ended after a restore:
// before, another host with an older list had told that the upstream's entry was missing, and it
// has registered again since.
func TestToldEndIsOlder(t *testing.T) {
	is := is.New(t)
	known, r := &replicator.Replicator{}, &replicator.Replicator{}
	known.ApplyUpdate(listOf(1, 50, entry("again", 1, "ready"), entry("gone", 1, "ready")), start)
	known.ApplyUpdate(listOf(1, 51), start)
	r.ApplyUpdate(listOf(1, 52, entry("again", 1, "ready")), start)
	r.ApplyUpdate(known.ChangesSince(core.Revisions{}, start), start)
	read(r, 40, start, entry("again", 1, "ready"), entry("gone", 1, "ready"))
	is.Equal(describe(r), []string{"again/1 ready"})
}

// TestToldTimesAreLimited guards against a host that sends requests to upstreams that have left,
// and none to a zone that is no longer evacuated, for as long as one wrong host says that the
// restore goes on.
func TestToldTimesAreLimited(t *testing.T) {
	is := is.New(t)
	known, _ := newKnowingHost()
	told := known.ChangesSince(core.Revisions{}, start)
	told.Knowledge.Remaining, told.Knowledge.RemainingGrace = core.MillisecondsOf(time.Hour), core.MillisecondsOf(time.Hour)
	r := &replicator.Replicator{}
	r.ApplyUpdate(told, start)
	read(r, 41, start, entry("other", 1, "ready"))
	r.Settle(start.Add(grace))
	is.Equal(len(r.Snapshot().Evacuations.Zones), 0)
	is.Equal(describe(r), []string{"other/1 ready"})
	settle(r, start.Add(settleTime))
	is.True(!r.HasKnowledge())
}
