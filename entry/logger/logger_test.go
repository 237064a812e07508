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

// TestCatalogue guards against a docs/EVENTS.md that lacks an event or describes it
// differently, and against two events with one number.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	seen := map[int]bool{}
	for _, e := range logger.Events {
		is.True(!seen[e.Number]) // numbers are unique
		seen[e.Number] = true
		line := "| " + strconv.Itoa(e.Number) + " | `" + e.Name + "` | " + e.Level.String() + " | " + e.Description + " |"
		if !strings.Contains(string(page), line) {
			t.Errorf("docs/EVENTS.md lacks %s", line)
		}
	}
}

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
}

// Write blocks until release is closed, then discards p.
func (w stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestStalledOutputDelaysNothing guards against callers that block because a log
// collector has stopped reading: their lines must be dropped and counted instead.
func TestStalledOutputDelaysNothing(t *testing.T) {
	is := is.New(t)
	out := stalledWriter{release: make(chan struct{})}
	log := logger.NewNonBlocking(out, "info", core.Host{Name: "host-1"})
	events := []logger.Event{logger.RequestRefused, logger.RequestRetried, logger.UpstreamCold, logger.UpstreamFailed}
	const each = 600 // all events together have more lines than the queue holds
	for range each {
		for _, e := range events {
			log.Event(e).Str("request", "q").Send()
		}
	}
	is.True(log.DroppedLines() > 0)
	close(out.release)
	log.Close(10 * time.Second)
}
