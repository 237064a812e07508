package watcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
)

// failingStore is a store that fails until a point in time.
type failingStore struct {
	mu          sync.Mutex
	failsUntil  time.Time
	failedCalls int
	// lists counts the successful lists.
	lists int
}

func (s *failingStore) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.failsUntil) {
		s.failedCalls++
		return core.ErrPlatform.New("down")
	}
	return nil
}

// counts returns the numbers of failed calls and of successful lists.
func (s *failingStore) counts() (failedCalls, lists int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedCalls, s.lists
}

func (s *failingStore) watcher(breaker *CircuitBreaker) *Watcher[int] {
	return &Watcher[int]{
		Breaker:      breaker,
		WatchTimeout: time.Minute,
		List: func() (List[int], error) {
			err := s.call()
			if err == nil {
				s.mu.Lock()
				s.lists++
				s.mu.Unlock()
			}
			return List[int]{Objects: map[string]int{}, Revision: 1}, err
		},
		Watch: func(after uint64, wait time.Duration) (Changes[int], error) {
			time.Sleep(wait)
			return Changes[int]{Revision: after}, s.call()
		},
		OnSnapshot: func(List[int]) {},
		OnSuccess:  func(core.Era) {},
		OnFailure:  func(error) {},
	}
}

// TestOutageCostsOneWatchersCalls guards against a host whose watchers all retry
// during a long outage of the store: together they must make only the calls of one
// watcher, and all of them must list as soon as the store is back.
func TestOutageCostsOneWatchersCalls(t *testing.T) {
	const (
		outage   = 20 * time.Second
		watchers = 4
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &failingStore{failsUntil: time.Now().Add(outage)}
		ctx, stop := context.WithCancel(t.Context())
		breaker := &CircuitBreaker{}
		var group conc.WaitGroup
		for range watchers {
			w := store.watcher(breaker)
			group.Go(func() { w.Run(ctx) })
		}
		time.Sleep(outage + maxBackoff + time.Millisecond)
		// Each watcher fails once. Then one of them probes: at most growing times
		// while the backoff grows, and afterwards no sooner than half of the longest
		// backoff after the last probe.
		const growing = 4
		failedCalls, lists := store.counts()
		is.True(failedCalls <= watchers+growing+int(outage/(maxBackoff/2)))
		is.Equal(lists, watchers)
		stop()
		time.Sleep(time.Minute)
		group.Wait()
	})
}

// TestHistoryGoneListsAgain guards against a watcher that stops or reports a
// failure when the store has compacted the changes after the watch's revision.
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
		OnSnapshot: func(List[int]) {},
		OnSuccess:  func(core.Era) {},
		OnFailure:  func(error) { t.Error("not a failure") },
	}
	w.Run(ctx)
	is.Equal(lists, 2)
}

// TestNoCallsWhileNotNeeded guards against unneeded calls on a host for which
// another host of its zone reads the store: its watchers make no new calls, and
// resume at once when that host fails.
func TestNoCallsWhileNotNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		ctx, stop := context.WithCancel(t.Context())
		w := &Watcher[int]{
			Breaker:      &CircuitBreaker{},
			WatchTimeout: time.Second,
			List:         func() (List[int], error) { return List[int]{Objects: map[string]int{}, Revision: 1}, nil },
			Watch: func(after uint64, wait time.Duration) (Changes[int], error) {
				calls.Add(1)
				time.Sleep(wait)
				return Changes[int]{Revision: after}, nil
			},
			OnSnapshot: func(List[int]) {},
			OnSuccess:  func(core.Era) {},
			OnFailure:  func(error) {},
		}
		var group conc.WaitGroup
		group.Go(func() { w.Run(ctx) })
		time.Sleep(500 * time.Millisecond)
		w.Breaker.SetEnabled(false)
		time.Sleep(time.Minute)
		is.Equal(calls.Load(), int32(1)) // the watch that was already in flight
		w.Breaker.SetEnabled(true)
		time.Sleep(100 * time.Millisecond)
		is.Equal(calls.Load(), int32(2))
		stop()
		time.Sleep(time.Minute)
		group.Wait()
	})
}

