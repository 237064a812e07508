package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/logger"
)

// leavingUpstream returns an upstream without a server.
func leavingUpstream(name core.UpstreamName) core.Upstream {
	return core.Upstream{Name: name, Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4, Incarnation: 1700000000001}
}

// reportLeaving makes a host get a response of its upstream that says that it drains.
func reportLeaving(t *testing.T, c *Controller) {
	t.Helper()
	choice, ok := c.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now())
	if !ok {
		t.Fatal("no upstream was chosen")
	}
	said := placer.Availability{IsLeaving: true}
	c.placer.Report(choice, placer.Report{Outcome: placer.Done, Availability: said}, time.Now())
}

func isUsed(c *Controller) bool {
	choice, ok := c.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now())
	if ok {
		c.placer.Release(choice)
	}
	return ok
}

// TestLeavingIsAnnounced guards against hosts that each have to send a request to an upstream
// to hear that it drains. The host that hears of it first tells the others at once, and they
// tell it on, but not as news of their own.
func TestLeavingIsAnnounced(t *testing.T) {
	is := is.New(t)
	upstream := leavingUpstream("u-1")
	var log strings.Builder
	hosts := []*Controller{newController("host-1", upstream), newController("host-2", upstream), newController("host-3", upstream)}
	for _, c := range hosts {
		c.Log = logger.New(&log, "info", core.Host{Name: c.Self.Name})
	}
	is.Equal(len(hosts[0].newHeartbeat().Leaving), 0)
	reportLeaving(t, hosts[0])
	is.Equal(len(hosts[0].urgentHeartbeat), 1)
	hosts[0].handleHeartbeat(hosts[0].newHeartbeat()) // A host ignores its own heartbeat.
	for i, c := range hosts[1:] {
		is.True(isUsed(c))
		for range 2 {
			c.handleHeartbeat(hosts[i].newHeartbeat())
		}
		is.True(!isUsed(c))
		select {
		case <-c.urgentHeartbeat:
			t.Fatal("a host that was told that an upstream drains announces it as news")
		default:
		}
	}
	is.Equal(strings.Count(log.String(), `"name":"upstream-said-leaving"`), 3)
	for _, source := range []string{"", "host-1", "host-2"} {
		is.Equal(strings.Count(log.String(), `"source":"`+source+`"`), 1)
	}
	for _, c := range hosts {
		is.Equal(c.placer.LeavingUpstreams(), 1)
		is.True(strings.Contains(c.Meter.String(), "leaving_upstreams"))
	}
}

// TestInvalidLeavingNoticeCostsItself guards against a notice that names no incarnation and
// takes valid ones with it, makes an upstream leave, or is not logged.
func TestInvalidLeavingNoticeCostsItself(t *testing.T) {
	is := is.New(t)
	c := newController("host-1", leavingUpstream("u-1"), leavingUpstream("u-2"), leavingUpstream("u-3"))
	var log strings.Builder
	c.Log = logger.New(&log, "info", core.Host{Name: "host-1"})
	c.handleHeartbeat(roster.Heartbeat{Host: core.Host{Name: "host-2"}, Leaving: map[core.UpstreamName]core.Incarnation{
		"u-1": 0, "u-2": 1700000000001, "u-3": 1700000000000, "": 5, "unknown": 7,
	}})
	is.Equal(c.placer.LeavingUpstreams(), 1)
	is.Equal(strings.Count(log.String(), `"name":"peer-rejected"`), 2)
	is.Equal(strings.Count(log.String(), `"upstream":"u-1"`), 1)
	is.Equal(strings.Count(log.String(), `"name":"upstream-said-leaving"`), 1)
}

// TestHeartbeatWithManyLeavingUpstreams guards against a heartbeat that exceeds the size of a
// datagram that receivers read, because many upstreams drain, are cold and name limits. News
// that have to wait must be sent at once, and every host must hear of all upstreams.
func TestHeartbeatWithManyLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	const upstreams, maxBytes = 200, 1400
	list := make([]core.Upstream, upstreams)
	for i := range list {
		list[i] = leavingUpstream(core.UpstreamName(fmt.Sprintf("i-%010d", i)))
	}
	c := newController("host-1", list...)
	c.Self.ClientAddress = "10.128.100.100:8548"
	now := time.Now()
	for _, u := range list {
		c.coldUpstreams.add(u.Name, now.Add(time.Minute), now)
		c.placer.RecordAvailability(u, placer.Availability{IsLeaving: true}, now)
	}
	told := map[core.UpstreamName]bool{}
	for len(c.urgentHeartbeat) > 0 {
		<-c.urgentHeartbeat
		heartbeat := c.newHeartbeat()
		is.True(sizeWithLimits(t, heartbeat) <= maxBytes)
		for name := range heartbeat.Leaving {
			told[name] = true
		}
	}
	is.Equal(len(told), upstreams)
}

// TestNoChecksOfLeavingUpstream guards against health checks and prepared connections of an
// upstream of which another host said that it drains, while the store is unavailable.
func TestNoChecksOfLeavingUpstream(t *testing.T) {
	is := is.New(t)
	upstream := coldUpstream(t)
	upstream.Incarnation = 5
	c := newController("host-1", upstream)
	c.RecordStoreFailure(core.ErrPlatform.New("away"), time.Now())
	c.handleHeartbeat(roster.Heartbeat{
		Host: core.Host{Name: "host-2"}, Leaving: map[core.UpstreamName]core.Incarnation{upstream.Name: upstream.Incarnation},
	})
	ctx, stop := context.WithTimeout(t.Context(), 4*localCheckInterval)
	defer stop()
	c.checkLocalRegion(ctx)
	c.healthChecker.wait()
	is.Equal(len(c.newHeartbeat().RemainingWarmUps), 0) // A check would have found it cold.
	is.Equal(len(c.placer.PreconnectTargets(time.Now())), 0)
}

// TestOlderSnapshotKeepsDeparture guards against copies of the store, this host's own or that
// of another host, that undo what an upstream said. Each update is newer than what the host
// holds, and its list is older than the response.
func TestOlderSnapshotKeepsDeparture(t *testing.T) {
	upstream := leavingUpstream("u-1")
	next := upstream
	next.Incarnation++
	update := func(era core.Era, revision uint64, list ...core.Upstream) replicator.Snapshot {
		return replicator.Snapshot{Era: era, Upstreams: &replicator.Upstreams{Revision: revision, List: list}}
	}
	tests := []struct {
		name    string
		updates []replicator.Snapshot
	}{
		{"a newer revision", []replicator.Snapshot{update(0, 2, upstream)}},
		{"the entry disappears and comes back", []replicator.Snapshot{update(0, 2), update(0, 3, upstream)}},
		{"a restored store", []replicator.Snapshot{update(1, 1, upstream)}},
		{"a restored store of before a restart", []replicator.Snapshot{update(0, 2, next), update(1, 1, upstream)}},
		{"a restored store without the entry", []replicator.Snapshot{update(1, 1), update(1, 2, upstream)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newController("host-1", upstream)
			reportLeaving(t, c)
			now := time.Now()
			for _, one := range tt.updates {
				now = now.Add(time.Second)
				c.RecordStoreResponse(now)
				c.ApplyUpdate(one, now)
			}
			for range 20 {
				now = now.Add(time.Second)
				c.RecordStoreResponse(now)
				c.replicator.Settle(now)
			}
			is.True(!isUsed(c))
			era := c.replicator.Snapshot().Era
			c.ApplyUpdate(update(era, 9, next), now)
			is.True(isUsed(c))
		})
	}
}
