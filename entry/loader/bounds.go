package loader

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Bounds holds the object of tunable values in a settings file, by their names in
// the file. Values are numbers or booleans. A file may hold values that the program
// does not use: a value is validated only when Number or Duration reads it.
type Bounds map[string]any

// Number returns the named value, or the fallback if it is missing. If the value is
// not a non-negative number, Number adds a finding and returns the fallback.
func (b Bounds) Number(name string, fallback float64, findings *core.Findings) float64 {
	given, ok := b[name]
	if !ok {
		return fallback
	}
	value, ok := given.(float64)
	if !ok || value < 0 {
		findings.Addf(core.JSONPointer("bounds", name), "%v is not a non-negative number", given)
		return fallback
	}
	return value
}

// Duration is like Number, for a value that is a time in seconds.
func (b Bounds) Duration(name string, fallback time.Duration, findings *core.Findings) time.Duration {
	return time.Duration(b.Number(name, fallback.Seconds(), findings) * float64(time.Second))
}

// Flag returns the named value, or false if it is missing. If the value is neither true nor
// false, Flag adds a finding and returns true, since a flag tightens a bound.
func (b Bounds) Flag(name string, findings *core.Findings) bool {
	given, ok := b[name]
	if !ok {
		return false
	}
	value, ok := given.(bool)
	if !ok {
		findings.Addf(core.JSONPointer("bounds", name), "%v is neither true nor false", given)
		return true
	}
	return value
}
