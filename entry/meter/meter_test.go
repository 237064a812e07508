package meter_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/entry/meter"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// newFilledMeter returns a registry with a histogram, a counter with two series and a
// gauge.
func newFilledMeter() *meter.Meter {
	m := meter.New()
	desk := meter.Labels{Service: "desk", Zone: "for-a"}
	for i := range 100 {
		m.Observe(meter.AttemptTime, desk, time.Duration(i+1)*time.Millisecond)
	}
	m.Observe(meter.AttemptTime, desk, time.Hour)
	m.Count(meter.Requests, meter.Labels{Service: "desk", Outcome: "503", Cause: "no-room"})
	m.Count(meter.Requests, meter.Labels{Service: "desk", Outcome: "200"})
	m.Count(meter.Requests, meter.Labels{Service: "desk", Outcome: "200"})
	m.RegisterGauge("policy_version", func() float64 { return 7 })
	return m
}

// TestText compares the text with the golden file.
func TestText(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	is.NoErr(newFilledMeter().WriteText(&text))
	golden := filepath.Join("testdata", "metrics.txt")
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(text.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(text.String(), string(want))
}

// TestString checks that String returns JSON that decodes to the metrics.
func TestString(t *testing.T) {
	is := is.New(t)
	var reading meter.Snapshot
	is.NoErr(json.Unmarshal([]byte(newFilledMeter().String()), &reading))
	is.Equal(reading.Gauges["policy_version"], 7.0)
	is.Equal(len(reading.Counters[meter.Requests]), 2)
}

// TestSeriesAreBounded guards against unlimited memory use by series whose labels come
// from clients, and against losing counts beyond the limit.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	m := meter.New()
	const many = 1000
	for i := range many {
		m.Count(meter.Retries, meter.Labels{Service: strconv.Itoa(i)})
	}
	series := m.Snapshot().Counters[meter.Retries]
	is.True(len(series) < many/2)
	var total uint64
	for _, s := range series {
		total += s.Count
	}
	is.Equal(total, uint64(many)) // no count is lost
}
