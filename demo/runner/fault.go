package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/sourcegraph/conc/pool"
)

// FaultNone injects nothing.
const FaultNone = "none"

// fault is one thing that goes wrong in the middle of a run.
type fault struct {
	name string
	// inject brings the fault about and returns when it is over.
	inject func(ctx context.Context, r *Runner) error
}

// faults lists all faults but FaultNone.
var faults = []fault{
	{"host-crash", hostCrash},
	{"host-pause", hostPause},
	{"zone-cut", zoneCut},
	{"platform-down", platformDown},
	{"platform-slow", platformSlow},
	{"platform-lost-answers", platformLostAnswers},
	{"region-loss", regionLoss},
	{"silent-connections", silentConnections},
	{"crossed-answers", crossedAnswers},
	{"upstream-drain", upstreamDrain},
	{"rolling-restart", rollingRestart},
	{"ticket-race", ticketRace},
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
				workers.Go(func() error { return f.inject(ctx, r) })
			}
		}
	}
	return workers.Wait()
}
