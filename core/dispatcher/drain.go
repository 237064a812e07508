package dispatcher

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// stoppingDetail is the detail of refusals with core.RefusalStopping.
const stoppingDetail = "this host stops and could not await the response"

// StartDraining starts the graceful stop of the host: from now on requests are refused whose
// responses the host could not await.
func (r *Dispatcher) StartDraining(schedule core.DrainSchedule) {
	r.drain.Store(&schedule)
}

// mayAwait reports whether the host may make an attempt: it does not stop, or not before the
// response is due.
func (d *Dispatch) mayAwait(now time.Time) bool {
	return d.dispatcher.drain.Load().Allows(d.request.Deadline, now)
}

// refuseIfTooLate refuses a request before the store or another host learns its key, if this
// host could not await the response. nextAttempt refuses the others: only after its key has
// been looked up is it known whether an earlier request with the key ran.
func (d *Dispatch) refuseIfTooLate(now time.Time) {
	needsOther := d.stage == stageClaim || d.stage == stageKey && d.home.Name != ""
	if needsOther && !d.mayAwait(now) {
		d.finish(d.unservedOutcome(core.RefusalStopping, stoppingDetail, retryAfter))
	}
}
