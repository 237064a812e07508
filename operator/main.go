// Command endiverun is the operators' command line.
//
// # Usage
//
//	endiverun --hosts 127.22.1.10:18080 ticket apply ticket.json --wait
//	endiverun --hosts 127.22.1.10:18080 status
//	endiverun --hosts 127.22.1.10:18080 explain fitchart --zone nl-south-a
//	endiverun explain 9c41d07be2a35f68 --log host-1.log --log host-2.log
//
// Exit codes: 0 success; 1 no host answered, or it failed; 2 bad arguments or a
// ticket with problems; 3 the ticket's number was taken by another; 4 the
// ticket was accepted and is not in force everywhere yet.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/operator/asker"
	"github.com/endiverun/endiverun/operator/explainer"
	"github.com/endiverun/endiverun/operator/printer"
)

// Exit codes.
const (
	exitFailure  = 1
	exitInput    = 2
	exitConflict = 3
	exitBehind   = 4
)

// errBehind reports that a ticket is not in force everywhere yet.
var errBehind = errors.New("the ticket is accepted and not in force everywhere yet")

// errNoHosts reports that no host was named.
var errNoHosts = errors.New("name hosts with --hosts or ENDIVERUN_HOSTS")

// globals are the flags of all commands.
type globals struct {
	Hosts   []string      `help:"Client addresses of entry hosts, tried in order." env:"ENDIVERUN_HOSTS"`
	Token   string        `help:"Operators' token." env:"ENDIVERUN_TOKEN"`
	Timeout time.Duration `help:"Limit of one call." default:"5s"`
	JSON    bool          `help:"Write JSON for programs." name:"json"`
}

func (g *globals) asker() *asker.Asker {
	return &asker.Asker{Hosts: g.Hosts, Token: g.Token, Timeout: g.Timeout}
}

// commands is the whole command line.
type commands struct {
	globals

	Ticket  ticketCommand  `cmd:"" help:"Change tickets."`
	Status  statusCommand  `cmd:"" help:"Show the views of all given hosts."`
	Explain explainCommand `cmd:"" help:"Show what a request to a service would use now, or from logs what became of one."`
}

type ticketCommand struct {
	Check ticketCheckCommand `cmd:"" help:"Check a ticket against the configuration in force."`
	Apply ticketApplyCommand `cmd:"" help:"Apply a ticket."`
	Show  ticketShowCommand  `cmd:"" help:"Show a ticket, or which number is in force."`
}

type ticketCheckCommand struct {
	File string `arg:"" help:"Ticket (JSON)." type:"existingfile"`
}

// Run checks a ticket.
func (c *ticketCheckCommand) Run(g *globals) error {
	applied, err := send(g, c.File, true)
	if err != nil {
		return err
	}
	if g.JSON {
		return writeJSON(applied)
	}
	fmt.Printf("ticket %d has no problems\n", applied.Number)
	return nil
}

type ticketApplyCommand struct {
	File    string        `arg:"" help:"Ticket (JSON)." type:"existingfile"`
	Wait    bool          `help:"Wait until the ticket is in force on all hosts that are not cut off."`
	WaitFor time.Duration `help:"Limit of the wait." default:"10s"`
}

// Run applies a ticket.
func (c *ticketApplyCommand) Run(g *globals) error {
	applied, err := send(g, c.File, false)
	if err != nil {
		return err
	}
	if !c.Wait {
		if g.JSON {
			return writeJSON(applied)
		}
		fmt.Printf("ticket %d is accepted\n", applied.Number)
		return nil
	}
	progress := g.asker().Await(applied.Number, c.WaitFor)
	if g.JSON {
		err = writeJSON(progress)
	} else {
		err = printer.Progress(os.Stdout, progress)
	}
	if err == nil && !progress.IsDone() {
		return errBehind
	}
	return err
}

func send(g *globals, file string, checkOnly bool) (asker.Applied, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return asker.Applied{}, err
	}
	if _, err := core.ParseTicket(data); err != nil {
		return asker.Applied{}, err
	}
	return g.asker().Apply(data, checkOnly)
}

type ticketShowCommand struct {
	Number uint64 `arg:"" optional:"" help:"Number; without it, which number is in force."`
}

// Run shows a ticket.
func (c *ticketShowCommand) Run(g *globals) error {
	raw, err := g.asker().Show(core.Number(c.Number))
	if err != nil {
		return err
	}
	return writeJSON(raw)
}

type statusCommand struct{}

// Run shows the views of hosts.
func (*statusCommand) Run(g *globals) error {
	if len(g.Hosts) == 0 {
		return errNoHosts
	}
	a := g.asker()
	var statuses []asker.Status
	var failures []error
	for _, h := range g.Hosts {
		status, err := a.Status(h)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		statuses = append(statuses, status)
	}
	if len(statuses) == 0 {
		return errors.Join(failures...)
	}
	if g.JSON {
		return writeJSON(statuses)
	}
	return printer.Status(os.Stdout, statuses, failures)
}

type explainCommand struct {
	Subject string   `arg:"" help:"Service, or with --log the id of a request."`
	Zone    string   `help:"Availability zone of the client."`
	Log     []string `help:"Logs of hosts." type:"existingfile"`
}

// Run explains a request.
func (c *explainCommand) Run(g *globals) error {
	if len(c.Log) > 0 {
		return explainFromLogs(g, c.Subject, c.Log)
	}
	explanation, err := g.asker().Explain(c.Subject, c.Zone)
	if err != nil {
		return err
	}
	if g.JSON {
		return writeJSON(explanation)
	}
	return printer.Explanation(os.Stdout, explanation)
}

// explainFromLogs writes what became of a request.
func explainFromLogs(g *globals, request string, paths []string) error {
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // It was only read.
		logs = append(logs, file)
	}
	life, err := explainer.Explain(request, logs)
	if err != nil {
		return err
	}
	if g.JSON {
		return writeJSON(life)
	}
	return life.Write(os.Stdout)
}

func writeJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	_, hasFindings := core.FindingsOf(err)
	switch {
	case hasFindings:
		return exitInput
	case errors.Is(err, asker.ErrConflict):
		return exitConflict
	case errors.Is(err, errBehind):
		return exitBehind
	default:
		return exitFailure
	}
}

func main() {
	var line commands
	ctx := kong.Parse(&line,
		kong.Name("endiverun"),
		kong.Description("The operators' command line of endiverun."),
		kong.UsageOnError(),
	)
	if err := ctx.Run(&line.globals); err != nil {
		fmt.Fprintln(os.Stderr, "endiverun:", err)
		os.Exit(exitCode(err))
	}
}
