package watcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
)

// outage is a store that fails until a time.
type outage struct {
	mu    sync.Mutex
	until time.Time
	calls int
	// listed counts the lists that were answered.
	listed int
}

func (o *outage) call() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Now().Before(o.until) {
		o.calls++
		return core.ErrPlatform.New("down")
	}
	return nil
}

func (o *outage) watcher(gate *Gate) *Watcher[int] {
	return &Watcher[int]{
		Gate: gate,
		Wait: time.Minute,
		List: func() (List[int], error) {
			err := o.call()
			if err == nil {
				o.mu.Lock()
				o.listed++
				o.mu.Unlock()
			}
			return List[int]{Objects: map[string]int{}, Revision: 1}, err
		},
		Watch: func(after uint64, wait time.Duration) (Changes[int], error) {
			time.Sleep(wait)
			return Changes[int]{Revision: after}, o.call()
		},
		OnChange:  func(map[string]int, uint64) {},
		OnAnswer:  func() {},
		OnFailure: func(error) {},
	}
}

// TestOutageCostsOneWatchersCalls is the pattern of a store that is down for
// long: the watchers of a host ask it as often as one would, and all of them
// list as soon as it is back.
func TestOutageCostsOneWatchersCalls(t *testing.T) {
	const (
		down     = 20 * time.Second
		watchers = 4
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &outage{until: time.Now().Add(down)}
		ctx, stop := context.WithCancel(t.Context())
		gate := &Gate{}
		var group conc.WaitGroup
		for range watchers {
			w := store.watcher(gate)
			group.Go(func() { w.Run(ctx) })
		}
		time.Sleep(down + maxPause + time.Millisecond)
		// Each watcher finds the failure once; then one asks, at the least
		// after half of the longest pause, once the pause has grown.
		const growing = 4
		is.True(store.calls <= watchers+growing+int(down/(maxPause/2)))
		is.Equal(store.listed, watchers)
		stop()
		time.Sleep(time.Minute)
		group.Wait()
	})
}

// TestHistoryGoneListsAgain is the pattern of a store that forgot the changes
// after a watch's revision.
func TestHistoryGoneListsAgain(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	lists := 0
	w := &Watcher[int]{
		List: func() (List[int], error) {
			lists++
			if lists == 2 {
				stop()
			}
			return List[int]{Objects: map[string]int{}, Revision: 1}, nil
		},
		Watch: func(uint64, time.Duration) (Changes[int], error) {
			return Changes[int]{}, core.ErrHistoryGone.New("compacted")
		},
		OnChange:  func(map[string]int, uint64) {},
		OnAnswer:  func() {},
		OnFailure: func(error) { t.Error("not a failure") },
	}
	w.Run(ctx)
	is.Equal(lists, 2)
}

// TestNoCallsWhileNotNeeded is the pattern of a host whose zone has a reader: its
// watchers make no calls until the reader fails, and then go on at once.
func TestNoCallsWhileNotNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		ctx, stop := context.WithCancel(t.Context())
		w := &Watcher[int]{
			Gate: &Gate{},
			Wait: time.Second,
			List: func() (List[int], error) { return List[int]{Objects: map[string]int{}, Revision: 1}, nil },
			Watch: func(after uint64, wait time.Duration) (Changes[int], error) {
				calls++
				time.Sleep(wait)
				return Changes[int]{Revision: after}, nil
			},
			OnChange:  func(map[string]int, uint64) {},
			OnAnswer:  func() {},
			OnFailure: func(error) {},
		}
		var group conc.WaitGroup
		group.Go(func() { w.Run(ctx) })
		time.Sleep(500 * time.Millisecond)
		w.Gate.SetNeeded(false)
		time.Sleep(time.Minute)
		is.Equal(calls, 1) // the watch that waited already
		w.Gate.SetNeeded(true)
		time.Sleep(100 * time.Millisecond)
		is.Equal(calls, 2)
		stop()
		time.Sleep(time.Minute)
		group.Wait()
	})
}

// TestDeltaBeginsAtTheLastState is the pattern of a kind that stays as it is while
// others change: the revision moves on without a change of the kind, and the next
// change counts from the state that was handed over last.
func TestDeltaBeginsAtTheLastState(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	answers := []Changes[int]{
		{Revision: 4},
		{Revision: 9, List: []Change[int]{{Name: "a", Object: 1}}},
		{Revision: 12, List: []Change[int]{{Name: "a", IsRemoved: true}}},
	}
	var bases []uint64
	w := &Watcher[int]{
		List: func() (List[int], error) { return List[int]{Objects: map[string]int{}, Revision: 2}, nil },
		Watch: func(uint64, time.Duration) (Changes[int], error) {
			next := answers[0]
			answers = answers[1:]
			if len(answers) == 0 {
				stop()
			}
			return next, nil
		},
		OnChange:  func(map[string]int, uint64) {},
		OnDelta:   func(after uint64, _ Changes[int]) { bases = append(bases, after) },
		OnAnswer:  func() {},
		OnFailure: func(err error) { t.Error(err) },
	}
	w.Run(ctx)
	is.Equal(bases, []uint64{2, 9})
}

// TestListSettles is the pattern of a host of a large fleet that starts anew: it
// lists the store, and while it looks for a host to follow it makes no call that
// waits.
func TestListSettles(t *testing.T) {
	const settle = time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		gate := &Gate{}
		var listed, watched time.Time
		w := &Watcher[int]{
			Gate:   gate,
			Settle: func() time.Duration { return settle },
			List: func() (List[int], error) {
				listed = time.Now()
				return List[int]{Objects: map[string]int{}, Revision: 1}, nil
			},
			Watch: func(after uint64, _ time.Duration) (Changes[int], error) {
				watched = time.Now()
				stop()
				return Changes[int]{Revision: after}, nil
			},
			OnChange:  func(map[string]int, uint64) {},
			OnAnswer:  func() {},
			OnFailure: func(error) {},
		}
		w.Run(ctx)
		is.Equal(watched.Sub(listed), settle)
	})
}
