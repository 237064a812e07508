// Command endiverun-demo runs whole deployments on one machine: entry hosts, fake
// upstreams, a fake platform store and clients, over loopback addresses.
//
// run starts a deployment, puts it under load, injects faults and prints a report.
// platform and upstream serve only the fakes, for entry hosts that are started
// separately with the files that settings writes.
//
// # Usage
//
//	endiverun-demo run --deployment rijnvaart --for 10s
//	endiverun-demo platform --address 127.22.1.1:19000
//	endiverun-demo upstream --name fitchart-1 --address 127.22.1.100:17000
//	endiverun-demo settings --deployment rijnvaart --dir /tmp/rijnvaart
//
// run exits with 1 if a promise was violated or the run failed, and with 2 after
// an invalid deployment, fault, policy, load or duration. Every command exits with
// 80 if its command line cannot be parsed.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/demo/archiver"
	"github.com/endiverun/endiverun/demo/certifier"
	"github.com/endiverun/endiverun/demo/deployer"
	"github.com/endiverun/endiverun/demo/responder"
	"github.com/endiverun/endiverun/demo/runner"
	"github.com/endiverun/endiverun/entry/loader"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Modes of the files and directories that the commands create.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// errUsage marks errors in the arguments.
var errUsage = errors.New("invalid arguments")

// errPromiseViolated is the error of a run that violated a promise.
var errPromiseViolated = errors.New("a promise was violated, see the report")

// commands is the command line: a field for each command.
type commands struct {
	Run      runCommand      `cmd:"" help:"Run a deployment under load and print a report."`
	Platform platformCommand `cmd:"" help:"Serve only the fake platform store."`
	Upstream upstreamCommand `cmd:"" help:"Serve only fake upstreams, one or all of a deployment."`
	Settings settingsCommand `cmd:"" help:"Write the settings of the entry hosts, with keys, and the first ticket of a deployment."`
}

type runCommand struct {
	Deployment string        `help:"Deployment: consorcio or rijnvaart." default:"rijnvaart"`
	For        time.Duration `help:"Duration of the load." default:"10s"`
	Fault      string        `help:"Fault to inject, or several joined by +." default:"none"`
	Load       float64       `help:"Target utilization of all slots, 1 uses all." default:"0.5"`
	Seed       uint64        `help:"Seed of the load and the service times." default:"1"`
	Policy     string        `help:"Balancing policy of the hosts." default:"least-expected"`
	Report     string        `help:"File to write the report to, as JSON."`
	Log        string        `help:"File to write the log lines of all hosts to."`
	Traces     string        `help:"File to write the spans of all hosts to."`
}

