package replicator

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// expiryGrace is the time after an outage of the store for which a missing upstream is
// retained. Live upstreams register again within about two seconds.
const expiryGrace = 2 * time.Second

// minExpiredFraction is the fraction of the upstreams that must be missing for them
// to count as expired rather than as having left.
const minExpiredFraction = 0.2

// missedHeartbeats is the number of heartbeats that upstreams must miss before their
// registrations expire. The third one is late too if the store responds again just
// before it is due.
const missedHeartbeats = 2

// maxQuietTime is the longest time between two responses of a store that is available: a
// host probes the store at least every 1.5 s and waits as long for the response.
const maxQuietTime = 3 * time.Second

// defaultHeartbeat is the time between two heartbeats of an upstream where none is
// stated.
const defaultHeartbeat = 1500 * time.Millisecond

// RecordStoreResponse records a response of the store to any call, or that a host which
// reads the store confirmed the copy. After an outage it starts the grace period.
func (r *Replicator) RecordStoreResponse(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStoreOut(now) {
		r.graceUntil = now.Add(expiryGrace)
	}
	if r.isSilentFor(settleTime(r.heartbeat()), now) {
		r.returnedAt = now
	}
	r.lastResponse, r.hasFailed = now, false
}

// isStoreOut reports whether the store has not responded for so long that registrations of
// live upstreams may have expired. The caller holds Replicator.mu.
func (r *Replicator) isStoreOut(now time.Time) bool {
	if r.lastResponse.IsZero() {
		return r.hasFailed
	}
	silence := now.Sub(r.lastResponse)
	return silence > missedHeartbeats*r.heartbeat() && (r.hasFailed || silence > maxQuietTime)
}

// isSilentFor reports whether the store has not responded for more than the given time. The
// caller holds Replicator.mu.
func (r *Replicator) isSilentFor(limit time.Duration, now time.Time) bool {
	return !r.lastResponse.IsZero() && now.Sub(r.lastResponse) > limit
}

// heartbeat returns the time between two heartbeats of an upstream.
func (r *Replicator) heartbeat() time.Duration {
	if r.UpstreamHeartbeatInterval <= 0 {
		return defaultHeartbeat
	}
	return r.UpstreamHeartbeatInterval
}

// RecordStoreFailure records a failed call to the store.
func (r *Replicator) RecordStoreFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasFailed = true
}

// mayHaveExpired reports whether upstreams that are missing from the store may only have
// expired: during an outage, and in the grace period after it or after a restore. The
// caller holds Replicator.mu.
func (r *Replicator) mayHaveExpired(now time.Time) bool {
	return now.Before(r.graceUntil) || r.isStoreOut(now) || r.restoration.isGrace(now)
}

// retainMissing returns the list with the upstreams that are missing from it but may
// only have expired. The caller holds Replicator.mu.
func (r *Replicator) retainMissing(update *Upstreams, now time.Time) *Upstreams {
	r.retained = r.possiblyExpired(update, now)
	if len(r.retained) == 0 {
		return update
	}
	extended := &Upstreams{
		Revision: update.Revision, MayIncludeExpired: true, IsSettling: update.IsSettling,
		List: slices.Concat(update.List, r.retained),
	}
	sortByName(extended.List)
	return extended
}

// possiblyExpired returns the upstreams of the copy that are missing from the update
// and whose registrations may have expired during an outage, or may have been lost by a
// restore. The caller holds Replicator.mu.
func (r *Replicator) possiblyExpired(update *Upstreams, now time.Time) []core.Upstream {
	if r.current.Upstreams == nil || !r.mayHaveExpired(now) {
		return nil
	}
	isAfterOutage := now.Before(r.graceUntil) || r.isStoreOut(now)
	var missing []core.Upstream
	for _, u := range r.current.Upstreams.List {
		if _, isListed := find(update.List, u.Name); !isListed && !u.Draining && !r.restoration.hasEnded(u) {
			missing = append(missing, u)
		}
	}
	isMany := float64(len(missing)) >= minExpiredFraction*float64(len(r.current.Upstreams.List))
	if isMany && isAfterOutage {
		return missing
	}
	return slices.DeleteFunc(missing, func(u core.Upstream) bool { return !r.restoration.isMissed(u, now) })
}
