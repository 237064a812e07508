package listener_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/listener"
)

// TestProblemFormat compares the problems that clients receive with golden files.
func TestProblemFormat(t *testing.T) {
	full := listener.NewProblem(core.RefusedOutcome(core.RefusalOverload, "a detail", 1200*time.Millisecond), 429)
	full.Findings = core.Findings{{Pointer: "/name", Message: "is empty"}}
	tests := []struct {
		name  string
		value any
	}{
		{"problem", full},
		{"problem-unknown", listener.NewProblem(core.UnknownOutcome(core.RefusalOutcomeUnknown, "a detail"), 502)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkJSON(t, tt.name+".json", tt.value) })
	}
}

// checkJSON checks that a golden file decodes to the value, in which every field is
// set, and that the value encodes to the file.
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
