// Command endiverun-entry is the daemon that runs on each entry host.
//
// # Usage
//
//	endiverun-entry check --settings settings.json
//	endiverun-entry run --settings settings.json
//
// SIGTERM and SIGINT start a graceful stop. The exit status is 0 after a graceful
// stop, 1 after a failure and 2 if the settings are invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/endiverun/endiverun/entry/exiter"
	"github.com/endiverun/endiverun/entry/loader"
	"github.com/endiverun/endiverun/entry/server"
)

// commands defines the command line.
type commands struct {
	Run   runCommand   `cmd:"" help:"Run the entry host until SIGTERM."`
	Check checkCommand `cmd:"" help:"Check a settings file and exit."`
}

type runCommand struct {
	Settings string `help:"Settings file (JSON)." required:"" type:"existingfile"`
}

// Run runs the entry host until it has stopped.
func (r *runCommand) Run() error {
	settings, err := loader.Load(r.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	host := &server.Server{Settings: settings, Log: os.Stderr}
	return host.Run(ctx)
}

type checkCommand struct {
	Settings string `help:"Settings file (JSON)." required:"" type:"existingfile"`
}

// Run checks the settings file.
func (c *checkCommand) Run() error {
	if _, err := loader.Load(c.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli,
		kong.Name("endiverun-entry"),
		kong.Description("The entry host of endiverun."),
		kong.UsageOnError(),
	)
	exiter.Exit("endiverun-entry", ctx.Run())
}
