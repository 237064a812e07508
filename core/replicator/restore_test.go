package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

const (
	// grace and settleTime are how long after a restore of the store missing entries and
	// outdated ones are not believed, for the default heartbeat of upstreams.
	grace      = 3 * time.Second
	settleTime = 3*1500*time.Millisecond + grace
)

// entry returns an upstream; its state may be "ready", "draining" or "cold" for five seconds.
func entry(name string, incarnation core.Incarnation, state string) core.Upstream {
	u := core.Upstream{Name: core.UpstreamName(name), Incarnation: incarnation, Draining: state == "draining"}
	if state == "cold" {
		u.ColdUntil = start.Add(5 * time.Second)
	}
	return u
}

// listOf returns a list of upstreams at a revision of an era.
func listOf(era core.Era, revision uint64, list ...core.Upstream) replicator.Snapshot {
	return replicator.Snapshot{Era: era, Upstreams: &replicator.Upstreams{Revision: revision, List: list}}
}

// evacuated returns a list of evacuated zones at a revision of an era.
func evacuated(era core.Era, revision uint64, zones ...core.ZoneName) replicator.Snapshot {
	return replicator.Snapshot{Era: era, Evacuations: &replicator.Evacuations{Revision: revision, Zones: zones}}
}

// describe returns the names, incarnations and states of the upstreams of the copy.
func describe(r *replicator.Replicator) []string {
	list := []string{}
	for _, u := range r.Snapshot().Upstreams.List {
		state := "ready"
		switch {
		case u.Draining:
			state = "draining"
		case !u.ColdUntil.IsZero():
			state = "cold"
		}
		list = append(list, fmt.Sprint(u.Name, "/", u.Incarnation, " ", state))
	}
	return list
}

// settle ends what is over at the given time, at which the store responds.
func settle(r *replicator.Replicator, now time.Time) {
	r.RecordStoreResponse(now)
	r.ConfirmUpstreams(r.Snapshot().Era, now)
	r.Settle(now)
}

