// Package waiter has helpers that sleep, run functions periodically and wait with a
// timeout. Those that take a context return early when it ends.
//
// # Usage
//
//	waiter.Every(ctx, time.Second, func(now time.Time) { ... }) // returns when ctx ends
//	waiter.Sleep(ctx, 200*time.Millisecond)
//	isDone := waiter.WaitTimeout(time.Second, group.Wait)
package waiter

import (
	"context"
	"time"
)

// Every calls f once per period with the current time until ctx ends. The first
// call is one period after the start. A call that takes longer than the period
// delays the next one.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(time.Now())
		}
	}
}

// Sleep waits until the duration has passed or ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// WaitTimeout calls wait in a new goroutine and reports whether it returned before the
// timeout. After a timeout wait keeps running in that goroutine.
func WaitTimeout(timeout time.Duration, wait func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
