package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/admitter"
)

// longestQueueTime serves one item a millisecond and returns the longest queue time of
// organisation "rival" while organisation "member" pushes a burst every millisecond.
func longestQueueTime(burst int) time.Duration {
	queue := &admitter.Queue[int]{Target: time.Hour, Interval: time.Hour, Limit: 100_000}
	start := time.Unix(0, 0)
	pushedAt := map[int]time.Time{}
	longest := time.Duration(0)
	for ms := range 2000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range burst {
			queue.Push(-(ms*100 + i + 1), "member", 1, now)
		}
		if ms%4 == 0 {
			pushedAt[ms+1] = now
			queue.Push(ms+1, "rival", 1, now)
		}
		item, ok := queue.Pop(now)
		if at, isRival := pushedAt[item]; ok && isRival {
			longest = max(longest, now.Sub(at))
		}
	}
	return longest
}

// TestBurstDoesNotDelayOtherOrganisation guards against an organisation that delays the
// requests of another one by sending bursts: with a plain FIFO queue, the other
// organisation's requests would wait behind the whole burst.
func TestBurstDoesNotDelayOtherOrganisation(t *testing.T) {
	is := is.New(t)
	is.True(longestQueueTime(10) <= 2*time.Millisecond)
	is.True(longestQueueTime(1) <= 2*time.Millisecond)
}

// TestWeights checks that an organisation of weight 3 is served three times as often as
// one of weight 1 while both have items in the queue.
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

// TestStandingQueue checks that the queue counts as standing only after queue times
// have exceeded Target for a whole Interval, and no longer once a request is served
// without waiting.
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
	queue.RecordUnqueued()
	is.True(!queue.IsStanding(at(140)))
}