// TestOlderCopyOfUpstreams guards against requests to upstreams that are draining, gone or
// cold, and against the loss of live ones, after the store has come back from an older copy
// that lists them in an older state or not at all.
func TestOlderCopyOfUpstreams(t *testing.T) {
	type list = []core.Upstream
	other := entry("other", 1, "ready")
	tests := []struct {
		name string
		// before are the lists of the first era, one second after another.
		before []list
		// listed is the list of the restored store.
		listed list
		// atOnce, afterGrace and settled are the copies after the restore.
		atOnce, afterGrace, settled []string
	}{
		{
			"draining",
			[]list{{entry("u", 1, "draining")}},
			list{entry("u", 1, "ready")},
			[]string{"u/1 draining"},
			[]string{"u/1 draining"},
			[]string{"u/1 ready"},
		},
		{
			"draining, listed as started again",
			[]list{{entry("u", 1, "draining")}},
			list{entry("u", 2, "ready")},
			[]string{"u/2 ready"},
			[]string{"u/2 ready"},
			[]string{"u/2 ready"},
		},
		{
			"draining, not listed",
			[]list{{entry("u", 1, "draining")}},
			list{other},
			[]string{"other/1 ready"},
			[]string{"other/1 ready"},
			[]string{"other/1 ready"},
		},
		{
			"removed",
			[]list{{other, entry("u", 1, "ready")}, {other}},
			list{other, entry("u", 1, "ready")},
			[]string{"other/1 ready"},
			[]string{"other/1 ready"},
			[]string{"other/1 ready", "u/1 ready"},
		},
		{
			"removed, listed as started again",
			[]list{{entry("u", 1, "ready")}, {}},
			list{entry("u", 2, "ready")},
			[]string{"u/2 ready"},
			[]string{"u/2 ready"},
			[]string{"u/2 ready"},
		},
		{
			"removed and back before",
			[]list{{entry("u", 1, "ready")}, {}, {entry("u", 1, "ready")}},
			list{entry("u", 1, "ready")},
			[]string{"u/1 ready"},
			[]string{"u/1 ready"},
			[]string{"u/1 ready"},
		},
		{
			"started again",
			[]list{{entry("u", 1, "ready")}, {entry("u", 2, "ready")}},
			list{entry("u", 1, "ready")},
			[]string{"u/2 ready"},
			[]string{},
			[]string{"u/1 ready"},
		},
		{
			"started again and draining",
			[]list{{entry("u", 2, "draining")}},
			list{entry("u", 1, "ready")},
			[]string{},
			[]string{},
			[]string{"u/1 ready"},
		},
		{
			"cold",
			[]list{{entry("u", 1, "cold")}},
			list{entry("u", 1, "ready")},
			[]string{"u/1 cold"},
			[]string{"u/1 cold"},
			[]string{"u/1 ready"},
		},
		{
			"cold, listed as started again",
			[]list{{entry("u", 1, "cold")}},
			list{entry("u", 2, "ready")},
			[]string{"u/2 ready"},
			[]string{"u/2 ready"},
			[]string{"u/2 ready"},
		},
		{
			"listed as cold",
			[]list{{entry("u", 1, "ready")}},
			list{entry("u", 1, "cold")},
			[]string{"u/1 cold"},
			[]string{"u/1 cold"},
			[]string{"u/1 cold"},
		},
		{
			"not listed",
			[]list{{other, entry("u", 1, "ready")}},
			list{other},
			[]string{"other/1 ready", "u/1 ready"},
			[]string{"other/1 ready"},
			[]string{"other/1 ready"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &replicator.Replicator{}
			now := start
			for i, list := range tt.before {
				r.ApplyUpdate(listOf(1, uint64(50+i), list...), now)
				now = now.Add(time.Second)
			}
			r.ApplyUpdate(listOf(2, 40, tt.listed...), now)
			is.Equal(describe(r), tt.atOnce)
			r.Settle(now.Add(grace - time.Millisecond))
			is.Equal(describe(r), tt.atOnce)
			r.Settle(now.Add(grace))
			is.Equal(describe(r), tt.afterGrace)
			r.ApplyUpdate(listOf(2, 41, tt.listed...), now.Add(settleTime-time.Millisecond))
			settle(r, now.Add(settleTime-time.Millisecond))
			is.Equal(describe(r), tt.afterGrace)
			settle(r, now.Add(settleTime))
			is.Equal(describe(r), tt.settled)
		})
	}
}

// TestFewMissingAfterRestore guards against the loss of live upstreams that registered
// after the copy from which the store came back: they are retained however few they are,
// until the grace period ends.
func TestFewMissingAfterRestore(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	first, restored := upstreams(50, manyNames(20)...), upstreams(40, manyNames(19)...)
	first.Era, restored.Era = 1, 2
	r.ApplyUpdate(first, start)
	r.ApplyUpdate(restored, start)
	is.Equal(len(names(r)), 20)
	is.True(r.Snapshot().Upstreams.MayIncludeExpired)
	r.Settle(start.Add(grace))
	is.Equal(len(names(r)), 19)
	is.True(!r.Snapshot().Upstreams.MayIncludeExpired)
}

// TestSettlesWithResponse guards against requests to upstreams that have ended, on a host that
// cannot reach the store at the end of the settle time: its list may still have their entries.
func TestSettlesWithResponse(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(listOf(1, 50, entry("u", 1, "draining")), start)
	r.ApplyUpdate(listOf(2, 40, entry("u", 1, "ready")), start)
	r.RecordStoreResponse(start.Add(time.Second))
	r.Settle(start.Add(2 * settleTime))
	is.Equal(describe(r), []string{"u/1 draining"})
	settle(r, start.Add(2*settleTime))
	is.Equal(describe(r), []string{"u/1 ready"})
}

