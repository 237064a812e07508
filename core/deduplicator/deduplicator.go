// Package deduplicator prevents a request with an idempotency key from running more
// than once.
//
// A table belongs to one incarnation of a host and records every ID that this
// incarnation has received: an ID that is not in the table has not run. Begin allows
// one caller to run an ID. QueryOrTombstone returns what is known about an ID. It first writes a
// tombstone for an ID that is not in the table, so that a message that is still in
// flight cannot run it later.
//
// # Usage
//
//	switch entry := table.Begin(delivery, now); entry.Status {
//	case deduplicator.StatusRunnable:
//		table.Complete(delivery.ID, run(), false)
//	case deduplicator.StatusCompleted:
//		return entry.Outcome
//	}
//
// Lock order: Table.mu is a leaf.
package deduplicator

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Status is the status of an ID; it determines what the caller may do with the ID.
type Status uint8

// The statuses that Begin and QueryOrTombstone return.
const (
	// StatusRunnable permits the caller, and no other caller, to run the ID.
	StatusRunnable Status = iota
	// StatusRunning means that the ID is running; Entry.Done is closed when it ends.
	StatusRunning
	// StatusCompleted means that the ID has ended; Entry.Outcome is its outcome.
	StatusCompleted
	// StatusTombstoned means that the ID has a tombstone: it was declared as not run and must
	// not run.
	StatusTombstoned
	// StatusConflict means that the ID was used before with a different request.
	StatusConflict
	// StatusTableFull means that the table has no room for the ID, which was not run.
	StatusTableFull
	// StatusSuperseded means that a delivery of the ID with the same or a higher ordinal was
	// refused as not run, so that this delivery must not run.
	StatusSuperseded
	// retryable is the status of an ID whose last delivery was refused as not run, and
	// that a delivery with a higher ordinal may run.
	retryable
)

// Entry is the result of Begin and QueryOrTombstone.
type Entry struct {
	Status  Status
	Outcome core.Outcome
	// Done is closed when a running ID ends.
	Done <-chan struct{}
}

// record is the state of one ID.
type record struct {
	fingerprint uint64
	status      Status
	outcome     core.Outcome
	done        chan struct{}
	expiry      time.Time
	// ordinal is that of the delivery that is running, or of the last one that ran or
	// was refused.
	ordinal int
	// bodySize is the size of the stored response body.
	bodySize core.Bytes
}

// Table records IDs until they expire.
type Table struct {
	// MaxEntries is the greatest number of IDs.
	MaxEntries int
	// MaxBodyBytes is the greatest total size of the stored response bodies; the oldest
	// bodies are dropped first.
	MaxBodyBytes core.Bytes
	// HasSequenceNumbers says that each ID ends in a dot and a base 36 sequence number that
	// increases with every ID of the same sender. The table then remembers the highest
	// sequence number of the expired IDs of each sender, and treats every unknown ID up
	// to that number as one that may have run.
	HasSequenceNumbers bool

	mu      sync.Mutex
	records map[string]*record
	// completed lists the IDs whose outcomes are stored, the oldest first.
	completed []string
	// bodyBytes is the total size of the stored response bodies.
	bodyBytes core.Bytes
	// expiredUpTo is the highest sequence number of the expired IDs of each sender.
	expiredUpTo map[string]uint64
}

// Delivery is one delivery of an ID; clients and hosts deliver an ID again when they retry.
type Delivery struct {
	ID string
	// Fingerprint distinguishes different requests under the same ID.
	Fingerprint uint64
	// Ordinal counts the deliveries of an ID, starting from 0.
	Ordinal int
	// Expiry is the time until which the ID must be remembered.
	Expiry time.Time
}

// Begin asks for permission to run an ID.
func (t *Table) Begin(send Delivery, now time.Time) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[send.ID]
	if r == nil && t.mayHaveExpired(send.ID) {
		return Entry{Status: StatusTombstoned}
	}
	if r == nil {
		if len(t.records) >= t.MaxEntries && t.expire(now) == 0 {
			return Entry{Status: StatusTableFull}
		}
		r = &record{fingerprint: send.Fingerprint}
		t.put(send.ID, r)
		return r.begin(send)
	}
	switch {
	case r.status != StatusTombstoned && r.fingerprint != send.Fingerprint:
		return Entry{Status: StatusConflict}
	case r.status != retryable:
		return r.entry()
	case send.Ordinal <= r.ordinal:
		return Entry{Status: StatusSuperseded}
	default:
		return r.begin(send)
	}
}

