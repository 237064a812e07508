// Package tracker keeps a host's view of which other hosts are live.
//
// Each host sends a record about itself at every heartbeat. Within an
// availability zone hosts send to each other; the relay of a zone exchanges
// the records of its zone with the relays of other zones and passes on what
// they send. A record is news only when its sequence number grows, so a relay
// cannot keep a dead host alive by repeating it.
//
// # Usage
//
//	t := &tracker.Tracker{Self: host, Expiry: 2 * time.Second}
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

// Spare is what a host can still take in for a service.
type Spare struct {
	Service core.ServiceName `cbor:"1,keyasint"`
	// Free is the number of slots free for other hosts' requests.
	Free int `cbor:"2,keyasint"`
	// Total is the number of slots that the host owns.
	Total int `cbor:"3,keyasint"`
	// Expected is the service time of the best free upstream.
	Expected time.Duration `cbor:"4,keyasint"`
}

// Record is what a host says of itself.
type Record struct {
	Host     core.Host   `cbor:"1,keyasint"`
	Phase    core.Phase  `cbor:"2,keyasint"`
	Sequence uint64      `cbor:"3,keyasint"`
	Ticket   core.Number `cbor:"4,keyasint"`
	Spares   []Spare     `cbor:"5,keyasint"`
	// Held is the work at upstreams that the host gave away.
	Held []balancer.Held `cbor:"6,keyasint,omitempty"`
	// Second is the host's own clock, in Unix seconds.
	Second int64 `cbor:"7,keyasint"`
}

// Member is a record and when its news arrived.
type Member struct {
	Record
	Heard time.Time
}

// Clock returns the member's own clock, in Unix seconds, at the given time.
func (m Member) Clock(now time.Time) int64 {
	return m.Second + int64(now.Sub(m.Heard)/time.Second)
}

// Tracker holds the newest record of every known host but its own.
type Tracker struct {
	Self core.Host
	// Expiry is how long a host counts as live without news.
	Expiry time.Duration
	// Forget is how long an expired host's address is kept for contact.
	Forget time.Duration

	mu      sync.Mutex
	members map[core.HostName]*Member
}

// News is what a record told.
type News uint8

// The kinds of news. Changed means that roles may move.
const (
	Old News = iota
	Fresh
	Changed
)

// Observe takes in a record and tells whether it is news.
func (t *Tracker) Observe(record Record, now time.Time) News {
	if record.Host.Name == t.Self.Name {
		return Old
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[record.Host.Name]
	if known != nil && !t.isNews(known, record, now) {
		return Old
	}
	news := Fresh
	if known == nil || known.Host != record.Host || known.Phase != record.Phase || t.isExpired(known, now) ||
		len(record.Held) > 0 || len(known.Held) > 0 {
		news = Changed
	}
	if t.members == nil {
		t.members = map[core.HostName]*Member{}
	}
	t.members[record.Host.Name] = &Member{Record: record, Heard: now}
	return news
}

// isNews reports whether the record is newer than what is known. Another
// incarnation replaces an expired one whatever its number, since clocks of
// replaced hosts may differ.
func (t *Tracker) isNews(known *Member, record Record, now time.Time) bool {
	if record.Host.Incarnation == known.Host.Incarnation {
		return record.Sequence > known.Sequence
	}
	return record.Host.Incarnation > known.Host.Incarnation || t.isExpired(known, now)
}

func (t *Tracker) isExpired(m *Member, now time.Time) bool {
	return now.Sub(m.Heard) > t.Expiry
}

// SetSpare updates what a host can take in, as told with an answer.
func (t *Tracker) SetSpare(life core.Life, spares []Spare) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[life.Host]
	if known == nil || known.Host.Incarnation != life.Incarnation {
		return
	}
	updated := slices.Clone(known.Spares)
	for _, s := range spares {
		i := slices.IndexFunc(updated, func(o Spare) bool { return o.Service == s.Service })
		if i < 0 {
			updated = append(updated, s)
			continue
		}
		updated[i] = s
	}
	known.Spares = updated
}

// Suspect notes that a host could not be reached: nothing is sent to it until
// its next record.
func (t *Tracker) Suspect(life core.Life) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[life.Host]
	if known != nil && known.Host.Incarnation == life.Incarnation {
		known.Spares = nil
	}
}

// TakeSpare lowers the known free slots of a host by one, so that a burst is
// not sent to one host between two of its records.
func (t *Tracker) TakeSpare(host core.HostName, service core.ServiceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[host]
	if known == nil {
		return
	}
	updated := slices.Clone(known.Spares)
	for i := range updated {
		if updated[i].Service == service && updated[i].Free > 0 {
			updated[i].Free--
		}
	}
	known.Spares = updated
}

// Live returns the members with recent news that are not gone, by name.
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

// Lookup returns a member, expired or not.
func (t *Tracker) Lookup(host core.HostName, now time.Time) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.members[host]
	if known == nil {
		return Member{}, false
	}
	return *known, !t.isExpired(known, now) && known.Phase != core.PhaseGone
}

// Expired returns members without recent news that are worth contacting, and
// forgets those silent for longer than Forget.
func (t *Tracker) Expired(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []Member
	for n, m := range t.members {
		silence := now.Sub(m.Heard)
		switch {
		case silence > t.Forget:
			delete(t.members, n)
		case t.isExpired(m, now):
			expired = append(expired, *m)
		default:
		}
	}
	slices.SortFunc(expired, func(a, b Member) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return expired
}

// Owners returns the hosts of an availability zone that may hold roles: live
// ones that are not leaving, and this host where it is one of them.
func Owners(self core.Host, phase core.Phase, zone core.ZoneName, live []Member) []core.HostName {
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

// Relay returns the host that relays for an availability zone.
func Relay(zone core.ZoneName, owners []core.HostName) (core.HostName, bool) {
	return assigner.Assign("relay/"+string(zone), owners)
}
