package loader

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Bounds are numbers and truth values by the names that operators give them.
// Names that are not asked for are ignored.
type Bounds map[string]any

// Number returns a bound, or the fallback where it is not given. A value that
// is no number of 0 or more is a finding.
func (b Bounds) Number(name string, fallback float64, findings *core.Findings) float64 {
	given, ok := b[name]
	if !ok {
		return fallback
	}
	value, ok := given.(float64)
	if !ok || value < 0 {
		findings.Addf(core.Pointer("bounds", name), "%v is not a number of 0 or more", given)
		return fallback
	}
	return value
}

// Duration returns a bound that is given in seconds.
func (b Bounds) Duration(name string, fallback time.Duration, findings *core.Findings) time.Duration {
	return time.Duration(b.Number(name, fallback.Seconds(), findings) * float64(time.Second))
}
