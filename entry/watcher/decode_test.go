package watcher

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func parseNumber(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// TestDecode guards against stale objects: an object that another writer makes
// undecodable counts as absent, even if it could be decoded before.
func TestDecode(t *testing.T) {
	is := is.New(t)
	list := DecodeList(List[string]{Objects: map[string]string{"b": "2", "a": "1", "c": "x"}, Revision: 5}, parseNumber)
	is.Equal(list.Revision, uint64(5))
	is.Equal(SortedByName(list.Objects), []int{1, 2})
	changes := DecodeChanges(Changes[string]{Revision: 6, List: []Change[string]{
		{Name: "a", Object: "7"}, {Name: "b", Object: "spoiled"}, {Name: "c", IsRemoved: true},
	}}, parseNumber)
	is.Equal(changes, Changes[int]{Revision: 6, List: []Change[int]{
		{Name: "a", Object: 7}, {Name: "b", IsRemoved: true}, {Name: "c", IsRemoved: true},
	}})
}
