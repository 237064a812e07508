package logger_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/entry/logger"
)

// TestCatalogue checks that docs/EVENTS.md lists every event as it is.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	seen := map[int]bool{}
	for _, e := range logger.Events {
		is.True(!seen[e.Number]) // numbers are unique
		seen[e.Number] = true
		line := "| " + strconv.Itoa(e.Number) + " | `" + e.Name + "` | " + e.Level.String() + " | " + e.Meaning + " |"
		if !strings.Contains(string(page), line) {
			t.Errorf("docs/EVENTS.md lacks %s", line)
		}
	}
}
