package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// FaultNone is the name for a run without a fault.
const FaultNone = "none"

// fault is a failure that a run can inject.
type fault struct {
	name string
	// inject injects the fault and returns when it is over.
	inject func(ctx context.Context, r *Runner) error
	// fromStart says to inject the fault at the start of the load instead of after a
	// third of it.
	fromStart bool
}

// faults lists all faults except FaultNone.
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

// FaultNames returns the names of all faults, with FaultNone first.
func FaultNames() []string {
	names := []string{FaultNone}
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// ValidateFault returns an error if the name, or one of several joined by "+", is
// unknown.
func ValidateFault(name string) error {
	for _, part := range strings.Split(name, "+") {
		if !slices.Contains(FaultNames(), part) {
			return fmt.Errorf("fault %q is not one of %s", part, strings.Join(FaultNames(), ", "))
		}
	}
	return nil
}

// injectFaults injects the faults of the run concurrently.
func (r *Runner) injectFaults(ctx context.Context) error {
	injections := pool.New().WithErrors()
	for _, name := range strings.Split(r.Fault, "+") {
		for _, f := range faults {
			if f.name == name {
				injections.Go(func() error { return r.injectFault(ctx, f) })
			}
		}
	}
	return injections.Wait()
}

// injectFault injects one fault, after a third of the load unless it is fromStart.
func (r *Runner) injectFault(ctx context.Context, f fault) error {
	if !f.fromStart && !sleepUntil(ctx, time.Now().Add(r.Duration/3)) {
		return nil
	}
	return f.inject(ctx, r)
}
