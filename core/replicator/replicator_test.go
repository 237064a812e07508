package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// upstreams returns a snapshot with the named upstreams at a revision.
func upstreams(revision uint64, names ...string) replicator.Snapshot {
	list := &replicator.Upstreams{Revision: revision}
	for _, n := range names {
		list.List = append(list.List, core.Upstream{Name: core.UpstreamName(n)})
	}
	return replicator.Snapshot{Upstreams: list}
}

// names returns the names of the upstreams of the copy.
func names(r *replicator.Replicator) []string {
	var list []string
	for _, u := range r.Snapshot().Upstreams.List {
		list = append(list, string(u.Name))
	}
	return list
}

// TestOlderStateIsIgnored guards against a copy that goes back to an older state, which
// stale reads and other hosts may offer.
func TestOlderStateIsIgnored(t *testing.T) {
	is := is.New(t)
	changes := 0
	r := &replicator.Replicator{OnChange: func(time.Time, replicator.Snapshot, replicator.Snapshot) { changes++ }}
	r.ApplyUpdate(replicator.Snapshot{Policy: &replicator.Policy{Version: 9}}, start)
	r.ApplyUpdate(replicator.Snapshot{Policy: &replicator.Policy{Version: 7}}, start)
	is.Equal(r.Snapshot().Revisions().Policy, uint64(9))
	r.ApplyUpdate(upstreams(50, "a", "b"), start)
	r.ApplyUpdate(upstreams(49, "a", "b", "left"), start)
	is.Equal(names(r), []string{"a", "b"})
	r.ApplyUpdate(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: 60, Zones: []core.ZoneName{"for-a"}}}, start)
	r.ApplyUpdate(replicator.Snapshot{Evacuations: &replicator.Evacuations{Revision: 55}}, start)
	is.Equal(len(r.Snapshot().Evacuations.Zones), 1)
	is.Equal(changes, 3)
}

// manyNames returns the names of n upstreams.
func manyNames(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("upstream-%02d", i))
	}
	return list
}

// TestExpiredRegistrationsAreRetained guards against a host that loses most upstreams
// at once because their registrations expired during an outage of the store: they are
// retained until the grace period ends.
func TestExpiredRegistrationsAreRetained(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.RecordStoreResponse(start)
	r.ApplyUpdate(upstreams(50, manyNames(10)...), start)
	recovery := start.Add(8 * time.Second)
	r.RecordStoreFailure()
	r.RecordStoreResponse(recovery)
	r.ApplyUpdate(upstreams(60, "upstream-00", "upstream-01"), recovery)
	is.Equal(len(names(r)), 10)
	r.ApplyUpdate(upstreams(66, manyNames(9)...), recovery.Add(time.Second))
	r.Settle(recovery.Add(time.Second))
	is.Equal(len(names(r)), 9) // one of ten is missing, so it has left
	r.ApplyUpdate(upstreams(70, "upstream-00"), recovery.Add(1500*time.Millisecond))
	is.Equal(len(names(r)), 9)
	r.Settle(recovery.Add(3 * time.Second))
	is.Equal(len(names(r)), 1)
}

// TestLeftWhileHostWasCutOff guards against requests to upstreams that left while only
// this host could not reach the store: few are missing, so they have not expired.
func TestLeftWhileHostWasCutOff(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.RecordStoreResponse(start)
	r.ApplyUpdate(upstreams(50, manyNames(48)...), start)
	recovery := start.Add(12 * time.Second)
	r.RecordStoreFailure()
	r.RecordStoreResponse(recovery)
	r.ApplyUpdate(upstreams(68, manyNames(46)...), recovery)
	is.Equal(len(names(r)), 46)
}

// TestDrainingIsNotRetained checks that a draining upstream that is missing after an
// outage counts as having left, not as expired.
func TestDrainingIsNotRetained(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.RecordStoreResponse(start)
	first := upstreams(50, manyNames(3)...)
	first.Upstreams.List[0].Draining = true
	r.ApplyUpdate(first, start)
	recovery := start.Add(8 * time.Second)
	r.RecordStoreResponse(recovery)
	r.ApplyUpdate(upstreams(60), recovery)
	is.Equal(names(r), []string{"upstream-01", "upstream-02"})
}

