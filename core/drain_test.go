package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// TestDrainScheduleUsesGracePeriod guards against a stop that breaks off requests before the last
// sixth of its grace period, in which users expect it, or that ends after the grace period.
func TestDrainScheduleUsesGracePeriod(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	for gracePeriod := 100 * time.Millisecond; gracePeriod <= time.Minute; gracePeriod += 100 * time.Millisecond {
		schedule := core.NewDrainSchedule(min(2200*time.Millisecond, gracePeriod/3), gracePeriod, now)
		is.True(schedule.End.Sub(now) >= gracePeriod-gracePeriod/6)
		is.True(schedule.AnswersUntil.After(schedule.End))
		is.True(schedule.AnswersUntil.Sub(now) < gracePeriod)
	}
}

// TestDrainSchedule guards against a request that a stopping host accepts although it ends
// before the response is due, and against a stop that outlasts its grace period.
func TestDrainSchedule(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name                    string
		acceptsFor, gracePeriod time.Duration
		// at and due are when the request is to be forwarded, and when its response is due.
		at, due time.Duration
		want    bool
	}{
		{"while clients may connect", 2 * time.Second, 10 * time.Second, time.Second, time.Minute, true},
		{"due at the end", 2 * time.Second, 10 * time.Second, 2 * time.Second, 9600 * time.Millisecond, true},
		{"due after the end", 2 * time.Second, 10 * time.Second, 2 * time.Second, 9601 * time.Millisecond, false},
		{"after the end", 2 * time.Second, 10 * time.Second, 11 * time.Second, 12 * time.Second, false},
		{"a short grace period", 400 * time.Millisecond, 1200 * time.Millisecond, 400 * time.Millisecond, time.Second, true},
		{"short of grace, late", 400 * time.Millisecond, 1200 * time.Millisecond, 400 * time.Millisecond, 1001 * time.Millisecond, false},
		{"a grace period shorter than the first part", 2 * time.Second, time.Second, 2 * time.Second, 2160 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			schedule := core.NewDrainSchedule(tt.acceptsFor, tt.gracePeriod, now)
			is.Equal(schedule.Allows(now.Add(tt.due), now.Add(tt.at)), tt.want)
		})
	}
	is := is.New(t)
	var none *core.DrainSchedule
	is.True(none.Allows(now.Add(time.Hour), now))
}
