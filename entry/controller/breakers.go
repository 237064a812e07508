package controller

import "github.com/endiverun/endiverun/entry/watcher"

// Breakers are the circuit breakers of a host's watchers of the store.
type Breakers struct {
	// Shared is for the watchers of all kinds but hosts.
	Shared watcher.CircuitBreaker
	// Hosts is for the watcher of the list of hosts: a host must know the others before it
	// can take its copy from one.
	Hosts watcher.CircuitBreaker
}

// SetReadMode pauses and resumes the watchers according to what the host must read.
func (b *Breakers) SetReadMode(mode ReadMode) {
	b.Shared.SetEnabled(mode == ReadAll)
	b.Hosts.SetEnabled(mode != ReadNone)
}

// RenewWatches repeats the pending watches of all kinds.
func (b *Breakers) RenewWatches() {
	b.Shared.RenewWatches()
	b.Hosts.RenewWatches()
}
