// Package controller runs an entry host that sends requests directly to
// upstreams, by a routing policy and a list of upstreams that it follows.
//
// It joins the decisions of core with the forwarder, keeps the limits that all
// hosts share divided over those that may be alive, asks other hosts for a
// newer copy while it cannot read the store itself, and ends a planned stop
// without cutting requests. Where the policy and the lists come from is up to
// the caller, who hands them to Take.
//
// # Usage
//
//	c := &controller.Controller{Self: host, Regions: regions, Bounds: bounds, Log: log}
//	c.Init()
//	err := c.Run(ctx, listener) // until ctx ends, then a planned stop
//	c.Take(replicator.Snapshot{Policy: policy}, time.Now())
//	c.StoreAnswered(time.Now())
package controller

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/retrier"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/forwarder"
	"github.com/endiverun/endiverun/entry/heartbeater"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
	"github.com/endiverun/endiverun/entry/tracer"
	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// unackedLimit is when a connection with unacknowledged data fails. A lost
	// packet is sent again well within it, also between regions.
	unackedLimit = 700 * time.Millisecond
	// bodyPart is the part of the memory that request bodies may take, answerPart
	// that of one answer that is held whole, and heldPart that of all of them. A
	// buffer that grows takes up to three times its content.
	bodyPart   = 4
	answerPart = 16
	heldPart   = 6
	// stopMargin is kept of the grace period for the end of the process.
	stopMargin = 400 * time.Millisecond
	// exitTime is how long the end waits for calls to upstreams, other hosts and the
	// store, which may take longer than is left.
	exitTime = 100 * time.Millisecond
	// lingerTime is how long after a stop began clients may still arrive by
	// an older list of hosts.
	lingerTime = 2200 * time.Millisecond
	// lingerPart bounds it to a part of the grace period.
	lingerPart = 3
)

// Controller runs one host.
type Controller struct {
	Self    core.Host
	Regions map[core.ZoneName]core.RegionName
	Bounds  Bounds
	// IsFirstStart says that the whole system starts for the first time.
	IsFirstStart bool
	// Memory is what the process may use.
	Memory core.Bytes
	// UpstreamFields and ClientFields name the header fields.
	UpstreamFields exchanger.Fields
	ClientFields   forwarder.Fields
	Log            *logger.Logger
	// Meter gets the host's metrics; nil makes one.
	Meter *meter.Meter
	// Tracer makes spans; nil makes none.
	Tracer *tracer.Tracer
	// Seeds are addresses of hosts that may serve a snapshot to one that has
	// read nothing yet. SetSeeds changes them while the host runs.
	Seeds []string
	// SnapshotAddress returns where another host serves its snapshot.
	SnapshotAddress func(host core.Host) string
	// SetReading starts and stops the reads that are handed to Take; nil means
	// that this host always reads. A host reads from the beginning unless the
	// whole system starts for the first time.
	SetReading func(reading Reading)
	// ReachStore makes a cheap call to the store; nil where there is none.
	ReachStore func() error
	// Unregister takes the host off the list that others read; nil where there
	// is none.
	Unregister func()

	replicator *replicator.Replicator
	placer     *placer.Placer
	pacer      *pacer.Pacer
	retrier    *retrier.Retrier
	roster     *roster.Roster
	exchanger  *exchanger.Exchanger
	forwarder  *forwarder.Forwarder
	fetcher    heartbeater.Fetcher
	copier     copier

	seeds     atomic.Pointer[[]string]
	grace     atomic.Int64
	policy    atomic.Pointer[core.RoutingPolicy]
	hosts     atomic.Int64
	isLeaving atomic.Bool
	isReady   atomic.Bool
	// reading is a Reading, what the host reads of the store.
	reading atomic.Int32
	contact contact
	cold    coldList
	prober  prober
	urgent  chan struct{}
	// near asks for a heartbeat to the hosts of the own zone.
	near chan struct{}
}

// Init prepares the host. Call it once, before any other method.
func (c *Controller) Init() {
	if c.Meter == nil {
		c.Meter = meter.New()
	}
	dial := caller.NewDialer(unackedLimit)
	c.replicator = &replicator.Replicator{OnChange: c.apply, Heartbeat: c.Bounds.Heartbeat}
	c.pacer = &pacer.Pacer{Self: c.Self.Name, Overage: c.Bounds.WarmUpOverage, Slack: c.Bounds.WarmUpSlack}
	c.placer = &placer.Placer{Zone: c.Self.Zone, Regions: c.Regions, Pacer: c.pacer, AssumeCold: !c.IsFirstStart, MaxShift: c.Bounds.MaxShift}
	c.retrier = &retrier.Retrier{
		Window:    c.Bounds.RetryWindow,
		Fraction:  c.Bounds.RetryFraction,
		Allowance: c.Bounds.RetryAllowance,
	}
	c.urgent = make(chan struct{}, 1)
	c.near = make(chan struct{}, 1)
	c.roster = &roster.Roster{Self: c.Self, MaxSilence: c.Bounds.maxSilence(), InForce: c.Bounds.InForce}
	c.exchanger = &exchanger.Exchanger{
		Fields:         c.UpstreamFields,
		Dial:           dial,
		MaxAnswer:      c.Memory / answerPart,
		MaxHeld:        c.Memory / heldPart,
		MaxConnections: c.maxConnections,
	}
	c.forwarder = &forwarder.Forwarder{
		Fields:      c.ClientFields,
		Placer:      c.placer,
		Retrier:     c.retrier,
		Exchanger:   c.exchanger,
		MaxBodies:   c.Memory / bodyPart,
		IsReady:     c.isReady.Load,
		IsConfirmed: func() bool { return c.contact.isConfirmed(time.Now()) },
		Tracer:      c.Tracer,
		OnEnd:       c.noteAnswer,
		OnAttempt:   c.countAttempt,
		OnRetry:     c.noteRetry,
		OnRefusal:   c.noteRefusal,
	}
	c.seeds.Store(&c.Seeds)
	c.grace.Store(int64(c.Bounds.Grace))
	if c.IsFirstStart && c.SetReading != nil {
		c.reading.Store(int32(ReadsNothing))
		c.SetReading(ReadsNothing)
	}
	c.observe()
}

