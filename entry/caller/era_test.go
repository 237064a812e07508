package caller_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
)

// TestRiseIsReportedOnce guards against a restoration of the store that is handled once for
// each of the calls that show it at the same time.
func TestRiseIsReportedOnce(t *testing.T) {
	const (
		calls = 64
		first = core.Era(3)
		later = core.Era(4)
	)
	is := is.New(t)
	var mu sync.Mutex
	var rises []core.Era
	tracker := &caller.EraTracker{OnRise: func(era core.Era) {
		mu.Lock()
		defer mu.Unlock()
		rises = append(rises, era)
	}}
	tracker.Record(first)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { tracker.Record(first + core.Era(i%2)) })
	}
	group.Wait()
	is.Equal(rises, []core.Era{later})
	is.Equal(tracker.Latest(), later)
}
