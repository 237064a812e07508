// Package tracker records which other hosts are live, and what they can accept.
//
// Each host sends a record about itself at every heartbeat. The hosts of an availability
// zone send their records to each other. The relay of a zone exchanges the records of its
// zone with the relays of other zones and forwards the records that it receives from
// them to its zone. A record counts as new only when its sequence number is higher than
// before, so a relay that forwards an old record again can't make a stopped host look
// live.
//
// # Usage
//
//	t := &tracker.Tracker{Self: host, HeartbeatTimeout: 2 * time.Second}
//	t.Observe(record, now)
//	for _, m := range t.Live(now) { ... }
//
// Lock order: Tracker.mu is a leaf; no other lock is taken while it is held.
package tracker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/assigner"
	"github.com/endiverun/endiverun/core/balancer"
)

// ServiceCapacity is the capacity of a host for a service.
type ServiceCapacity struct {
	Service core.ServiceName `cbor:"1,keyasint"`
	// FreeSlots is the number of slots that are free for the requests of other hosts.
	FreeSlots int `cbor:"2,keyasint"`
	// TotalSlots is the number of slots of the upstreams that the host owns.
	TotalSlots int `cbor:"3,keyasint"`
	// BestServiceTime is the expected service time of the best upstream with a free slot.
	BestServiceTime time.Duration `cbor:"4,keyasint"`
}

// Record is the state that a host sends about itself.
type Record struct {
	Host  core.Host  `cbor:"1,keyasint"`
	Phase core.Phase `cbor:"2,keyasint"`
	// Sequence is higher for each newer record of the same incarnation of a host.
	Sequence uint64 `cbor:"3,keyasint"`
	// TicketNumber is the number of the newest ticket in force at the host.
	TicketNumber core.TicketNumber `cbor:"4,keyasint"`
	Capacities   []ServiceCapacity `cbor:"5,keyasint"`
	// FormerInFlight is the number of requests that the host has in flight at each upstream that
	// it no longer owns.
	FormerInFlight []balancer.FormerUpstream `cbor:"6,keyasint,omitempty"`
	// UnixSeconds is the time on the host's clock, in Unix seconds.
	UnixSeconds int64 `cbor:"7,keyasint"`
}

// Member is the newest record of another host and the time at which it arrived.
type Member struct {
	Record
	ReceivedAt time.Time
}

// UnixSecondsAt returns the time on the member's clock, in Unix seconds, at the given local time.
func (m Member) UnixSecondsAt(now time.Time) int64 {
	return m.UnixSeconds + int64(now.Sub(m.ReceivedAt)/time.Second)
}

// Tracker holds the newest record of every other host.
type Tracker struct {
	Self core.Host
	// HeartbeatTimeout is the heartbeat timeout: a host expires when no new record arrived for
	// longer than this.
	HeartbeatTimeout time.Duration
	// ForgetAfter is the time without a new record after which an expired host is removed.
	// Until then it is still contacted.
	ForgetAfter time.Duration

	mu      sync.Mutex
	members map[core.HostName]*Member
}

// Change says what changed with a record that arrived.
type Change uint8

// The kinds of change, in increasing order.
const (
	// ChangeNone means that the record isn't newer than the known one, and was ignored.
	ChangeNone Change = iota
	// ChangeState means that the record is newer, but can't change which host holds which role.
	ChangeState
	// ChangeMembership means that the record may change which host holds which role, or the
	// requests that earlier owners of upstreams have in flight.
	ChangeMembership
)