// begin marks the ID as running.
func (r *record) begin(send Delivery) Entry {
	r.status = StatusRunning
	r.done = make(chan struct{})
	r.ordinal = send.Ordinal
	r.expiry = send.Expiry
	return Entry{Status: StatusRunnable}
}

// QueryOrTombstone returns what is known about an ID. It writes a tombstone, which lasts until
// expiry, for an ID that is not in the table. The outcome is unknown where the ID may
// have been in the table and expired.
func (t *Table) QueryOrTombstone(id string, expiry time.Time) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil && t.mayHaveExpired(id) {
		return Entry{Status: StatusCompleted, Outcome: core.UnknownOutcome(core.RefusalOutcomeUnknown, "the attempt is too old to be known")}
	}
	if r == nil {
		t.put(id, &record{status: StatusTombstoned, expiry: expiry})
		return Entry{Status: StatusTombstoned}
	}
	return r.entry()
}

// Complete records the outcome of a running ID. An ID that did not run may begin again
// with a higher ordinal; where bury is set, it gets a tombstone instead.
func (t *Table) Complete(id string, outcome core.Outcome, bury bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || r.status != StatusRunning {
		return
	}
	close(r.done)
	r.outcome = outcome
	switch {
	case outcome.State != core.NotRun:
		r.status = StatusCompleted
		t.storeOutcome(id, r)
	case bury:
		r.status = StatusTombstoned
	default:
		r.status = retryable
	}
}

// storeOutcome adds the size of the record's response body to the total and drops the
// oldest bodies while the total exceeds MaxBodyBytes. The outcome of an ID without its body
// is unknown.
func (t *Table) storeOutcome(id string, r *record) {
	if r.outcome.Response != nil {
		r.bodySize = core.Bytes(len(r.outcome.Response.Body))
	}
	t.bodyBytes += r.bodySize
	t.completed = append(t.completed, id)
	for t.bodyBytes > t.MaxBodyBytes && len(t.completed) > 0 {
		oldest := t.records[t.completed[0]]
		t.completed = t.completed[1:]
		if oldest == nil || oldest.bodySize == 0 {
			continue
		}
		t.bodyBytes -= oldest.bodySize
		oldest.bodySize = 0
		oldest.outcome = core.UnknownOutcome(core.RefusalOutcomeUnknown, "the request was run; its answer is no longer kept")
	}
}

// RemoveExpired removes the IDs that are past their expiry and returns their number.
func (t *Table) RemoveExpired(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expire(now)
}

// expire is RemoveExpired for callers that hold mu. Running IDs do not expire.
func (t *Table) expire(now time.Time) int {
	count := 0
	for id, r := range t.records {
		if r.status == StatusRunning || now.Before(r.expiry) {
			continue
		}
		t.bodyBytes -= r.bodySize
		delete(t.records, id)
		t.recordExpired(id)
		count++
	}
	if count > 0 {
		t.compact()
	}
	return count
}

// recordExpired raises the highest expired sequence number of the ID's sender. It does
// nothing for a table without sequence numbers.
func (t *Table) recordExpired(id string) {
	sender, number, ok := t.parseID(id)
	if !ok {
		return
	}
	if t.expiredUpTo == nil {
		t.expiredUpTo = map[string]uint64{}
	}
	t.expiredUpTo[sender] = max(t.expiredUpTo[sender], number)
}

// mayHaveExpired reports whether an ID that is not in the table may have been in it.
func (t *Table) mayHaveExpired(id string) bool {
	sender, number, ok := t.parseID(id)
	return ok && number <= t.expiredUpTo[sender]
}

// parseID splits an ID of a table with sequence numbers into its sender and sequence
// number.
func (t *Table) parseID(id string) (sender string, number uint64, ok bool) {
	if !t.HasSequenceNumbers {
		return "", 0, false
	}
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(id[dot+1:], 36, 64)
	return id[:dot], number, err == nil
}

// compact removes the IDs without a record from the list of completed IDs.
func (t *Table) compact() {
	completed := t.completed[:0]
	for _, id := range t.completed {
		if t.records[id] != nil {
			completed = append(completed, id)
		}
	}
	t.completed = completed
}

// Len returns the number of IDs in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// put adds a record. The caller holds mu.
func (t *Table) put(id string, r *record) {
	if t.records == nil {
		t.records = map[string]*record{}
	}
	t.records[id] = r
}

// entry returns what callers may know about the ID.
func (r *record) entry() Entry {
	return Entry{Status: r.status, Outcome: r.outcome, Done: r.done}
}
