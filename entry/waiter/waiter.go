// Package waiter waits for times and for the end of a context.
//
// # Usage
//
//	waiter.Every(ctx, time.Second, func(now time.Time) { ... })
//	waiter.Sleep(ctx, 200*time.Millisecond)
//	isDone := waiter.Within(time.Second, group.Wait)
package waiter

import (
	"context"
	"time"
)

// Every calls act once a period until ctx ends.
func Every(ctx context.Context, period time.Duration, act func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			act(time.Now())
		}
	}
}

// Sleep waits for the time or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Within waits until wait returns, for the given time at most, and reports whether
// it did. A wait that takes longer goes on by itself.
func Within(limit time.Duration, wait func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait()
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