// Run runs a deployment under load and writes the report.
func (c *runCommand) Run() error {
	deployment, ok := deployer.Find(c.Deployment)
	if !ok {
		return fmt.Errorf("%w: unknown deployment %q", errUsage, c.Deployment)
	}
	if err := c.validate(); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	log, err := openOrDefault(c.Log, io.Discard)
	if err != nil {
		return err
	}
	experiment := &runner.Runner{
		Deployment: deployment, Fault: c.Fault, Duration: c.For, Load: c.Load, Seed: c.Seed, Policy: c.Policy,
		ProgressOutput: os.Stdout, LogOutput: log,
	}
	if c.Traces != "" {
		experiment.Traces = loader.Traces{Exporter: loader.ExporterFile, File: c.Traces}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := experiment.Run(ctx)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.Report != "" {
		file, err := os.OpenFile(c.Report, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
		if err != nil {
			return err
		}
		if err := errors.Join(report.WriteJSON(file), file.Close()); err != nil {
			return err
		}
	}
	if report.HasViolations() {
		return errPromiseViolated
	}
	return nil
}

// validate checks the arguments apart from the deployment.
func (c *runCommand) validate() error {
	if _, ok := balancer.FindPolicy(c.Policy); !ok {
		return fmt.Errorf("unknown policy %q", c.Policy)
	}
	if c.Load <= 0 || c.For <= 0 {
		return errors.New("--load and --for must be positive")
	}
	return runner.ValidateFault(c.Fault)
}

// openOrDefault opens a file for writing, or returns the fallback if the name is empty.
func openOrDefault(name string, fallback io.Writer) (io.Writer, error) {
	if name == "" {
		return fallback, nil
	}
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

type platformCommand struct {
	Address string        `help:"IP address and port." default:"127.22.1.1:19000"`
	Slow    time.Duration `help:"Delay of every response."`
	Lose    int           `help:"Drop the response of every nth write after the write took effect; 0 drops none."`
}

// Run serves the fake platform store until SIGTERM or SIGINT.
func (c *platformCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := &archiver.ObjectStore{Address: c.Address}
	store.SetResponseDelay(c.Slow)
	store.SetDropEveryNthWriteResponse(c.Lose)
	return store.Run(ctx)
}

type upstreamCommand struct {
	Deployment string        `help:"Serve all upstreams of this deployment."`
	Name       string        `help:"Name of a single upstream."`
	Address    string        `help:"IP address and port of a single upstream."`
	Slots      int           `help:"Concurrency limit of a single upstream." default:"4"`
	Mean       time.Duration `help:"Mean service time of a single upstream." default:"50ms"`
	Cold       time.Duration `help:"How long caches are cold after the start."`
	Shed       bool          `help:"Refuse every request and say that it was not run."`
	Lie        bool          `help:"Report full load in every health check."`
	Drain      bool          `help:"Announce that the upstream is draining."`
}

// Run serves a single fake upstream, or all of a deployment, until SIGTERM or SIGINT.
func (c *upstreamCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	upstreams, err := c.upstreams()
	if err != nil {
		return err
	}
	failed := make(chan error, len(upstreams))
	for _, s := range upstreams {
		s.SetInjectedFailures(responder.InjectedFailures{ShedAll: c.Shed, ReportFullLoad: c.Lie})
		s.SetDraining(c.Drain, time.Now())
		go func() { failed <- s.Run(ctx) }()
	}
	return <-failed
}

// upstreams returns the fake upstreams to serve. They share one ledger.
func (c *upstreamCommand) upstreams() ([]*responder.FakeUpstream, error) {
	ledger := responder.NewLedger()
	if c.Deployment == "" {
		if c.Name == "" || c.Address == "" {
			return nil, fmt.Errorf("%w: either --deployment, or both --name and --address are required", errUsage)
		}
		return []*responder.FakeUpstream{{
			Name: c.Name, Address: c.Address, Slots: c.Slots, MeanServiceTime: c.Mean, WarmUpTime: c.Cold, Ledger: ledger,
		}}, nil
	}
	deployment, ok := deployer.Find(c.Deployment)
	if !ok {
		return nil, fmt.Errorf("%w: unknown deployment %q", errUsage, c.Deployment)
	}
	var upstreams []*responder.FakeUpstream
	for _, s := range deployment.Services {
		for _, u := range deployment.ServiceUpstreams(s) {
			upstreams = append(upstreams, &responder.FakeUpstream{
				Name: string(u.Name), Address: u.Address, Slots: u.Slots, MeanServiceTime: s.MeanServiceTime,
				ResponseSize: s.ResponseSize, WarmUpTime: c.Cold, Ledger: ledger,
			})
		}
	}
	return upstreams, nil
}

type settingsCommand struct {
	Deployment string `help:"Deployment: consorcio or rijnvaart." default:"rijnvaart"`
	Dir        string `help:"Directory to write to." required:""`
}

// Run writes a settings file for each entry host, named after it, and ticket.json.
func (c *settingsCommand) Run() error {
	deployment, ok := deployer.Find(c.Deployment)
	if !ok {
		return fmt.Errorf("%w: unknown deployment %q", errUsage, c.Deployment)
	}
	if err := os.MkdirAll(c.Dir, directoryMode); err != nil {
		return err
	}
	now := time.Now()
	authority, err := certifier.New(now)
	if err != nil {
		return err
	}
	for _, h := range deployment.EntryHosts() {
		settings, err := deployment.Settings(h, authority, now)
		if err != nil {
			return err
		}
		if err := writeJSON(filepath.Join(c.Dir, string(h.Name)+".json"), settings); err != nil {
			return err
		}
	}
	return writeJSON(filepath.Join(c.Dir, "ticket.json"), deployment.FirstTicket())
}

// writeJSON writes a value to a file as indented JSON.
func writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), fileMode)
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli,
		kong.Name("endiverun-demo"),
		kong.Description("Runs whole deployments, and fake upstreams and platform stores. Faults: "+strings.Join(runner.FaultNames(), ", ")+"."),
		kong.UsageOnError(),
	)
	err := ctx.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "endiverun-demo:", err)
	if errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}
