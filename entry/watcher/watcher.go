// Package watcher follows the objects of one kind in a store.
//
// It lists the objects, then waits for changes. Where the store has dropped
// the changes in between, or cannot be reached, it lists again.
//
// # Usage
//
//	w := &watcher.Watcher[Object]{List: list, Watch: watch, Wait: 10 * time.Second, OnChange: apply}
//	w.Run(ctx)
//
// Several watchers of one store share a Gate, so that an outage costs the calls
// of one of them.
package watcher

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/waiter"
)

// List is all objects of a kind by name, as of a revision of the store.
type List[T any] struct {
	Objects  map[string]T
	Revision uint64
}

// Change is one change of an object.
type Change[T any] struct {
	Name      string
	IsRemoved bool
	Object    T
}

// Changes are the changes up to a revision.
type Changes[T any] struct {
	List     []Change[T]
	Revision uint64
}

// Watcher follows one kind.
type Watcher[T any] struct {
	// List returns all objects.
	List func() (List[T], error)
	// Watch waits for changes after a revision, for the given time at most. Its
	// error is of type core.ErrHistoryGone where a new list is needed.
	Watch func(after uint64, wait time.Duration) (Changes[T], error)
	// Wait is how long the store may keep a watch waiting.
	Wait time.Duration
	// Gather is the pause after a change, so that changes made together cost
	// one call.
	Gather time.Duration
	// Settle is the pause after a list, in which another host may be found that
	// watches for this one; nil means Gather.
	Settle func() time.Duration
	// OnChange gets all objects of the kind after each change, with the
	// revision of the store that they reflect. The map belongs to the watcher.
	OnChange func(objects map[string]T, revision uint64)
	// OnDelta gets the changes after a revision in place of all objects, where it
	// is set and they are known.
	OnDelta func(after uint64, changes Changes[T])
	// Gate joins the watchers of one store; nil makes one of its own.
	Gate *Gate
	// OnAnswer and OnFailure are told of each answer and failure of the store.
	OnAnswer  func()
	OnFailure func(err error)

	objects  map[string]T
	revision uint64
	// told is the revision of the last state or change that was handed over.
	told uint64
}

// Run follows the kind until ctx ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	if w.Gate == nil {
		w.Gate = &Gate{}
	}
	for {
		isAsking := w.Gate.enter(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := w.pause()
		w.take(ctx, w.step(), pause, isAsking)
	}
}

// pause returns the pause after the next call, if that is answered.
func (w *Watcher[T]) pause() time.Duration {
	if w.objects == nil && w.Settle != nil {
		return max(w.Gather, w.Settle())
	}
	return w.Gather
}

// take takes the result of a call.
func (w *Watcher[T]) take(ctx context.Context, err error, pause time.Duration, isAsking bool) {
	switch {
	case err == nil:
		w.Gate.answered()
		w.OnAnswer()
		waiter.Sleep(ctx, pause)
	case errorx.IsOfType(err, core.ErrHistoryGone):
		w.Gate.answered()
		w.objects = nil
	default:
		w.Gate.failed(isAsking)
		w.OnFailure(err)
		// After a failure the next call is a list, which is answered at once.
		w.objects = nil
	}
}

// step lists where nothing is known and waits for changes otherwise.
func (w *Watcher[T]) step() error {
	if w.objects == nil {
		return w.listAll()
	}
	changes, err := w.Watch(w.revision, w.Wait)
	if err != nil {
		return err
	}
	w.revision = changes.Revision
	for _, c := range changes.List {
		if c.IsRemoved {
			delete(w.objects, c.Name)
			continue
		}
		w.objects[c.Name] = c.Object
	}
	switch {
	case len(changes.List) == 0:
		return nil
	case w.OnDelta != nil:
		w.OnDelta(w.told, changes)
	default:
		w.OnChange(w.objects, w.revision)
	}
	w.told = w.revision
	return nil
}

func (w *Watcher[T]) listAll() error {
	list, err := w.List()
	if err != nil {
		return err
	}
	w.revision, w.objects = list.Revision, list.Objects
	w.OnChange(w.objects, w.revision)
	w.told = w.revision
	return nil
}
