package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/deduplicator"
)

// check refuses what cannot be run whatever the load.
func (d *Dispatch) check(now time.Time) {
	configuration := d.shared.Configuration()
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
		d.shared.Budget.Earn()
	}
	if service.Repeatable {
		d.stage = stageSteer
		return
	}
	d.checkOnce(now)
}

// checkOnce checks a request that must run at most once.
func (d *Dispatch) checkOnce(now time.Time) {
	if d.request.Key.Text == "" {
		d.refuse(core.RefusalKeyRequired, "requests to this service need an Idempotency-Key; /v1/route tells how to make one")
		return
	}
	if d.origin.Attempt != "" && !d.beginAttempt(now) {
		return
	}
	switch {
	case !d.origin.isClient() && !d.origin.IsHome:
		// The home of the key is the peer that handed the request over.
		d.stage = stageSteer
	case d.request.Key.IsHomeBound():
		d.checkHome(now)
	case d.origin.IsHome:
		// The peer read in the store that this life holds the claim.
		d.stage = stageKey
	default:
		d.stage = stageClaim
	}
}

// beginAttempt admits what a peer handed over, unless the peer has been told
// that it was not run.
func (d *Dispatch) beginAttempt(now time.Time) bool {
	entry := d.shared.Attempts.Begin(deduplicator.Send{
		ID:     string(d.origin.Attempt),
		Expiry: d.request.Deadline.Add(keyMargin),
	}, now)
	switch entry.Verdict {
	case deduplicator.Run:
		d.holdsAttempt = true
		return true
	case deduplicator.Buried:
		d.refuse(core.RefusalDeadline, "the attempt had been given up before it arrived")
	case deduplicator.Full:
		d.refuse(core.RefusalTableFull, "too many requests are remembered")
	default:
		d.finish(core.Unknown(core.RefusalUnknown, "the attempt arrived twice"))
	}
	return false
}

// checkHome sends a home-bound key on its way.
func (d *Dispatch) checkHome(now time.Time) {
	key := d.request.Key
	age := now.Sub(key.Minted)
	switch {
	case key.Home == d.shared.Self.Life() && age < -futureLimit:
		d.refuse(core.RefusalKeyInvalid, "the key's minting second is in the future")
	case key.Home == d.shared.Self.Life():
		d.stage = stageKey
	default:
		d.goHome(key.Home, now)
	}
}

// goHome prepares handing the request to the life that may run it.
func (d *Dispatch) goHome(home core.Life, now time.Time) {
	if !d.origin.isClient() {
		d.neverRunIfFirst(core.RefusalStaleHome, "the key's home has been replaced")
		return
	}
	member, isLive := d.shared.Tracker.Lookup(home.Host, now)
	if !isLive || member.Host.Incarnation != home.Incarnation {
		d.neverRunIfFirst(core.RefusalStaleHome, "the key's home is gone")
		return
	}
	d.home = member.Host
	d.stage = stageKey
}

// neverRunIfFirst refuses a request that this system has not run if this is
// the client's first use of the key; a re-sent one may have been run before.
func (d *Dispatch) neverRunIfFirst(kind core.RefusalKind, detail string) {
	if d.request.Ordinal == 0 && d.request.Key.IsHomeBound() && !d.mayHaveRun {
		d.refuse(kind, detail+"; take a new key")
		return
	}
	d.finish(core.Unknown(core.RefusalUnknown, detail+"; an earlier send may have been run"))
}

// beginKey asks the table of this life, or goes to the key's home. It reports
// false where the request may be run here.
func (d *Dispatch) beginKey(now time.Time) (Step, bool) {
	if d.home.Name != "" {
		return d.expect(Step{Kind: StepHome, Host: d.home, Attempt: d.shared.nextAttempt(), Until: d.request.Deadline}), true
	}
	key := d.request.Key
	if key.IsHomeBound() && now.Sub(key.Minted) > KeyLife {
		// The key may have ended, and been forgotten, while this send waited.
		d.neverRunIfFirst(core.RefusalKeyExpired, "the key is too old")
		return Step{}, false
	}
	expiry := now.Add(deduplicator.ClaimLife + keyMargin)
	if key.IsHomeBound() {
		expiry = key.Minted.Add(KeyLife + keyMargin)
	}
	entry := d.shared.Keys.Begin(deduplicator.Send{
		ID: key.Text, Fingerprint: fingerprint(d.request), Ordinal: d.request.Ordinal, Expiry: expiry,
	}, now)
	d.isSettled = entry.Verdict != deduplicator.Wait && entry.Verdict != deduplicator.Full
	switch entry.Verdict {
	case deduplicator.Run:
		d.holdsKey = true
		d.mayHaveRun = false
		d.stage = stageSteer
		return Step{}, false
	case deduplicator.Wait:
		d.mayHaveRun = true
		if !now.Before(d.request.Deadline) {
			d.finish(core.Unknown(core.RefusalUnknown, "another send of this key is still running"))
			return Step{}, false
		}
		return Step{Kind: StepAwait, Done: entry.Done, Until: d.request.Deadline}, true
	case deduplicator.Replay:
		d.finish(entry.Outcome)
	case deduplicator.Closed:
		d.refuse(core.RefusalStaleHome, "a later send was refused; take a new key, or a higher ordinal")
	case deduplicator.Reused:
		d.refuse(core.RefusalKeyReused, "the key was used with another request")
	default:
		d.refuse(core.RefusalTableFull, "too many keys are remembered")
	}
	return Step{}, false
}

// fingerprint tells whether two requests under one key are the same.
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
