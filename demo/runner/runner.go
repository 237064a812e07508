// Package runner runs a whole deployment in one process: a fake platform store and
// fake upstreams, all entry hosts over loopback sockets with emulated network
// delays, and the clients that generate the load.
//
// In the middle of the load it injects the chosen faults. Afterwards it checks
// the promises of the system by comparing the results of the clients with the
// executions of the upstreams, and returns a report.
//
// # Usage
//
//	r := &runner.Runner{
//		Deployment: d, Fault: runner.FaultNone, Duration: 10 * time.Second, Load: 0.5,
//		Policy: "least-expected", Progress: os.Stdout, Log: io.Discard,
//	}
//	report, err := r.Run(ctx)
package runner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/demo/archiver"
	"github.com/endiverun/endiverun/demo/certifier"
	"github.com/endiverun/endiverun/demo/deployer"
	"github.com/endiverun/endiverun/demo/driver"
	"github.com/endiverun/endiverun/demo/emulator"
	"github.com/endiverun/endiverun/demo/reporter"
	"github.com/endiverun/endiverun/demo/responder"
	"github.com/endiverun/endiverun/entry/loader"
	"github.com/endiverun/endiverun/entry/server"
)

// Durations of a run.
const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// settleTime is the pause before the load starts, in which the hosts measure the
	// network between each other.
	settleTime = 1500 * time.Millisecond
	// clientDeadline is how long clients wait for a response.
	clientDeadline = 3 * time.Second
)

// Runner runs one experiment. Set the fields and call Run once.
type Runner struct {
	Deployment deployer.Deployment
	// Fault is the name of a fault, or several names joined by "+".
	Fault string
	// Duration is how long the load lasts.
	Duration time.Duration
	// Load is the target utilization of all slots; 1 uses all of them.
	Load float64
	// Seed makes the load and the service times reproducible.
	Seed uint64
	// Policy names the balancing policy of the hosts.
	Policy string
	// ProgressOutput gets a line about the requests so far every progressInterval.
	ProgressOutput io.Writer
	// LogOutput gets the log lines of all hosts.
	LogOutput io.Writer
	// Traces configures the export of spans by the hosts.
	Traces loader.Traces

	emulator  *emulator.Emulator
	archiver  *archiver.ObjectStore
	ledger    *responder.Ledger
	upstreams []*upstream
	hosts     []*host
	clients   []*driver.Client
	collector *reporter.Collector
	authority *certifier.Authority
	group     conc.WaitGroup
	lifetime  context.Context //nolint:containedctx // Ends with the run.

	mu sync.Mutex
	// taskError is the error of the first background task that failed.
	taskError error
	// refusals holds the requests that clients know as not run.
	refusals []refusedCall
	// nonIdempotent holds the nonces of all requests that are not idempotent.
	nonIdempotent []string
	notes         []string
	// drainTime is the longest time that an upstream or host took to drain.
	drainTime time.Duration
	// propagationTime is the longest time that a ticket took to reach all hosts.
	propagationTime time.Duration
	// appliedTickets holds the number of the last ticket that each host has applied.
	appliedTickets map[core.HostName]core.TicketNumber
	// reverted is the number of times that a host applied an older ticket.
	reverted int
	// failedRaces is the number of ticket races without exactly one winner.
	failedRaces int
	// expectedUnknown is the number of requests that are not idempotent and whose
	// outcome is unknown. They do not count as preventable errors.
	expectedUnknown int
}

// refusedCall is a request that its client knows as not run.
type refusedCall struct {
	call   driver.Call
	result driver.Result
}

// upstream is a fake upstream and its description in the ticket.
type upstream struct {
	*responder.FakeUpstream
	spec core.Upstream
	stop context.CancelFunc
}

// host is an instance of an entry host.
type host struct {
	core.Host
	sockets *emulator.Process
	stop    context.CancelFunc
	done    chan error
	// crashed and stopping are guarded by Runner.mu.
	crashed  bool
	stopping bool
}

// Run runs the experiment and returns its report.
func (r *Runner) Run(ctx context.Context) (*reporter.Report, error) {
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.lifetime = lifetime
	r.appliedTickets = map[core.HostName]core.TicketNumber{}
	r.ledger = responder.NewLedger()
	r.emulator = emulator.New(r.Deployment.ZonesByAddress(), r.Deployment.OneWayDelay)
	r.collector = reporter.New(r.serviceNames())
	if err := r.startFakes(); err != nil {
		return nil, err
	}
	if err := r.startHosts(); err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.startClients()
	time.Sleep(settleTime)
	cpu := cpuTime()
	start := time.Now()
	stopWatching := r.watchHeadroom()
	err := r.drive(ctx)
	elapsed := time.Since(start)
	report := r.report(stopWatching(), elapsed, cpuTime()-cpu)
	r.stopHosts(report)
	cancel()
	r.group.Wait()
	return report, err
}

func (r *Runner) serviceNames() []core.ServiceName {
	var names []core.ServiceName
	for _, s := range r.Deployment.Services {
		names = append(names, s.Name)
	}
	return names
}

