// Package meter keeps the counters, latency histograms and gauges of an entry
// host in one registry, which is read as text by metrics collectors and as JSON
// by expvar.
//
// Series are told apart by labels. Their number is bounded: beyond maxSeries,
// new series of a metric are counted together as "other".
//
// # Usage
//
//	m := meter.New()
//	m.Count(meter.Attempts, meter.Labels{Service: "desk", Outcome: "done"})
//	m.Observe(meter.AttemptTime, meter.Labels{Service: "desk"}, took)
//	m.Gauge("policy_version", func() float64 { return 7 })
//	m.WriteText(w)
//
// Lock order: Meter.mu is a leaf. Gauges are read without it.
package meter

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxSeries bounds the series of one metric.
	maxSeries = 256
	// maxTime is the longest time that a histogram tells apart, in milliseconds.
	maxTime = 60_000
	// timeDigits is the number of decimal digits to which times are kept.
	timeDigits = 1
)

// Metric names a counter or a histogram.
type Metric string

// The metrics.
const (
	// Requests counts answers to clients by service, outcome and cause.
	Requests Metric = "requests"
	// Attempts counts attempts at upstreams by service, zone and outcome.
	Attempts Metric = "attempts"
	// Retries counts further attempts by service.
	Retries Metric = "retries"
	// StoreCalls counts calls to the platform's store by kind of call.
	StoreCalls Metric = "store_calls"
	// RequestTime is the time from a request to its answer, by service and outcome.
	RequestTime Metric = "request_time"
	// AttemptTime is the time from a send to its answer, by service and zone.
	AttemptTime Metric = "attempt_time"
	// QueueTime is the time that an attempt was expected to queue, by service and zone.
	QueueTime Metric = "queue_time"
)

// Labels tell the series of a metric apart. Empty ones are left out.
type Labels struct {
	Service string `json:"service,omitempty"`
	// Zone is the availability zone of the upstream.
	Zone    string `json:"zone,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Cause   string `json:"cause,omitempty"`
	// Call is the kind of a call to the store.
	Call string `json:"call,omitempty"`
}

// other stands for the series beyond the bound.
var other = Labels{Cause: "other"}

// compare orders labels for output.
func (l Labels) compare(m Labels) int {
	return cmp.Or(
		cmp.Compare(l.Service, m.Service),
		cmp.Compare(l.Zone, m.Zone),
		cmp.Compare(l.Outcome, m.Outcome),
		cmp.Compare(l.Cause, m.Cause),
		cmp.Compare(l.Call, m.Call),
	)
}

// Meter is the registry of one host.
type Meter struct {
	mu       sync.Mutex
	counters map[Metric]map[Labels]uint64
	times    map[Metric]map[Labels]*timing
	gauges   map[string]func() float64
}

// timing is one histogram in milliseconds, with the exact sum.
type timing struct {
	histogram *hdrhistogram.Histogram
	sum       time.Duration
}

// New returns an empty registry.
func New() *Meter {
	return &Meter{
		counters: map[Metric]map[Labels]uint64{},
		times:    map[Metric]map[Labels]*timing{},
		gauges:   map[string]func() float64{},
	}
}

// Count adds one to a counter.
func (m *Meter) Count(metric Metric, labels Labels) {
	m.mu.Lock()
	defer m.mu.Unlock()
	series := m.counters[metric]
	if series == nil {
		series = map[Labels]uint64{}
		m.counters[metric] = series
	}
	series[bounded(series, labels)]++
}

// Observe adds a time to a histogram. Times beyond its range count as its ends.
func (m *Meter) Observe(metric Metric, labels Labels, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	series := m.times[metric]
	if series == nil {
		series = map[Labels]*timing{}
		m.times[metric] = series
	}
	labels = bounded(series, labels)
	t := series[labels]
	if t == nil {
		t = &timing{histogram: hdrhistogram.New(1, maxTime, timeDigits)}
		series[labels] = t
	}
	t.sum += took
	ms := min(max(took.Milliseconds(), 1), maxTime)
	// The value is within the histogram's range, for which it gives no error.
	_ = t.histogram.RecordValue(ms)
}

// bounded returns the labels, or other where the metric has too many series.
func bounded[T any](series map[Labels]T, labels Labels) Labels {
	if _, ok := series[labels]; ok || len(series) < maxSeries {
		return labels
	}
	return other
}

// Gauge adds a value that is read when the metrics are.
func (m *Meter) Gauge(name string, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

// Series is one series as it is at a time.
type Series struct {
	Labels Labels `json:"labels"`
	Count  uint64 `json:"count"`
	// Sum and the quantiles are set for histograms, in seconds.
	Sum       float64            `json:"sum-s,omitempty"`
	Quantiles map[string]float64 `json:"quantiles-s,omitempty"`
}

// Reading is all metrics at a time.
type Reading struct {
	Counters   map[Metric][]Series `json:"counters"`
	Histograms map[Metric][]Series `json:"histograms"`
	Gauges     map[string]float64  `json:"gauges"`
}

// Read returns all metrics, the series of each in the order of their labels.
func (m *Meter) Read() Reading {
	reading := Reading{
		Counters:   map[Metric][]Series{},
		Histograms: map[Metric][]Series{},
		Gauges:     map[string]float64{},
	}
	for name, read := range m.readSeries(&reading) {
		reading.Gauges[name] = read()
	}
	return reading
}

// readSeries fills in counters and histograms and returns the gauges.
func (m *Meter) readSeries(reading *Reading) map[string]func() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for metric, series := range m.counters {
		for _, labels := range slices.SortedFunc(maps.Keys(series), Labels.compare) {
			reading.Counters[metric] = append(reading.Counters[metric], Series{Labels: labels, Count: series[labels]})
		}
	}
	for metric, series := range m.times {
		for _, labels := range slices.SortedFunc(maps.Keys(series), Labels.compare) {
			reading.Histograms[metric] = append(reading.Histograms[metric], series[labels].read(labels))
		}
	}
	return maps.Clone(m.gauges)
}

// quantiles are those that are reported.
var quantiles = map[string]float64{"0.5": 50, "0.9": 90, "0.99": 99, "1": 100}

func (t *timing) read(labels Labels) Series {
	const perSecond = 1000
	s := Series{
		Labels:    labels,
		Count:     uint64(t.histogram.TotalCount()),
		Sum:       t.sum.Seconds(),
		Quantiles: make(map[string]float64, len(quantiles)),
	}
	for name, q := range quantiles {
		s.Quantiles[name] = float64(t.histogram.ValueAtQuantile(q)) / perSecond
	}
	return s
}

// String returns all metrics as JSON, as expvar.Var asks for.
func (m *Meter) String() string {
	data, err := json.Marshal(m.Read())
	if err != nil {
		return "{}"
	}
	return string(data)
}
