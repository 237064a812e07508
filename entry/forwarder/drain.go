package forwarder

import (
	"time"

	"github.com/valyala/fasthttp"
)

// DrainSchedule holds the times of a graceful stop.
type DrainSchedule struct {
	// ListedUntil is until when clients may connect because they use an older list of hosts.
	ListedUntil time.Time
	// End is when the host ends. Requests that are in flight then are cut.
	End time.Time
}

// allows reports whether a request may be forwarded whose response is due at the given time.
// After ListedUntil the host must be able to await the response: a client that is refused
// then finds another host. Before it, the client might be sent to this host again.
func (s *DrainSchedule) allows(responseDeadline, now time.Time) bool {
	return s == nil || now.Before(s.ListedUntil) || !responseDeadline.After(s.End)
}

// StartDraining starts draining: from now on the host closes each client connection
// after its next response, and refuses requests that it could not answer before its end. It
// may be called before ctx of Run ends, so that clients leave while the host still accepts
// connections.
func (f *Forwarder) StartDraining(schedule DrainSchedule) {
	f.drain.Store(&schedule)
}

// isDraining reports whether StartDraining has been called.
func (f *Forwarder) isDraining() bool {
	return f.drain.Load() != nil
}

// closeIfDraining makes the server close the client's connection after the response if the
// host drains.
func (f *Forwarder) closeIfDraining(ctx *fasthttp.RequestCtx) {
	if f.isDraining() {
		ctx.SetConnectionClose()
	}
}

// isTooLate reports whether the host drains and may end before the response to the request
// is due. The request must not be forwarded then.
func (r *requestState) isTooLate(now time.Time) bool {
	r.isRefusedByStop = !r.forwarder.drain.Load().allows(r.responseDeadline, now)
	return r.isRefusedByStop
}
