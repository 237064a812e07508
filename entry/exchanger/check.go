package exchanger

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/receiver"
)

// Health is what an upstream says in the response to a health check.
type Health struct {
	// RemainingWarmUp is the remaining time of the upstream's warm-up, 0 if it is warm or
	// unhealthy.
	RemainingWarmUp time.Duration
	// Availability is also set if the upstream is unhealthy.
	Availability placer.Availability
}

// CheckHealth sends a health check to an upstream and returns what it says. The error is of
// type core.ErrPeer, here about the upstream, if it is unhealthy, if another upstream
// answers at the address, or if no response arrives in time.
func (e *Exchanger) CheckHealth(upstream core.Upstream, path string, timeout time.Duration) (Health, error) {
	now := time.Now()
	conn, _ := e.pool.take(endpointOf(upstream), now)
	if conn == nil {
		// One host checks an upstream, and it need not be one of those that send requests to it.
		opened, err := e.open(upstream, max(e.maxConnections(upstream), 1), timeout, now)
		if err != nil {
			return Health{}, core.ErrPeer.Wrap(err, "health check of %s", upstream.Name)
		}
		conn = opened
	}
	conn.acquireReader(&e.buffered, e.MaxBufferedBytes)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := e.sendCheck(conn, upstream, path, response, now.Add(timeout))
	e.notifyMalformed(upstream, err)
	isClean := conn.releaseReader() == 0
	if err == nil && isClean && !response.ConnectionClose() && conn.updateIdleTimeout(response) {
		e.pool.put(endpointOf(upstream), conn, time.Now())
	} else {
		e.pool.discard(endpointOf(upstream), conn)
	}
	if err != nil {
		return Health{}, core.ErrPeer.Wrap(err, "health check of %s", upstream.Name)
	}
	if string(response.Header.Peek(e.HeaderNames.Instance)) != string(upstream.Name) {
		return Health{}, core.ErrPeer.New("health check of %s: another upstream answered", upstream.Name)
	}
	health := Health{Availability: e.availabilityOf(response)}
	if response.StatusCode() != fasthttp.StatusOK {
		return health, core.ErrPeer.New("health check of %s: status %d", upstream.Name, response.StatusCode())
	}
	health.RemainingWarmUp = parseWarmUp(string(response.Header.Peek(e.HeaderNames.RemainingWarmUp)))
	return health, nil
}

// sendCheck sends a health check and reads its response before the deadline.
func (e *Exchanger) sendCheck(
	conn *connection, upstream core.Upstream, path string, response *fasthttp.Response, deadline time.Time,
) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(upstream.Address)
	if written := writeRequest(conn, request, nil); written.err != nil {
		return written.err
	}
	r := receiver.Receiver{Response: response, Source: conn.reader, Method: fasthttp.MethodGet}
	if err := r.ReadHead(); err != nil {
		return err
	}
	if err := r.ReadBody(e.MaxResponseBody); err != nil {
		return err
	}
	// A health check has no id, so this is a late response to a request on the connection.
	if len(response.Header.Peek(e.HeaderNames.RequestID)) > 0 {
		return errMismatchedResponse
	}
	return nil
}
