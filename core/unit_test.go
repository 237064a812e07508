package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// TestParseMilliseconds guards against numbers that do not fit in a duration: what their
// conversion yields differs between processors.
func TestParseMilliseconds(t *testing.T) {
	const limit = time.Minute
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond, "60000": limit, "60001": limit,
		"1e300": limit, "9223372036854775807": limit, "inf": limit,
		"0": 0, "-1": 0, "-inf": 0, "NaN": 0, "1e400": 0, "": 0, "soon": 0,
	} {
		is := is.New(t)
		got, ok := core.ParseMilliseconds(text, limit)
		is.Equal(got, want)
		is.Equal(ok, want > 0)
	}
}
