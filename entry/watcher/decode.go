package watcher

import (
	"maps"
	"slices"
	"time"
)

// Source reads the objects of one kind as the store holds them, and decodes them for a
// Watcher. All its fields must be set.
type Source[A, B any] struct {
	// List and Watch are like those of Watcher.
	List  func() (List[A], error)
	Watch func(after uint64, wait time.Duration) (Changes[A], error)
	// Decode decodes an object that was received at the given time.
	Decode func(object A, now time.Time) (B, error)
	// OnInvalid is called for each object that cannot be decoded; such an object is left out.
	OnInvalid func(object A, err error)
}

// Connect makes a watcher read from the source.
func (s Source[A, B]) Connect(w *Watcher[B]) {
	decode := func(object A) (B, bool) {
		value, err := s.Decode(object, time.Now())
		if err != nil {
			s.OnInvalid(object, err)
		}
		return value, err == nil
	}
	w.List = func() (List[B], error) {
		list, err := s.List()
		return DecodeList(list, decode), err
	}
	w.Watch = func(after uint64, wait time.Duration) (Changes[B], error) {
		changes, err := s.Watch(after, wait)
		return DecodeChanges(changes, decode), err
	}
}

// DecodeList decodes every object of a list. Objects for which decode returns
// false are left out.
func DecodeList[A, B any](list List[A], decode func(object A) (B, bool)) List[B] {
	decoded := List[B]{Objects: make(map[string]B, len(list.Objects)), Revision: list.Revision, Era: list.Era}
	for name, object := range list.Objects {
		if value, ok := decode(object); ok {
			decoded.Objects[name] = value
		}
	}
	return decoded
}

// DecodeChanges decodes every object of a set of changes. A change for whose object
// decode returns false becomes a removal, so that the copy is the same as after
// DecodeList, which leaves such an object out.
func DecodeChanges[A, B any](changes Changes[A], decode func(object A) (B, bool)) Changes[B] {
	decoded := Changes[B]{Revision: changes.Revision, Era: changes.Era}
	for _, c := range changes.List {
		change := Change[B]{Name: c.Name, IsRemoved: true}
		if !c.IsRemoved {
			value, ok := decode(c.Object)
			change.Object, change.IsRemoved = value, !ok
		}
		decoded.List = append(decoded.List, change)
	}
	return decoded
}

// SortedByName returns the objects in the order of their names.
func SortedByName[T any](objects map[string]T) []T {
	list := make([]T, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		list = append(list, objects[name])
	}
	return list
}
