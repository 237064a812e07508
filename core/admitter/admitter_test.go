package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/admitter"
)

// waits serves one item a millisecond and returns the longest wait of the
// rival while another organisation pushes its burst every millisecond.
func waits(burst int) time.Duration {
	queue := &admitter.Queue[int]{Target: time.Hour, Interval: time.Hour, Limit: 100_000}
	start := time.Unix(0, 0)
	pushed := map[int]time.Time{}
	longest := time.Duration(0)
	for tick := range 2000 {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		for i := range burst {
			queue.Push(-(tick*100 + i + 1), "member", 1, now)
		}
		if tick%4 == 0 {
			pushed[tick+1] = now
			queue.Push(tick+1, "rival", 1, now)
		}
		item, ok := queue.Pop(now)
		if at, isRival := pushed[item]; ok && isRival {
			longest = max(longest, now.Sub(at))
		}
	}
	return longest
}

func TestBurstDoesNotDelayRival(t *testing.T) {
	is := is.New(t)
	is.True(waits(10) <= 2*time.Millisecond)
	is.True(waits(1) <= 2*time.Millisecond)
}

func TestWeights(t *testing.T) {
	is := is.New(t)
	queue := &admitter.Queue[core.Organisation]{Target: time.Hour, Interval: time.Hour, Limit: 1000}
	now := time.Unix(0, 0)
	for range 300 {
		queue.Push("heavy", "heavy", 3, now)
		queue.Push("light", "light", 1, now)
	}
	served := map[core.Organisation]int{}
	for range 200 {
		item, _ := queue.Pop(now)
		served[item]++
	}
	is.True(served["heavy"] >= 148 && served["heavy"] <= 152)
}

func TestStandingQueue(t *testing.T) {
	is := is.New(t)
	queue := &admitter.Queue[int]{Target: 10 * time.Millisecond, Interval: 100 * time.Millisecond, Limit: 1000}
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for i := range 20 {
		queue.Push(i, "a", 1, start)
	}
	for ms := 20; ms < 120; ms += 10 {
		queue.Pop(at(ms))
		is.True(!queue.IsStanding(at(ms)))
	}
	queue.Pop(at(130))
	is.True(queue.IsStanding(at(130)))
	queue.Serve()
	is.True(!queue.IsStanding(at(140)))
}
