package core

import "time"

// RefusalKind is the stable name of a reason for refusing a request.
type RefusalKind string

// The refusal kinds. docs/API.md describes each for clients.
const (
	// RefusalOverload means that no free slot was found for the request, that the queue
	// was full, or that another host could not be reached.
	RefusalOverload RefusalKind = "overload"
	// RefusalDeadline means that the deadline passed or the client disconnected before there
	// was a response, or that an attempt was declared not run before it arrived.
	RefusalDeadline RefusalKind = "deadline"
	// RefusalUnknownService means that the request names no service that is configured.
	RefusalUnknownService RefusalKind = "unknown-service"
	// RefusalBadRequest means that the request is malformed.
	RefusalBadRequest RefusalKind = "bad-request"
	// RefusalBodyTooLarge means that the request body is larger than allowed.
	RefusalBodyTooLarge RefusalKind = "body-too-large"
	// RefusalKeyRequired means that the service needs an idempotency key and that the request
	// has none.
	RefusalKeyRequired RefusalKind = "key-required"
	// RefusalKeyInvalid means that the key is malformed, or was issued in the future.
	RefusalKeyInvalid RefusalKind = "key-invalid"
	// RefusalKeyExpired means that the home-bound key is too old.
	RefusalKeyExpired RefusalKind = "key-expired"
	// RefusalKeyReused means that the key was used with a different request.
	RefusalKeyReused RefusalKind = "key-reused"
	// RefusalStaleHome means that the key's home has ended or cannot be reached, or that a
	// later request with the key was refused.
	RefusalStaleHome RefusalKind = "stale-home"
	// RefusalStopping means that the host is stopping, and could not await the response.
	// Clients handle it like RefusalStaleHome.
	RefusalStopping RefusalKind = "stopping"
	// RefusalNotReady means that the host has no configuration yet.
	RefusalNotReady RefusalKind = "not-ready"
	// RefusalPlatformUnavailable means that the platform's store cannot record the key.
	RefusalPlatformUnavailable RefusalKind = "platform-unavailable"
	// RefusalTableFull means that a table of the deduplicator, of keys or of attempts, is full.
	RefusalTableFull RefusalKind = "table-full"
	// RefusalUpstreamFailed means that no upstream took the request or gave a usable response.
	RefusalUpstreamFailed RefusalKind = "upstream-failed"
	// RefusalOutcomeUnknown means that the request may have run and that its response is
	// not available.
	RefusalOutcomeUnknown RefusalKind = "outcome-unknown"
)

// Refusal is the error response that a host itself generates, instead of the response of
// an upstream. The request may have run all the same: Outcome.State says what is known.
type Refusal struct {
	Kind RefusalKind `cbor:"1,keyasint"`
	// Detail is for humans. It does not name upstreams.
	Detail string `cbor:"2,keyasint"`
	// RetryAfter is the time that the client should wait before it retries; 0 means none.
	RetryAfter time.Duration `cbor:"3,keyasint"`
}

// RefusedOutcome returns the outcome of a refused request that certainly did not run.
// The client should wait for the time retry before it retries; 0 means none.
func RefusedOutcome(kind RefusalKind, detail string, retry time.Duration) Outcome {
	return Outcome{State: NotRun, Refusal: &Refusal{Kind: kind, Detail: detail, RetryAfter: retry}}
}

// UnknownOutcome returns the outcome of a request that may have run.
func UnknownOutcome(kind RefusalKind, detail string) Outcome {
	return Outcome{State: RunUnknown, Refusal: &Refusal{Kind: kind, Detail: detail}}
}

// HTTPStatus returns the HTTP status code of the refusal. For kinds that determine no
// status it depends on the state: 502 where the request may have run, otherwise 503.
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