// TestSettlesWithAnswerAboutUpstreams guards against requests to an upstream that has ended,
// on a host whose watch of upstreams is lost while the store answers other calls, or whose
// list was last confirmed in an earlier era: it may still have the entry.
func TestSettlesWithAnswerAboutUpstreams(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	late := start.Add(2 * settleTime)
	r.ApplyUpdate(listOf(1, 50, entry("u", 1, "draining")), start)
	r.ConfirmUpstreams(1, late)
	r.ApplyUpdate(listOf(2, 40, entry("u", 1, "ready")), start)
	is.True(r.UpstreamsConfirmed().IsZero())
	r.ConfirmUpstreams(2, start.Add(settleTime-time.Millisecond))
	r.ConfirmUpstreams(1, late)
	r.ConfirmUpstreams(3, late)
	r.RecordStoreResponse(late)
	r.Settle(late)
	is.Equal(describe(r), []string{"u/1 draining"})
	r.ApplyUpdate(listOf(2, 41), late)
	r.ConfirmUpstreams(2, late)
	r.Settle(late)
	is.Equal(describe(r), []string{})
}

// TestSettleTimeFollowsTheHeartbeat guards against a settle time that ends before the store
// has removed the entries of upstreams that have ended.
func TestSettleTimeFollowsTheHeartbeat(t *testing.T) {
	is := is.New(t)
	const heartbeat = 4 * time.Second
	r := &replicator.Replicator{UpstreamHeartbeatInterval: heartbeat}
	r.ApplyUpdate(listOf(1, 50, entry("u", 1, "draining")), start)
	r.ApplyUpdate(listOf(2, 40, entry("u", 1, "ready")), start)
	settled := start.Add(3*heartbeat + grace)
	settle(r, settled.Add(-time.Millisecond))
	is.Equal(describe(r), []string{"u/1 draining"})
	settle(r, settled)
	is.Equal(describe(r), []string{"u/1 ready"})
}

// TestRemovalIsForgotten checks that a removal is remembered no longer than the store's copy
// can be old.
func TestRemovalIsForgotten(t *testing.T) {
	for _, age := range []time.Duration{time.Minute, time.Minute + time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			r := &replicator.Replicator{}
			r.ApplyUpdate(listOf(1, 50, entry("u", 1, "ready")), start)
			r.ApplyUpdate(listOf(1, 51), start)
			restored := start.Add(age)
			r.Settle(restored)
			r.ApplyUpdate(listOf(2, 40, entry("u", 1, "ready")), restored)
			is.New(t).Equal(len(names(r)) == 0, age <= time.Minute)
		})
	}
}

// TestSecondRestore guards against a copy that forgets, when the store is restored twice in
// a short time, what it knew before the first time.
func TestSecondRestore(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	ready := []core.Upstream{entry("draining", 1, "ready"), entry("gone", 1, "ready")}
	r.ApplyUpdate(listOf(1, 50, ready...), start)
	r.ApplyUpdate(listOf(1, 51, entry("draining", 1, "draining")), start)
	want := []string{"draining/1 draining"}
	second := start.Add(settleTime - time.Second)
	r.ApplyUpdate(listOf(2, 40, ready...), start)
	is.Equal(describe(r), want)
	r.Settle(second)
	r.ApplyUpdate(listOf(3, 30, ready...), second)
	settle(r, second.Add(settleTime-time.Second))
	is.Equal(describe(r), want)
	settle(r, second.Add(settleTime))
	is.Equal(describe(r), []string{"draining/1 ready", "gone/1 ready"})
}

// TestDrainingAndRemovedAfterRestore guards against requests to an upstream that the copy
// holds as draining, that is missing from the restored store, and is then listed in the
// state of an older write.
func TestDrainingAndRemovedAfterRestore(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(listOf(1, 50, entry("u", 1, "draining")), start)
	r.ApplyUpdate(listOf(2, 40), start)
	r.ApplyUpdate(listOf(2, 41, entry("u", 1, "ready")), start.Add(time.Second))
	is.Equal(describe(r), []string{})
}

