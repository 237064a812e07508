package watcher

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
)

// restoredStore is a store whose era can rise. Its object "a" has the number of the era as
// its value. Watches wait for their whole time.
type restoredStore struct {
	mu  sync.Mutex
	era core.Era
	// known is the latest era that the watcher's user knows.
	known core.Era
	// lists and watches hold the times of the calls.
	lists   []time.Time
	watches []time.Time
	// waits holds the wait of each watch.
	waits    []time.Duration
	failures int
	// outdated is the number of lists and watches that are of an earlier era from now on.
	outdated int
	// copied is the value of object "a" that the watcher passed on last, and copiedEra its era.
	copied    int
	copiedEra core.Era
}

func (s *restoredStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *restoredStore) list() (List[int], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, time.Now())
	if s.outdated > 0 {
		s.outdated--
		return List[int]{}, core.ErrEarlierEra.New("list")
	}
	s.known = s.era
	return List[int]{Objects: map[string]int{"a": int(s.era)}, Revision: 100, Era: s.era}, nil
}

func (s *restoredStore) watch(after uint64, wait time.Duration) (Changes[int], error) {
	s.update(func() { s.watches, s.waits = append(s.watches, time.Now()), append(s.waits, wait) })
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outdated > 0 {
		s.outdated--
		return Changes[int]{}, core.ErrEarlierEra.New("watch")
	}
	// An object of another name changes, so that object "a" shows whether it was listed.
	return Changes[int]{Revision: after + 1, Era: s.era, List: []Change[int]{{Name: "b", Object: 1}}}, nil
}

func (s *restoredStore) knownEra() core.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

func (s *restoredStore) watcher() *Watcher[int] {
	return &Watcher[int]{
		List: s.list, Watch: s.watch, Era: s.knownEra,
		WatchTimeout: time.Minute,
		BatchDelay:   time.Second,
		Breaker:      &CircuitBreaker{},
		OnSnapshot: func(list List[int]) {
			s.update(func() { s.copied, s.copiedEra = list.Objects["a"], list.Era })
		},
		OnSuccess: func(core.Era) {},
		OnFailure: func(error) { s.update(func() { s.failures++ }) },
	}
}

// run calls scenario while the watcher runs. Both use the fake clock of a synctest bubble.
func (s *restoredStore) run(t *testing.T, w *Watcher[int], scenario func(is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { w.Run(ctx) })
		scenario(is)
		stop()
		time.Sleep(2 * w.WatchTimeout)
		group.Wait()
	})
}

