package timekeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/entry/timekeeper"
)

// TestUptimeAdvances checks that the clock advances at least as fast as the monotonic one.
func TestUptimeAdvances(t *testing.T) {
	is := is.New(t)
	before, started := timekeeper.Uptime(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := time.Since(started)
	is.True(timekeeper.Uptime().Sub(before) >= elapsed)
}