// TestOlderCopyOfEvacuations guards against requests to an evacuated zone whose evacuation is
// missing from the older copy until the operator writes it again, and against one that
// stays in force after it was taken back.
func TestOlderCopyOfEvacuations(t *testing.T) {
	type zones = []core.ZoneName
	tests := []struct {
		name string
		// listed are the lists of the restored store, 100 ms apart.
		listed []zones
		// during and after are the zones of the copy at the last list and after the grace period.
		during, after zones
	}{
		{"not listed", []zones{{}}, zones{"for-a"}, zones{}},
		{"not listed twice", []zones{{}, {}}, zones{"for-a"}, zones{}},
		{"listed", []zones{{"for-a"}}, zones{"for-a"}, zones{"for-a"}},
		{"written again", []zones{{}, {"for-a"}}, zones{"for-a"}, zones{"for-a"}},
		{"listed and taken back", []zones{{"for-a"}, {}}, zones{}, zones{}},
		{"written again and taken back", []zones{{}, {"for-a"}, {}}, zones{}, zones{}},
		{"another zone", []zones{{"nat-a"}}, zones{"for-a", "nat-a"}, zones{"nat-a"}},
		{"another zone, taken back", []zones{{"nat-a"}, {}}, zones{"for-a"}, zones{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &replicator.Replicator{}
			r.ApplyUpdate(evacuated(1, 50, "for-a"), start)
			for i, zones := range tt.listed {
				r.ApplyUpdate(evacuated(2, uint64(40+i), zones...), start.Add(time.Duration(i)*100*time.Millisecond))
			}
			held := func() zones { return append(zones{}, r.Snapshot().Evacuations.Zones...) }
			is.Equal(held(), tt.during)
			r.Settle(start.Add(grace - time.Millisecond))
			is.Equal(held(), tt.during)
			r.Settle(start.Add(grace))
			is.Equal(held(), tt.after)
			is.True(!r.Snapshot().Evacuations.IsSettling)
		})
	}
}

// TestZonesRetainedDuringOutage guards against requests to an evacuated zone that the operator
// could not evacuate again, because the restored store was soon unavailable once more. After
// that outage the operator gets the whole grace period of an outage.
func TestZonesRetainedDuringOutage(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(evacuated(1, 50, "for-a"), start)
	r.ApplyUpdate(evacuated(2, 40), start)
	r.RecordStoreResponse(start)
	r.RecordStoreFailure()
	recovery := start.Add(4 * time.Second)
	r.Settle(recovery)
	is.Equal(len(r.Snapshot().Evacuations.Zones), 1)
	r.RecordStoreResponse(recovery)
	r.Settle(recovery.Add(outageGrace - time.Millisecond))
	is.Equal(len(r.Snapshot().Evacuations.Zones), 1)
	r.Settle(recovery.Add(outageGrace))
	is.Equal(len(r.Snapshot().Evacuations.Zones), 0)
	r.RecordStoreFailure()
	r.ApplyUpdate(evacuated(2, 41), recovery.Add(10*time.Second))
	is.Equal(len(r.Snapshot().Evacuations.Zones), 0) // not once more
}

