// Package timekeeper reads the clock that goes on while the machine is suspended. The monotonic
// clock of package time stands still meanwhile, so an age that bounds what a host may still do
// must not be read from it.
//
// # Usage
//
//	age := timekeeper.Uptime().Sub(confirmedAt)
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/endiverun/endiverun/core"
)

// processStart stands in for the start of the machine where its clock cannot be read.
var processStart = time.Now()

// Uptime returns the time since the start of the machine.
func Uptime() core.Uptime {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return core.Uptime(time.Since(processStart))
	}
	return core.Uptime(now.Nano())
}
