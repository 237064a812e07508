// Package controller runs an entry host, a proxy at which client requests enter the
// system. The host forwards requests directly to upstreams, according to a routing
// policy and a list of upstreams.
//
// The package connects the decision logic of core with the forwarder. It gives this
// host its share of the limits that apply to all hosts together, fetches a newer
// snapshot from other hosts while the host cannot read the store itself, and performs
// a graceful stop without cutting off requests. A snapshot is the host's copy of the
// store: the routing policy and the lists of upstreams, of evacuated zones (which get
// no traffic) and of hosts. The user of this package reads these from the store and
// passes them to ApplyUpdate.
//
// In a large fleet one host of each zone, its reader, reads the store, and the other
// hosts of the zone follow it: they fetch its snapshots.
//
// # Usage
//
//	c := &controller.Controller{Self: host, RegionByZone: regions, Bounds: bounds, Log: log}
//	c.Init()
//	err := c.Run(ctx, listener) // Stops gracefully when ctx ends.
//	c.ApplyUpdate(replicator.Snapshot{Policy: policy}, time.Now())
//	c.RecordStoreResponse(time.Now())
package controller

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/authenticator"
	"github.com/endiverun/endiverun/core/pacer"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/retrier"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/creditor"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/forwarder"
	"github.com/endiverun/endiverun/entry/heartbeater"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
	"github.com/endiverun/endiverun/entry/tracer"
	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// unackedTimeout is the time after which a connection with unacknowledged data
	// is closed. TCP retransmits a lost packet well within it, even between regions.
	unackedTimeout = 700 * time.Millisecond
	// requestBodiesDivisor, responseDivisor and responsesDivisor divide the memory
	// into the limits of all request bodies, of one buffered response and of all
	// buffered responses. The growing buffer of a response takes up to three times the
	// memory of its content; request bodies are kept in pieces.
	requestBodiesDivisor = 4
	responseDivisor      = 16
	responsesDivisor     = 6
	// backgroundExitTimeout is how long the exit waits for calls to upstreams, other
	// hosts and the store, which may take longer than the time that remains.
	backgroundExitTimeout = 100 * time.Millisecond
)

// Controller runs one host.
type Controller struct {
	// Self is this host, and RegionByZone the region of each zone.
	Self         core.Host
	RegionByZone map[core.ZoneName]core.RegionName
	Bounds       Bounds
	// IsFirstStart says that the whole fleet starts for the first time, so that no host has
	// served requests before. Upstreams then do not count as possibly cold at the start, and
	// the host waits a short time for the reader of its zone before it reads the store.
	IsFirstStart bool
	// MemoryLimit is the memory that the process may use.
	MemoryLimit core.Bytes
	// UpstreamHeaderNames and ClientHeaderNames are the names of the header fields exchanged
	// with upstreams and clients.
	UpstreamHeaderNames exchanger.HeaderNames
	ClientHeaderNames   forwarder.HeaderNames
	Log                 *logger.Logger
	// Meter collects the host's metrics; if nil, Init creates one.
	Meter *meter.Meter
	// Tracer creates spans; nil disables tracing.
	Tracer *tracer.Tracer
	// Seeds are the addresses at which other hosts serve their snapshots. A host that
	// cannot read the store and has no complete snapshot yet fetches one from them.
	// SetSeeds changes them while the host runs.
	Seeds []string
	// SnapshotAddress returns the address at which another host serves its snapshot.
	SnapshotAddress func(host core.Host) string
	// LastPeerPort is the last UDP port for other hosts, of those from that of Self.PeerAddress on.
	// With only one, requests of organisations with quotas are refused.
	LastPeerPort uint16
	// SetReadMode is called when the host should read other parts of the store than
	// before; the reads are those whose results the user passes to ApplyUpdate. If nil,
	// this host always reads all. The mode at the start is ReadAll, and ReadNone if
	// IsFirstStart is set.
	SetReadMode func(reading ReadMode)
	// PingStore probes the store with a cheap call; nil disables the probes.
	PingStore func() error
	// RenewWatches makes the user repeat its pending watches of the store and then apply the
	// full lists; it may be nil. It is called when the store responds again after failed calls,
	// and when the host holds lists of other hosts that differ from the store's.
	RenewWatches func()
	// OnStoreRestored is called once for each later era of the store that the host learns of
	// after its first lists, from the store or from another host. What this host wrote to the
	// store shortly before may be lost. It may be nil, and may call the Controller.
	OnStoreRestored func(era core.Era)
	// Unregister removes the host from the list of hosts in the store; nil if there
	// is no such list.
	Unregister func()

	replicator    *replicator.Replicator
	placer        *placer.Placer
	pacer         *pacer.Pacer
	retryBudget   *retrier.Budget
	authenticator *authenticator.Authenticator
	creditor      *creditor.Creditor
	roster        *roster.Roster
	exchanger     *exchanger.Exchanger
	forwarder     *forwarder.Forwarder
	fetcher       heartbeater.Fetcher
	snapshotCache snapshotCache

	seeds atomic.Pointer[[]string]
	// gracePeriod is the current Bounds.GracePeriod, a time.Duration.
	gracePeriod atomic.Int64
	policy      atomic.Pointer[core.RoutingPolicy]
	// hasOrganisations is closed by noteOrganisations when the first policy with organisations
	// is in force.
	hasOrganisations  chan struct{}
	noteOrganisations sync.Once
	// sharingHosts is the number of hosts that shared limits are divided over.
	sharingHosts atomic.Int64
	subsets      subsets
	// lender is used by lendShares only. loanSteps is what this host lends of its shares
	// in rate limits (roster.Heartbeat.LoanSteps).
	lender      pacer.Lender
	loanSteps   atomic.Int32
	needsShares atomic.Bool
	isDraining  atomic.Bool
	isReady     atomic.Bool
	// readMode says what the host reads from the store; it holds a ReadMode.
	readMode    atomic.Int32
	storeStatus storeStatus
	// confirmationAsked is when confirmWithReader, which alone uses it, called last.
	confirmationAsked core.Uptime
	// listsRequested is when requestStoreLists, which alone uses it, last did so.
	listsRequested time.Time
	coldUpstreams  coldUpstreams
	healthChecker  healthChecker
	// urgentHeartbeat requests a heartbeat to many hosts at once.
	urgentHeartbeat chan struct{}
	// zoneHeartbeat requests a heartbeat to the other hosts in the host's own zone.
	zoneHeartbeat chan struct{}
}