// TestLaterEraReplaces guards against a host that ignores a restored store until its
// revisions have passed those that it gave out before.
func TestLaterEraReplaces(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	old := listOf(1, 5000, entry("a", 1, "ready"))
	old.Policy = &replicator.Policy{Version: 7}
	old.Evacuations = &replicator.Evacuations{Revision: 4990, Zones: []core.ZoneName{"for-a"}}
	old.Hosts = &replicator.Hosts{Revision: 4000, List: []core.Host{{Name: "host-1"}}}
	r.ApplyUpdate(old, start)
	r.ApplyUpdate(replicator.Snapshot{Era: 2}, start) // the era alone
	is.Equal(r.Snapshot().Revisions(), core.Revisions{Policy: 7, Era: 2})
	is.Equal(describe(r), []string{"a/1 ready"}) // the contents stay
	is.Equal(len(r.Snapshot().Evacuations.Zones), 1)
	is.Equal(len(r.Snapshot().Hosts.List), 1)

	restored := listOf(2, 40, entry("a", 2, "ready"))
	restored.Policy = &replicator.Policy{Version: 6}
	restored.Evacuations = &replicator.Evacuations{Revision: 40}
	restored.Hosts = &replicator.Hosts{Revision: 40}
	r.ApplyUpdate(restored, start)
	is.Equal(describe(r), []string{"a/2 ready"})
	is.Equal(len(r.Snapshot().Hosts.List), 0)
	is.Equal(r.Snapshot().Policy.Version, uint64(7)) // its own version counts in all eras
}

// TestEarlierEraIsIgnored guards against late answers of the store, or updates of hosts that
// have not heard of its restore, that replace its present state. Only a policy of a higher
// version is taken from them.
func TestEarlierEraIsIgnored(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(listOf(2, 40, entry("a", 1, "ready")), start)
	for _, era := range []core.Era{0, 1} {
		late := listOf(era, 5000, entry("late", 1, "ready"))
		late.Evacuations = &replicator.Evacuations{Revision: 5000, Zones: []core.ZoneName{"for-a"}}
		late.Hosts = &replicator.Hosts{Revision: 5000}
		late.Policy = &replicator.Policy{Version: 8 + uint64(era)}
		r.ApplyUpdate(late, start)
		want := core.Revisions{Policy: 8 + uint64(era), Upstreams: 40, Era: 2}
		is.Equal(r.Snapshot().Revisions(), want)
		is.Equal(describe(r), []string{"a/1 ready"})
	}
}

// TestNoDeltaAcrossEras guards against a delta that is applied to a list of another era,
// whose revision the store has given out again.
func TestNoDeltaAcrossEras(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(listOf(1, 50, entry("a", 1, "ready"), entry("b", 1, "ready")), start)
	delta := listOf(2, 51, entry("c", 1, "ready"))
	delta.Upstreams.BaseRevision = 50
	r.ApplyUpdate(delta, start)
	is.Equal(describe(r), []string{"a/1 ready", "b/1 ready"})
	is.Equal(r.Snapshot().Revisions().Upstreams, uint64(0)) // must be listed again

	reader := &replicator.Replicator{}
	reader.ApplyUpdate(listOf(3, 50, entry("d", 1, "ready")), start)
	update := reader.ChangesSince(core.Revisions{Era: 2, Upstreams: 50}, start)
	is.Equal(update.Upstreams.BaseRevision, uint64(0))
	is.Equal(update.Era, core.Era(3))
}

// TestDeltaAfterRestore guards against a delta from a revision that the reader has had in an
// earlier era only: it would lack what changed before the reader's first list of this era.
func TestDeltaAfterRestore(t *testing.T) {
	is := is.New(t)
	reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
	both := []core.Upstream{entry("a", 1, "ready"), entry("b", 1, "ready")}
	reader.ApplyUpdate(listOf(1, 40, both...), start)
	reader.ApplyUpdate(listOf(2, 50, both...), start)
	follower.ApplyUpdate(listOf(2, 40, both[0]), start)
	follower.ApplyUpdate(reader.ChangesSince(follower.Held(), start), start)
	is.Equal(describe(follower), []string{"a/1 ready", "b/1 ready"})
}

