// Command endiverun is the operators' command line. It checks, applies and shows
// tickets, shows the status of hosts, and explains how a request would be routed now
// or, from the logs of hosts, what happened to an earlier one. With --json it writes
// JSON instead of tables.
//
// # Usage
//
//	endiverun --hosts 127.22.1.10:18080 ticket apply ticket.json --wait
//	endiverun --hosts 127.22.1.10:18080 status
//	endiverun --hosts 127.22.1.10:18080 explain fitchart --zone nl-south-a
//	endiverun explain 9c41d07be2a35f68 --log host-1.log --log host-2.log
//
// Exit codes:
//
//	0   success
//	1   no host responded, or another failure
//	2   the ticket is invalid
//	3   another ticket with the same number was accepted
//	4   the ticket was accepted, but is not yet in force on every host that is not cut off
//	80  the flags or arguments are invalid (set by the kong package)
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

// Exit codes, described in the package comment.
const (
	exitFailure       = 1
	exitInvalidTicket = 2
	exitConflict      = 3
	exitNotInForce    = 4
)

// errNotInForce reports that an accepted ticket is not yet in force on every host that
// is not cut off.
var errNotInForce = errors.New("the ticket is accepted, but not yet in force on all hosts that are not cut off")

// globalFlags holds the flags that every command accepts.
type globalFlags struct {
	Hosts   []string      `help:"Client addresses of entry hosts, tried in order." env:"ENDIVERUN_HOSTS"`
	Token   string        `help:"Bearer token that authorizes operators." env:"ENDIVERUN_TOKEN"`
	Timeout time.Duration `help:"Time limit of a call to one host." default:"5s"`
	JSON    bool          `help:"Write JSON instead of tables." name:"json"`
}

// newAsker returns an Asker with the given hosts, token and timeout.
func (g *globalFlags) newAsker() *asker.APIClient {
	return &asker.APIClient{Hosts: g.Hosts, Token: g.Token, Timeout: g.Timeout}
}

// commandLine holds the global flags and the commands.
type commandLine struct {
	globalFlags

	Ticket  ticketCommand  `cmd:"" help:"Check, apply or show tickets, which change the configuration."`
	Status  statusCommand  `cmd:"" help:"Show the status of all given hosts and of their upstreams."`
	Explain explainCommand `cmd:"" help:"Show how a request for a service would be routed now, or from logs what happened to an earlier one."`
}

type ticketCommand struct {
	Check ticketCheckCommand `cmd:"" help:"Validate a ticket against the configuration in force without applying it."`
	Apply ticketApplyCommand `cmd:"" help:"Apply a ticket."`
	Show  ticketShowCommand  `cmd:"" help:"Show a ticket, or the number of the ticket in force."`
}

type ticketCheckCommand struct {
	File string `arg:"" help:"Ticket file (JSON)." type:"existingfile"`
}

// Run has a host validate a ticket without applying it.
func (c *ticketCheckCommand) Run(g *globalFlags) error {
	applied, err := sendTicket(g, c.File, true)
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
	File    string        `arg:"" help:"Ticket file (JSON)." type:"existingfile"`
	Wait    bool          `help:"Wait until the ticket is in force on all hosts; hosts that are cut off do not fail the command."`
	WaitFor time.Duration `help:"Time limit of --wait." default:"10s"`
}

// Run applies a ticket and, with --wait, waits until it is in force.
func (c *ticketApplyCommand) Run(g *globalFlags) error {
	applied, err := sendTicket(g, c.File, false)
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
	progress := g.newAsker().AwaitTicket(applied.Number, c.WaitFor)
	if g.JSON {
		err = writeJSON(progress)
	} else {
		err = printer.WriteProgress(os.Stdout, progress)
	}
	if err == nil && !progress.IsInForce() {
		return errNotInForce
	}
	return err
}

// sendTicket reads a ticket file, validates it locally and sends it to a host.
func sendTicket(g *globalFlags, file string, checkOnly bool) (asker.ApplyResponse, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return asker.ApplyResponse{}, err
	}
	if _, err := core.ParseTicket(data); err != nil {
		return asker.ApplyResponse{}, err
	}
	return g.newAsker().ApplyTicket(data, checkOnly)
}

type ticketShowCommand struct {
	Number uint64 `arg:"" optional:"" help:"Number of the ticket; without it, the number of the ticket in force is shown."`
}

// Run writes a ticket, or the number of the ticket in force, as JSON.
func (c *ticketShowCommand) Run(g *globalFlags) error {
	raw, err := g.newAsker().GetTicket(core.TicketNumber(c.Number))
	if err != nil {
		return err
	}
	return writeJSON(raw)
}

type statusCommand struct{}

// Run writes the status of all given hosts. It fails only if no host returns a status.
func (*statusCommand) Run(g *globalFlags) error {
	if len(g.Hosts) == 0 {
		return asker.ErrNoHosts
	}
	hostAsker := g.newAsker()
	var statuses []asker.Status
	var failures []error
	for _, host := range g.Hosts {
		status, err := hostAsker.Status(host)
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
	return printer.WriteStatus(os.Stdout, statuses, failures)
}

type explainCommand struct {
	Subject string   `arg:"" help:"Name of a service, or with --log the id of a request."`
	Zone    string   `help:"Availability zone of the client; by default the one of the caller's address."`
	Log     []string `help:"Log file of a host; may be repeated." type:"existingfile"`
}

// Run explains how a request would be routed or, with --log, what happened to one.
func (c *explainCommand) Run(g *globalFlags) error {
	if len(c.Log) > 0 {
		return explainFromLogs(g, c.Subject, c.Log)
	}
	explanation, err := g.newAsker().Explain(c.Subject, c.Zone)
	if err != nil {
		return err
	}
	if g.JSON {
		return writeJSON(explanation)
	}
	return printer.WriteExplanation(os.Stdout, explanation)
}

// explainFromLogs writes the history of the request with the given id.
func explainFromLogs(g *globalFlags, request string, paths []string) error {
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // The file was only read, so an error of Close loses nothing.
		logs = append(logs, file)
	}
	history, err := explainer.Explain(request, logs)
	if err != nil {
		return err
	}
	if g.JSON {
		return writeJSON(history)
	}
	return history.Write(os.Stdout)
}

// writeJSON writes the value to the standard output as indented JSON.
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
		return exitInvalidTicket
	case errors.Is(err, asker.ErrConflict):
		return exitConflict
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	default:
		return exitFailure
	}
}

func main() {
	var flags commandLine
	ctx := kong.Parse(&flags,
		kong.Name("endiverun"),
		kong.Description("Command line for operators of endiverun."),
		kong.UsageOnError(),
	)
	if err := ctx.Run(&flags.globalFlags); err != nil {
		fmt.Fprintln(os.Stderr, "endiverun:", err)
		os.Exit(exitCode(err))
	}
}