// startFakes starts the fake platform store and all fake upstreams, and stores the
// first ticket.
func (r *Runner) startFakes() error {
	r.archiver = &archiver.ObjectStore{Address: r.Deployment.PlatformAddress()}
	r.group.Go(func() { r.noteError(r.archiver.Run(r.lifetime)) })
	for _, s := range r.Deployment.Services {
		for i, u := range r.Deployment.ServiceUpstreams(s) {
			r.startUpstream(u, s, r.Seed+uint64(i))
		}
		direct := core.Upstream{
			Name: core.UpstreamName(string(s.Name) + "-probe"), Address: r.Deployment.DirectUpstreamAddress(s), Slots: directSlots,
		}
		direct.Zone = r.Deployment.Zones()[0].Name
		r.startDirectUpstream(direct, s)
	}
	return r.writeFirstTicket()
}

// directSlots is the concurrency limit of direct upstreams, which no direct call
// reaches.
const directSlots = 1000

func (r *Runner) newResponder(u core.Upstream, s deployer.ServiceSpec, seed uint64) *responder.FakeUpstream {
	return &responder.FakeUpstream{
		Name:            string(u.Name),
		Address:         u.Address,
		Region:          string(r.Deployment.ZoneByName(u.Zone).Region),
		Slots:           u.Slots,
		MeanServiceTime: s.MeanServiceTime,
		ResponseSize:    s.ResponseSize,
		Seed:            seed,
		Ledger:          r.ledger,
	}
}

func (r *Runner) startUpstream(u core.Upstream, s deployer.ServiceSpec, seed uint64) {
	ctx, stop := context.WithCancel(r.lifetime)
	started := &upstream{FakeUpstream: r.newResponder(u, s, seed), spec: u, stop: stop}
	r.upstreams = append(r.upstreams, started)
	r.group.Go(func() { r.noteError(started.Run(ctx)) })
}

// startDirectUpstream starts a fake upstream that only direct calls use. It has a
// separate ledger, so that direct calls do not count as executions of the load.
func (r *Runner) startDirectUpstream(u core.Upstream, s deployer.ServiceSpec) {
	direct := r.newResponder(u, s, r.Seed)
	direct.Ledger = responder.NewLedger()
	r.group.Go(func() { r.noteError(direct.Run(r.lifetime)) })
}

// noteError adds a note to the report if a background task has failed, and keeps the first
// error for failedTask.
func (r *Runner) noteError(err error) {
	if err == nil {
		return
	}
	r.addNote("background task failed: " + err.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taskError == nil {
		r.taskError = err
	}
}

// failedTask returns the error of the first background task that failed, such as a fake
// whose address is in use by another process.
func (r *Runner) failedTask() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taskError == nil {
		return nil
	}
	return fmt.Errorf("a background task failed: %w", r.taskError)
}

// addNote adds a note to the report.
func (r *Runner) addNote(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, text)
}

// startHosts starts all entry hosts.
func (r *Runner) startHosts() error {
	authority, err := certifier.New(time.Now())
	if err != nil {
		return err
	}
	r.authority = authority
	for _, h := range r.Deployment.EntryHosts() {
		started, err := r.startHost(h)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, started)
	}
	return nil
}

// startHost starts an instance of an entry host.
func (r *Runner) startHost(h core.Host) (*host, error) {
	settings, err := r.Deployment.Settings(h, r.authority, time.Now())
	if err != nil {
		return nil, err
	}
	settings.Limits = loader.Limits{
		MaxBody: core.Mebibyte, MaxConnections: maxConnections,
		BalancingPolicy: r.Policy, StopTimeout: core.Milliseconds(stopTimeout.Milliseconds()),
	}
	settings.Traces = r.Traces
	sockets := r.emulator.NewProcess(h.Zone)
	daemon := &server.Server{
		Settings: settings,
		Log:      r.LogOutput,
		Network: server.Network{
			DialUpstream:   sockets.DialStream,
			DialPlatform:   sockets.DelayedDialer(settings.Platform.Timeout.Duration()),
			ListenPeers:    sockets.ListenPacket,
			OpenPeerSocket: sockets.OpenPacket,
			ListenClients:  sockets.Listen,
		},
		OnTicketApplied: func(n core.TicketNumber, now time.Time) { r.recordTicket(h.Name, n, now) },
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &host{Host: h, sockets: sockets, stop: stop, done: make(chan error, 1)}
	go func() { started.done <- daemon.Run(ctx) }()
	return started, nil
}

// Limits of the entry hosts.
const (
	maxConnections = 20_000
	stopTimeout    = 10 * time.Second
)

// stopHosts stops all hosts gracefully and reports those that fail to stop.
func (r *Runner) stopHosts(report *reporter.Report) {
	for _, h := range r.hosts {
		h.stop()
	}
	for _, h := range r.hosts {
		select {
		case err := <-h.done:
			if err != nil && !h.crashed {
				report.Violations[reporter.PromiseGracefulStop]++
				report.Notes = append(report.Notes, string(h.Name)+" failed to stop gracefully: "+err.Error())
			}
		case <-time.After(2 * stopTimeout):
			report.Violations[reporter.PromiseGracefulStop]++
			report.Notes = append(report.Notes, string(h.Name)+" did not stop in time")
		}
	}
}
