// Package exiter ends a program with the exit code for its error: 2 if its settings
// are invalid, and 1 for any other error.
//
// # Usage
//
//	exiter.Exit("endiverun-entry", err)
package exiter

import (
	"fmt"
	"os"

	"github.com/endiverun/endiverun/core"
)

// Exit codes.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// Exit returns if err is nil. Otherwise it writes the error to standard error and
// ends the program: with code 2 if err holds core.Findings, which means that the
// settings are invalid, and with code 1 if not.
func Exit(program string, err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, program+":", err)
	if _, ok := core.FindingsOf(err); ok {
		os.Exit(exitInvalidSettings)
	}
	os.Exit(exitFailure)
}
