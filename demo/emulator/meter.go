package emulator

import (
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Windows of a meter.
const (
	bucketTime  = 50 * time.Millisecond
	bucketCount = int(time.Second / bucketTime)
)

// Meter finds the most that went over a link in any window of one second.
type Meter struct {
	mu      sync.Mutex
	buckets [bucketCount]int
	current int64
	sum     int
	peak    int
	total   int
}

// Add counts bytes at the given time.
func (m *Meter) Add(n int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now.UnixNano() / int64(bucketTime))
	m.buckets[m.current%int64(bucketCount)] += n
	m.sum += n
	m.total += n
	m.peak = max(m.peak, m.sum)
}

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

// Peak returns the highest rate over a second.
func (m *Meter) Peak() core.BitsPerSecond {
	m.mu.Lock()
	defer m.mu.Unlock()
	return core.BitsPerSecond(m.peak) * 8
}

// Total returns all bytes counted.
func (m *Meter) Total() core.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return core.Bytes(m.total)
}
