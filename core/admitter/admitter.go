// Package admitter queues requests that wait for a slot of an upstream. The queue is
// fair between client organisations and detects lasting overload.
//
// A Queue uses start-time fair queueing. Each request gets a start tag, which is the
// finish tag of the organisation's previous request, or the current virtual time if
// that is later. Its finish tag is the start tag plus the inverse of the organisation's
// weight. The request with the lowest start tag is served first. A burst of one
// organisation therefore delays the later requests of that organisation, but not those
// of others.
//
// Overload is detected as in CoDel. A short queue absorbs bursts. If requests have
// waited longer than Target for a whole Interval, the queue is a standing queue: the
// load exceeds the capacity. The caller should then reject requests that have waited
// for Target.
//
// # Usage
//
//	q := &admitter.Queue[*dispatch]{Target: 40 * time.Millisecond, Interval: 2 * time.Second, Limit: 1000}
//	q.Push(item, "partner-a", 1, now)
//	item, ok := q.Pop(now)
//
// A Queue is not safe for concurrent use. The caller must hold a lock.
package admitter

import (
	"container/heap"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Queue is a weighted fair queue of items that wait for one service.
type Queue[T comparable] struct {
	// Target is the acceptable queue time under lasting overload.
	Target time.Duration
	// Interval is how long queue times must exceed Target until the queue counts as
	// standing.
	Interval time.Duration
	// Limit is the maximum number of items that may wait.
	Limit int

	heap entries[T]
	// finishTags is the virtual time at which the last item of each organisation ends.
	finishTags map[core.Organisation]float64
	// virtualTime is the start tag of the last item served.
	virtualTime float64
	sequence    uint64
	// aboveTargetSince is the time since which queue times exceed Target; zero while
	// they do not.
	aboveTargetSince time.Time
}

// Push adds an item. It returns false where the queue is full.
func (q *Queue[T]) Push(item T, organisation core.Organisation, weight core.Weight, now time.Time) bool {
	if len(q.heap) >= q.Limit {
		return false
	}
	if q.finishTags == nil {
		q.finishTags = map[core.Organisation]float64{}
	}
	q.removeIdle()
	startTag := max(q.virtualTime, q.finishTags[organisation])
	q.finishTags[organisation] = startTag + 1/weight.OrOne()
	q.sequence++
	heap.Push(&q.heap, entry[T]{item: item, startTag: startTag, sequence: q.sequence, queuedAt: now})
	return true
}

// Requeue puts back an item that was popped. Its start tag is the current virtual time, so
// that it is served before the items with a later tag. queuedAt is the time at which the
// item was first pushed.
func (q *Queue[T]) Requeue(item T, queuedAt time.Time) {
	q.sequence++
	heap.Push(&q.heap, entry[T]{item: item, startTag: q.virtualTime, sequence: q.sequence, queuedAt: queuedAt})
}

// removeIdle removes organisations whose finish tag has passed once there are more than
// Limit, so that requests with made-up names cannot grow the map without limit.
func (q *Queue[T]) removeIdle() {
	if len(q.finishTags) <= q.Limit {
		return
	}
	for o, f := range q.finishTags {
		if f <= q.virtualTime {
			delete(q.finishTags, o)
		}
	}
}

// Pop removes and returns the next item.
func (q *Queue[T]) Pop(now time.Time) (T, bool) {
	var none T
	if len(q.heap) == 0 {
		return none, false
	}
	first, _ := heap.Pop(&q.heap).(entry[T])
	q.virtualTime = max(q.virtualTime, first.startTag)
	q.recordQueueTime(now.Sub(first.queuedAt), now)
	q.resetIfEmpty()
	return first.item, true
}

// Peek returns the next item without removing it.
func (q *Queue[T]) Peek() (T, bool) {
	var none T
	if len(q.heap) == 0 {
		return none, false
	}
	return q.heap[0].item, true
}

// Remove removes an item and reports whether it was in the queue.
func (q *Queue[T]) Remove(item T, now time.Time) bool {
	for i, e := range q.heap {
		if e.item == item {
			heap.Remove(&q.heap, i)
			q.recordQueueTime(now.Sub(e.queuedAt), now)
			q.resetIfEmpty()
			return true
		}
	}
	return false
}

// recordQueueTime updates since when queue times exceed Target.
func (q *Queue[T]) recordQueueTime(queueTime time.Duration, now time.Time) {
	if queueTime <= q.Target {
		q.aboveTargetSince = time.Time{}
		return
	}
	if q.aboveTargetSince.IsZero() {
		q.aboveTargetSince = now
	}
}

// resetIfEmpty resets the virtual time and all tags when the queue is empty.
func (q *Queue[T]) resetIfEmpty() {
	if len(q.heap) == 0 {
		clear(q.finishTags)
		q.virtualTime = 0
	}
}

// RecordUnqueued records that a request was served without waiting in the queue.
func (q *Queue[T]) RecordUnqueued() {
	q.aboveTargetSince = time.Time{}
}

// IsStanding reports whether queue times have exceeded Target for a whole Interval.
func (q *Queue[T]) IsStanding(now time.Time) bool {
	return !q.aboveTargetSince.IsZero() && now.Sub(q.aboveTargetSince) >= q.Interval
}

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int {
	return len(q.heap)
}

// entry is one item in the queue.
type entry[T any] struct {
	item     T
	startTag float64
	sequence uint64
	queuedAt time.Time
}

// entries is a heap ordered by start tag, then by order of insertion.
type entries[T any] []entry[T]

// Len implements heap.Interface.
func (e entries[T]) Len() int { return len(e) }

// Less implements heap.Interface.
func (e entries[T]) Less(i, j int) bool {
	if e[i].startTag != e[j].startTag {
		return e[i].startTag < e[j].startTag
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[T]) Push(x any) {
	added, _ := x.(entry[T])
	*e = append(*e, added)
}

// Pop implements heap.Interface.
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
