package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is how many lines the queue holds for a slow writer.
	maxQueuedLines = 1024
	// linesPerSecond and lineBurst limit the lines of each kind of event.
	linesPerSecond = 50
	lineBurst      = 400
	// summaryInterval is the least time between two summaries of the lines left out.
	summaryInterval = 5 * time.Second
)

// queue is a writer that passes lines on from a separate goroutine, so that a slow
// reader of the log does not block the callers. It drops and counts lines while it
// is full.
type queue struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts the lines that the queue did not take or out did not write.
	dropped atomic.Int64
	mu      sync.RWMutex
	closed  bool
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
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

// Write queues a copy of a line. It never blocks and never returns an error.
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

// close stops the queue and waits until the queued lines are written, at most for
// the timeout.
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

// limiter limits the rate of lines of each kind of event, and counts the lines over
// the limit. Its maps have the number of the event as key.
type limiter struct {
	mu     sync.Mutex
	limits map[int]*rate.Limiter
	// suppressed counts the lines left out since lastSummary.
	suppressed  map[int]int
	lastSummary time.Time
}

// allow reports whether a line of an event may be written, and counts it otherwise.
func (l *limiter) allow(event Event, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[event.Number]
	if limit == nil {
		limit = rate.NewLimiter(linesPerSecond, lineBurst)
		l.limits[event.Number] = limit
	}
	if limit.AllowN(now, 1) {
		return true
	}
	l.suppressed[event.Number]++
	return false
}

// takeSuppressed returns the number of lines left out by event number and resets
// the counts. It returns nil if there are none or a summary is not due yet.
func (l *limiter) takeSuppressed(now time.Time) map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suppressed) == 0 || now.Sub(l.lastSummary) < summaryInterval {
		return nil
	}
	counts := l.suppressed
	l.suppressed = map[int]int{}
	l.lastSummary = now
	return counts
}
