package core

import "time"

// RefusalKind is the stable name of a reason for refusing a request.
type RefusalKind string

// The refusal kinds. docs/API.md describes each for clients.
const (
	RefusalOverload            RefusalKind = "overload"
	RefusalDeadline            RefusalKind = "deadline"
	RefusalUnknownService      RefusalKind = "unknown-service"
	RefusalBadRequest          RefusalKind = "bad-request"
	RefusalBodyTooLarge        RefusalKind = "body-too-large"
	RefusalKeyRequired         RefusalKind = "key-required"
	RefusalKeyInvalid          RefusalKind = "key-invalid"
	RefusalKeyExpired          RefusalKind = "key-expired"
	RefusalKeyReused           RefusalKind = "key-reused"
	RefusalStaleHome           RefusalKind = "stale-home"
	RefusalStopping            RefusalKind = "stopping"
	RefusalNotReady            RefusalKind = "not-ready"
	RefusalPlatformUnavailable RefusalKind = "platform-unavailable"
	RefusalTableFull           RefusalKind = "table-full"
	RefusalUpstreamFailed      RefusalKind = "upstream-failed"
	RefusalOutcomeUnknown      RefusalKind = "outcome-unknown"
)

// Refusal is the typed answer of a host to a request that it does not answer with the
// response of an upstream.
type Refusal struct {
	Kind RefusalKind `cbor:"1,keyasint"`
	// Detail is for humans. It does not name upstreams.
	Detail string `cbor:"2,keyasint"`
	// RetryAfter is the time that the client should wait before it retries; 0 means none.
	RetryAfter time.Duration `cbor:"3,keyasint"`
}

// RefusedOutcome returns the outcome of a refused request that certainly did not run.
func RefusedOutcome(kind RefusalKind, detail string, retry time.Duration) Outcome {
	return Outcome{State: NotRun, Refusal: &Refusal{Kind: kind, Detail: detail, RetryAfter: retry}}
}

// UnknownOutcome returns the outcome of a request that may have run.
func UnknownOutcome(kind RefusalKind, detail string) Outcome {
	return Outcome{State: RunUnknown, Refusal: &Refusal{Kind: kind, Detail: detail}}
}

// HTTPStatus returns the HTTP status code of the refusal, given whether the request ran.
func (r Refusal) HTTPStatus(state RunState) int {
	const (
		badRequest      = 400
		notFound        = 404
		conflict        = 409
		tooLarge        = 413
		unprocessable   = 422
		tooManyRequests = 429
		badGateway      = 502
		unavailable     = 503
		gatewayTimeout  = 504
	)
	switch r.Kind {
	case RefusalBadRequest, RefusalKeyInvalid, RefusalKeyRequired:
		return badRequest
	case RefusalUnknownService:
		return notFound
	case RefusalStaleHome, RefusalKeyExpired:
		return conflict
	case RefusalKeyReused:
		return unprocessable
	case RefusalBodyTooLarge:
		return tooLarge
	case RefusalOverload:
		return tooManyRequests
	case RefusalDeadline:
		return gatewayTimeout
	case RefusalUpstreamFailed, RefusalOutcomeUnknown:
		return badGateway
	default:
	}
	if state == RunUnknown {
		return badGateway
	}
	return unavailable
}