// TestFreshFollowerReadsStore guards against requests to a draining upstream on a host that
// started after a restore, learnt of the draining from its reader, and then reads from the
// store that the upstream is ready.
func TestFreshFollowerReadsStore(t *testing.T) {
	is := is.New(t)
	reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
	reader.ApplyUpdate(listOf(1, 50, entry("u", 1, "draining")), start)
	reader.ApplyUpdate(listOf(2, 40, entry("u", 1, "ready")), start)
	follower.ApplyUpdate(reader.ChangesSince(core.Revisions{}, start), start)
	follower.ApplyUpdate(listOf(2, 41, entry("u", 1, "ready")), start.Add(time.Second))
	is.Equal(describe(follower), []string{"u/1 draining"})
	settle(follower, start.Add(settleTime))
	is.Equal(describe(follower), []string{"u/1 ready"})
}

// TestOldContentsServeNewHost checks that a part that was not read since a restore is passed
// on to a host that has none at all, so that it can serve requests, and to no other host.
func TestOldContentsServeNewHost(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(evacuated(1, 50, "for-a"), start)
	r.ApplyUpdate(listOf(1, 50, entry("a", 1, "ready")), start)
	r.ApplyUpdate(replicator.Snapshot{Era: 2}, start)
	update := r.ChangesSince(core.Revisions{}, start)
	is.True(update.Upstreams != nil && update.Evacuations != nil)
	update = r.ChangesSince(core.Revisions{Era: 1, Upstreams: 49, Evacuations: 50}, start)
	is.True(update.Upstreams == nil && update.Evacuations == nil)
	is.Equal(update.Era, core.Era(2))
}

// TestOnRestore checks that each era that the copy enters after another one is reported
// once, after the update was applied, and that the first lists report none.
func TestOnRestore(t *testing.T) {
	is := is.New(t)
	var reported [][2]core.Era
	r := &replicator.Replicator{}
	r.OnRestore = func(earlier, era core.Era) {
		is.Equal(r.Snapshot().Era, era)
		reported = append(reported, [2]core.Era{earlier, era})
	}
	for i, era := range []core.Era{3, 3, 4, 3, 4, 7} {
		r.ApplyUpdate(listOf(era, uint64(50+i), entry("a", 1, "ready")), start)
	}
	is.Equal(reported, [][2]core.Era{{3, 4}, {4, 7}})
}

// TestEraAfterNone checks that a store that names its first era after a restore is read
// anew, as it is between two eras.
func TestEraAfterNone(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(listOf(0, 50, entry("u", 1, "draining")), start)
	r.ApplyUpdate(listOf(1, 40, entry("u", 1, "ready")), start)
	is.Equal(r.Snapshot().Revisions().Upstreams, uint64(40))
	is.Equal(describe(r), []string{"u/1 draining"})
}

// TestFollowerLearnsOfSettling guards against a follower that keeps, or goes on without, what
// its reader held back after a restore: the end of that does not change the revision.
func TestFollowerLearnsOfSettling(t *testing.T) {
	is := is.New(t)
	reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
	follow := func(now time.Time) {
		is.Equal(follower.Held().IsBehind(reader.Snapshot().Revisions()), true)
		follower.ApplyUpdate(reader.ChangesSince(follower.Held(), now), now)
		is.Equal(follower.Held().IsBehind(reader.Snapshot().Revisions()), false)
		settle(follower, now)
		is.Equal(describe(follower), describe(reader))
		is.Equal(follower.Snapshot().Evacuations.Zones, reader.Snapshot().Evacuations.Zones)
	}
	reader.ApplyUpdate(evacuated(1, 50, "for-a"), start)
	reader.ApplyUpdate(listOf(1, 50, entry("draining", 1, "draining"), entry("missing", 1, "ready")), start)
	reader.ApplyUpdate(evacuated(2, 40), start)
	reader.ApplyUpdate(listOf(2, 40, entry("draining", 1, "ready")), start)
	follow(start) // The follower has just started.
	is.Equal(describe(follower), []string{"draining/1 draining", "missing/1 ready"})
	reader.Settle(start.Add(grace))
	follow(start.Add(grace))
	is.Equal(describe(follower), []string{"draining/1 draining"})
	settle(reader, start.Add(settleTime))
	follow(start.Add(settleTime))
	is.Equal(describe(follower), []string{"draining/1 ready"})
}

