package exchanger

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// Check asks an upstream whether it is healthy, and returns for how long it
// stays cold. The error is of type core.ErrPeer where it is not healthy, is
// another one, or does not answer in time.
func (e *Exchanger) Check(upstream core.Upstream, path string, timeout time.Duration) (time.Duration, error) {
	now := time.Now()
	conn, _ := e.pool.take(endpointOf(upstream), now)
	if conn == nil {
		opened, err := e.open(upstream, timeout, now)
		if err != nil {
			return 0, core.ErrPeer.Wrap(err, "health check of %s", upstream.Name)
		}
		conn = opened
	}
	conn.acquireReader(&e.held, e.MaxHeld)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := e.ask(conn, upstream, path, response, now.Add(timeout))
	isClean := conn.releaseReader() == 0
	if err == nil && isClean && !response.ConnectionClose() && conn.setIdleLimit(response) {
		e.pool.put(endpointOf(upstream), conn, time.Now())
	} else {
		e.pool.discard(endpointOf(upstream), conn)
	}
	if err != nil {
		return 0, core.ErrPeer.Wrap(err, "health check of %s", upstream.Name)
	}
	if response.StatusCode() != fasthttp.StatusOK || string(response.Header.Peek(e.Fields.Instance)) != string(upstream.Name) {
		return 0, core.ErrPeer.New("health check of %s: status %d", upstream.Name, response.StatusCode())
	}
	return parseCold(string(response.Header.Peek(e.Fields.Cold))), nil
}

// ask sends a health check and reads its answer.
func (e *Exchanger) ask(conn *connection, upstream core.Upstream, path string, response *fasthttp.Response, until time.Time) error {
	if err := conn.SetDeadline(until); err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(upstream.Address)
	if sent := writeRequest(conn, request, nil); sent.err != nil {
		return sent.err
	}
	return readWhole(response, conn.reader, int(e.MaxAnswer))
}
