package watcher

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func number(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// TestDecode is the pattern of objects that another writer spoiled: they count
// as absent, also where they were readable before.
func TestDecode(t *testing.T) {
	is := is.New(t)
	list := DecodeList(List[string]{Objects: map[string]string{"b": "2", "a": "1", "c": "x"}, Revision: 5}, number)
	is.Equal(list.Revision, uint64(5))
	is.Equal(Sorted(list.Objects), []int{1, 2})
	changes := DecodeChanges(Changes[string]{Revision: 6, List: []Change[string]{
		{Name: "a", Object: "7"}, {Name: "b", Object: "spoiled"}, {Name: "c", IsRemoved: true},
	}}, number)
	is.Equal(changes, Changes[int]{Revision: 6, List: []Change[int]{
		{Name: "a", Object: 7}, {Name: "b", IsRemoved: true}, {Name: "c", IsRemoved: true},
	}})
}
