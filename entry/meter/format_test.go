package meter_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/entry/meter"
)

// newFullMeter returns a registry with each metric, every label and a gauge.
func newFullMeter() *meter.Meter {
	m := meter.New()
	labels := meter.Labels{Service: "desk", Zone: "for-a", Outcome: "503", Cause: "no-room", Call: "get"}
	for _, metric := range []meter.Metric{meter.Requests, meter.Attempts, meter.Retries, meter.StoreCalls} {
		m.Count(metric, labels)
	}
	for _, metric := range []meter.Metric{meter.RequestTime, meter.AttemptTime, meter.QueueTime} {
		m.Observe(metric, labels, 12*time.Millisecond)
	}
	m.RegisterGauge("policy_version", func() float64 { return 7 })
	return m
}

// TestMetricsFormat compares the text and the JSON of every metric with golden files
// and checks that the JSON is decoded.
func TestMetricsFormat(t *testing.T) {
	is := is.New(t)
	m := newFullMeter()
	var text strings.Builder
	is.NoErr(m.WriteText(&text))
	checkText(t, "all.txt", text.String())
	var indented bytes.Buffer
	is.NoErr(json.Indent(&indented, []byte(m.String()), "", "  "))
	checkText(t, "all.json", indented.String()+"\n")
	data, err := os.ReadFile(filepath.Join("testdata", "all.json"))
	is.NoErr(err)
	var reading meter.Snapshot
	is.NoErr(json.Unmarshal(data, &reading))
	is.Equal(reading, m.Snapshot())
}

// checkText compares a text with a golden file.
func checkText(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	is.Equal(text, string(data))
}
