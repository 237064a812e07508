package controller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/forwarder"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
)

// registerGauges registers the gauges of the host.
func (c *Controller) registerGauges() {
	gauges := map[string]func() float64{
		"request_body_bytes": func() float64 { return float64(c.forwarder.BodyBytes()) },
		"in_flight":          func() float64 { return float64(c.forwarder.InFlight()) },
		"reads_store":        func() float64 { return boolToFloat(c.currentReadMode() == ReadAll) },
		"is_ready":           func() float64 { return boolToFloat(c.IsServing()) },
		"policy_version":     func() float64 { return float64(c.replicator.Snapshot().Revisions().Policy) },
		"upstreams_revision": func() float64 { return float64(c.replicator.Snapshot().Revisions().Upstreams) },
		"store_era":          func() float64 { return float64(c.replicator.Snapshot().Era) },
		"store_confirmed":    func() float64 { return boolToFloat(c.storeStatus.isSnapshotCurrent(time.Now())) },
		"store_age_seconds": func() float64 {
			return c.storeStatus.timeSinceResponse(time.Now()).Seconds()
		},
		"upstreams":         func() float64 { return float64(c.upstreamCount()) },
		"evacuated_zones":   func() float64 { return float64(c.evacuatedZoneCount()) },
		"limited_upstreams": func() float64 { return float64(c.placer.LimitedUpstreams()) },
		"paused_upstreams":  func() float64 { return float64(c.placer.PausedUpstreams(time.Now())) },
		"leaving_upstreams": func() float64 { return float64(c.placer.LeavingUpstreams()) },
		"lent_share":        c.lentShare,
		"sharing_hosts":     func() float64 { return float64(c.sharingHosts.Load()) },
		"log_lines_lost":    func() float64 { return float64(c.Log.DroppedLines()) },
	}
	for name, read := range gauges {
		c.Meter.RegisterGauge(name, read)
	}
}

func boolToFloat(value bool) float64 {
	if value {
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

func (c *Controller) evacuatedZoneCount() int {
	if e := c.replicator.Snapshot().Evacuations; e != nil {
		return len(e.Zones)
	}
	return 0
}

// countAttempt updates the metrics at the end of an attempt.
func (c *Controller) countAttempt(e forwarder.Event) {
	labels := meter.Labels{Service: string(e.Service), Zone: string(e.Attempt.Zone)}
	if e.Attempt.ResponseTime > 0 {
		c.Meter.Observe(meter.AttemptTime, labels, e.Attempt.ResponseTime)
	}
	if e.Attempt.QueueTime > 0 {
		c.Meter.Observe(meter.QueueTime, labels, e.Attempt.QueueTime)
	}
	if e.Limit.InForce {
		c.Meter.Count(meter.LimitedAttempts, meter.Labels{Service: labels.Service, Zone: labels.Zone, Cause: attemptCause(e.Attempt.IsRepeat)})
	}
	if e.MovedBy != placer.Open {
		c.Meter.Count(meter.LimitedMoves, meter.Labels{Service: labels.Service, Zone: labels.Zone, Cause: e.MovedBy.String()})
	}
	labels.Outcome = e.Attempt.Outcome.String()
	c.Meter.Count(meter.Attempts, labels)
}

// attemptCause returns the label of a first attempt or of a repeat.
func attemptCause(isRepeat bool) string {
	if isRepeat {
		return "repeat"
	}
	return "first"
}

// countRequest updates the metrics at the end of a request.
func (c *Controller) countRequest(e forwarder.Event) {
	labels := meter.Labels{Service: string(e.Service), Outcome: strconv.Itoa(e.Status)}
	if e.Duration > 0 {
		c.Meter.Observe(meter.RequestTime, labels, e.Duration)
	}
	labels.Cause = e.Cause
	c.Meter.Count(meter.Requests, labels)
}

// recordResponse counts an upstream's response to a client, and logs it if it is a
// server error.
func (c *Controller) recordResponse(e forwarder.Event) {
	e.Cause = ""
	c.countRequest(e)
	if e.Status >= http.StatusInternalServerError {
		addLimit(addMove(c.Log.Event(logger.UpstreamFailed), e), e).
			Str("request", e.RequestID).Str("route", string(e.Route)).Str("organisation", string(e.Organisation)).Str("service", string(e.Service)).
			Str("upstream", string(e.Upstream)).Uint64("policy", e.PolicyVersion).Int("status", e.Status).
			Dur("took", e.Duration).Send()
	}
}

// recordRetry counts and logs a retry.
func (c *Controller) recordRetry(e forwarder.Event) {
	c.Meter.Count(meter.Retries, meter.Labels{Service: string(e.Service)})
	addLimit(addMove(c.Log.Event(logger.RequestRetried), e), e).
		Str("request", e.RequestID).Str("service", string(e.Service)).
		Uint64("policy", e.PolicyVersion).Str("cause", e.Cause).Send()
}

// recordFailure counts and logs a request that ended without a complete response of
// an upstream.
func (c *Controller) recordFailure(e forwarder.Event) {
	c.countRequest(e)
	addLimit(addMove(c.Log.Event(logger.RequestRefused), e), e).
		Str("request", e.RequestID).Str("route", string(e.Route)).Str("organisation", string(e.Organisation)).Str("service", string(e.Service)).
		Str("upstream", string(e.Upstream)).Uint64("policy", e.PolicyVersion).Int("status", e.Status).
		Str("cause", e.Cause).Str("detail", e.Detail).Dur("took", e.Duration).Send()
}

// recordAcceptError logs that no connection could be accepted from a client.
func (c *Controller) recordAcceptError(err error) {
	c.Log.Event(logger.AcceptFailed).Err(err).Send()
}

// addMove adds the upstream that a rate limit or a pause kept the last attempt of a request
// from to a line, if there is one, and which of them did.
func addMove(line *zerolog.Event, e forwarder.Event) *zerolog.Event {
	if e.MovedBy == placer.Open {
		return line
	}
	return line.Str("moved-from", string(e.MovedFrom)).Stringer("moved-by", e.MovedBy)
}

// addLimit adds the rate limit of the last upstream of a request to a line, if it has one:
// the limit, its age, the host that told of it, and the interval of this host's share.
func addLimit(line *zerolog.Event, e forwarder.Event) *zerolog.Event {
	if !e.Limit.InForce {
		return line
	}
	return line.Float64("limit", float64(e.Limit.Rate)).Dur("limit-age", time.Since(e.Limit.HeardAt)).
		Str("limit-source", string(e.Limit.Source)).Dur("limit-interval", e.LimitInterval)
}
