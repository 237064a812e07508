package core

import "time"

// RequestID identifies one request at the host that received it from the client.
type RequestID string

// AttemptID identifies one attempt to run a request. Upstreams send it back in their
// responses.
type AttemptID string

// Header is one header field of a request or a response.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is a client's request as the decision packages get it.
type Request struct {
	ID           RequestID
	Service      ServiceName
	Organisation Organisation
	// ClientZone is the availability zone nearest to the client.
	ClientZone ZoneName
	Method     string
	// Path is the path and query that the upstream gets.
	Path    string
	Headers []Header
	Body    []byte
	// Deadline is the time at which the client stops waiting. Where the client states none,
	// it follows from the duration Service.Deadline.
	Deadline time.Time
	// Key is the idempotency key. It is optional for repeatable requests; empty where
	// there is none.
	Key IdempotencyKey
	// Ordinal is how often the client sent this key before, as the client states it; 0 is
	// the first time.
	Ordinal int
	// Traceparent is the W3C traceparent header of the caller.
	Traceparent string
}

// Response is the complete response of an upstream.
type Response struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint"`
	Body    []byte   `cbor:"3,keyasint"`
}

// RunState is what is known about whether an attempt ran.
type RunState uint8

// The run states. Only after NotRun may a request that is not repeatable be attempted
// again, and only after NotRun may a refusal say that the request did not run.
const (
	// NotRun means that the attempt certainly did not run: it was not sent, or the
	// receiver said so for this attempt.
	NotRun RunState = iota
	// RunUnknown means that the attempt was sent and no usable response came back.
	RunUnknown
	// Answered means that a complete response came back.
	Answered
)

// String returns the name of the state in headers and logs.
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

// Outcome is the result of an attempt or of a whole request.
type Outcome struct {
	State RunState
	// Response is set when State is Answered.
	Response *Response
	// Refusal is set otherwise, also where the request may have run.
	Refusal *Refusal
}

// AnsweredOutcome returns the outcome of a complete response, which answer holds.
func AnsweredOutcome(answer *Response) Outcome {
	return Outcome{State: Answered, Response: answer}
}