// Run serves clients until ctx ends, then stops as planned.
func (c *Controller) Run(ctx context.Context, clients net.Listener) error {
	c.limitMemory()
	c.Log.Event(logger.HostStarted).Str("zone", string(c.Self.Zone.Name)).Send()
	background, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer func() {
		stop()
		waiter.Within(exitTime, group.Wait)
	}()
	group.Go(func() { c.beat(background) })
	group.Go(func() { c.upkeep(background) })
	group.Go(func() { c.prepare(background) })
	group.Go(func() { c.checkSuspects(background) })
	group.Go(func() { c.checkNear(background) })
	group.Go(func() { c.follow(background) })
	group.Go(func() { c.probe(background) })

	serving, endServing := context.WithCancel(context.Background())
	defer endServing()
	failed := make(chan error, 1)
	group.Go(func() { failed <- c.forwarder.Run(serving, clients, c.stopTime) })
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		c.leave()
		endServing()
		err = <-failed
	}
	c.Log.Event(logger.HostStopped).Int64("open", c.forwarder.InFlight()).Send()
	return err
}

// SetBounds changes the bounds of a running host, but for the window of retries.
func (c *Controller) SetBounds(bounds Bounds) {
	c.retrier.SetBudget(bounds.RetryFraction, bounds.RetryAllowance)
	c.pacer.SetBound(bounds.WarmUpOverage, bounds.WarmUpSlack)
	c.grace.Store(int64(bounds.Grace))
	c.placer.SetMaxShift(bounds.MaxShift)
	c.roster.SetSilence(bounds.maxSilence())
	c.roster.SetInForce(bounds.InForce)
}

// SetSeeds changes the seeds of a running host.
func (c *Controller) SetSeeds(seeds []string) {
	c.seeds.Store(&seeds)
}

// leave tells everyone that the host takes no more requests, and waits until
// clients have heard of it.
func (c *Controller) leave() {
	c.isLeaving.Store(true)
	c.roster.SetReady(false)
	c.forwarder.Leave()
	c.Log.Event(logger.HostLeaving).Int64("open", c.forwarder.InFlight()).Send()
	if c.Unregister != nil {
		go c.Unregister()
	}
	time.Sleep(c.linger())
}

func (c *Controller) linger() time.Duration {
	return min(lingerTime, time.Duration(c.grace.Load())/lingerPart)
}

// stopTime returns how long open requests may take after the host left.
func (c *Controller) stopTime() time.Duration {
	return max(time.Duration(c.grace.Load())-c.linger()-stopMargin, stopMargin)
}

// limitMemory makes the garbage collector work harder near the limit.
func (c *Controller) limitMemory() {
	const (
		percent  = 20
		headroom = 2
	)
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(int64(c.Memory / headroom))
}

// TakesRequests reports whether the host has a policy and is not leaving.
func (c *Controller) TakesRequests() bool {
	return c.isReady.Load() && !c.isLeaving.Load()
}

// IsLeaving reports whether a planned stop has begun.
func (c *Controller) IsLeaving() bool {
	return c.isLeaving.Load()
}

// Resolve returns the hosts that a client of a zone should use for a host name.
func (c *Controller) Resolve(name string, zone core.Zone, limit int, now time.Time) []string {
	return c.roster.Resolve(roster.Query{Zone: zone, Homes: c.homesOf(name), Max: limit}, now)
}

// LapsedHosts returns the registered hosts that are gone and whose registrations
// this host should remove.
func (c *Controller) LapsedHosts(now time.Time) []core.Host {
	return c.roster.Lapsed(now)
}

// homesOf returns the regions that may take bodies of all requests to a host
// name; empty means all.
func (c *Controller) homesOf(name string) []core.RegionName {
	policy := c.policy.Load()
	if policy == nil {
		return nil
	}
	return policy.HomesOf(name)
}

// Snapshot returns what the host's copy of the store has beyond the given
// revisions, as other hosts read it.
func (c *Controller) Snapshot(held core.Revisions, now time.Time) ([]byte, error) {
	return c.copier.encode(c.replicator, held, now)
}

// maxConnections returns this host's part of an upstream's connections; 0
// means no bound.
func (c *Controller) maxConnections(service core.ServiceName) int {
	// The rest is left to hosts that are not known yet.
	const shared = 0.9
	policy := c.policy.Load()
	if policy == nil {
		return 1
	}
	total := shared * float64(policy.Services[service].MaxConnections)
	if total == 0 {
		return 0
	}
	return max(int(total)/max(int(c.hosts.Load()), 1), 1)
}