// TestDeltaBeginsAtTheLastState guards against a delta with a base that was never
// delivered. While only objects of other kinds change, the store's revision advances
// without changes for this watcher; the base of the next delta must still be the
// revision delivered last.
func TestDeltaBeginsAtTheLastState(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	responses := []Changes[int]{
		{Revision: 4},
		{Revision: 9, List: []Change[int]{{Name: "a", Object: 1}}},
		{Revision: 12, List: []Change[int]{{Name: "a", IsRemoved: true}}},
	}
	var bases []uint64
	w := &Watcher[int]{
		List: func() (List[int], error) { return List[int]{Objects: map[string]int{}, Revision: 2}, nil },
		Watch: func(uint64, time.Duration) (Changes[int], error) {
			next := responses[0]
			responses = responses[1:]
			if len(responses) == 0 {
				stop()
			}
			return next, nil
		},
		OnSnapshot: func(List[int]) {},
		OnDelta:    func(after uint64, _ Changes[int]) { bases = append(bases, after) },
		OnSuccess:  func(core.Era) {},
		OnFailure:  func(err error) { t.Error(err) },
	}
	w.Run(ctx)
	is.Equal(bases, []uint64{2, 9})
}

// TestNoWatchSoonAfterList guards against a restarted host of a large fleet that watches the
// store too soon: after its list it makes no long-polling call for as long as WatchDelay
// says, since it may find another host that reads the store on its behalf.
func TestNoWatchSoonAfterList(t *testing.T) {
	const delay = time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		breaker := &CircuitBreaker{}
		var listed, watched time.Time
		w := &Watcher[int]{
			Breaker:    breaker,
			WatchDelay: func() time.Duration { return delay },
			List: func() (List[int], error) {
				listed = time.Now()
				return List[int]{Objects: map[string]int{}, Revision: 1}, nil
			},
			Watch: func(after uint64, _ time.Duration) (Changes[int], error) {
				watched = time.Now()
				stop()
				return Changes[int]{Revision: after}, nil
			},
			OnSnapshot: func(List[int]) {},
			OnSuccess:  func(core.Era) {},
			OnFailure:  func(error) {},
		}
		w.Run(ctx)
		is.Equal(watched.Sub(listed), delay)
	})
}

// TestRenewedWatch guards against watchers that wait for a lost response although they
// have been told that the store responds again: they must ask again at once and without
// a wait, and ignore the response to the abandoned watch, which is older.
func TestRenewedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const late = 10 * time.Second
		ctx, stop := context.WithCancel(t.Context())
		breaker := &CircuitBreaker{}
		var mu sync.Mutex // Watch runs in goroutines of its own.
		var waits []time.Duration
		var seen []int
		recorded := func() ([]time.Duration, []int) {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(waits), slices.Clone(seen)
		}
		w := &Watcher[int]{
			Breaker:      breaker,
			WatchTimeout: time.Minute,
			List:         func() (List[int], error) { return List[int]{Objects: map[string]int{}, Revision: 1}, nil },
			Watch: func(after uint64, wait time.Duration) (Changes[int], error) {
				mu.Lock()
				if after != uint64(1+len(seen)) {
					t.Errorf("a watch after revision %d, with %v seen", after, seen)
				}
				waits = append(waits, wait)
				call := len(waits)
				mu.Unlock()
				switch call {
				case 1:
					time.Sleep(late)
					return Changes[int]{Revision: 9, List: []Change[int]{{Name: "a", Object: 9}}}, nil
				case 2:
					return Changes[int]{Revision: 2, List: []Change[int]{{Name: "a", Object: 2}}}, nil
				}
				time.Sleep(wait)
				return Changes[int]{Revision: after}, nil
			},
			OnSnapshot: func(list List[int]) {
				mu.Lock()
				defer mu.Unlock()
				if a, ok := list.Objects["a"]; ok {
					seen = append(seen, a)
				}
			},
			OnSuccess: func(core.Era) {},
			OnFailure: func(error) { t.Error("not a failure") },
		}
		var group conc.WaitGroup
		group.Go(func() { w.Run(ctx) })
		time.Sleep(time.Second)
		waitsBefore, _ := recorded()
		breaker.RenewWatches()
		time.Sleep(time.Millisecond)
		_, seenAtOnce := recorded()
		time.Sleep(2 * late)
		waitsAfter, seenLater := recorded()
		stop()
		time.Sleep(time.Minute)
		group.Wait()
		is.Equal(len(waitsBefore), 1)
		is.Equal(seenAtOnce, []int{2})
		is.Equal(seenLater, []int{2})
		is.Equal(waitsAfter, []time.Duration{time.Minute, renewalWait, time.Minute})
	})
}

