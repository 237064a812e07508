package responder

import (
	"sync"
	"time"
)

// drainGrace is how long after it announced that it drains an upstream may still
// get new requests.
const drainGrace = 3 * time.Second

// Ledger records the requests that upstreams executed or had to refuse. Its methods
// may be called concurrently.
type Ledger struct {
	mu sync.Mutex
	// byNonce and byKey hold the number of executions by nonce and by idempotency
	// key.
	byNonce map[string]int
	byKey   map[string]int
	// executions is the number of all executions.
	executions int
	// afterDrain is the number of requests to draining upstreams after drainGrace.
	afterDrain int
	// remote and local hold the number of requests that found no free slot, by
	// the region of the upstream: those of clients in another region, and those of
	// clients in the same one.
	remote map[string]int
	local  map[string]int
	// corrupt is the number of request bodies that did not match their digest.
	corrupt int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		byNonce: map[string]int{},
		byKey:   map[string]int{},
		remote:  map[string]int{},
		local:   map[string]int{},
	}
}

// recordExecution records an execution.
func (l *Ledger) recordExecution(nonce, key, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions++
	if nonce != "" {
		l.byNonce[nonce]++
	}
	if key != "" {
		l.byKey[key]++
	}
}

// recordDraining records a request to an upstream that has been draining for the
// given time.
func (l *Ledger) recordDraining(_ string, drainingFor time.Duration) {
	if drainingFor <= drainGrace {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.afterDrain++
}

// recordOverload records a request that found no free slot.
func (l *Ledger) recordOverload(region string, isRemote bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isRemote {
		l.remote[region]++
		return
	}
	l.local[region]++
}

// recordCorrupt records a request body that did not match its digest.
func (l *Ledger) recordCorrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.corrupt++
}

// Executions returns the number of executions of the request with the nonce.
func (l *Ledger) Executions(nonce string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byNonce[nonce]
}

// TotalExecutions returns the number of executions of all requests.
func (l *Ledger) TotalExecutions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions
}

// CountRepeatedExecutions returns how many of the given nonces were executed more than once.
func (l *Ledger) CountRepeatedExecutions(nonces []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, n := range nonces {
		if l.byNonce[n] > 1 {
			count++
		}
	}
	return count
}

// RequestsAfterDrain returns the number of requests that reached draining upstreams after
// the grace period.
func (l *Ledger) RequestsAfterDrain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.afterDrain
}

// Overloads returns the number of requests that reached an upstream without a free
// slot, from clients in another region and from clients in the same region.
func (l *Ledger) Overloads() (remote, local int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.remote {
		remote += n
	}
	for _, n := range l.local {
		local += n
	}
	return remote, local
}

// CorruptRequests returns the number of request bodies that did not match their digest.
func (l *Ledger) CorruptRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.corrupt
}
