package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
)

// StepKind is the kind of a step.
type StepKind uint8

// The kinds of steps. After StepWait and StepWaitForDone the caller calls Next; after any
// other step except StepDone it calls Observe first.
const (
	// StepDone ends the request with Step.Outcome.
	StepDone StepKind = iota
	// StepSendAttempt sends an attempt to Step.Upstream.
	StepSendAttempt
	// StepForward forwards the request to Step.Host, which runs it only if it has a
	// free slot.
	StepForward
	// StepForwardHome forwards the request to Step.Host, which is the home of its key.
	StepForwardHome
	// StepQueryAttempt queries Step.Host about the state of Step.Attempt.
	StepQueryAttempt
	// StepClaimKey claims the key in the platform's store.
	StepClaimKey
	// StepWait waits until wake is called or until Step.Deadline.
	StepWait
	// StepWaitForDone waits until Step.Done is closed or until Step.Deadline.
	StepWaitForDone
)

// String returns the name of the kind in logs.
func (k StepKind) String() string {
	names := [...]string{"done", "run", "forward", "home", "ask", "claim", "wait", "await"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Step is an action that the caller performs for a request. Only the fields that its
// kind uses are set.
type Step struct {
	Kind     StepKind
	Upstream core.Upstream
	Host     core.Host
	Attempt  core.AttemptID
	// Deadline is the time at which the step times out.
	Deadline time.Time
	// AttemptTimeout is the timeout for the response of the upstream; 0 means the progress
	// timeout of the service.
	AttemptTimeout time.Duration
	Done           <-chan struct{}
	Outcome        core.Outcome
}

// Result is the result of a step.
type Result struct {
	// Outcome is the outcome of the attempt. An unknown outcome without a refusal means
	// that another host did not respond, or that the attempt is still running there.
	Outcome core.Outcome
	// ServiceTime is the time from sending the request to the complete response.
	ServiceTime time.Duration
	// Shed reports that the receiver rejected the request because it was overloaded.
	Shed bool
	// Attempted reports that the request was sent to an upstream.
	Attempted bool
	// StaleConnection reports that a reused connection closed without a response.
	StaleConnection bool
	// Cancelled reports that the client cancelled the request.
	Cancelled bool
	// Unreachable reports that the other host could not be reached.
	Unreachable bool
	// Capacities is the spare capacity that the other host reported.
	Capacities []tracker.ServiceCapacity
	// Claim is the result of StepClaimKey.
	Claim Claim
}

// Claim is the result of claiming a key that the client chose.
type Claim struct {
	// Failed reports that the store did not respond or could not record the claim. It
	// is then unknown who holds it.
	Failed bool
	// Holder is the incarnation of a host that holds the claim.
	Holder core.HostInstance
}

// Origin identifies the sender of a request.
type Origin struct {
	// Peer is the host that forwarded the request; empty for a request of a client.
	Peer core.Host
	// Attempt is the id under which the peer forwarded the request.
	Attempt core.AttemptID
	// ToKeyHome reports that the peer forwarded the request because this host is the home
	// of its key.
	ToKeyHome bool
}

// isClient reports whether the request came from a client.
func (o Origin) isClient() bool {
	return o.Peer.Name == ""
}

// mayForward reports whether the request may be forwarded to another host.
func (o Origin) mayForward() bool {
	return o.isClient() || o.ToKeyHome
}
