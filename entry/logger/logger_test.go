package logger_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
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

// stalled is a writer whose reader has stopped.
type stalled struct {
	release chan struct{}
}

// Write blocks until the reader goes on.
func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledOutputDelaysNothing is the pattern of a log collector that stops
// reading: events are dropped and counted, and their callers go on.
func TestStalledOutputDelaysNothing(t *testing.T) {
	is := is.New(t)
	out := stalled{release: make(chan struct{})}
	log := logger.NewBounded(out, "info", core.Host{Name: "host-1"})
	events := []logger.Event{logger.RequestRefused, logger.RequestRetried, logger.UpstreamCold, logger.UpstreamFailed}
	const each = 600 // more than the queue holds, all together
	for range each {
		for _, e := range events {
			log.Event(e).Str("request", "q").Send()
		}
	}
	is.True(log.Lost() > 0)
	close(out.release)
	log.Close(10 * time.Second)
}
