package authenticator

import (
	"github.com/endiverun/endiverun/core"
)

// storeEra is an era of the store, and when the first host that told heard of it. The zero value
// is the only era of a store that is never restored.
type storeEra struct {
	number    core.Era
	enteredAt core.Uptime
}

// ConfirmByStore records that the store, in the given era, named a version as the newest as of a
// time. While the store may lack a later version that it has lost, this confirms nothing.
func (a *Authenticator) ConfirmByStore(version uint64, era core.Era, asOf, now core.Uptime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era < a.era.number {
		return
	}
	if era > a.era.number {
		a.enterEra(era, asOf, now)
	}
	if a.isComplete(asOf) {
		a.confirm(version, asOf)
		return
	}
	a.version = max(version, a.version)
}

// enterEra makes an era the latest one. The caller holds Authenticator.mu.
func (a *Authenticator) enterEra(era core.Era, asOf, now core.Uptime) {
	isFirst := a.era.number == 0 && !a.isConfirmed
	a.era = storeEra{number: era, enteredAt: now}
	if a.IsFirstStart && isFirst {
		a.era.enteredAt = asOf.Add(-a.RewriteTime)
	}
}

// isComplete reports whether the store had, as of a time, what it had lost before its latest era.
// The caller holds Authenticator.mu.
func (a *Authenticator) isComplete(asOf core.Uptime) bool {
	return a.era.number == 0 || asOf.Sub(a.era.enteredAt) >= a.RewriteTime
}

// IsStoreComplete reports whether the word of the store confirms policies.
func (a *Authenticator) IsStoreComplete(now core.Uptime) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isComplete(now)
}

// Era returns the latest era of the store that this host has heard of, and since when hosts know
// it.
func (a *Authenticator) Era() (era core.Era, enteredAt core.Uptime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era.number, a.era.enteredAt
}

// RecordEra records that another host had heard of an era by the given time. The store then had
// lost what it lost in that era before.
func (a *Authenticator) RecordEra(era core.Era, enteredAt core.Uptime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era == a.era.number {
		a.era.enteredAt = min(a.era.enteredAt, enteredAt)
	}
}
