package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

var start = time.Unix(1000, 0)

func upstreams(revision uint64, names ...string) replicator.Snapshot {
	list := &replicator.Upstreams{Revision: revision}
	for _, n := range names {
		list.List = append(list.List, core.Upstream{Name: core.UpstreamName(n)})
	}
	return replicator.Snapshot{Upstreams: list}
}

func names(r *replicator.Replicator) []string {
	var list []string
	for _, u := range r.Snapshot().Upstreams.List {
		list = append(list, string(u.Name))
	}
	return list
}

// TestNothingGoesBack offers older states, as stale reads and other hosts do.
func TestNothingGoesBack(t *testing.T) {
	is := is.New(t)
	changes := 0
	r := &replicator.Replicator{OnChange: func(time.Time, replicator.Snapshot, replicator.Snapshot) { changes++ }}
	r.Take(replicator.Snapshot{Policy: &replicator.Policy{Version: 9}}, start)
	r.Take(replicator.Snapshot{Policy: &replicator.Policy{Version: 7}}, start)
	is.Equal(r.Snapshot().Revisions().Policy, uint64(9))
	r.Take(upstreams(50, "a", "b"), start)
	r.Take(upstreams(49, "a", "b", "left"), start)
	is.Equal(names(r), []string{"a", "b"})
	r.Take(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: 60, Zones: []core.ZoneName{"for-a"}}}, start)
	r.Take(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: 55}}, start)
	is.Equal(len(r.Snapshot().Evacuations.Zones), 1)
	is.Equal(changes, 3)
}

func many(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("upstream-%02d", i))
	}
	return list
}

// TestLapsedRegistrationsAreKept lets most registrations expire while the
// store is away; they are kept until the grace period ends.
func TestLapsedRegistrationsAreKept(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.Answered(start)
	r.Take(upstreams(50, many(10)...), start)
	back := start.Add(8 * time.Second)
	r.Failed(back.Add(-time.Second))
	r.Answered(back)
	r.Take(upstreams(60, "upstream-00", "upstream-01"), back)
	is.Equal(len(names(r)), 10)
	r.Take(upstreams(66, many(9)...), back.Add(time.Second))
	r.Expire(back.Add(time.Second))
	is.Equal(len(names(r)), 9) // one of ten is missing: it has left
	r.Take(upstreams(70, "upstream-00"), back.Add(1500*time.Millisecond))
	is.Equal(len(names(r)), 9)
	r.Expire(back.Add(3 * time.Second))
	is.Equal(len(names(r)), 1)
}

// TestLeftWhileHostWasCutOff is the pattern of a host that alone could not
// reach the store while one upstream left: it must get nothing more.
func TestLeftWhileHostWasCutOff(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.Answered(start)
	r.Take(upstreams(50, many(48)...), start)
	back := start.Add(12 * time.Second)
	r.Failed(back.Add(-time.Second))
	r.Answered(back)
	r.Take(upstreams(68, many(46)...), back)
	is.Equal(len(names(r)), 46)
}

// TestDrainingIsNotKept checks that an upstream that said that it leaves is
// not taken for one whose registration expired.
func TestDrainingIsNotKept(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.Answered(start)
	first := upstreams(50, many(3)...)
	first.Upstreams.List[0].Draining = true
	r.Take(first, start)
	back := start.Add(8 * time.Second)
	r.Answered(back)
	r.Take(upstreams(60), back)
	is.Equal(names(r), []string{"upstream-01", "upstream-02"})
}

// TestCompleteFromAnotherHost starts a host while the store is away: the copy
// of another host makes it complete.
func TestCompleteFromAnotherHost(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	is.True(!r.Snapshot().IsComplete())
	update := upstreams(50, "a")
	update.Evacuations = &replicator.Evacuations{Revision: 50}
	r.Take(update, start)
	is.True(!r.Snapshot().IsComplete()) // without a policy nothing can be served
	update = upstreams(51, "a")
	update.Policy = &replicator.Policy{Version: 3}
	r.Take(update, start)
	is.True(r.Snapshot().IsComplete())
	is.Equal(r.Snapshot().Revisions().Upstreams, uint64(51))
}

// TestOutageFollowsTheHeartbeat is the pattern of upstreams whose registrations
// expire sooner or later than usual: a gap in the store's answers that is longer
// than their heartbeat may have let some expire.
func TestOutageFollowsTheHeartbeat(t *testing.T) {
	for _, heartbeat := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
		for _, isOutage := range []bool{false, true} {
			t.Run(fmt.Sprint(heartbeat, isOutage), func(t *testing.T) {
				gap := heartbeat - 100*time.Millisecond
				if isOutage {
					gap = heartbeat + 100*time.Millisecond
				}
				r := &replicator.Replicator{Heartbeat: heartbeat}
				r.Answered(start)
				list := []core.Upstream{{Name: "a"}, {Name: "b"}}
				r.Take(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: 1, List: list}}, start)
				back := start.Add(gap)
				r.Answered(back)
				r.Take(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: 2, List: list[:1]}}, back)
				is.New(t).Equal(len(r.Snapshot().Upstreams.List) == 2, isOutage)
			})
		}
	}
}