// Init initializes the host. Call it once, before any other method.
func (c *Controller) Init() {
	if c.Meter == nil {
		c.Meter = meter.New()
	}
	dial := caller.NewDialer(unackedTimeout)
	c.replicator = &replicator.Replicator{
		OnChange:                  c.apply,
		OnRestore:                 c.handleStoreRestored,
		UpstreamHeartbeatInterval: c.Bounds.UpstreamHeartbeatInterval,
		IsFirstStart:              c.IsFirstStart,
	}
	c.pacer = &pacer.Pacer{Self: c.Self.Name, RateMultiplier: c.Bounds.WarmUpRateMultiplier, Burst: c.Bounds.WarmUpBurst}
	c.placer = &placer.Placer{
		Zone:           c.Self.Zone,
		RegionByZone:   c.RegionByZone,
		Pacer:          c.pacer,
		AssumeCold:     !c.IsFirstStart,
		MaxRegionShift: c.Bounds.MaxRegionShift,
		OnLimitChange:  c.recordLimitChange,

		OnAvailabilityChange: c.recordAvailability,
	}
	c.retryBudget = &retrier.Budget{
		Window:    c.Bounds.RetryBudgetWindow,
		Ratio:     c.Bounds.RetryBudgetRatio,
		Allowance: c.Bounds.RetryBudgetAllowance,
	}
	c.authenticator = &authenticator.Authenticator{
		MaxAge: c.Bounds.maxKeyAge(), RewriteTime: replicator.RestoreGrace, IsFirstStart: c.IsFirstStart,
	}
	c.hasOrganisations = make(chan struct{})
	c.urgentHeartbeat = make(chan struct{}, 1)
	c.zoneHeartbeat = make(chan struct{}, 1)
	c.roster = &roster.Roster{
		Self: c.Self, MaxHeartbeatTimeout: c.Bounds.heartbeatTimeout(), MaxPropagationDelay: c.Bounds.MaxPropagationDelay,
	}
	c.creditor = c.newCreditor()
	c.exchanger = &exchanger.Exchanger{
		HeaderNames:      c.UpstreamHeaderNames,
		Dial:             dial,
		MaxResponseBody:  c.MemoryLimit / responseDivisor,
		MaxBufferedBytes: c.MemoryLimit / responsesDivisor,
		MaxConnections:   c.maxConnections,
		OnLeaving:        c.recordLeaving,
		OnMalformed:      c.recordMalformed,
		OnLoadUnreadable: c.recordUnreadableLoad,
	}
	c.fetcher.OnMalformed = c.recordMalformedHost
	c.forwarder = c.newForwarder()
	c.seeds.Store(&c.Seeds)
	c.gracePeriod.Store(int64(c.Bounds.GracePeriod))
	if c.IsFirstStart && c.SetReadMode != nil {
		c.readMode.Store(int32(ReadNone))
		c.SetReadMode(ReadNone)
	}
	c.registerGauges()
}