// Observe stores a record where it is newer than the known one, and returns what changed.
func (t *Tracker) Observe(record Record, now time.Time) Change {
	if record.Host.Name == t.Self.Name {
		return ChangeNone
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[record.Host.Name]
	if known != nil && !t.isNewer(known, record, now) {
		return ChangeNone
	}
	news := ChangeState
	if known == nil || known.Host != record.Host || known.Phase != record.Phase || t.isExpired(known, now) ||
		len(record.FormerInFlight) > 0 || len(known.FormerInFlight) > 0 {
		news = ChangeMembership
	}
	if t.members == nil {
		t.members = map[core.HostName]*Member{}
	}
	t.members[record.Host.Name] = &Member{Record: record, ReceivedAt: now}
	return news
}

// isNewer reports whether the record is newer than the known one. A record of another
// incarnation replaces that of an expired one even where its incarnation is lower, because
// the clocks of a host and of its replacement may differ.
func (t *Tracker) isNewer(known *Member, record Record, now time.Time) bool {
	if record.Host.Incarnation == known.Host.Incarnation {
		return record.Sequence > known.Sequence
	}
	return record.Host.Incarnation > known.Host.Incarnation || t.isExpired(known, now)
}

// isExpired reports whether no new record arrived for longer than the heartbeat timeout.
func (t *Tracker) isExpired(m *Member, now time.Time) bool {
	return now.Sub(m.ReceivedAt) > t.HeartbeatTimeout
}

// SetCapacities updates the capacity of a host for some services with what the host reported
// in a response.
func (t *Tracker) SetCapacities(instance core.HostInstance, capacities []ServiceCapacity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[instance.Host]
	if known == nil || known.Host.Incarnation != instance.Incarnation {
		return
	}
	updated := slices.Clone(known.Capacities)
	for _, c := range capacities {
		i := slices.IndexFunc(updated, func(other ServiceCapacity) bool { return other.Service == c.Service })
		if i < 0 {
			updated = append(updated, c)
			continue
		}
		updated[i] = c
	}
	known.Capacities = updated
}

// MarkUnreachable records that a host could not be reached. The host counts as having no
// capacity until its next record, so that it gets no requests.
func (t *Tracker) MarkUnreachable(instance core.HostInstance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[instance.Host]
	if known != nil && known.Host.Incarnation == instance.Incarnation {
		known.Capacities = nil
	}
}

// ReserveSlot reduces the known number of a host's free slots for a service by one, so that
// a burst of requests between two records doesn't all go to the same host.
func (t *Tracker) ReserveSlot(host core.HostName, service core.ServiceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[host]
	if known == nil {
		return
	}
	updated := slices.Clone(known.Capacities)
	for i := range updated {
		if updated[i].Service == service && updated[i].FreeSlots > 0 {
			updated[i].FreeSlots--
		}
	}
	known.Capacities = updated
}

// Live returns the members that are neither expired nor gone, by name.
func (t *Tracker) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if !t.isExpired(m, now) && m.Phase != core.PhaseGone {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return live
}

// Lookup returns a member, and whether it is live. It also returns members that are
// expired or gone.
func (t *Tracker) Lookup(host core.HostName, now time.Time) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[host]
	if known == nil {
		return Member{}, false
	}
	return *known, !t.isExpired(known, now) && known.Phase != core.PhaseGone
}

// Expired returns the expired members that should still be contacted, by name. It removes
// the members without a new record for longer than ForgetAfter.
func (t *Tracker) Expired(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []Member
	for n, m := range t.members {
		age := now.Sub(m.ReceivedAt)
		switch {
		case age > t.ForgetAfter:
			delete(t.members, n)
		case t.isExpired(m, now):
			expired = append(expired, *m)
		default:
		}
	}
	slices.SortFunc(expired, func(a, b Member) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return expired
}

// EligibleHosts returns the names of the hosts in an availability zone that may hold roles, in
// alphabetical order: the given live members that are not starting or draining, and this
// host where it is in the zone and its own phase is live.
func EligibleHosts(self core.Host, phase core.Phase, zone core.ZoneName, live []Member) []core.HostName {
	var hosts []core.HostName
	if self.Zone.Name == zone && phase == core.PhaseLive {
		hosts = append(hosts, self.Name)
	}
	for _, m := range live {
		if m.Host.Zone.Name == zone && m.Phase == core.PhaseLive {
			hosts = append(hosts, m.Host.Name)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// RelayOf returns the relay of an availability zone: the host that exchanges records with
// other zones. It returns false where there are no owners.
func RelayOf(zone core.ZoneName, owners []core.HostName) (core.HostName, bool) {
	return assigner.Assign("relay/"+string(zone), owners)
}
