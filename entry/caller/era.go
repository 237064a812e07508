package caller

import (
	"strconv"
	"sync"

	"github.com/endiverun/endiverun/core"
)

// EraTracker holds the latest era of the store that is known. Its methods may be called from
// several goroutines at once.
type EraTracker struct {
	// OnRise is called when a later era follows a known one; it may be nil. The call is
	// made in the goroutine that found the era, so it must not wait.
	OnRise func(era core.Era)
	// OnInvalid is called for an answer whose era cannot be read or is not confirmed, but only
	// once for successive answers with the same value; it may be nil.
	OnInvalid func(value string)

	mu     sync.Mutex
	latest core.Era
	// unconfirmed is an era after the latest that a single answer has named so far.
	unconfirmed core.Era
	// invalid is the value last passed to OnInvalid.
	invalid string
}

// Latest returns the latest known era, or 0 if none was named yet.
func (t *EraTracker) Latest() core.Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// Record makes the era the latest one, unless a later one is known.
func (t *EraTracker) Record(era core.Era) {
	t.mu.Lock()
	previous := t.latest
	t.latest = max(previous, era)
	t.mu.Unlock()
	// The first known era is no restoration.
	if previous != 0 && era > previous && t.OnRise != nil {
		t.OnRise(era)
	}
}

// recordHeader records the era that the header of an answer names, and returns it. An answer
// that names none counts as one of the era that was the latest when its call was sent. It
// returns false if the era is not confirmed, so that the answer must not be used; call
// recordConfirmation then, if another call can be made.
func (t *EraTracker) recordHeader(value string, sent core.Era) (core.Era, bool) {
	if value == "" {
		return sent, true
	}
	era, ok := parseEra(value)
	if !ok {
		t.reportInvalid(value)
		return sent, true
	}
	if !t.confirm(era) {
		return era, false
	}
	t.Record(era)
	return era, true
}

// confirm reports whether an era may be taken for the store's. A later one must be named by
// two answers: a single wrong one, also the first of all, would make the host discard all
// that follow.
func (t *EraTracker) confirm(era core.Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.latest {
		t.unconfirmed = 0
		return true
	}
	if era == t.unconfirmed {
		return true
	}
	t.unconfirmed = era
	return false
}

// recordConfirmation records the header of the answer to a second call, made since an answer
// named an era that was not confirmed. It reports whether the era is now confirmed.
func (t *EraTracker) recordConfirmation(era core.Era, value string) bool {
	if named, ok := parseEra(value); ok && named == era {
		t.Record(era)
		return true
	}
	// It may name yet another era, and another call may have confirmed this one meanwhile.
	_, _ = t.recordHeader(value, t.Latest())
	return t.Latest() >= era
}

// parseEra parses an era in a header. The store may count from 0, which core.Era has for
// unnamed eras, so the result is higher by one.
func parseEra(value string) (core.Era, bool) {
	const bits = 63 // The sum does not overflow.
	number, err := strconv.ParseUint(value, 10, bits)
	return core.Era(number + 1), err == nil
}

func (t *EraTracker) reportInvalid(value string) {
	t.mu.Lock()
	isNew := t.invalid != value
	t.invalid = value
	t.mu.Unlock()
	if isNew && t.OnInvalid != nil {
		t.OnInvalid(value)
	}
}
