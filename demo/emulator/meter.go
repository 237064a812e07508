package emulator

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Time resolution of a meter and number of buckets in its window of one second.
const (
	bucketTime  = 50 * time.Millisecond
	bucketCount = int(time.Second / bucketTime)
)

// Meter counts the bytes sent over a link and finds the maximum in any window of
// one second. The zero value is ready to use.
type Meter struct {
	mu      sync.Mutex
	buckets [bucketCount]int
	// current is the number of the newest bucket, counted from the Unix epoch.
	current int64
	// sum is the bytes of all buckets, and peak its maximum so far.
	sum   int
	peak  int
	total int
}

// Add counts n bytes sent at the given time.
func (m *Meter) Add(n int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now.UnixNano() / int64(bucketTime))
	m.buckets[m.current%int64(bucketCount)] += n
	m.sum += n
	m.total += n
	m.peak = max(m.peak, m.sum)
}

// advance clears the buckets that have left the window.
func (m *Meter) advance(bucket int64) {
	if bucket-m.current >= int64(bucketCount) {
		m.buckets = [bucketCount]int{}
		m.sum = 0
		m.current = bucket
		return
	}
	for m.current < bucket {
		m.current++
		i := m.current % int64(bucketCount)
		m.sum -= m.buckets[i]
		m.buckets[i] = 0
	}
}

// Peak returns the highest mean rate over a window of one second.
func (m *Meter) Peak() core.BitsPerSecond {
	m.mu.Lock()
	defer m.mu.Unlock()
	return core.BitsPerSecond(m.peak) * 8
}

// Total returns the number of bytes counted so far.
func (m *Meter) Total() core.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return core.Bytes(m.total)
}
