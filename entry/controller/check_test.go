package controller

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/logger"
)

// coldUpstream serves health answers that say that it is cold.
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

// newBareController returns a host that is not prepared yet.
func newBareController(name core.HostName) *Controller {
	zone := core.Zone{Name: "for-a", Region: "for"}
	return &Controller{
		Self:           core.Host{Name: name, Zone: zone, Incarnation: 1, PeerAddress: "127.0.0.1:1"},
		Regions:        map[core.ZoneName]core.RegionName{"for-a": "for"},
		IsFirstStart:   true,
		UpstreamFields: exchanger.Fields{Cold: "Cold", Instance: "Instance"},
		Log:            logger.New(io.Discard, "error", core.Host{Name: name}),
		Bounds:         Bounds{RetryWindow: time.Second, WarmUpOverage: 1.5, WarmUpSlack: 5},
	}
}

func newController(name core.HostName, upstreams ...core.Upstream) *Controller {
	c := newBareController(name)
	c.Init()
	now := time.Now()
	c.Take(replicator.Snapshot{
		Policy: &replicator.Policy{
			Version:  1,
			Services: []core.ServicePolicy{{Name: "desk", HealthPath: "/health", WarmUp: 3 * time.Second, WarmUpRate: 17}},
		},
		Upstreams:   &replicator.Upstreams{Revision: 1, List: upstreams},
		Evacuations: &replicator.Evacuations{Revision: 1},
		Hosts:       &replicator.Hosts{Revision: 1},
	}, now)
	c.shareLimits(now)
	return c
}

// TestColdUpstreamIsTold is the pattern of an evacuation that hosts cannot read:
// while the store is away, a host finds an upstream cold and tells the others,
// which pace it from then on.
func TestColdUpstreamIsTold(t *testing.T) {
	is := is.New(t)
	upstream := coldUpstream(t)
	first, second := newController("host-1", upstream), newController("host-2", upstream)
	is.Equal(len(second.heartbeat().Cold), 0)
	first.StoreFailed(core.ErrPlatform.New("away"), time.Now())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		first.checkNear(ctx)
	}()
	<-first.urgent // a heartbeat is asked for at once
	stop()
	<-done
	beat := first.heartbeat()
	is.True(beat.Cold["u-1"] > 0)
	second.hear(beat)
	sent := 0
	for range 20 {
		if choice, ok := second.placer.Choose(placer.Query{Service: "desk", Key: "k"}, time.Now()); ok {
			second.placer.Release(choice)
			sent++
		}
	}
	is.True(sent <= 3)
}

// TestOneHostAsks checks that of the hosts that see each other one asks an
// upstream, and another where that one is gone.
func TestOneHostAsks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	zone := core.Zone{Name: "for-a", Region: "for"}
	a := core.Host{Name: "host-1", Zone: zone, PeerAddress: "127.0.0.1:1"}
	b := core.Host{Name: "host-2", Zone: zone, PeerAddress: "127.0.0.1:2"}
	first, second := &roster.Roster{Self: a}, &roster.Roster{Self: b}
	first.Hear(roster.Heartbeat{Host: b}, now)
	second.Hear(roster.Heartbeat{Host: a}, now)
	is.True(first.IsFirst(now)("u-1") != second.IsFirst(now)("u-1"))
	later := now.Add(time.Minute)
	is.True(first.IsFirst(later)("u-1") && second.IsFirst(later)("u-1"))
}

// silentUpstream accepts connections and never answers.
func silentUpstream(t *testing.T, name core.UpstreamName) core.Upstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return core.Upstream{Name: name, Service: "desk", Zone: "for-a", Address: listener.Addr().String(), Slots: 4}
}

// TestSilentUpstreamDelaysNoCheck is the pattern of an evacuation that hosts
// cannot read, with upstreams whose slots are all taken: more silent upstreams
// than are checked at a time must not delay the check of one that became cold.
func TestSilentUpstreamDelaysNoCheck(t *testing.T) {
	is := is.New(t)
	upstreams := []core.Upstream{coldUpstream(t)}
	for i := range prepareWorkers + 1 {
		upstreams = append(upstreams, silentUpstream(t, core.UpstreamName("silent-"+strconv.Itoa(i))))
	}
	c := newController("host-1", upstreams...)
	c.StoreFailed(core.ErrPlatform.New("away"), time.Now())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.checkNear(ctx)
	}()
	<-c.urgent
	// Found by the first round, whose silent checks have not ended.
	is.True(c.prober.isPending("silent-0"))
	stop()
	<-done
	c.prober.wait()
}

// TestColdZoneIsSuspected is the same pattern for the rest of the zone: what one
// check finds spares all upstreams of the zone until their own checks end.
func TestColdZoneIsSuspected(t *testing.T) {
	is := is.New(t)
	cold := coldUpstream(t)
	second := cold
	second.Name = "u-2"
	c := newController("host-1", cold, second)
	c.StoreFailed(core.ErrPlatform.New("away"), time.Now())
	is.Equal(len(c.placer.Suspects(time.Now())), 0)
	c.hear(roster.Heartbeat{Cold: map[core.UpstreamName]uint32{"u-1": 2500}})
	names := map[core.UpstreamName]bool{}
	for _, u := range c.placer.Suspects(time.Now()) {
		names[u.Name] = true
	}
	is.True(names["u-2"])
}

// isPending reports whether a check of the upstream waits for its answer.
func (p *prober) isPending(name core.UpstreamName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pending[name]
}

// wait returns when all checks have ended.
func (p *prober) wait() {
	p.group.Wait()
}
