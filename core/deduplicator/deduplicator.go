// Package deduplicator keeps a request with an idempotency key from running
// more than once.
//
// A table belongs to one life of a host and is complete for that life: an id
// that it has never seen has not been run. Begin admits an id once. Query
// answers for an id and, where it has never been seen, writes a tombstone
// first, so that a message still on its way cannot run it afterwards.
//
// # Usage
//
//	switch entry := table.Begin(send, now); entry.Verdict {
//	case deduplicator.Run:
//		table.Finish(send.ID, run(), false)
//	case deduplicator.Replay:
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

// Verdict is what may be done with an id.
type Verdict uint8

// The verdicts of Begin and Query.
const (
	// Run permits the caller, and no other, to run the id.
	Run Verdict = iota
	// Wait says that the id is being run; Entry.Done closes at its end.
	Wait
	// Replay says that the id has ended; Entry.Outcome tells how.
	Replay
	// Buried says that the id was declared not run and must not run now.
	Buried
	// Reused says that the id was used with another request.
	Reused
	// Full says that the table has no room; nothing was run.
	Full
	// Closed says that a later send of the id was refused as not run, so that
	// this one must not run any more.
	Closed
	// open is the state of an id that was refused and may begin again.
	open
)

// Entry is the answer to Begin and Query.
type Entry struct {
	Verdict Verdict
	Outcome core.Outcome
	// Done is closed when a running id ends.
	Done <-chan struct{}
}

// record is the state of one id.
type record struct {
	fingerprint uint64
	verdict     Verdict
	outcome     core.Outcome
	done        chan struct{}
	expiry      time.Time
	// ordinal is of the send that runs, or of the last one that was refused.
	ordinal int
	size    core.Bytes
}

// Table remembers ids until they expire.
type Table struct {
	// MaxEntries bounds the number of ids.
	MaxEntries int
	// MaxBytes bounds the kept answers; the oldest lose their body first.
	MaxBytes core.Bytes
	// Numbered says that ids end in a dot and a base 36 number that grows with
	// every id of the same sender. The table then remembers up to which number
	// it has forgotten each sender's ids, and proves nothing about those.
	Numbered bool

	mu      sync.Mutex
	records map[string]*record
	kept    []string
	bytes   core.Bytes
	// forgotten is the highest expired number of each sender.
	forgotten map[string]uint64
}

// Send is one sending of an id.
type Send struct {
	ID string
	// Fingerprint tells requests under the same id apart.
	Fingerprint uint64
	// Ordinal counts the sends of an id, from 0.
	Ordinal int
	// Expiry is until when the id must be remembered.
	Expiry time.Time
}

// Begin asks to run an id.
func (t *Table) Begin(send Send, now time.Time) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[send.ID]
	if known == nil && t.isForgotten(send.ID) {
		return Entry{Verdict: Buried}
	}
	if known == nil {
		if len(t.records) >= t.MaxEntries && t.expire(now) == 0 {
			return Entry{Verdict: Full}
		}
		known = &record{fingerprint: send.Fingerprint}
		t.put(send.ID, known)
		return known.begin(send)
	}
	switch {
	case known.verdict != Buried && known.fingerprint != send.Fingerprint:
		return Entry{Verdict: Reused}
	case known.verdict != open:
		return known.entry()
	case send.Ordinal <= known.ordinal:
		return Entry{Verdict: Closed}
	default:
		return known.begin(send)
	}
}

// begin marks the id as running.
func (r *record) begin(send Send) Entry {
	r.verdict = Wait
	r.done = make(chan struct{})
	r.ordinal = send.Ordinal
	r.expiry = send.Expiry
	return Entry{Verdict: Run}
}

// Query tells what is known of an id. An unknown id is buried until expiry. Of
// an id that may have been forgotten nothing is known.
func (t *Table) Query(id string, expiry time.Time) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[id]
	if known == nil && t.isForgotten(id) {
		return Entry{Verdict: Replay, Outcome: core.Unknown(core.RefusalUnknown, "the attempt is too old to be known")}
	}
	if known == nil {
		t.put(id, &record{verdict: Buried, expiry: expiry})
		return Entry{Verdict: Buried}
	}
	return known.entry()
}

// Finish ends a running id. An id that was not run may begin again with a
// higher ordinal, unless bury is set.
func (t *Table) Finish(id string, outcome core.Outcome, bury bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[id]
	if known == nil || known.verdict != Wait {
		return
	}
	close(known.done)
	known.outcome = outcome
	switch {
	case outcome.State != core.NotRun:
		known.verdict = Replay
		t.keep(id, known)
	case bury:
		known.verdict = Buried
	default:
		known.verdict = open
	}
}

// keep counts a kept answer and drops the oldest bodies beyond the bound.
func (t *Table) keep(id string, r *record) {
	if r.outcome.Answer != nil {
		r.size = core.Bytes(len(r.outcome.Answer.Body))
	}
	t.bytes += r.size
	t.kept = append(t.kept, id)
	for t.bytes > t.MaxBytes && len(t.kept) > 0 {
		oldest := t.records[t.kept[0]]
		t.kept = t.kept[1:]
		if oldest == nil || oldest.size == 0 {
			continue
		}
		t.bytes -= oldest.size
		oldest.size = 0
		oldest.outcome = core.Unknown(core.RefusalUnknown, "the request was run; its answer is no longer kept")
	}
}

// Expire forgets ids past their expiry and returns how many.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expire(now)
}

func (t *Table) expire(now time.Time) int {
	count := 0
	for id, r := range t.records {
		if r.verdict == Wait || now.Before(r.expiry) {
			continue
		}
		t.bytes -= r.size
		delete(t.records, id)
		t.forget(id)
		count++
	}
	if count > 0 {
		t.compact()
	}
	return count
}

// forget notes that an id of a numbered table is no longer remembered.
func (t *Table) forget(id string) {
	sender, number, ok := t.parse(id)
	if !ok {
		return
	}
	if t.forgotten == nil {
		t.forgotten = map[string]uint64{}
	}
	t.forgotten[sender] = max(t.forgotten[sender], number)
}

// isForgotten reports whether an id that is not in the table may have been.
func (t *Table) isForgotten(id string) bool {
	sender, number, ok := t.parse(id)
	return ok && number <= t.forgotten[sender]
}

// parse splits the id of a numbered table.
func (t *Table) parse(id string) (sender string, number uint64, ok bool) {
	if !t.Numbered {
		return "", 0, false
	}
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(id[dot+1:], 36, 64)
	return id[:dot], number, err == nil
}

// compact drops kept ids whose records are gone.
func (t *Table) compact() {
	kept := t.kept[:0]
	for _, id := range t.kept {
		if t.records[id] != nil {
			kept = append(kept, id)
		}
	}
	t.kept = kept
}

// Len returns the number of remembered ids.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

func (t *Table) put(id string, r *record) {
	if t.records == nil {
		t.records = map[string]*record{}
	}
	t.records[id] = r
}

func (r *record) entry() Entry {
	return Entry{Verdict: r.verdict, Outcome: r.outcome, Done: r.done}
}