// TestFollowerWithKnowledge guards against a follower that fetches the reader's list again
// and again because it holds back more than the reader does.
func TestFollowerWithKnowledge(t *testing.T) {
	is := is.New(t)
	reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
	follower.ApplyUpdate(evacuated(1, 50, "for-a"), start)
	follower.ApplyUpdate(listOf(1, 50, entry("u", 1, "draining")), start)
	reader.ApplyUpdate(evacuated(2, 40), start)
	reader.ApplyUpdate(listOf(2, 40, entry("u", 1, "ready")), start)
	follower.ApplyUpdate(reader.ChangesSince(follower.Held(), start), start)
	is.Equal(describe(follower), []string{"u/1 draining"})
	is.Equal(len(follower.Snapshot().Evacuations.Zones), 1)
	is.True(!follower.Held().IsBehind(reader.Snapshot().Revisions()))
	settle(follower, start.Add(settleTime))
	is.Equal(describe(follower), describe(reader))
	is.Equal(len(follower.Snapshot().Evacuations.Zones), 0)
}

// TestZoneRetainedByAnotherHost guards against requests to an evacuated zone that the restored
// store lacks: a host takes the list of another one, which retains the zone, before its own.
func TestZoneRetainedByAnotherHost(t *testing.T) {
	for _, revision := range []uint64{40, 41} {
		is := is.New(t)
		reader, follower := &replicator.Replicator{}, &replicator.Replicator{}
		for _, r := range []*replicator.Replicator{reader, follower} {
			r.ApplyUpdate(evacuated(1, 50, "for-a"), start)
		}
		now := start.Add(time.Second)
		reader.ApplyUpdate(evacuated(2, 40), now)
		follower.ApplyUpdate(reader.ChangesSince(follower.Held(), now), now)
		follower.ApplyUpdate(evacuated(2, revision), now.Add(300*time.Millisecond))
		is.Equal(follower.Snapshot().Evacuations.Zones, []core.ZoneName{"for-a"})
		follower.ApplyUpdate(evacuated(2, 42, "for-a"), now.Add(400*time.Millisecond))
		follower.ApplyUpdate(evacuated(2, 43), now.Add(500*time.Millisecond))
		is.Equal(len(follower.Snapshot().Evacuations.Zones), 0) // the store listed it and then did not
	}
}

// TestListedThenRemoved guards against requests to an upstream that left soon after a restore:
// the store had listed it since, so that its entry was not lost by the restore.
func TestListedThenRemoved(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.ApplyUpdate(listOf(1, 50, entry("a", 1, "ready"), entry("b", 1, "ready"), entry("c", 1, "ready")), start)
	r.ApplyUpdate(listOf(2, 40, entry("a", 1, "ready"), entry("b", 1, "ready")), start)
	r.ApplyUpdate(listOf(2, 41, entry("a", 1, "ready")), start.Add(100*time.Millisecond))
	is.Equal(describe(r), []string{"a/1 ready", "c/1 ready"})
}

// TestLateHostRevivesNothing guards against a host that was paused or cut off over a restore,
// and long after it: it retained upstreams that had left, and gave them to its followers.
func TestLateHostRevivesNothing(t *testing.T) {
	var live []core.Upstream
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		live = append(live, entry(name, 1, "ready"))
	}
	for _, isProbedFirst := range []bool{false, true} {
		is := is.New(t)
		r := &replicator.Replicator{}
		r.ApplyUpdate(listOf(1, 50, append(slices.Clone(live), entry("x", 1, "ready"))...), start)
		r.RecordStoreResponse(start)
		now := start.Add(30 * time.Second)
		if isProbedFirst {
			r.RecordStoreResponse(now)
			now = now.Add(time.Second)
		}
		r.ApplyUpdate(listOf(2, 60, live...), now)
		is.Equal(len(describe(r)), len(live))
	}
}
