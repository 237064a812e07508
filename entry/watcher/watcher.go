// Package watcher keeps a local copy of all objects of one kind in a store up to
// date.
//
// It lists the objects once and then watches for changes with long polls. It lists
// them again after a failed call, and when the store no longer has all changes made
// after the revision that the copy reflects.
//
// The response to a pending watch can be lost while the connection stays open and other
// calls succeed. Until WatchTimeout has passed, the watcher cannot tell this from a
// kind without changes. [CircuitBreaker.RenewWatches] ends the wait when there is a sign
// of it.
//
// The store may come back from an older copy, in a later era (see core.Era). The watcher
// then lists the objects again, since changes of one era cannot be applied to objects of
// another. Call [CircuitBreaker.RenewWatches] when the result of Watcher.Era rises.
//
// # Usage
//
//	w := &watcher.Watcher[Object]{
//		List: list, Watch: watch, WatchTimeout: 10 * time.Second,
//		OnSnapshot: apply, OnSuccess: func(core.Era) {}, OnFailure: logFailure,
//	}
//	w.Run(ctx)
//
// Several watchers of one store share a [CircuitBreaker], so that during an outage only one
// of them calls the store.
package watcher

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/waiter"
)

// renewalWait is the wait of a renewed watch: the store responds at once, whether there are
// changes or not.
const renewalWait = time.Millisecond

// errAbandoned reports that a watch was abandoned for a new one.
var errAbandoned = core.ErrorNamespace.NewType("watch-abandoned")

// List holds all objects of a kind by name, as of a revision of the store.
type List[T any] struct {
	Objects  map[string]T
	Revision uint64
	// Era is the era of the store to which Revision belongs.
	Era core.Era
}

// Change describes the creation, update or removal of an object. Object is unset
// for a removal.
type Change[T any] struct {
	Name      string
	IsRemoved bool
	Object    T
}

// Changes holds the changes up to a revision. Its field List has the oldest first.
type Changes[T any] struct {
	List     []Change[T]
	Revision uint64
	// Era is the era of the store to which Revision belongs.
	Era core.Era
}

// Watcher keeps a copy of all objects of one kind. Its functions List, Watch, OnSnapshot,
// OnSuccess and OnFailure must be set. Watch is called from goroutines of its own, and again
// before it has returned if the watches are renewed; the others are called from the
// goroutine of Run.
type Watcher[T any] struct {
	// List returns all objects.
	List func() (List[T], error)
	// Watch waits until there are changes after a revision, or until wait has
	// passed. It returns an error of type core.ErrHistoryGone when the store no
	// longer has these changes, so that a new list is needed. A response that List or
	// Watch discards because it is of an earlier era than the latest is an error of type
	// core.ErrEarlierEra, which is no failure of the store.
	Watch func(after uint64, wait time.Duration) (Changes[T], error)
	// Era returns the latest known era of the store. It is nil if the store names none.
	Era func() core.Era
	// WatchTimeout is how long the store may hold a watch open without changes, and so how
	// long a lost response can hide changes.
	WatchTimeout time.Duration
	// BatchDelay is the pause after a successful call. Changes that are made within
	// it are fetched with one call.
	BatchDelay time.Duration
	// WatchDelay returns the pause between a list and the first watch after it. In this
	// time the user may find that another host watches the store on its behalf, and
	// disable the Breaker. BatchDelay applies if WatchDelay is nil or returns less.
	WatchDelay func() time.Duration
	// OnSnapshot gets all objects of the kind after each list, each watch with changes and
	// each renewed watch, with the revision of the store that they reflect. The watcher
	// modifies the map later, so copy it to keep it.
	OnSnapshot func(list List[T])
	// OnDelta, if set, is called in place of OnSnapshot after a watch that was not renewed,
	// with the changes made after the revision that was passed on last.
	OnDelta func(after uint64, changes Changes[T])
	// Breaker is shared by the watchers of one store. If it is nil, Run creates one for
	// this watcher alone.
	Breaker *CircuitBreaker
	// OnSuccess is called after each successful call to the store with the era of the
	// response, and OnFailure after each failed one.
	OnSuccess func(era core.Era)
	OnFailure func(err error)
	// OnConfirmed is called after the results of a call were passed on, with all objects and a
	// time as of which they are known to be the newest; nil ignores it. Uptime reads the clock
	// of that time, and must be set with it.
	OnConfirmed func(list List[T], asOf core.Uptime)
	Uptime      func() core.Uptime

	objects  map[string]T
	revision uint64
	// era is the era of the store to which revision belongs.
	era core.Era
	// renewals is the number of renewals at the last call. isRenewing says that the watches
	// were renewed since the last response. The next one must not wait, so that the store
	// confirms at once that it still responds.
	renewals   int
	isRenewing bool
	// delivered is the revision last passed to OnSnapshot or OnDelta. revision may
	// be later, since the store's revision also counts changes of other kinds.
	delivered uint64
}

// Run lists and watches the objects of the kind until ctx ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	if w.Breaker == nil {
		w.Breaker = &CircuitBreaker{}
	}
	for {
		isProbe := w.Breaker.awaitCall(ctx)
		if ctx.Err() != nil {
			return
		}
		if isProbe {
			// A probe must be a list: the store responds to it at once, whereas a watch may
			// be held open while the other watchers wait for the probe.
			w.objects = nil
		}
		delay := w.delay()
		w.handleResult(ctx, w.poll(), delay, isProbe)
	}
}