// TestWatchAnsweredInLaterEra guards against changes of the restored store that are applied
// to objects of the earlier era: the changes lost in between would stay in the copy.
func TestWatchAnsweredInLaterEra(t *testing.T) {
	s := &restoredStore{era: 1}
	w := s.watcher()
	w.Era = nil // Nothing but the answer to the watch shows the era.
	s.run(t, w, func(is *is.I) {
		time.Sleep(30 * time.Second)
		s.update(func() { s.era = 2 })
		time.Sleep(40 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.Equal(s.copied, 2)
		is.Equal(s.copiedEra, core.Era(2))
		is.Equal(len(s.lists), 2)
		is.Equal(s.failures, 0)
	})
}

// TestSilentWatchOfRestoredStore guards against a watcher that waits for a watch of an
// earlier era although another call has shown the later one: it must list at once.
func TestSilentWatchOfRestoredStore(t *testing.T) {
	s := &restoredStore{era: 1}
	w := s.watcher()
	s.run(t, w, func(is *is.I) {
		time.Sleep(30 * time.Second)
		s.update(func() { s.era, s.known = 2, 2 })
		w.Breaker.RenewWatches()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.Equal(s.copied, 2)
		is.Equal(len(s.lists), 2)
		is.Equal(len(s.watches), 1) // none after a revision of the earlier era
		s.mu.Unlock()
		time.Sleep(w.BatchDelay)
		s.mu.Lock()
		// The next watch may wait: the list has confirmed that the store responds.
		is.Equal(s.waits, []time.Duration{w.WatchTimeout, w.WatchTimeout})
	})
}

// TestNoWatchAfterRevisionOfEarlierEra guards against a watch after a revision that the
// restored store gives out again, which it may hold open although objects have changed.
func TestNoWatchAfterRevisionOfEarlierEra(t *testing.T) {
	s := &restoredStore{era: 1}
	w := s.watcher()
	s.run(t, w, func(is *is.I) {
		time.Sleep(w.BatchDelay / 2) // The watcher pauses after its list.
		s.update(func() { s.era, s.known = 2, 2 })
		w.Breaker.RenewWatches()
		time.Sleep(w.BatchDelay)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.Equal(s.copied, 2)
		is.Equal(len(s.lists), 2)
		is.Equal(len(s.watches), 0)
	})
}

// TestEraRisesBeforeWatchIsSent guards against a watch that is sent just after the watches
// were renewed: it must be ended by that renewal.
func TestEraRisesBeforeWatchIsSent(t *testing.T) {
	s := &restoredStore{era: 1}
	w := s.watcher()
	rise := func() core.Era {
		s.mu.Lock()
		defer s.mu.Unlock()
		era := s.known
		if len(s.lists) == 1 && s.era == 1 {
			// The era rises just after the watcher has read it.
			s.era, s.known = 2, 2
			w.Breaker.RenewWatches()
		}
		return era
	}
	w.Era = rise
	s.run(t, w, func(is *is.I) {
		time.Sleep(w.BatchDelay + time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.Equal(s.copied, 2)
		is.Equal(len(s.lists), 2)
	})
}

// TestAnswerOfEarlierEraIsNoFailure guards against a store that counts as unavailable, or
// that is asked without a pause, because answers of an earlier era arrive.
func TestAnswerOfEarlierEraIsNoFailure(t *testing.T) {
	t.Run("list", func(t *testing.T) {
		s := &restoredStore{era: 2, outdated: 5}
		w := s.watcher()
		s.run(t, w, func(is *is.I) {
			time.Sleep(5*w.BatchDelay - time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(len(s.lists), 5)
			is.Equal(s.copied, 0)
			s.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			s.mu.Lock()
			is.Equal(s.copied, 2)
			is.Equal(s.failures, 0)
		})
	})
	t.Run("watch", func(t *testing.T) {
		s := &restoredStore{era: 2}
		w := s.watcher()
		s.run(t, w, func(is *is.I) {
			time.Sleep(30 * time.Second)
			s.update(func() { s.outdated = 1 })
			time.Sleep(time.Minute)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(len(s.lists), 1) // The copy is still of the latest era.
			is.Equal(len(s.watches), 2)
			is.Equal(s.failures, 0)
		})
	})
}

// TestProbeAnsweredInEarlierEra guards against watchers that wait forever for a probe whose
// answer was discarded: the store has responded.
func TestProbeAnsweredInEarlierEra(t *testing.T) {
	s := &restoredStore{era: 2}
	w := s.watcher()
	isDown := true
	w.List = func() (List[int], error) {
		if isDown {
			isDown = false
			s.update(func() { s.outdated = 1 })
			return List[int]{}, core.ErrPlatform.New("down")
		}
		return s.list()
	}
	other := s.watcher()
	other.Breaker = w.Breaker
	s.run(t, w, func(is *is.I) {
		time.Sleep(time.Millisecond)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go other.Run(ctx)
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.Equal(s.failures, 1)
		is.Equal(len(s.lists), 3) // the discarded one and one of each watcher
	})
}

// TestDecodingKeepsEra guards against lists and changes that lose their era on the way from
// the client of the store to the copy.
func TestDecodingKeepsEra(t *testing.T) {
	is := is.New(t)
	var invalid []string
	source := Source[string, int]{
		List: func() (List[string], error) {
			return List[string]{Objects: map[string]string{"a": "x", "b": "long"}, Revision: 3, Era: 2}, nil
		},
		Watch: func(after uint64, _ time.Duration) (Changes[string], error) {
			return Changes[string]{List: []Change[string]{{Name: "a", Object: "y"}}, Revision: after + 1, Era: 2}, nil
		},
		Decode: func(object string, _ time.Time) (int, error) {
			if len(object) > 1 {
				return 0, errors.New("too long")
			}
			return int(object[0]), nil
		},
		OnInvalid: func(object string, _ error) { invalid = append(invalid, object) },
	}
	w := &Watcher[int]{}
	source.Connect(w)
	list, err := w.List()
	is.NoErr(err)
	is.Equal(list, List[int]{Objects: map[string]int{"a": 'x'}, Revision: 3, Era: 2})
	changes, err := w.Watch(3, time.Second)
	is.NoErr(err)
	is.Equal(changes, Changes[int]{List: []Change[int]{{Name: "a", Object: 'y'}}, Revision: 4, Era: 2})
	is.Equal(invalid, []string{"long"})
}
