package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
)

// StepKind is what the caller of Next has to do.
type StepKind uint8

// The steps. After every step but StepDone the caller calls Observe, except
// that it calls Next again after StepWait and StepAwait.
const (
	// StepDone ends the request with Step.Outcome.
	StepDone StepKind = iota
	// StepRun runs an attempt at Step.Upstream.
	StepRun
	// StepForward hands the request to Step.Host, to run it there at once.
	StepForward
	// StepHome hands the request to Step.Host, which is the home of its key.
	StepHome
	// StepAsk asks Step.Host what became of Step.Attempt.
	StepAsk
	// StepClaim claims the key in the platform's store.
	StepClaim
	// StepWait waits until woken or until Step.Until.
	StepWait
	// StepAwait waits for Step.Done or until Step.Until.
	StepAwait
)

// String returns the name of the kind.
func (k StepKind) String() string {
	names := [...]string{"done", "run", "forward", "home", "ask", "claim", "wait", "await"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Step is one thing to do for a request.
type Step struct {
	Kind     StepKind
	Upstream core.Upstream
	Host     core.Host
	Attempt  core.AttemptID
	Until    time.Time
	// Patience is how long to wait for an answer of the upstream; 0 means the
	// progress timeout of the service.
	Patience time.Duration
	Done     <-chan struct{}
	Outcome  core.Outcome
}

// Result is what became of a step.
type Result struct {
	Outcome core.Outcome
	// Duration is the time between sending and the whole answer.
	Duration time.Duration
	// Shed says that the receiver refused for lack of room.
	Shed bool
	// Attempted says that an upstream was sent the request.
	Attempted bool
	// Stale says that a connection used before brought no answer.
	Stale bool
	// Cancelled says that the client went away.
	Cancelled bool
	// Unreachable says that the other host showed no sign of being there.
	Unreachable bool
	// Spares is what a peer said of its room, with its life.
	Spares []tracker.Spare
	// Claim is the result of StepClaim.
	Claim Claim
}

// Claim tells who may run a request under a client's own key.
type Claim struct {
	// Failed says that the store gave no answer; nothing is known.
	Failed bool
	// Holder is the life that holds the claim.
	Holder core.Life
}

// Origin tells where a request came from.
type Origin struct {
	// Peer is the zero value for a client's request.
	Peer core.Host
	// Attempt is the peer's id for the handing over.
	Attempt core.AttemptID
	// IsHome asks this host to act as the home of the key.
	IsHome bool
}

// isClient reports whether the request came from a client.
func (o Origin) isClient() bool {
	return o.Peer.Name == ""
}

// mayForward reports whether the request may be handed to another host.
func (o Origin) mayForward() bool {
	return o.isClient() || o.IsHome
}
