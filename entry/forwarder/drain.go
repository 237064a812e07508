package forwarder

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/detector"
)

// drainLinger is how long a client may take to read the last response on its connection, and to
// close its end.
const drainLinger = 5 * time.Second

// StartDraining starts draining: from now on the host closes each client connection
// after its next response, and refuses requests that it could not answer before its end. It
// may be called before ctx of Run ends, so that clients leave while the host still accepts
// connections.
func (f *Forwarder) StartDraining(schedule core.DrainSchedule) {
	f.drain.Store(&schedule)
}

// isDraining reports whether StartDraining has been called.
func (f *Forwarder) isDraining() bool {
	return f.drain.Load() != nil
}

// closeIfDraining makes the server close the client's connection after the response if the
// host drains. While it accepts connections, it first answers what it has read of a next request.
func (f *Forwarder) closeIfDraining(ctx *fasthttp.RequestCtx, now time.Time) {
	schedule := f.drain.Load()
	if schedule == nil {
		return
	}
	if conn, ok := ctx.Conn().(*detector.Conn); ok {
		if conn.HasReadAhead() && now.Before(schedule.AcceptsUntil) {
			return
		}
		// Bytes of a next request that are not read must not reset the connection, which could
		// cost the client this response.
		conn.LingerOnClose(drainLinger)
	}
	ctx.SetConnectionClose()
}

// isRefusedByStop reports whether the host drains and may end before the response to the
// request is due, so that no further attempt may be made.
func (r *requestState) isRefusedByStop(now time.Time) bool {
	return !r.forwarder.drain.Load().Allows(r.responseDeadline, now)
}
