package controller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/endiverun/endiverun/entry/forwarder"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
)

// observe adds the gauges of the host.
func (c *Controller) observe() {
	gauges := map[string]func() float64{
		"in_flight":          func() float64 { return float64(c.forwarder.InFlight()) },
		"reads_store":        func() float64 { return truth(c.reads() == ReadsAll) },
		"is_ready":           func() float64 { return truth(c.TakesRequests()) },
		"policy_version":     func() float64 { return float64(c.replicator.Snapshot().Revisions().Policy) },
		"upstreams_revision": func() float64 { return float64(c.replicator.Snapshot().Revisions().Upstreams) },
		"store_confirmed":    func() float64 { return truth(c.contact.isConfirmed(time.Now())) },
		"store_age_seconds": func() float64 {
			return c.contact.age(time.Now()).Seconds()
		},
		"upstreams":       func() float64 { return float64(c.upstreamCount()) },
		"evacuated_zones": func() float64 { return float64(c.evacuatedCount()) },
		"sharing_hosts":   func() float64 { return float64(c.hosts.Load()) },
		"log_lines_lost":  func() float64 { return float64(c.Log.Lost()) },
	}
	for name, read := range gauges {
		c.Meter.Gauge(name, read)
	}
}

func truth(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func (c *Controller) upstreamCount() int {
	if u := c.replicator.Snapshot().Upstreams; u != nil {
		return len(u.List)
	}
	return 0
}

func (c *Controller) evacuatedCount() int {
	if e := c.replicator.Snapshot().Evacuations; e != nil {
		return len(e.Zones)
	}
	return 0
}

// countAttempt counts the end of an attempt.
func (c *Controller) countAttempt(e forwarder.Event) {
	place := meter.Labels{Service: string(e.Service), Zone: string(e.Attempt.Zone)}
	if e.Attempt.Run > 0 {
		c.Meter.Observe(meter.AttemptTime, place, e.Attempt.Run)
	}
	if e.Attempt.Wait > 0 {
		c.Meter.Observe(meter.QueueTime, place, e.Attempt.Wait)
	}
	place.Outcome = e.Attempt.Outcome.String()
	c.Meter.Count(meter.Attempts, place)
}

// countEnd counts an answer to a client.
func (c *Controller) countEnd(e forwarder.Event) {
	labels := meter.Labels{Service: string(e.Service), Outcome: strconv.Itoa(e.Status)}
	if e.Took > 0 {
		c.Meter.Observe(meter.RequestTime, labels, e.Took)
	}
	labels.Cause = e.Cause
	c.Meter.Count(meter.Requests, labels)
}

// noteAnswer counts an upstream's answer. A failure of the upstream's own is
// explained.
func (c *Controller) noteAnswer(e forwarder.Event) {
	e.Cause = ""
	c.countEnd(e)
	if e.Status >= http.StatusInternalServerError {
		c.Log.Event(logger.UpstreamFailed).
			Str("request", e.RequestID).Str("route", string(e.Route)).Str("service", string(e.Service)).
			Str("upstream", string(e.Upstream)).Uint64("policy", e.Version).Int("status", e.Status).
			Dur("took", e.Took).Send()
	}
}

// noteRetry explains and counts a further attempt.
func (c *Controller) noteRetry(e forwarder.Event) {
	c.Meter.Count(meter.Retries, meter.Labels{Service: string(e.Service)})
	c.Log.Event(logger.RequestRetried).
		Str("request", e.RequestID).Str("service", string(e.Service)).
		Uint64("policy", e.Version).Str("cause", e.Cause).Send()
}

// noteRefusal explains and counts an answer of the host's own.
func (c *Controller) noteRefusal(e forwarder.Event) {
	c.countEnd(e)
	c.Log.Event(logger.RequestRefused).
		Str("request", e.RequestID).Str("route", string(e.Route)).Str("service", string(e.Service)).
		Str("upstream", string(e.Upstream)).Uint64("policy", e.Version).Int("status", e.Status).
		Str("cause", e.Cause).Str("detail", e.Detail).Dur("took", e.Took).Send()
}
