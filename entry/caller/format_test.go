package caller_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
)

// TestReportFormat compares an upstream's report with a golden file.
func TestReportFormat(t *testing.T) {
	checkJSON(t, "report.json", caller.HealthReport{Phase: core.PhaseLeaving, Load: 0.75})
}

// TestHeaderFormat compares the names of header fields, and the digest of a body,
// with a golden file.
func TestHeaderFormat(t *testing.T) {
	checkJSON(t, "headers.json", map[string]string{
		"attempt": caller.HeaderAttempt, "deadline": caller.HeaderDeadline, "run-state": caller.HeaderRunState, "phase": caller.HeaderPhase,
		"digest": caller.HeaderContentDigest, "key": caller.HeaderIdempotencyKey, "organisation": caller.HeaderOrganisation,
		"trace":   caller.HeaderTraceparent,
		"not run": caller.RunStateNotRun, "leaving": caller.PhaseDraining,
		"digest of a body": caller.ContentDigest([]byte("the body")),
	})
}

// checkJSON checks that a golden file decodes to the value, every field of which
// is set, and that the value encodes to the file.
func checkJSON(t *testing.T, name string, value any) {
	t.Helper()
	is := is.New(t)
	encoded, err := json.MarshalIndent(value, "", "  ")
	is.NoErr(err)
	data, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	decoded := reflect.New(reflect.TypeOf(value))
	is.NoErr(json.Unmarshal(data, decoded.Interface()))
	is.Equal(decoded.Elem().Interface(), value)
	is.Equal(string(encoded)+"\n", string(data))
}
