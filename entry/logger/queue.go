package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines wait for a slow writer.
	queueLines = 1024
	// linesPerSecond and lineBurst bound the lines of one event.
	linesPerSecond = 50
	lineBurst      = 400
	// summaryEvery is the time between two summaries of what was left out.
	summaryEvery = 5 * time.Second
)

// queue writes lines from a goroutine of its own, so that a slow reader of the
// log delays nothing. Lines that find the queue full are dropped and counted.
type queue struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	mu      sync.RWMutex
	closed  bool
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

func (q *queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if _, err := q.out.Write(line); err != nil {
			q.dropped.Add(1)
		}
	}
}

// Write queues a line. It never blocks and never fails.
func (q *queue) Write(p []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(p), nil
	}
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// close writes what is queued, for the given time at most.
func (q *queue) close(timeout time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

// quota bounds the lines of each event and counts those left out.
type quota struct {
	mu       sync.Mutex
	limits   map[int]*rate.Limiter
	leftOut  map[int]int
	reported time.Time
}

// allow reports whether a line of an event may be written.
func (q *quota) allow(event Event, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := q.limits[event.Number]
	if limit == nil {
		limit = rate.NewLimiter(linesPerSecond, lineBurst)
		q.limits[event.Number] = limit
	}
	if limit.AllowN(now, 1) {
		return true
	}
	q.leftOut[event.Number]++
	return false
}

// summary returns the lines left out by event when a summary is due, else nil.
func (q *quota) summary(now time.Time) map[int]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.leftOut) == 0 || now.Sub(q.reported) < summaryEvery {
		return nil
	}
	counts := q.leftOut
	q.leftOut = map[int]int{}
	q.reported = now
	return counts
}
