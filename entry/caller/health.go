package caller

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// healthPath is the path under which upstreams serve their health report.
const healthPath = "/healthz"

// maxReportSize is the largest health report that is read, in bytes.
const maxReportSize = 4 * core.Kibibyte

// Report is the state that an upstream reports about itself. It may be out of date or
// wrong.
type Report struct {
	// Phase is live, or leaving while the upstream drains.
	Phase core.Phase `json:"phase"`
	// Load is the fraction of its slots that are in use, 0 to 1.
	Load float64 `json:"load"`
}

// Health requests the health report of an upstream over a new connection.
func (c *Caller) Health(upstream core.Upstream, timeout time.Duration, now time.Time) (Report, error) {
	conn, err := c.Dial("tcp", upstream.Address, timeout)
	if err != nil {
		return Report{}, err
	}
	wrapped := newConnection(conn)
	defer func() { _ = wrapped.Close() }()
	wrapped.setLimits(timeout, now.Add(timeout))
	var report Report
	err = fetchReport(wrapped, upstream.Address, &report)
	return report, err
}

// fetchReport requests the health report over a connection. If target is nil, any response that
// can be read is accepted.
func fetchReport(conn *connection, host string, target *Report) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(healthPath)
	request.Header.SetHost(host)
	if err := writeRequest(conn.writer, request); err != nil {
		return err
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := response.ReadLimitBody(conn.reader, int(maxReportSize)); err != nil {
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