// newForwarder returns the forwarder of a host whose other parts exist.
func (c *Controller) newForwarder() *forwarder.Forwarder {
	return &forwarder.Forwarder{
		HeaderNames:     c.ClientHeaderNames,
		Placer:          c.placer,
		RetryBudget:     c.retryBudget,
		Exchanger:       c.exchanger,
		Authenticator:   c.authenticator,
		Creditor:        c.creditor,
		MaxBodyBytes:    c.MemoryLimit / requestBodiesDivisor,
		IsReady:         c.isReady.Load,
		IsPolicyCurrent: func() bool { return c.storeStatus.isSnapshotCurrent(time.Now()) },
		Tracer:          c.Tracer,
		OnResponse:      c.recordResponse,
		OnAttempt:       c.countAttempt,
		OnRetry:         c.recordRetry,
		OnFailure:       c.recordFailure,
		OnAcceptError:   c.recordAcceptError,
	}
}

// Run serves clients until ctx ends, then performs a graceful stop.
func (c *Controller) Run(ctx context.Context, clients net.Listener) error {
	c.limitMemory()
	c.Log.Event(logger.HostStarted).Str("zone", string(c.Self.Zone.Name)).Send()
	background, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer func() {
		stop()
		waiter.WaitTimeout(backgroundExitTimeout, group.Wait)
	}()
	group.Go(func() { c.exchangeHeartbeats(background) })
	group.Go(func() { c.exchangeCredits(background) })
	group.Go(func() { c.runPeriodicTasks(background) })
	group.Go(func() { c.learnFromPeers(background) })
	group.Go(func() { c.confirmWithPeers(background) })
	group.Go(func() { c.preconnect(background) })
	group.Go(func() { c.checkSuspects(background) })
	group.Go(func() { c.checkLocalRegion(background) })
	group.Go(func() { c.followReader(background) })
	group.Go(func() { c.probeStore(background) })
	group.Go(func() { c.reportLimitUse(background) })
	// A loan ends on time only if no other task delays this one.
	group.Go(func() { waiter.Every(background, taskInterval, c.lendShares) })

	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	stopped := make(chan error, 1)
	group.Go(func() { stopped <- c.forwarder.Run(serving, clients) })
	var err error
	select {
	case err = <-stopped:
	case <-ctx.Done():
		c.startDraining(time.Now())
		stopServing()
		err = <-stopped
	}
	c.recordStop(time.Now())
	return err
}

// SetBounds changes the bounds of a running host. RetryBudgetWindow,
// UpstreamHeartbeatInterval and the times that this package derives from
// MaxPropagationDelay and StabilizationTime (BatchDelay, WatchDelay, WatchTimeout and the
// timeout for fetching a snapshot) change only with a restart, and so do QuotaOverage, QuotaSlack
// and KeyWithdrawalTime.
func (c *Controller) SetBounds(bounds Bounds) {
	c.retryBudget.SetLimits(bounds.RetryBudgetRatio, bounds.RetryBudgetAllowance)
	c.pacer.SetLimit(bounds.WarmUpRateMultiplier, bounds.WarmUpBurst)
	c.gracePeriod.Store(int64(bounds.GracePeriod))
	c.placer.SetMaxRegionShift(bounds.MaxRegionShift)
	c.roster.SetMaxHeartbeatTimeout(bounds.heartbeatTimeout())
	c.roster.SetMaxPropagationDelay(bounds.MaxPropagationDelay)
}

// SetSeeds changes the seeds of a running host.
func (c *Controller) SetSeeds(seeds []string) {
	c.seeds.Store(&seeds)
}

// limitMemory makes the garbage collector run more often, and still more often near
// the memory limit.
func (c *Controller) limitMemory() {
	const (
		gcPercent = 20
		divisor   = 2
	)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(c.MemoryLimit / divisor))
}

// IsServing reports whether the host is ready and not draining.
func (c *Controller) IsServing() bool {
	return c.isReady.Load() && !c.isDraining.Load()
}

// Resolve returns the client addresses of at most limit entry hosts to which a client in
// the given zone should send requests for the hostname of a route. Hosts near the zone
// are preferred.
func (c *Controller) Resolve(name string, zone core.Zone, limit int, now time.Time) []string {
	return c.roster.Resolve(roster.Query{Zone: zone, HomeRegions: c.homeRegions(name), MaxAddresses: limit}, now)
}

// ExpiredHosts returns the registered hosts whose heartbeats have been missing for so
// long that this host should remove their registrations from the store.
func (c *Controller) ExpiredHosts(now time.Time) []core.Host {
	return c.roster.ExpiredHosts(now)
}

// homeRegions returns the regions in which the bodies of all requests to a host name
// may be processed; empty means all regions.
func (c *Controller) homeRegions(name string) []core.RegionName {
	policy := c.policy.Load()
	if policy == nil {
		return nil
	}
	return policy.HomeRegionsOf(name)
}

// Snapshot returns, encoded for another host, the parts of this host's snapshot that
// are newer than the given revisions, which the other host holds.
func (c *Controller) Snapshot(held core.Revisions, now time.Time) ([]byte, error) {
	return c.snapshotCache.encode(c.replicator, held, now)
}
