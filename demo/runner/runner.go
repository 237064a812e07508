// Package runner runs a deployment in one process: the stand-ins, all entry
// hosts over loopback sockets, the load, and a fault.
//
// # Usage
//
//	r := &runner.Runner{Deployment: d, Fault: "none", For: 10 * time.Second}
//	report, err := r.Run(ctx)
package runner

import (
	"context"
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

// Times of a run.
const (
	readyTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
	// settleTime lets the hosts measure each other before the load begins.
	settleTime = 1500 * time.Millisecond
	// clientDeadline is how long clients wait for an answer.
	clientDeadline = 3 * time.Second
)

// Runner runs one experiment.
type Runner struct {
	Deployment deployer.Deployment
	Fault      string
	// For is how long the load lasts.
	For time.Duration
	// Load is the part of all slots that the load uses.
	Load float64
	Seed uint64
	// Policy names the balancing policy of the hosts.
	Policy string
	// Progress gets a line at times.
	Progress io.Writer
	// Log gets the events of all hosts.
	Log io.Writer
	// Traces tells where hosts export spans.
	Traces loader.Traces

	emulator   *emulator.Emulator
	archiver   *archiver.Archiver
	ledger     *responder.Ledger
	upstreams  []*upstream
	hosts      []*host
	clients    []*driver.Client
	collector  *reporter.Collector
	authority  *certifier.Authority
	group      conc.WaitGroup
	background context.Context //nolint:containedctx // The run's own lifetime.

	mu       sync.Mutex
	refused  []refusal
	once     []string
	notes    []string
	drain    time.Duration
	ticket   time.Duration
	inForce  map[core.HostName]core.Number
	reverted int
	// raceBroken counts races of tickets without exactly one winner.
	raceBroken int
	expected   int
}

// refusal is a request that was said not to have run.
type refusal struct {
	call   driver.Call
	result driver.Result
}

// upstream is a stand-in with its description.
type upstream struct {
	*responder.Responder
	spec core.Upstream
	stop context.CancelFunc
}

// host is an entry host of the run.
type host struct {
	core.Host
	sockets *emulator.Host
	stop    context.CancelFunc
	done    chan error
	// crashed and stopping are guarded by Runner.mu.
	crashed  bool
	stopping bool
}

// Run runs the experiment and reports.
func (r *Runner) Run(ctx context.Context) (*reporter.Report, error) {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.background = background
	r.inForce = map[core.HostName]core.Number{}
	r.ledger = responder.NewLedger()
	r.emulator = emulator.New(r.Deployment.Places(), r.Deployment.Delay)
	r.collector = reporter.New(r.serviceNames())
	if err := r.startStandIns(); err != nil {
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
	cpu := processorTime()
	start := time.Now()
	watch := r.watchHeadroom()
	err := r.drive(ctx)
	elapsed := time.Since(start)
	report := r.report(watch(), elapsed, processorTime()-cpu)
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

// startStandIns starts the platform and all upstreams.
func (r *Runner) startStandIns() error {
	r.archiver = &archiver.Archiver{Address: r.Deployment.PlatformAddress()}
	r.group.Go(func() { r.fail(r.archiver.Run(r.background)) })
	for _, s := range r.Deployment.Services {
		for i, u := range r.Deployment.UpstreamList(s) {
			r.startUpstream(u, s, r.Seed+uint64(i))
		}
		probe := core.Upstream{Name: core.UpstreamName(string(s.Name) + "-probe"), Address: r.Deployment.Probe(s), Slots: probeSlots}
		probe.Zone = r.Deployment.Zones()[0].Name
		r.startProbe(probe, s)
	}
	return r.writeFirstTicket()
}

// probeSlots lets direct calls never wait.
const probeSlots = 1000

func (r *Runner) newResponder(u core.Upstream, s deployer.ServiceSpec, seed uint64) *responder.Responder {
	return &responder.Responder{
		Name:       string(u.Name),
		Address:    u.Address,
		Region:     string(r.Deployment.ZoneByName(u.Zone).Region),
		Slots:      u.Slots,
		Mean:       s.Mean,
		AnswerSize: s.Answer,
		Seed:       seed,
		Ledger:     r.ledger,
	}
}

func (r *Runner) startUpstream(u core.Upstream, s deployer.ServiceSpec, seed uint64) {
	ctx, stop := context.WithCancel(r.background)
	one := &upstream{Responder: r.newResponder(u, s, seed), spec: u, stop: stop}
	r.upstreams = append(r.upstreams, one)
	r.group.Go(func() { r.fail(one.Run(ctx)) })
}

// startProbe starts a stand-in that only direct calls use, with a ledger of
// its own.
func (r *Runner) startProbe(u core.Upstream, s deployer.ServiceSpec) {
	probe := r.newResponder(u, s, r.Seed)
	probe.Ledger = responder.NewLedger()
	r.group.Go(func() { r.fail(probe.Run(r.background)) })
}

// fail notes an error of background work.
func (r *Runner) fail(err error) {
	if err != nil {
		r.note("background work failed: " + err.Error())
	}
}

func (r *Runner) note(text string) {
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
	for _, h := range r.Deployment.HostList() {
		started, err := r.startHost(h)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, started)
	}
	return nil
}

// startHost starts one entry host.
func (r *Runner) startHost(h core.Host) (*host, error) {
	settings, err := r.Deployment.Settings(h, r.authority, time.Now())
	if err != nil {
		return nil, err
	}
	settings.Limits = loader.Limits{
		MaxBody: core.Mebibyte, MaxConnections: maxConnections,
		Policy: r.Policy, StopTimeout: core.Milliseconds(stopTimeout.Milliseconds()),
	}
	settings.Traces = r.Traces
	sockets := r.emulator.Host(h.Zone)
	daemon := &server.Server{
		Settings: settings,
		Log:      r.Log,
		Network: server.Network{
			DialUpstream:   sockets.DialStream,
			DialPlatform:   sockets.DialDelayed(settings.Platform.Timeout.Duration()),
			ListenPeers:    sockets.ListenPacket,
			OpenPeer:       sockets.OpenPacket,
			ListenToClient: sockets.Listen,
		},
		OnTicket: func(n core.Number, now time.Time) { r.noteTicket(h.Name, n, now) },
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &host{Host: h, sockets: sockets, stop: stop, done: make(chan error, 1)}
	go func() { started.done <- daemon.Run(ctx) }()
	return started, nil
}

// Bounds of the hosts of a run.
const (
	maxConnections = 20_000
	stopTimeout    = 10 * time.Second
)

// stopHosts stops all hosts as planned and notes those that failed.
func (r *Runner) stopHosts(report *reporter.Report) {
	for _, h := range r.hosts {
		h.stop()
	}
	for _, h := range r.hosts {
		select {
		case err := <-h.done:
			if err != nil && !h.crashed {
				report.Broken[reporter.PromisePlannedStop]++
				report.Notes = append(report.Notes, string(h.Name)+" stopped with: "+err.Error())
			}
		case <-time.After(2 * stopTimeout):
			report.Broken[reporter.PromisePlannedStop]++
			report.Notes = append(report.Notes, string(h.Name)+" did not stop")
		}
	}
}
