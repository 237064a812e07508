package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/logger"
)

// coldUpstream starts an upstream whose health checks report that it is cold.
func coldUpstream(t *testing.T) core.Upstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Instance", "u-1")
		ctx.Response.Header.Set("Cold", "2900")
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return core.Upstream{Name: "u-1", Service: "desk", Zone: "for-a", Address: listener.Addr().String(), Slots: 4}
}

// newBareController returns a host on which Init was not called yet.
func newBareController(name core.HostName) *Controller {
	zone := core.Zone{Name: "for-a", Region: "for"}
	return &Controller{
		Self:                core.Host{Name: name, Zone: zone, Incarnation: 1, PeerAddress: "127.0.0.1:1"},
		RegionByZone:        map[core.ZoneName]core.RegionName{"for-a": "for"},
		IsFirstStart:        true,
		UpstreamHeaderNames: exchanger.HeaderNames{RemainingWarmUp: "Cold", Instance: "Instance"},
		Log:                 logger.New(io.Discard, "error", core.Host{Name: name}),
		Bounds:              Bounds{RetryBudgetWindow: time.Second, WarmUpRateMultiplier: 1.5, WarmUpBurst: 5},
	}
}

// newController returns an initialized host with a policy and the given upstreams.
func newController(name core.HostName, upstreams ...core.Upstream) *Controller {
	c := newBareController(name)
	c.Init()
	now := time.Now()
	c.ApplyUpdate(replicator.Snapshot{
		Policy: &replicator.Policy{
			Version:  1,
			Services: []core.ServicePolicy{{Name: "desk", HealthPath: "/health", WarmUp: 3 * time.Second, WarmUpRate: 17}},
		},
		Upstreams:   &replicator.Upstreams{Revision: 1, List: upstreams},
		Evacuations: &replicator.Evacuations{Revision: 1},
		Hosts:       &replicator.Hosts{Revision: 1},
	}, now)
	c.divideSharedLimits(now)
	return c
}

// TestColdUpstreamIsAnnounced checks that a host that finds an upstream cold while
// the store is unavailable tells the other hosts, which then limit their requests to
// it. An upstream becomes cold that way when its zone is evacuated during an outage
// of the store.
func TestColdUpstreamIsAnnounced(t *testing.T) {
	is := is.New(t)
	upstream := coldUpstream(t)
	first, second := newController("host-1", upstream), newController("host-2", upstream)
	is.Equal(len(second.newHeartbeat().RemainingWarmUps), 0)
	first.RecordStoreFailure(core.ErrPlatform.New("away"), time.Now())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		first.checkLocalRegion(ctx)
	}()
	<-first.urgentHeartbeat // The host requests a heartbeat at once.
	stop()
	<-done
	heartbeat := first.newHeartbeat()
	is.True(heartbeat.RemainingWarmUps["u-1"] > 0)
	second.handleHeartbeat(heartbeat)
	sent := 0
	for range 20 {
		if choice, ok := second.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now()); ok {
			second.placer.Release(choice)
			sent++
		}
	}
	is.True(sent <= 3)
}

// sizeWithLimits returns the bytes of a heartbeat with 16 notices of rate limits.
func sizeWithLimits(t *testing.T, heartbeat roster.Heartbeat) int {
	t.Helper()
	is := is.New(t)
	heartbeat.RateLimits = map[core.UpstreamName]core.RateLimitNotice{}
	for i := range 16 {
		heartbeat.RateLimits[core.UpstreamName(fmt.Sprintf("i-%010d", i))] = core.NewRateLimitNotice(8.6, true, 40*time.Second)
	}
	data, err := cbor.Marshal(heartbeat)
	is.NoErr(err)
	return len(data)
}

