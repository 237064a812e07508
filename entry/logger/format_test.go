package logger_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
)

// TestLineFormat compares a line of every event with a golden file. The time is
// that of the test's own clock.
func TestLineFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text strings.Builder
		log := logger.New(&text, "debug", core.Host{Name: "host-1", Incarnation: 1790000000001})
		for _, e := range logger.Events {
			log.Event(e).Str("request", "9c41d07be2a35f68").Int("status", 503).Send()
		}
		checkText(t, "events.log", text.String())
	})
}

// checkText compares a text with a golden file.
func checkText(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	is.Equal(text, string(data))
}
