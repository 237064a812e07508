// Package meter holds the counters, latency histograms and gauges of an entry host in
// one registry. Metrics collectors read it as text and expvar reads it as JSON.
//
// Labels identify the series of a metric. Their number is limited: beyond maxSeries,
// new series of a metric are counted together under the cause "other".
//
// # Usage
//
//	m := meter.New()
//	m.Count(meter.Attempts, meter.Labels{Service: "desk", Outcome: "done"})
//	m.Observe(meter.AttemptTime, meter.Labels{Service: "desk"}, took)
//	m.RegisterGauge("policy_version", func() float64 { return 7 })
//	err := m.WriteText(w)
//
// Lock order: Meter.mu is a leaf. Gauges are read without holding it.
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
	// maxSeries is the largest number of series of one metric, not counting the series
	// for all others.
	maxSeries = 256
	// maxMilliseconds is the largest value of a histogram, in milliseconds.
	maxMilliseconds = 60_000
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 1
)

// Metric is the name of a counter or a histogram.
type Metric string

// The names of the metrics.
const (
	// Requests counts responses to clients by service, outcome and cause.
	Requests Metric = "requests"
	// Attempts counts attempts at upstreams by service, zone and outcome.
	Attempts Metric = "attempts"
	// LimitedAttempts counts attempts at upstreams that had named a rate limit, by service,
	// zone and cause: "first" or "repeat".
	LimitedAttempts Metric = "limited_attempts"
	// LimitedMoves counts attempts that a rate limit or a pause sent to another upstream, by
	// service, the zone of that other upstream, and cause (placer.Closure).
	LimitedMoves Metric = "limited_moves"
	// Pauses counts the times for which an upstream wanted no requests, by service and zone.
	Pauses Metric = "upstream_pauses"
	// Retries counts retries by service.
	Retries Metric = "retries"
	// MalformedResponses counts responses that were no valid ones, by cause (who sent them:
	// "upstream", "host" or "store") and, for upstreams, service and zone.
	MalformedResponses Metric = "malformed_responses"
	// Credits counts calls for credits of organisations with quotas by outcome and, for those
	// granted, cause: "same-host", "same-zone", "same-region" or "other-region".
	Credits Metric = "credits"
	// StoreCalls counts calls to the platform's store by kind of call.
	StoreCalls Metric = "store_calls"
	// RequestTime is the time from a request to its response, by service and outcome.
	RequestTime Metric = "request_time"
	// AttemptTime is the time from sending an attempt to its response, by service and
	// zone.
	AttemptTime Metric = "attempt_time"
	// QueueTime is the expected queue time of an attempt, by service and zone.
	QueueTime Metric = "queue_time"
)

