package caller

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/receiver"
)

// healthPath is the path under which upstreams serve their health report.
const healthPath = "/healthz"

// maxReportSize is the largest health report that is read, in bytes.
const maxReportSize = 4 * core.Kibibyte

// HealthReport is the state that an upstream reports about itself. It may be out of date or
// wrong.
type HealthReport struct {
	// Phase is live, or leaving while the upstream drains.
	Phase core.Phase `json:"phase"`
	// Load is the fraction of its slots that are in use, 0 to 1. Its slots are the
	// requests that it can run at the same time.
	Load float64 `json:"load"`
}

// FetchHealth requests the health report of an upstream over a new connection.
func (c *Caller) FetchHealth(upstream core.Upstream, timeout time.Duration, now time.Time) (HealthReport, error) {
	conn, err := c.Dial("tcp", upstream.Address, timeout)
	if err != nil {
		return HealthReport{}, err
	}
	wrapped := newConnection(conn)
	defer func() { _ = wrapped.Close() }()
	wrapped.setLimits(timeout, now.Add(timeout))
	var report HealthReport
	err = fetchReport(wrapped, upstream.Address, &report)
	return report, err
}

// fetchReport requests the health report over a connection. If target is nil, any response that
// can be read is accepted.
func fetchReport(conn *connection, host string, target *HealthReport) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(healthPath)
	request.Header.SetHost(host)
	if err := writeRequest(conn.writer, request); err != nil {
		return err
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	r := receiver.Receiver{Response: response, Source: conn.reader, Method: fasthttp.MethodGet}
	if err := r.ReadHead(); err != nil {
		return err
	}
	if err := r.ReadBody(maxReportSize); err != nil {
		return err
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), target)
}

// Close closes all idle connections.
func (c *Caller) Close() {
	c.pool.closeAll()
}
