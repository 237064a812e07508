// Package roster tracks the other entry hosts and which of them are live.
//
// Hosts register in the platform's store and send each other heartbeats. The states of
// another host, which overlap:
//
//   - A host is registered while the store lists it.
//   - A host is live while its heartbeats arrive; a registration alone does not make it
//     live.
//   - A host is ready if it is live and its heartbeats say that it takes requests of
//     clients.
//   - A host is silent while no heartbeats arrive. It may still be alive.
//   - A host that has been silent for at least 30 seconds is evicted: it no longer
//     counts as possibly alive. Limits that all hosts share are divided over every host
//     that may be alive, so a host that has merely stopped sending heartbeats still
//     counts for that time. The time for which this host itself was paused or cut off
//     does not count as silence of the others.
//   - A registration has expired when its host is evicted and the registration has been
//     known for twice that time. A live host then removes it from the store.
//
// In a large fleet, of more than 24 hosts, only one host of a zone reads the store: the
// zone's reader. The other hosts of the zone get the contents from it. The rank of a
// host among the candidates for the reader depends on its capacity (core.Capacity), and
// for the same capacity on a rendezvous hash.
//
// # Usage
//
//	r := &roster.Roster{Self: host}
//	r.SetRegistrations(hosts, now)    // from the store
//	r.RecordHeartbeat(heartbeat, now) // from another host
//	addresses := r.Resolve(query, now)
//
// Lock order: no other lock is acquired while Roster.mu is held.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
)

const (
	// heartbeatPeriod is the time between two heartbeats.
	heartbeatPeriod = 500 * time.Millisecond
	// maxMissedHeartbeats is the number of consecutive heartbeats that may be lost
	// before a host no longer counts as live.
	maxMissedHeartbeats = 5
	// minEvictAfter is the least time for which a silent host still counts for
	// shared limits.
	minEvictAfter = 30 * time.Second
	// maxCheckInterval is the time between two checks for silent hosts above which this
	// host counts as paused in between. It is the time after which the others no longer
	// count it as live.
	maxCheckInterval = maxMissedHeartbeats * heartbeatPeriod
	// minZoneHosts is the number of ready hosts from which a zone serves its clients
	// without the other zones of its region: one host may fail.
	minZoneHosts = 2
)

// Heartbeat is the state that a host reports to the other hosts.
type Heartbeat struct {
	Host core.Host `cbor:"1,keyasint"`
	// Ready says that the host takes requests of clients.
	Ready bool `cbor:"2,keyasint"`
	// Revisions are the revisions of the host's copy of the store.
	Revisions core.Revisions `cbor:"3,keyasint"`
	// ReadsStore says that the host reads the store itself.
	ReadsStore bool `cbor:"6,keyasint,omitempty"`
	// StoreAge is the time since the host last reached the store.
	StoreAge core.Milliseconds `cbor:"7,keyasint,omitempty"`
	// RemainingWarmUps holds the remaining warm-up time, in milliseconds, of each upstream that
	// the host found cold.
	RemainingWarmUps map[core.UpstreamName]uint32 `cbor:"5,keyasint,omitempty"`
	// RateLimits holds what the host knows about the rate limits of some upstreams.
	RateLimits map[core.UpstreamName]core.RateLimitNotice `cbor:"8,keyasint,omitempty"`
	// LoanSteps is the part of its shares in rate limits that the host lends to the others, in
	// steps (pacer.LoanSteps).
	LoanSteps uint8 `cbor:"9,keyasint,omitempty"`
	// NeedsShares says that rate limits left the host no upstream for some request lately.
	NeedsShares bool `cbor:"10,keyasint,omitempty"`
	// UpstreamsAge is the time since the store last confirmed the host's list of upstreams in
	// the era of Revisions, at least 1; 0 if it did not or the host does not tell.
	UpstreamsAge core.Milliseconds `cbor:"11,keyasint,omitempty"`
	// HasKnowledge says that the host still holds what it knew before a restore of the store.
	HasKnowledge bool `cbor:"12,keyasint,omitempty"`
	// Leaving holds the incarnations of some upstreams that announced in a response, to this
	// host or another one, that they drain.
	Leaving map[core.UpstreamName]core.Incarnation `cbor:"13,keyasint,omitempty"`
	// KnownBefore identifies the upstreams that the host knew before a restore of the store, while
	// it still holds what it knew; nil if it does not or does not tell.
	KnownBefore *core.KnownUpstreams `cbor:"14,keyasint,omitempty"`
	// IsJoining says that the host may not know all hosts of its zone yet (Roster.HasJoined).
	IsJoining bool `cbor:"15,keyasint,omitempty"`
}