// TestCompleteFromAnotherHost checks that a host that starts during an outage of the
// store becomes complete with the copy of another host.
func TestCompleteFromAnotherHost(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	is.True(!r.Snapshot().IsComplete())
	update := upstreams(50, "a")
	update.Evacuations = &replicator.Evacuations{Revision: 50}
	r.ApplyUpdate(update, start)
	is.True(!r.Snapshot().IsComplete()) // without a policy nothing can be served
	update = upstreams(51, "a")
	update.Policy = &replicator.Policy{Version: 3}
	r.ApplyUpdate(update, start)
	is.True(r.Snapshot().IsComplete())
	is.Equal(r.Snapshot().Revisions().Upstreams, uint64(51))
}

// TestOutageFollowsTheHeartbeat guards against a fixed duration of outages: upstreams
// may send heartbeats more or less often than the default, and the store may have let
// registrations expire if it did not respond while upstreams missed two of them.
func TestOutageFollowsTheHeartbeat(t *testing.T) {
	for _, heartbeat := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
		for _, isOutage := range []bool{false, true} {
			t.Run(fmt.Sprint(heartbeat, isOutage), func(t *testing.T) {
				silence := 2*heartbeat - 100*time.Millisecond
				if isOutage {
					silence = 2*heartbeat + 100*time.Millisecond
				}
				r := &replicator.Replicator{UpstreamHeartbeatInterval: heartbeat}
				r.RecordStoreResponse(start)
				list := []core.Upstream{{Name: "a"}, {Name: "b"}}
				r.ApplyUpdate(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: 1, List: list}}, start)
				r.RecordStoreFailure()
				recovery := start.Add(silence)
				r.RecordStoreResponse(recovery)
				r.ApplyUpdate(replicator.Snapshot{Upstreams: &replicator.Upstreams{Revision: 2, List: list[:1]}}, recovery)
				is.New(t).Equal(len(r.Snapshot().Upstreams.List) == 2, isOutage)
			})
		}
	}
}

// TestLeftFromAvailableStore guards against requests to upstreams that left while the store
// was available, however many leave at once: neither a time in which nothing changed nor a
// single failed call lets registrations expire, and each further response must not put off
// their removal.
func TestLeftFromAvailableStore(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat time.Duration
		// beforeLeaving calls the replicator before upstreams leave at the given time.
		beforeLeaving func(r *replicator.Replicator, left time.Time)
	}{
		{"quiet store", 0, func(r *replicator.Replicator, left time.Time) {
			r.RecordStoreResponse(left.Add(-300 * time.Millisecond))
		}},
		{"quiet store and short heartbeats", 400 * time.Millisecond, func(r *replicator.Replicator, left time.Time) {
			r.RecordStoreResponse(left.Add(-300 * time.Millisecond))
		}},
		{"failed call", 0, func(r *replicator.Replicator, left time.Time) {
			r.RecordStoreResponse(left.Add(-time.Second))
			r.RecordStoreFailure()
		}},
		{"failed call before a response", 0, func(r *replicator.Replicator, left time.Time) {
			r.RecordStoreFailure()
			r.RecordStoreResponse(left)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &replicator.Replicator{UpstreamHeartbeatInterval: c.heartbeat}
			r.RecordStoreResponse(start)
			r.ApplyUpdate(upstreams(50, manyNames(20)...), start)
			left := start.Add(2900 * time.Millisecond)
			c.beforeLeaving(r, left)
			r.ApplyUpdate(upstreams(60, manyNames(15)...), left)
			is.Equal(len(names(r)), 15)
		})
	}
}

// TestGraceEnds checks that upstreams that stay missing after an outage are removed in
// time, although the store goes on to respond.
func TestGraceEnds(t *testing.T) {
	is := is.New(t)
	r := &replicator.Replicator{}
	r.RecordStoreResponse(start)
	r.ApplyUpdate(upstreams(50, manyNames(20)...), start)
	r.RecordStoreFailure()
	r.ApplyUpdate(upstreams(60, manyNames(2)...), start.Add(6*time.Second)) // applied before its response is recorded
	is.Equal(len(names(r)), 20)
	for i := range 5 {
		now := start.Add(6*time.Second + time.Duration(i)*500*time.Millisecond)
		r.RecordStoreResponse(now)
		r.Settle(now)
		is.Equal(len(names(r)) == 20, i < 4)
	}
	is.Equal(len(names(r)), 2)
}