// delay returns the pause after the next call if that succeeds.
func (w *Watcher[T]) delay() time.Duration {
	if w.objects == nil && w.WatchDelay != nil {
		return max(w.BatchDelay, w.WatchDelay())
	}
	return w.BatchDelay
}

// handleResult records the result of a call and pauses after a success.
func (w *Watcher[T]) handleResult(ctx context.Context, err error, delay time.Duration, isProbe bool) {
	switch {
	case err == nil:
		w.Breaker.recordSuccess()
		w.OnSuccess(w.era)
		waiter.Sleep(ctx, delay)
	case errorx.IsOfType(err, errAbandoned):
	case errorx.IsOfType(err, core.ErrHistoryGone):
		w.Breaker.recordSuccess()
		w.objects = nil
	case core.IsEarlierEra(err):
		w.Breaker.recordSuccess()
		waiter.Sleep(ctx, max(w.BatchDelay, minBackoff))
	default:
		w.Breaker.recordFailure(isProbe)
		w.OnFailure(err)
		w.objects = nil
	}
}

// poll makes one call: a list if the watcher has no objects of the latest era, else a watch.
func (w *Watcher[T]) poll() error {
	// This precedes the check of the era, so that a rise after the check ends the watch.
	renewals, renewed := w.Breaker.renewal()
	w.isRenewing = w.isRenewing || renewals != w.renewals
	w.renewals = renewals
	if w.objects == nil || w.isEraOver() {
		return w.listAll()
	}
	sent, sentAt, wait := time.Now(), w.uptime(), w.nextWait()
	changes, err := w.watch(renewed, wait)
	if err != nil {
		return errorx.Decorate(err, "watch after revision %d, pending for %v", w.revision, time.Since(sent).Round(time.Millisecond))
	}
	if changes.Era != w.era {
		return core.ErrHistoryGone.New("watch after revision %d of era %d, response of era %d", w.revision, w.era, changes.Era)
	}
	defer func() { w.confirm(w.answeredAsOf(sentAt, wait, len(changes.List) > 0)) }()
	isRenewed := w.isRenewing
	w.isRenewing = false
	w.revision = changes.Revision
	for _, c := range changes.List {
		if c.IsRemoved {
			delete(w.objects, c.Name)
			continue
		}
		w.objects[c.Name] = c.Object
	}
	switch {
	case isRenewed:
		// The user may hold other objects from elsewhere, which these replace.
		w.OnSnapshot(List[T]{Objects: w.objects, Revision: w.revision, Era: w.era})
	case len(changes.List) == 0:
		return nil
	case w.OnDelta != nil:
		w.OnDelta(w.delivered, changes)
	default:
		w.OnSnapshot(List[T]{Objects: w.objects, Revision: w.revision, Era: w.era})
	}
	w.delivered = w.revision
	return nil
}

// uptime returns the time of Uptime, or 0 if nothing asks for it.
func (w *Watcher[T]) uptime() core.Uptime {
	if w.Uptime == nil {
		return 0
	}
	return w.Uptime()
}

// maxNoticeDelay is how long after a change the store may still answer a watch as if there were
// none: one that drops its history stops to notify watches first.
const maxNoticeDelay = time.Second

// answeredAsOf returns a time as of which the response to a watch that was sent at the given
// time held. The store answers a watch without changes at the end of its wait, and one with
// changes at an unknown time after it was sent.
func (w *Watcher[T]) answeredAsOf(sentAt core.Uptime, wait time.Duration, hasChanges bool) core.Uptime {
	if hasChanges || w.uptime().Sub(sentAt) < wait {
		wait = 0
	}
	return sentAt.Add(wait - maxNoticeDelay)
}

// confirm calls OnConfirmed.
func (w *Watcher[T]) confirm(asOf core.Uptime) {
	if w.OnConfirmed != nil {
		w.OnConfirmed(List[T]{Objects: w.objects, Revision: w.revision, Era: w.era}, asOf)
	}
}

// isEraOver reports whether the objects are of an earlier era than the latest.
func (w *Watcher[T]) isEraOver() bool {
	return w.Era != nil && w.Era() != w.era
}

// nextWait returns how long the next watch waits.
func (w *Watcher[T]) nextWait() time.Duration {
	if w.isRenewing {
		return renewalWait
	}
	return w.WatchTimeout
}

// watch makes one call of Watch. It returns an error of type errAbandoned if the channel is
// closed before the response arrives; that response is ignored.
func (w *Watcher[T]) watch(renewed <-chan struct{}, wait time.Duration) (Changes[T], error) {
	var (
		changes  Changes[T]
		err      error
		after    = w.revision
		received = make(chan struct{})
	)
	go func() {
		defer close(received)
		changes, err = w.Watch(after, wait)
	}()
	select {
	case <-received:
		return changes, err
	case <-renewed:
		return Changes[T]{}, errAbandoned.New("renewed")
	}
}

func (w *Watcher[T]) listAll() error {
	sentAt := w.uptime()
	list, err := w.List()
	if err != nil {
		return err
	}
	w.revision, w.era, w.objects = list.Revision, list.Era, list.Objects
	w.isRenewing = false // The list has confirmed that the store responds.
	w.OnSnapshot(List[T]{Objects: w.objects, Revision: w.revision, Era: w.era})
	w.delivered = w.revision
	w.confirm(sentAt)
	return nil
}
