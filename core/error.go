package core

import "github.com/joomcode/errorx"

// ErrorNamespace is the namespace of all typed errors of the system.
var ErrorNamespace = errorx.NewNamespace("endiverun")

// The typed errors of the domain.
var (
	// ErrInvalidKey reports a malformed idempotency key.
	ErrInvalidKey = ErrorNamespace.NewType("key")
	// ErrPlatform reports that the platform's store gave no usable response: it cannot be
	// reached, failed, or returned an object that cannot be decoded.
	ErrPlatform = ErrorNamespace.NewType("platform")
	// ErrConflict reports that a conditional write failed because of another write.
	ErrConflict = ErrorNamespace.NewType("conflict")
	// ErrNotFound reports that an object does not exist.
	ErrNotFound = ErrorNamespace.NewType("not-found", errorx.NotFound())
	// ErrHistoryGone reports that the store no longer holds the changes from which a
	// watch should start, so that the caller must list the objects again. It comes from
	// the clients of the store, which are not part of this package.
	ErrHistoryGone = ErrorNamespace.NewType("history-gone")
	// ErrEarlierEra reports that a response of the store is of an earlier era than another
	// one, or names an era that no other response confirms, so that it must not be used. The
	// store does respond.
	ErrEarlierEra = ErrorNamespace.NewType("earlier-era")
	// ErrPeer reports that another host gave no response or sent invalid data.
	ErrPeer = ErrorNamespace.NewType("peer")
	// ErrMalformed reports that a peer sent bytes that are no valid HTTP response. It comes
	// from the readers of responses, which are not part of this package.
	ErrMalformed = ErrorNamespace.NewType("malformed-response")
)

// IsNotFound reports whether err says that an object does not exist.
func IsNotFound(err error) bool { return errorx.IsOfType(err, ErrNotFound) }

// IsConflict reports whether err says that a conditional write failed because of
// another write.
func IsConflict(err error) bool { return errorx.IsOfType(err, ErrConflict) }

// IsPlatform reports whether err says that the store gave no usable response.
func IsPlatform(err error) bool { return errorx.IsOfType(err, ErrPlatform) }

// IsEarlierEra reports whether err says that a response of the store is of an earlier era.
func IsEarlierEra(err error) bool { return errorx.IsOfType(err, ErrEarlierEra) }
