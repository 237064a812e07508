package caller

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// healthPath is where upstreams report their state.
const healthPath = "/healthz"

// maxReport is the largest report.
const maxReport = 4 * core.Kibibyte

// Report is what an upstream says of itself. It may lag or mislead.
type Report struct {
	// Phase is live or leaving.
	Phase core.Phase `json:"phase"`
	// Load is the used part of its slots, 0 to 1.
	Load float64 `json:"load"`
}

// Health asks an upstream for its report over an own connection.
func (c *Caller) Health(upstream core.Upstream, timeout time.Duration, now time.Time) (Report, error) {
	conn, err := c.Dial("tcp", upstream.Address, timeout)
	if err != nil {
		return Report{}, err
	}
	wrapped := newConnection(conn)
	defer func() { _ = wrapped.Close() }()
	wrapped.limit(timeout, now.Add(timeout))
	var report Report
	err = probe(wrapped, upstream.Address, &report)
	return report, err
}

// probe reads the report over a connection; a nil target is not decoded into.
func probe(conn *connection, host string, target *Report) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(healthPath)
	request.Header.SetHost(host)
	if err := write(conn.writer, request); err != nil {
		return err
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := response.ReadLimitBody(conn.reader, int(maxReport)); err != nil {
		return err
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), target)
}

// Close closes all idle connections.
func (c *Caller) Close() {
	c.pools.closeAll()
}