// Roster holds one host's view of the hosts of the fleet.
type Roster struct {
	Self core.Host
	// MaxHeartbeatTimeout bounds the time without a heartbeat after which Resolve omits a host
	// and it no longer counts as live; 0 means that only the number of missed heartbeats counts.
	// A host counts as live for at least one and a half intervals between its heartbeats, which
	// may be longer. SetMaxHeartbeatTimeout changes it.
	MaxHeartbeatTimeout time.Duration
	// MaxPropagationDelay is the time within which a change in the store must take effect on
	// every host. A zone's reader that last reached the store longer ago than 0.6 times
	// this is not used; 0 means a default of 1.5 seconds. SetMaxPropagationDelay
	// changes MaxPropagationDelay.
	MaxPropagationDelay time.Duration

	mu            sync.Mutex
	isReady       bool
	isPartitioned bool
	// checkedAt is the time of the last check for silent hosts.
	checkedAt time.Time
	members   map[core.HostName]*member
	// registrations are the hosts that the store lists.
	registrations map[core.HostName]registration
	// listedSince is when the store's list first had this incarnation of this host. wasListed says
	// that the first list had an earlier one.
	listedSince time.Time
	wasListed   bool
	// resolveCache holds results of Resolve until a host joins, leaves or changes.
	resolveCache map[string]cachedAddresses
}

// cachedAddresses is a result of Resolve and the time at which it was computed.
type cachedAddresses struct {
	addresses  []string
	computedAt time.Time
}

// resolveCacheTTL is how long a result of Resolve is reused while no heartbeat or
// registration changes it. It is a fraction of the time after which a silent host
// is no longer named.
const resolveCacheTTL = 200 * time.Millisecond

// member is another host of the fleet and what is known of it.
type member struct {
	host      core.Host
	heartbeat Heartbeat
	// lastHeartbeat is the arrival of the newest heartbeat; zero before the first.
	lastHeartbeat time.Time
	// lastSeen is the latest time at which the host may have been alive.
	lastSeen time.Time
}

// SetMaxHeartbeatTimeout changes MaxHeartbeatTimeout.
func (r *Roster) SetMaxHeartbeatTimeout(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.MaxHeartbeatTimeout = limit
}

// SetMaxPropagationDelay changes MaxPropagationDelay.
func (r *Roster) SetMaxPropagationDelay(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.MaxPropagationDelay = limit
}

// SetPartitioned states whether this host is cut off from the store, and so perhaps from
// other hosts. The time for which it was cut off does not count towards the eviction of
// hosts: every host whose heartbeats did not arrive meanwhile may still be alive.
func (r *Roster) SetPartitioned(isPartitioned bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPartitioned && !isPartitioned {
		r.restartSilence(now)
	}
	r.isPartitioned = isPartitioned
}

// restartSilence counts the time towards the eviction of every host from now. The caller
// holds Roster.mu.
func (r *Roster) restartSilence(now time.Time) {
	for _, m := range r.members {
		m.lastSeen = now
	}
}

// SetReady states whether this host takes requests.
func (r *Roster) SetReady(ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isReady = ready
	r.resolveCache = nil
}

