package watcher

import (
	"maps"

	"github.com/endiverun/endiverun/core"
)

// maxPages limits a list, in case the store never reports its last page.
const maxPages = 1000

// Page is one page of a list in the order of the names.
type Page[T any] struct {
	List[T]
	// HasMore says that further pages follow.
	HasMore bool
}

// ReadPages reads a list in pages; read returns the page after a name, or the first one if
// the name is empty. The revision is that of the first page, so that a watch from it
// includes the changes made while further pages were read. All pages are of one era: if it
// rises meanwhile, the list is read again, and if that happens again the error is of type
// core.ErrEarlierEra.
func ReadPages[T any](read func(after string) (Page[T], error)) (List[T], error) {
	list, err := readPages(read)
	if core.IsEarlierEra(err) {
		return readPages(read)
	}
	return list, err
}

func readPages[T any](read func(after string) (Page[T], error)) (List[T], error) {
	first, err := read("")
	if err != nil {
		return List[T]{}, err
	}
	list := List[T]{Objects: map[string]T{}, Revision: first.Revision, Era: first.Era}
	page, last := first, ""
	for range maxPages {
		maps.Copy(list.Objects, page.Objects)
		for name := range page.Objects {
			last = max(last, name)
		}
		if !page.HasMore || len(page.Objects) == 0 {
			return list, nil
		}
		if page, err = read(last); err != nil {
			return List[T]{}, err
		}
		if page.Era != list.Era {
			return List[T]{}, core.ErrEarlierEra.New("first page of era %d, page after %s of era %d", list.Era, last, page.Era)
		}
	}
	return List[T]{}, core.ErrPlatform.New("list has too many pages")
}
