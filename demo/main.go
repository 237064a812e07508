// Command endiverun-demo runs whole deployments of stand-ins on one machine.
//
// # Usage
//
//	endiverun-demo run --deployment rijnvaart --for 10s
//	endiverun-demo platform --address 127.22.1.1:19000
//	endiverun-demo upstream --name fitchart-1 --address 127.22.1.100:17000
//	endiverun-demo settings --deployment rijnvaart --dir /tmp/rijnvaart
//
// run exits with 1 if a promise broke or the run failed, and with 2 after bad
// arguments.
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
	exitFailure   = 1
	exitArguments = 2
)

// File modes of what settings writes.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// errArguments marks bad arguments.
var errArguments = errors.New("bad arguments")

// errBroken reports that a promise broke.
var errBroken = errors.New("a promise broke")

// commands is the whole command line.
type commands struct {
	Run      runCommand      `cmd:"" help:"Run a deployment under load and report."`
	Platform platformCommand `cmd:"" help:"Serve the platform's stand-in alone."`
	Upstream upstreamCommand `cmd:"" help:"Serve one upstream's stand-in alone."`
	Settings settingsCommand `cmd:"" help:"Write settings, keys and the first ticket of a deployment."`
}

type runCommand struct {
	Deployment string        `help:"Deployment: consorcio or rijnvaart." default:"rijnvaart"`
	For        time.Duration `help:"How long the load lasts." default:"10s"`
	Fault      string        `help:"Fault to inject; two are joined by +." default:"none"`
	Load       float64       `help:"Part of all slots that the load uses." default:"0.5"`
	Seed       uint64        `help:"Seed of the load and the stand-ins." default:"1"`
	Policy     string        `help:"Balancing policy of the hosts." default:"least-expected"`
	Report     string        `help:"File for the report as JSON."`
	Log        string        `help:"File for the events of all hosts."`
	Traces     string        `help:"File for the spans of all hosts."`
}

// Run runs the experiment.
func (c *runCommand) Run() error {
	deployment, ok := deployer.Find(c.Deployment)
	if !ok {
		return fmt.Errorf("%w: no deployment %q", errArguments, c.Deployment)
	}
	if err := c.check(); err != nil {
		return fmt.Errorf("%w: %w", errArguments, err)
	}
	log, err := openOr(c.Log, io.Discard)
	if err != nil {
		return err
	}
	experiment := &runner.Runner{
		Deployment: deployment, Fault: c.Fault, For: c.For, Load: c.Load, Seed: c.Seed, Policy: c.Policy,
		Progress: os.Stdout, Log: log,
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
	if report.IsBroken() {
		return errBroken
	}
	return nil
}

func (c *runCommand) check() error {
	if _, ok := balancer.FindPolicy(c.Policy); !ok {
		return fmt.Errorf("no policy %q", c.Policy)
	}
	if c.Load <= 0 || c.For <= 0 {
		return errors.New("load and time must be positive")
	}
	return runner.CheckFault(c.Fault)
}

// openOr opens a file for writing, or returns the other writer without a name.
func openOr(name string, otherwise io.Writer) (io.Writer, error) {
	if name == "" {
		return otherwise, nil
	}
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

type platformCommand struct {
	Address string        `help:"IP address and port." default:"127.22.1.1:19000"`
	Slow    time.Duration `help:"Delay of every answer."`
	Lose    int           `help:"Lose the answer of every nth write after it took effect."`
}

// Run serves the stand-in until a signal.
func (c *platformCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	stand := &archiver.Archiver{Address: c.Address}
	stand.SetSlow(c.Slow)
	stand.SetLose(c.Lose)
	return stand.Run(ctx)
}

type upstreamCommand struct {
	Deployment string        `help:"Serve all upstreams of this deployment."`
	Name       string        `help:"Name, where one upstream is served."`
	Address    string        `help:"IP address and port, where one upstream is served."`
	Slots      int           `help:"Requests at a time." default:"4"`
	Mean       time.Duration `help:"Mean service time." default:"50ms"`
	Cold       time.Duration `help:"How long caches are cold."`
	Shed       bool          `help:"Refuse every request as not run."`
	Lie        bool          `help:"Report full load always."`
	Drain      bool          `help:"Announce that the upstream leaves."`
}

// Run serves one stand-in, or all of a deployment, until a signal.
func (c *upstreamCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	stands, err := c.stands()
	if err != nil {
		return err
	}
	failed := make(chan error, len(stands))
	for _, s := range stands {
		s.SetMisbehaviour(responder.Misbehaviour{Shed: c.Shed, Lie: c.Lie})
		s.SetDraining(c.Drain, time.Now())
		go func() { failed <- s.Run(ctx) }()
	}
	return <-failed
}

func (c *upstreamCommand) stands() ([]*responder.Responder, error) {
	ledger := responder.NewLedger()
	if c.Deployment == "" {
		if c.Name == "" || c.Address == "" {
			return nil, fmt.Errorf("%w: --deployment, or --name and --address", errArguments)
		}
		return []*responder.Responder{{
			Name: c.Name, Address: c.Address, Slots: c.Slots, Mean: c.Mean, ColdTime: c.Cold, Ledger: ledger,
		}}, nil
	}
	deployment, ok := deployer.Find(c.Deployment)
	if !ok {
		return nil, fmt.Errorf("%w: no deployment %q", errArguments, c.Deployment)
	}
	var stands []*responder.Responder
	for _, s := range deployment.Services {
		for _, u := range deployment.UpstreamList(s) {
			stands = append(stands, &responder.Responder{
				Name: string(u.Name), Address: u.Address, Slots: u.Slots, Mean: s.Mean,
				AnswerSize: s.Answer, ColdTime: c.Cold, Ledger: ledger,
			})
		}
	}
	return stands, nil
}

type settingsCommand struct {
	Deployment string `help:"Deployment: consorcio or rijnvaart." default:"rijnvaart"`
	Dir        string `help:"Directory to write to." required:""`
}

// Run writes a settings file for each host, and ticket.json.
func (c *settingsCommand) Run() error {
	deployment, ok := deployer.Find(c.Deployment)
	if !ok {
		return fmt.Errorf("%w: no deployment %q", errArguments, c.Deployment)
	}
	if err := os.MkdirAll(c.Dir, directoryMode); err != nil {
		return err
	}
	now := time.Now()
	authority, err := certifier.New(now)
	if err != nil {
		return err
	}
	for _, h := range deployment.HostList() {
		settings, err := deployment.Settings(h, authority, now)
		if err != nil {
			return err
		}
		if err := writeJSON(filepath.Join(c.Dir, string(h.Name)+".json"), settings); err != nil {
			return err
		}
	}
	return writeJSON(filepath.Join(c.Dir, "ticket.json"), deployment.Ticket())
}

func writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), fileMode)
}

func main() {
	var line commands
	ctx := kong.Parse(&line,
		kong.Name("endiverun-demo"),
		kong.Description("Stand-ins, load and whole deployments. Faults: "+strings.Join(runner.FaultNames(), ", ")+"."),
		kong.UsageOnError(),
	)
	err := ctx.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "endiverun-demo:", err)
	if errors.Is(err, errArguments) {
		os.Exit(exitArguments)
	}
	os.Exit(exitFailure)
}
