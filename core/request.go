package core

import "time"

// RequestID identifies one request at the host that took it in.
type RequestID string

// AttemptID identifies one attempt to run a request. Upstreams echo it.
type AttemptID string

// Header is one header field that travels with a request or an answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is a client's request as the decisions see it.
type Request struct {
	ID           RequestID
	Service      ServiceName
	Organisation Organisation
	// Client is the availability zone nearest to the client.
	Client ZoneName
	Method string
	// Path is the path with its query, as the upstream gets it.
	Path    string
	Headers []Header
	Body    []byte
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// Key is empty for repeatable requests without one.
	Key Key
	// Ordinal counts the client's sends of this key; 0 is the first.
	Ordinal int
	// Trace is the W3C traceparent of the calling hop.
	Trace string
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint"`
	Body    []byte   `cbor:"3,keyasint"`
}

// RunState is what is known of whether an attempt was run.
type RunState uint8

// The run states. Only NotRun permits another attempt at a request that is not
// repeatable, and only NotRun permits a refusal that says so.
const (
	// NotRun is proved: unsent, or the receiver said so for this attempt.
	NotRun RunState = iota
	// RunUnknown means sent with no usable answer.
	RunUnknown
	// Answered means that a whole answer came back.
	Answered
)

// String returns the state as own formats write it.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "not-run"
	case RunUnknown:
		return "unknown"
	case Answered:
		return "answered"
	default:
		return "invalid"
	}
}

// Outcome is the end of an attempt, or of a whole request.
type Outcome struct {
	State RunState
	// Answer is set when State is Answered.
	Answer *Answer
	// Refusal is set otherwise.
	Refusal *Refusal
}

// OutcomeOf returns the outcome of a whole answer.
func OutcomeOf(answer *Answer) Outcome {
	return Outcome{State: Answered, Answer: answer}
}
