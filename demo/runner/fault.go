package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// FaultNone injects nothing.
const FaultNone = "none"

// fault is one thing that goes wrong in the middle of a run.
type fault struct {
	name string
	// inject brings the fault about and returns when it is over.
	inject func(ctx context.Context, r *Runner) error
	// fromStart says that it lasts for the whole run.
	fromStart bool
}

// faults lists all faults but FaultNone.
var faults = []fault{
	{name: "host-crash", inject: hostCrash},
	{name: "host-pause", inject: hostPause},
	{name: "zone-cut", inject: zoneCut},
	{name: "platform-down", inject: platformDown},
	{name: "platform-slow", inject: platformSlow},
	{name: "platform-lost-answers", inject: platformLostAnswers, fromStart: true},
	{name: "region-loss", inject: regionLoss},
	{name: "silent-connections", inject: silentConnections},
	{name: "crossed-answers", inject: crossedAnswers},
	{name: "upstream-drain", inject: upstreamDrain},
	{name: "rolling-restart", inject: rollingRestart},
	{name: "ticket-race", inject: ticketRace},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := []string{FaultNone}
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// CheckFault returns an error if the name, or a part joined by +, is unknown.
func CheckFault(name string) error {
	for _, part := range strings.Split(name, "+") {
		if !slices.Contains(FaultNames(), part) {
			return fmt.Errorf("fault %q is not one of %s", part, strings.Join(FaultNames(), ", "))
		}
	}
	return nil
}

// inject brings about the faults of the run at the same time.
func (r *Runner) inject(ctx context.Context) error {
	workers := pool.New().WithErrors()
	for _, part := range strings.Split(r.Fault, "+") {
		for _, f := range faults {
			if f.name == part {
				workers.Go(func() error { return r.bring(ctx, f) })
			}
		}
	}
	return workers.Wait()
}

// bring brings about one fault once the load has run for a while.
func (r *Runner) bring(ctx context.Context, f fault) error {
	if !f.fromStart && !sleepUntil(ctx, time.Now().Add(r.For/3)) {
		return nil
	}
	return f.inject(ctx, r)
}
