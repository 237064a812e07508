package responder

import (
	"sync"
	"time"
)

// drainLimit is how long after its announcement a leaving upstream may still
// get new work.
const drainLimit = 3 * time.Second

// Ledger records what upstreams ran.
type Ledger struct {
	mu        sync.Mutex
	nonces    map[string]int
	keys      map[string]int
	runs      int
	afterward int
	foreign   map[string]int
	local     map[string]int
	damaged   int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		nonces:  map[string]int{},
		keys:    map[string]int{},
		foreign: map[string]int{},
		local:   map[string]int{},
	}
}

func (l *Ledger) noteRun(nonce, key, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	if nonce != "" {
		l.nonces[nonce]++
	}
	if key != "" {
		l.keys[key]++
	}
}

func (l *Ledger) noteDraining(_ string, since time.Duration) {
	if since <= drainLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.afterward++
}

func (l *Ledger) noteOverload(region string, isForeign bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isForeign {
		l.foreign[region]++
		return
	}
	l.local[region]++
}

func (l *Ledger) noteDamaged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.damaged++
}

// Runs returns how often the request with the nonce was run.
func (l *Ledger) Runs(nonce string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nonces[nonce]
}

// Total returns the number of runs.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs
}

// Repeated returns the number of nonces that ran more than once, among those
// given.
func (l *Ledger) Repeated(nonces []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, n := range nonces {
		if l.nonces[n] > 1 {
			count++
		}
	}
	return count
}

// AfterDrain returns the number of requests that came to leaving upstreams too
// late.
func (l *Ledger) AfterDrain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.afterward
}

// Overloads returns how often a request of another region, or of the own, came
// to an upstream without a free slot.
func (l *Ledger) Overloads() (foreign, local int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.foreign {
		foreign += n
	}
	for _, n := range l.local {
		local += n
	}
	return foreign, local
}

// Damaged returns the number of requests that did not match their digest.
func (l *Ledger) Damaged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.damaged
}