// SetRegistrations replaces the registrations that the store lists. A host that is no
// longer registered and sends no heartbeats is evicted after 30 seconds, or in a large
// fleet after two intervals of its heartbeats if that is longer.
func (r *Roster) SetRegistrations(hosts []core.Host, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detectPause(now)
	next := make(map[core.HostName]registration, len(hosts))
	for _, h := range hosts {
		if h.Name == r.Self.Name {
			r.recordListed(h, now)
			continue
		}
		since := now
		if known, ok := r.registrations[h.Name]; ok && known.host == h {
			since = known.since
		}
		next[h.Name] = registration{host: h, since: since}
		m := r.memberFor(h)
		m.lastSeen = latest(m.lastSeen, since)
	}
	r.registrations = next
	r.resolveCache = nil
	r.evictSilent(now)
}

// Remove forgets a host that withdrew its registration.
func (r *Roster) Remove(name core.HostName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.members, name)
	r.resolveCache = nil
}

// RecordHeartbeat records a heartbeat. A heartbeat of an earlier incarnation of the host is
// ignored, unless the later incarnation has gone silent: an incarnation is the time of the
// start, so after a host's clock was set back, its new incarnation has the lower number.
func (r *Roster) RecordHeartbeat(heartbeat Heartbeat, now time.Time) {
	if heartbeat.Host.Name == r.Self.Name {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.memberFor(heartbeat.Host)
	if heartbeat.Host.Incarnation < m.host.Incarnation && now.Sub(m.lastHeartbeat) < maxMissedHeartbeats*heartbeatPeriod {
		return
	}
	if m.lastHeartbeat.IsZero() || m.host != heartbeat.Host || m.heartbeat.Ready != heartbeat.Ready {
		r.resolveCache = nil
	}
	m.host, m.heartbeat, m.lastHeartbeat, m.lastSeen = heartbeat.Host, heartbeat, now, now
}

// memberFor returns the member for the host and adds it where it is missing. A
// later incarnation replaces an earlier one. The caller holds Roster.mu.
func (r *Roster) memberFor(host core.Host) *member {
	if r.members == nil {
		r.members = map[core.HostName]*member{}
	}
	m := r.members[host.Name]
	if m == nil {
		m = &member{host: host}
		r.members[host.Name] = m
	}
	if host.Incarnation > m.host.Incarnation {
		m.host = host
		m.lastHeartbeat = time.Time{}
		m.lastSeen = time.Time{}
	}
	return m
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// evictSilent removes the hosts that have been silent for so long that they no
// longer count for shared limits. A host that is itself cut off removes none: the
// hosts that it cannot hear may be alive and still use their shares of the limits.
// The caller holds Roster.mu.
func (r *Roster) evictSilent(now time.Time) {
	r.detectPause(now)
	if r.isPartitioned {
		return
	}
	s := r.schedule()
	for name, m := range r.members {
		if now.Sub(m.lastSeen) > s.evictAfter(m.host.Zone) {
			delete(r.members, name)
		}
	}
}

// detectPause restarts the silence of all hosts after this host was paused: it heard none
// of them meanwhile, and does not know yet whether it is cut off. The caller holds
// Roster.mu.
func (r *Roster) detectPause(now time.Time) {
	if now.Sub(r.checkedAt) > maxCheckInterval {
		r.restartSilence(now)
	}
	r.checkedAt = now
}

// Peers returns every other host that may be alive, sorted by name. HeartbeatTargets
// selects from these hosts.
func (r *Roster) Peers(now time.Time) []core.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictSilent(now)
	peers := r.hosts()
	slices.SortFunc(peers, func(a, b core.Host) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// SharingHosts returns all hosts that shared limits are divided over: this one and every
// other one that may be alive.
func (r *Roster) SharingHosts(now time.Time) []core.Host {
	return append([]core.Host{r.Self}, r.Peers(now)...)
}

// Loans returns the fraction of its shares in rate limits that each other host lends,
// among the hosts whose last heartbeat arrived within the given time.
func (r *Roster) Loans(maxAge time.Duration, now time.Time) map[core.HostName]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	loans := map[core.HostName]float64{}
	for name, m := range r.members {
		steps := m.heartbeat.LoanSteps
		if steps > 0 && steps <= pacer.LoanSteps && now.Sub(m.lastHeartbeat) <= maxAge {
			loans[name] = float64(steps) / pacer.LoanSteps
		}
	}
	return loans
}

// AreSharesNeeded reports whether another host, whose last heartbeat arrived within the
// given time, needs shares in rate limits.
func (r *Roster) AreSharesNeeded(maxAge time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if m.heartbeat.NeedsShares && now.Sub(m.lastHeartbeat) <= maxAge {
			return true
		}
	}
	return false
}

// PeerWithNewerCopy returns the live host with the newest copy of the store. It returns false
// where no copy is newer than the given revisions.
func (r *Roster) PeerWithNewerCopy(held core.Revisions, now time.Time) (core.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest *member
	for _, m := range r.live(now) {
		if !held.IsBehind(m.heartbeat.Revisions) {
			continue
		}
		if newest == nil || newest.heartbeat.Revisions.IsBehind(m.heartbeat.Revisions) {
			newest = m
		}
	}
	if newest == nil {
		return core.Host{}, false
	}
	return newest.host, true
}

// PeerWithKnowledge returns a live host that still holds what it knew before the given era of the
// store, and that started before this one. Hosts that ask are spread over those that know. It
// returns false if there is none.
func (r *Roster) PeerWithKnowledge(era core.Era, now time.Time) (core.Host, bool) {
	isEarlier := func(m *member) bool { return m.host.Incarnation < r.Self.Incarnation }
	return r.knowingPeer(era, now, isEarlier, func(_, _ *member) bool { return false })
}

// PeerWithLaterKnowledge returns the live host of the given era of the store that knew the latest
// list of upstreams before that era. It returns false if none knew a later one than the given one.
func (r *Roster) PeerWithLaterKnowledge(era core.Era, known core.KnownUpstreams, now time.Time) (core.Host, bool) {
	isLater := func(m *member) bool {
		return m.heartbeat.KnownBefore != nil && known.IsBehind(*m.heartbeat.KnownBefore)
	}
	return r.knowingPeer(era, now, isLater, func(a, b *member) bool {
		return b.heartbeat.KnownBefore.IsBehind(*a.heartbeat.KnownBefore)
	})
}

// knowingPeer returns the best of the live hosts that still hold what they knew before the given
// era of the store and meet the condition. Hosts that ask are spread over equally good ones.
func (r *Roster) knowingPeer(
	era core.Era, now time.Time, isWanted func(m *member) bool, isBetter func(a, b *member) bool,
) (core.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen *member
	weight := func(m *member) uint64 { return core.RendezvousWeight(string(r.Self.Name), string(m.host.Name)) }
	for _, m := range r.live(now) {
		isKnowing := m.heartbeat.HasKnowledge && m.heartbeat.Revisions.Era == era && isWanted(m)
		if !isKnowing {
			continue
		}
		if chosen == nil || isBetter(m, chosen) || !isBetter(chosen, m) && weight(m) > weight(chosen) {
			chosen = m
		}
	}
	if chosen == nil {
		return core.Host{}, false
	}
	return chosen.host, true
}

// live returns the members whose heartbeats arrive. The caller holds Roster.mu.
func (r *Roster) live(now time.Time) []*member {
	s := r.schedule()
	live := make([]*member, 0, len(r.members))
	for _, m := range r.members {
		if s.isLive(m, now) {
			live = append(live, m)
		}
	}
	return live
}

// hosts returns the hosts of all members. The caller holds Roster.mu.
func (r *Roster) hosts() []core.Host {
	hosts := make([]core.Host, 0, len(r.members))
	for _, m := range r.members {
		hosts = append(hosts, m.host)
	}
	return hosts
}
