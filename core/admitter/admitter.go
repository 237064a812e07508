// Package admitter holds requests that wait for a slot, fairly by client
// organisation.
//
// Queues are served by start-time fair queueing: each organisation advances a
// virtual time by the inverse of its weight with every request, and the
// smallest goes first. A burst of one organisation therefore waits behind
// itself and not in front of others.
//
// A request may wait while the queue keeps being emptied. Once requests have
// waited longer than Target for a whole Interval the queue is standing, which
// means that load exceeds capacity, and requests are refused after Target.
//
// # Usage
//
//	q := &admitter.Queue[*dispatch]{Target: 40 * time.Millisecond, Limit: 1000}
//	q.Push(item, "partner-a", 1, now)
//	item, ok := q.Pop(now)
//
// A Queue is not safe for concurrent use; its owner locks.
package admitter

import (
	"container/heap"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Queue is a weighted fair queue of items that wait for one service.
type Queue[T comparable] struct {
	// Target is the wait that is acceptable under lasting overload.
	Target time.Duration
	// Interval is how long waits exceed Target before the queue is standing.
	Interval time.Duration
	// Limit is the most items that may wait.
	Limit int

	heap     entries[T]
	finish   map[core.Organisation]float64
	virtual  float64
	sequence uint64
	// above is when waits began to exceed Target; zero while they do not.
	above time.Time
}

// Push adds an item. It reports false where the queue is full.
func (q *Queue[T]) Push(item T, organisation core.Organisation, weight core.Weight, now time.Time) bool {
	if len(q.heap) >= q.Limit {
		return false
	}
	if q.finish == nil {
		q.finish = map[core.Organisation]float64{}
	}
	q.prune()
	start := max(q.virtual, q.finish[organisation])
	q.finish[organisation] = start + 1/weight.OrOne()
	q.sequence++
	heap.Push(&q.heap, entry[T]{item: item, start: start, sequence: q.sequence, since: now})
	return true
}

// Return puts an item back whose turn it had been, before those that wait for
// theirs. since is when it began to wait.
func (q *Queue[T]) Return(item T, since time.Time) {
	q.sequence++
	heap.Push(&q.heap, entry[T]{item: item, start: q.virtual, sequence: q.sequence, since: since})
}

// prune forgets organisations that hold no advance, so that made-up names
// cannot grow the table.
func (q *Queue[T]) prune() {
	if len(q.finish) <= q.Limit {
		return
	}
	for o, f := range q.finish {
		if f <= q.virtual {
			delete(q.finish, o)
		}
	}
}

// Pop removes the item whose turn it is.
func (q *Queue[T]) Pop(now time.Time) (T, bool) {
	var none T
	if len(q.heap) == 0 {
		return none, false
	}
	first, _ := heap.Pop(&q.heap).(entry[T])
	q.virtual = max(q.virtual, first.start)
	q.observe(now.Sub(first.since), now)
	q.settle()
	return first.item, true
}

// Peek returns the item whose turn it is without removing it.
func (q *Queue[T]) Peek() (T, bool) {
	var none T
	if len(q.heap) == 0 {
		return none, false
	}
	return q.heap[0].item, true
}

// Remove takes an item out and reports whether it was waiting.
func (q *Queue[T]) Remove(item T, now time.Time) bool {
	for i, e := range q.heap {
		if e.item == item {
			heap.Remove(&q.heap, i)
			q.observe(now.Sub(e.since), now)
			q.settle()
			return true
		}
	}
	return false
}

// observe follows whether waits exceed the target.
func (q *Queue[T]) observe(wait time.Duration, now time.Time) {
	if wait <= q.Target {
		q.above = time.Time{}
		return
	}
	if q.above.IsZero() {
		q.above = now
	}
}

// settle forgets virtual times when nothing waits.
func (q *Queue[T]) settle() {
	if len(q.heap) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}

// Serve notes that a request was served without waiting.
func (q *Queue[T]) Serve() {
	q.above = time.Time{}
}

// IsStanding reports whether the queue has been too long for a whole interval.
func (q *Queue[T]) IsStanding(now time.Time) bool {
	return !q.above.IsZero() && now.Sub(q.above) >= q.Interval
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return len(q.heap)
}

// entry is one waiting item.
type entry[T any] struct {
	item     T
	start    float64
	sequence uint64
	since    time.Time
}

// entries is a heap by virtual start time, then arrival.
type entries[T any] []entry[T]

// Len is part of heap.Interface.
func (e entries[T]) Len() int { return len(e) }

// Less is part of heap.Interface.
func (e entries[T]) Less(i, j int) bool {
	if e[i].start != e[j].start {
		return e[i].start < e[j].start
	}
	return e[i].sequence < e[j].sequence
}

// Swap is part of heap.Interface.
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *entries[T]) Push(x any) {
	one, _ := x.(entry[T])
	*e = append(*e, one)
}

// Pop is part of heap.Interface.
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