// Labels identify a series of a metric. Empty labels are omitted.
type Labels struct {
	Service string `json:"service,omitempty"`
	// Zone is the availability zone of the upstream.
	Zone    string `json:"zone,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Cause   string `json:"cause,omitempty"`
	// Call is the kind of a call to the platform's store.
	Call string `json:"call,omitempty"`
}

// overflowLabels are the labels of the series that counts everything beyond maxSeries.
var overflowLabels = Labels{Cause: "other"}

// compare returns the order of two sets of labels in the output.
func (l Labels) compare(other Labels) int {
	return cmp.Or(
		cmp.Compare(l.Service, other.Service),
		cmp.Compare(l.Zone, other.Zone),
		cmp.Compare(l.Outcome, other.Outcome),
		cmp.Compare(l.Cause, other.Cause),
		cmp.Compare(l.Call, other.Call),
	)
}

// Meter is the registry of one host.
type Meter struct {
	mu         sync.Mutex
	counters   map[Metric]map[Labels]uint64
	histograms map[Metric]map[Labels]*durationHistogram
	gauges     map[string]func() float64
}

// durationHistogram is a histogram of durations in milliseconds, with their exact sum.
type durationHistogram struct {
	histogram *hdrhistogram.Histogram
	sum       time.Duration
}

// New returns an empty registry.
func New() *Meter {
	return &Meter{
		counters:   map[Metric]map[Labels]uint64{},
		histograms: map[Metric]map[Labels]*durationHistogram{},
		gauges:     map[string]func() float64{},
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
	series[boundedLabels(series, labels)]++
}

// Observe adds a duration to a histogram. Durations below 1 ms or above maxMilliseconds
// are counted as these limits; their sum stays exact.
func (m *Meter) Observe(metric Metric, labels Labels, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	series := m.histograms[metric]
	if series == nil {
		series = map[Labels]*durationHistogram{}
		m.histograms[metric] = series
	}
	labels = boundedLabels(series, labels)
	h := series[labels]
	if h == nil {
		h = &durationHistogram{histogram: hdrhistogram.New(1, maxMilliseconds, significantDigits)}
		series[labels] = h
	}
	h.sum += duration
	milliseconds := min(max(duration.Milliseconds(), 1), maxMilliseconds)
	// RecordValue returns no error because the value is within the range.
	_ = h.histogram.RecordValue(milliseconds)
}

// boundedLabels returns the labels, or overflowLabels if they would add a series beyond
// maxSeries.
func boundedLabels[T any](series map[Labels]T, labels Labels) Labels {
	if _, ok := series[labels]; ok || len(series) < maxSeries {
		return labels
	}
	return overflowLabels
}

// RegisterGauge registers a gauge. Its value is read whenever the metrics are read.
func (m *Meter) RegisterGauge(name string, read func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

// Series is the value of one series.
type Series struct {
	Labels Labels `json:"labels"`
	Count  uint64 `json:"count"`
	// Sum and Quantiles are set for histograms, in seconds.
	Sum       float64            `json:"sum-s,omitempty"`
	Quantiles map[string]float64 `json:"quantiles-s,omitempty"`
}

// Snapshot holds the values of all metrics at one time.
type Snapshot struct {
	Counters   map[Metric][]Series `json:"counters"`
	Histograms map[Metric][]Series `json:"histograms"`
	Gauges     map[string]float64  `json:"gauges"`
}

// Snapshot returns the values of all metrics. The series of a metric are sorted by their
// labels.
func (m *Meter) Snapshot() Snapshot {
	reading := Snapshot{
		Counters:   map[Metric][]Series{},
		Histograms: map[Metric][]Series{},
		Gauges:     map[string]float64{},
	}
	for name, read := range m.readSeries(&reading) {
		reading.Gauges[name] = read()
	}
	return reading
}

// readSeries adds counters and histograms to the snapshot and returns the gauges.
func (m *Meter) readSeries(reading *Snapshot) map[string]func() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for metric, series := range m.counters {
		for _, labels := range slices.SortedFunc(maps.Keys(series), Labels.compare) {
			reading.Counters[metric] = append(reading.Counters[metric], Series{Labels: labels, Count: series[labels]})
		}
	}
	for metric, series := range m.histograms {
		for _, labels := range slices.SortedFunc(maps.Keys(series), Labels.compare) {
			reading.Histograms[metric] = append(reading.Histograms[metric], series[labels].read(labels))
		}
	}
	return maps.Clone(m.gauges)
}

// quantiles maps the names of the reported quantiles to percentiles.
var quantiles = map[string]float64{"0.5": 50, "0.9": 90, "0.99": 99, "1": 100}

func (h *durationHistogram) read(labels Labels) Series {
	const millisecondsPerSecond = 1000
	s := Series{
		Labels:    labels,
		Count:     uint64(h.histogram.TotalCount()),
		Sum:       h.sum.Seconds(),
		Quantiles: make(map[string]float64, len(quantiles)),
	}
	for name, percentile := range quantiles {
		s.Quantiles[name] = float64(h.histogram.ValueAtQuantile(percentile)) / millisecondsPerSecond
	}
	return s
}

// String returns all metrics as JSON. It implements expvar.Var.
func (m *Meter) String() string {
	data, err := json.Marshal(m.Snapshot())
	if err != nil {
		return "{}"
	}
	return string(data)
}