// TestHeartbeatWithManyColdUpstreams guards against a heartbeat that exceeds the size of a
// datagram that receivers read, because a host found many upstreams cold, as after the end
// of an evacuation. Its peers would take the host for dead. Every upstream must still be
// told within some heartbeats.
func TestHeartbeatWithManyColdUpstreams(t *testing.T) {
	is := is.New(t)
	const upstreams, maxBytes = 200, 1400
	c := newController("host-1")
	c.Self.ClientAddress = "10.128.100.100:8548"
	now := time.Now()
	for i := range upstreams {
		c.coldUpstreams.add(core.UpstreamName(fmt.Sprintf("i-%010d", i)), now.Add(time.Minute), now)
	}
	told := map[core.UpstreamName]bool{}
	for range 10 {
		heartbeat := c.newHeartbeat()
		is.True(sizeWithLimits(t, heartbeat) <= maxBytes)
		for name := range heartbeat.RemainingWarmUps {
			told[name] = true
		}
	}
	is.Equal(len(told), upstreams)
}

// TestOneHostChecksUpstream checks that exactly one of the hosts that are live to
// each other checks an upstream, and that another host does so when it is gone.
func TestOneHostChecksUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	zone := core.Zone{Name: "for-a", Region: "for"}
	a := core.Host{Name: "host-1", Zone: zone, PeerAddress: "127.0.0.1:1"}
	b := core.Host{Name: "host-2", Zone: zone, PeerAddress: "127.0.0.1:2"}
	first, second := &roster.Roster{Self: a}, &roster.Roster{Self: b}
	first.RecordHeartbeat(roster.Heartbeat{Host: b}, now)
	second.RecordHeartbeat(roster.Heartbeat{Host: a}, now)
	is.True(first.AssignedChecks(now)("u-1") != second.AssignedChecks(now)("u-1"))
	later := now.Add(time.Minute)
	is.True(first.AssignedChecks(later)("u-1") && second.AssignedChecks(later)("u-1"))
}

// unresponsiveUpstream starts an upstream that accepts connections and never responds.
func unresponsiveUpstream(t *testing.T, name core.UpstreamName) core.Upstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return core.Upstream{Name: name, Service: "desk", Zone: "for-a", Address: listener.Addr().String(), Slots: 4}
}

// TestSilentUpstreamDelaysNoCheck checks that many upstreams that do not respond, more
// than preconnectWorkers, do not delay the check of one that became cold. This occurs
// when a zone is evacuated during an outage of the store and all slots of the upstreams
// are in use.
func TestSilentUpstreamDelaysNoCheck(t *testing.T) {
	is := is.New(t)
	upstreams := []core.Upstream{coldUpstream(t)}
	for i := range preconnectWorkers + 1 {
		upstreams = append(upstreams, unresponsiveUpstream(t, core.UpstreamName("silent-"+strconv.Itoa(i))))
	}
	c := newController("host-1", upstreams...)
	c.RecordStoreFailure(core.ErrPlatform.New("away"), time.Now())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.checkLocalRegion(ctx)
	}()
	<-c.urgentHeartbeat
	// The cold upstream was found in the first round, while the other checks of that
	// round are still pending.
	is.True(c.healthChecker.isPending("silent-0"))
	stop()
	<-done
	c.healthChecker.wait()
}

// TestColdZoneIsSuspected checks that when one upstream of a zone is found cold while
// the store is unavailable, the others count as possibly cold until their own checks
// have ended.
func TestColdZoneIsSuspected(t *testing.T) {
	is := is.New(t)
	cold := coldUpstream(t)
	second := cold
	second.Name = "u-2"
	c := newController("host-1", cold, second)
	c.RecordStoreFailure(core.ErrPlatform.New("away"), time.Now())
	is.Equal(len(c.placer.SuspectedCold(time.Now())), 0)
	c.handleHeartbeat(roster.Heartbeat{RemainingWarmUps: map[core.UpstreamName]uint32{"u-1": 2500}})
	names := map[core.UpstreamName]bool{}
	for _, u := range c.placer.SuspectedCold(time.Now()) {
		names[u.Name] = true
	}
	is.True(names["u-2"])
}

// isPending reports whether a check of the upstream is in flight.
func (h *healthChecker) isPending(name core.UpstreamName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending[name]
}

// wait waits until all checks have ended.
func (h *healthChecker) wait() {
	h.group.Wait()
}
