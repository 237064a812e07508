package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/deduplicator"
)

// validate refuses requests that cannot run regardless of load, and sets the stage of
// the others.
func (d *Dispatch) validate(now time.Time) {
	configuration := d.dispatcher.Configuration()
	service, ok := configuration.Services[d.request.Service]
	switch {
	case configuration.Number == 0:
		d.refuse(core.RefusalNotReady, "this host has no configuration yet")
		return
	case !ok:
		d.refuse(core.RefusalUnknownService, "no service of that name is configured")
		return
	case service.MaxBody > 0 && core.Bytes(len(d.request.Body)) > service.MaxBody:
		d.refuse(core.RefusalBodyTooLarge, "the body is larger than the service permits")
		return
	case !now.Before(d.request.Deadline):
		d.refuse(core.RefusalDeadline, "the deadline had passed on arrival")
		return
	default:
	}
	d.service = service
	if d.origin.isClient() {
		d.dispatcher.RetryBudget.RecordRequest()
	}
	if service.Repeatable {
		d.stage = stageSelect
		return
	}
	d.beginAtMostOnce(now)
}

// beginAtMostOnce sets the stage of a request that must run at most once.
func (d *Dispatch) beginAtMostOnce(now time.Time) {
	if d.request.Key.Text == "" {
		d.refuse(core.RefusalKeyRequired, "requests to this service need an Idempotency-Key; /v1/route tells how to make one")
		return
	}
	if d.origin.Attempt != "" && !d.beginAttempt(now) {
		return
	}
	switch {
	case !d.origin.isClient() && !d.origin.ToKeyHome:
		// The home of the key is the peer that forwarded the request.
		d.stage = stageSelect
	case d.request.Key.IsHomeBound():
		d.checkHome(now)
	case d.origin.ToKeyHome:
		// The peer read in the store that this incarnation holds the claim.
		d.stage = stageKey
	default:
		d.stage = stageClaim
	}
}

// beginAttempt admits an attempt that a peer forwarded, unless the peer was already told
// that it did not run.
func (d *Dispatch) beginAttempt(now time.Time) bool {
	entry := d.dispatcher.Attempts.Begin(deduplicator.Delivery{
		ID:     string(d.origin.Attempt),
		Expiry: d.request.Deadline.Add(keyExpiryMargin),
	}, now)
	switch entry.Status {
	case deduplicator.StatusRunnable:
		d.holdsAttempt = true
		return true
	case deduplicator.StatusTombstoned:
		d.refuse(core.RefusalDeadline, "the attempt had been given up before it arrived")
	case deduplicator.StatusTableFull:
		d.refuse(core.RefusalTableFull, "too many requests are remembered")
	default:
		d.finish(core.UnknownOutcome(core.RefusalOutcomeUnknown, "the attempt arrived twice"))
	}
	return false
}

// checkHome checks a home-bound key if its home is this incarnation, and otherwise
// prepares forwarding the request to its home.
func (d *Dispatch) checkHome(now time.Time) {
	key := d.request.Key
	age := now.Sub(key.IssuedAt)
	switch {
	case key.Home == d.dispatcher.Self.Instance() && age < -maxClockSkew:
		d.refuse(core.RefusalKeyInvalid, "the key's minting second is in the future")
	case key.Home == d.dispatcher.Self.Instance():
		d.stage = stageKey
	default:
		d.prepareForwardHome(key.Home, now)
	}
}

// prepareForwardHome sets the host to which the request is forwarded because it is the
// home of the key. A request that was forwarded already is not forwarded again.
func (d *Dispatch) prepareForwardHome(home core.HostInstance, now time.Time) {
	if !d.origin.isClient() {
		d.refuseIfFirst(core.RefusalStaleHome, "the key's home has been replaced")
		return
	}
	member, isLive := d.dispatcher.Tracker.Lookup(home.Host, now)
	if !isLive || member.Host.Incarnation != home.Incarnation {
		d.refuseIfFirst(core.RefusalStaleHome, "the key's home is gone")
		return
	}
	d.home = member.Host
	d.stage = stageKey
}

// refuseIfFirst refuses the request as not run if it is the client's first request with
// the key. Otherwise an earlier request with the key may have run, and the outcome is
// unknown.
func (d *Dispatch) refuseIfFirst(kind core.RefusalKind, detail string) {
	if d.request.Ordinal == 0 && d.request.Key.IsHomeBound() && !d.mayHaveRun {
		d.refuse(kind, detail+"; take a new key")
		return
	}
	d.finish(core.UnknownOutcome(core.RefusalOutcomeUnknown, detail+"; an earlier send may have been run"))
}

// beginKey looks the key up in the table of this incarnation, or returns the step that
// forwards the request to the key's home. It returns false where there is no step,
// because the request may run here or has ended.
func (d *Dispatch) beginKey(now time.Time) (Step, bool) {
	if d.home.Name != "" {
		return d.expectResult(Step{Kind: StepForwardHome, Host: d.home, Attempt: d.dispatcher.newAttemptID(), Deadline: d.request.Deadline}), true
	}
	key := d.request.Key
	if key.IsHomeBound() && now.Sub(key.IssuedAt) > KeyTTL {
		// A request with the key may have ended, and been forgotten, while this one waited.
		d.refuseIfFirst(core.RefusalKeyExpired, "the key is too old")
		return Step{}, false
	}
	expiry := now.Add(deduplicator.ClaimTTL + keyExpiryMargin)
	if key.IsHomeBound() {
		expiry = key.IssuedAt.Add(KeyTTL + keyExpiryMargin)
	}
	entry := d.dispatcher.Keys.Begin(deduplicator.Delivery{
		ID: key.Text, Fingerprint: fingerprint(d.request), Ordinal: d.request.Ordinal, Expiry: expiry,
	}, now)
	d.isKeyResolved = entry.Status != deduplicator.StatusRunning && entry.Status != deduplicator.StatusTableFull
	switch entry.Status {
	case deduplicator.StatusRunnable:
		d.holdsKey = true
		d.mayHaveRun = false
		d.stage = stageSelect
		return Step{}, false
	case deduplicator.StatusRunning:
		d.mayHaveRun = true
		if !now.Before(d.request.Deadline) {
			d.finish(core.UnknownOutcome(core.RefusalOutcomeUnknown, "another send of this key is still running"))
			return Step{}, false
		}
		return Step{Kind: StepWaitForDone, Done: entry.Done, Deadline: d.request.Deadline}, true
	case deduplicator.StatusCompleted:
		d.finish(entry.Outcome)
	case deduplicator.StatusSuperseded:
		d.refuse(core.RefusalStaleHome, "a later send was refused; take a new key, or a higher ordinal")
	case deduplicator.StatusConflict:
		d.refuse(core.RefusalKeyReused, "the key was used with another request")
	default:
		d.refuse(core.RefusalTableFull, "too many keys are remembered")
	}
	return Step{}, false
}

// fingerprint returns a hash of the request, by which a reuse of its key for a different
// request is detected.
func fingerprint(request core.Request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, s := range []string{string(request.Service), request.Method, request.Path} {
		_, _ = digest.WriteString(s)
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}
