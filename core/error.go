package core

import "github.com/joomcode/errorx"

// Errors is the namespace of all typed errors of the system.
var Errors = errorx.NewNamespace("endiverun")

// The typed errors of the domain.
var (
	// ErrKey reports a malformed idempotency key.
	ErrKey = Errors.NewType("key")
	// ErrPlatform reports that the platform's store gave no usable response.
	ErrPlatform = Errors.NewType("platform")
	// ErrConflict reports that a conditional write failed because of another write.
	ErrConflict = Errors.NewType("conflict")
	// ErrNotFound reports that an object does not exist.
	ErrNotFound = Errors.NewType("not-found", errorx.NotFound())
	// ErrHistoryGone reports that the store no longer holds the requested changes, so
	// that the caller must list the objects again.
	ErrHistoryGone = Errors.NewType("history-gone")
	// ErrPeer reports that another host gave no usable response.
	ErrPeer = Errors.NewType("peer")
)

// IsNotFound reports whether err says that an object does not exist.
func IsNotFound(err error) bool { return errorx.IsOfType(err, ErrNotFound) }

// IsConflict reports whether err says that a conditional write failed because of
// another write.
func IsConflict(err error) bool { return errorx.IsOfType(err, ErrConflict) }

// IsPlatform reports whether err says that the store gave no usable response.
func IsPlatform(err error) bool { return errorx.IsOfType(err, ErrPlatform) }