// TestRenewalPassesOnAllObjects guards against a user that replaced its objects by those of
// another host and gets only later changes: after a renewal it gets all objects, whether a watch
// was pending or the watcher paused between two calls.
func TestRenewalPassesOnAllObjects(t *testing.T) {
	for name, renewAt := range map[string]time.Duration{"watch pending": 1500 * time.Millisecond, "between calls": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				breaker := &CircuitBreaker{}
				var snapshots, deltas atomic.Int32
				w := (&failingStore{}).watcher(breaker)
				w.BatchDelay = time.Second
				w.OnSnapshot = func(List[int]) { snapshots.Add(1) }
				w.OnDelta = func(uint64, Changes[int]) { deltas.Add(1) }
				var group conc.WaitGroup
				group.Go(func() { w.Run(ctx) })
				time.Sleep(renewAt)
				breaker.RenewWatches()
				time.Sleep(10 * time.Second)
				after := snapshots.Load()
				stop()
				time.Sleep(2 * time.Minute)
				group.Wait()
				is.Equal(after, int32(2)) // the first list, and the renewal
				is.Equal(deltas.Load(), int32(0))
			})
		})
	}
}

// TestProbeIsAList guards against a probe of a failing store that the store may hold open:
// the other watchers wait for its result, so a watcher that still has its objects must
// list them instead of watching them.
func TestProbeIsAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		breaker := &CircuitBreaker{}
		var lists, watches atomic.Int32
		w := &Watcher[int]{
			Breaker:      breaker,
			WatchTimeout: time.Minute,
			BatchDelay:   time.Second,
			List: func() (List[int], error) {
				lists.Add(1)
				return List[int]{Objects: map[string]int{}, Revision: 1}, nil
			},
			Watch: func(after uint64, wait time.Duration) (Changes[int], error) {
				watches.Add(1)
				time.Sleep(wait)
				return Changes[int]{Revision: after}, nil
			},
			OnSnapshot: func(List[int]) {},
			OnSuccess:  func(core.Era) {},
			OnFailure:  func(error) {},
		}
		var group conc.WaitGroup
		group.Go(func() { w.Run(ctx) })
		time.Sleep(500 * time.Millisecond)
		breaker.recordFailure(false) // a call of another watcher
		time.Sleep(time.Second)
		listsAfter, watchesAfter := lists.Load(), watches.Load()
		stop()
		time.Sleep(2 * time.Minute)
		group.Wait()
		is.Equal(listsAfter, int32(2))
		is.Equal(watchesAfter, int32(0))
	})
}

// TestConfirmedAsOf checks as of when the objects count as the newest after each kind of response:
// never after the response can have been made, which an answer that comes late does not show.
func TestConfirmedAsOf(t *testing.T) {
	const wait = 3 * time.Second
	tests := []struct {
		name string
		// answerAfter is when the store answers a watch, with changes or without.
		answerAfter time.Duration
		changes     []Change[int]
		// want is the time as of which the watch confirms, after it was sent.
		want time.Duration
	}{
		{"nothing changed", wait, nil, wait - maxNoticeDelay},
		{"the answer comes late", wait + 2*time.Second, nil, wait - maxNoticeDelay},
		{"the watch is cut short", time.Second, nil, -maxNoticeDelay},
		{"something changed", 2 * time.Second, []Change[int]{{Name: "a"}}, -maxNoticeDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				var sent, confirmed []time.Duration
				ctx, stop := context.WithCancel(t.Context())
				w := (&failingStore{}).watcher(nil)
				w.WatchTimeout = wait
				w.Uptime = func() core.Uptime { return core.Uptime(time.Since(started)) }
				w.Watch = func(after uint64, _ time.Duration) (Changes[int], error) {
					sent = append(sent, time.Since(started))
					time.Sleep(tt.answerAfter)
					stop()
					return Changes[int]{Revision: after, List: tt.changes}, nil
				}
				w.OnConfirmed = func(_ List[int], asOf core.Uptime) { confirmed = append(confirmed, time.Duration(asOf)) }
				w.Run(ctx)
				is.Equal(confirmed, []time.Duration{0, sent[0] + tt.want}) // the list, the watch
			})
		})
	}
}
