package placer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// maxUnlistedDepartures limits the departures of upstreams that are not listed. A list that
// is older may include them again at any time, so they are forgotten by number, the longest
// unlisted first.
const maxUnlistedDepartures = 4096

// unnumberedRetention is how long the departure of an upstream without an incarnation is
// kept after it left the list. Its next process cannot be told from it.
const unnumberedRetention = 5 * time.Minute

// newsRepeats is the number of heartbeats that tell of each new departure at once: one of
// them may be lost.
const newsRepeats = 2

// departureKey identifies an incarnation of an upstream. The address is part of it only if
// incarnations are not distinguished.
type departureKey struct {
	name        core.UpstreamName
	incarnation core.Incarnation
	address     string
}

func departureKeyOf(u core.Upstream) departureKey {
	key := departureKey{name: u.Name, incarnation: u.Incarnation}
	if u.Incarnation == 0 {
		key.address = u.Address
	}
	return key
}

// departure says that an incarnation of an upstream announced in a response that it drains.
type departure struct {
	// source is the host that told of it first, empty if a response to this host did.
	source    core.HostName
	learnedAt time.Time
	// unlistedAt is when the incarnation left the list, or when this host learned of it if
	// it was not listed then; zero while it is listed.
	unlistedAt time.Time
	// isReported says that OnAvailabilityChange was called.
	isReported bool
	// timesTold counts the heartbeats that told other hosts.
	timesTold int
}

// departures are the incarnations that announced that they drain. A departure begins with a
// response or with the notice of another host, whichever is first, and does not end: neither
// a list nor a notice undoes it, and the next incarnation under the name has another key.
// What the store says of an upstream is in its entry and ends with that entry.
type departures map[departureKey]*departure

// record adds a departure and returns it, nil if it was known.
func (d departures) record(key departureKey, source core.HostName, now time.Time) *departure {
	if d[key] != nil {
		return nil
	}
	d[key] = &departure{source: source, learnedAt: now, unlistedAt: now}
	return d[key]
}

// isFull reports whether there are as many departures of upstreams that are not listed as
// this host remembers.
func (d departures) isFull() bool {
	if len(d) < maxUnlistedDepartures {
		return false
	}
	n := 0
	for _, one := range d {
		if !one.unlistedAt.IsZero() {
			n++
		}
	}
	return n >= maxUnlistedDepartures
}

// unlisted returns the keys of the departures of upstreams that are not listed, those that
// are unlisted for the longest time first.
func (d departures) unlisted() []departureKey {
	keys := make([]departureKey, 0, len(d))
	for key, one := range d {
		if !one.unlistedAt.IsZero() {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b departureKey) int {
		return cmp.Or(d[a].unlistedAt.Compare(d[b].unlistedAt), cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
	return keys
}

// follow takes over which upstreams are listed, and forgets departures of others if there
// are too many.
func (d departures) follow(listed map[core.UpstreamName]*upstream, now time.Time) {
	for key, one := range d {
		u := listed[key.name]
		switch {
		case u != nil && u.departure == one:
			one.unlistedAt = time.Time{}
		case one.unlistedAt.IsZero():
			one.unlistedAt = now
		}
	}
	maps.DeleteFunc(d, func(key departureKey, one *departure) bool {
		return key.incarnation == 0 && !one.unlistedAt.IsZero() && now.Sub(one.unlistedAt) > unnumberedRetention
	})
	if len(d) <= maxUnlistedDepartures {
		return
	}
	unlisted := d.unlisted()
	for _, key := range unlisted[:max(0, len(unlisted)-maxUnlistedDepartures)] {
		delete(d, key)
	}
}

// isTold reports whether other hosts are told of the departure: while the upstream is
// listed, and as long afterwards as others may still list it.
func (d *departure) isTold(now time.Time) bool {
	return d.unlistedAt.IsZero() || d.isReported && now.Sub(d.unlistedAt) <= removedRetention
}

// isNews reports whether this host learned of the departure so lately that it comes before
// others in what other hosts are told.
func (d *departure) isNews(now time.Time) bool {
	return now.Sub(d.learnedAt) < newsTime
}

// isLeaving reports whether the upstream drains, as its entry in the store, one of its
// responses or another host says.
func (u *upstream) isLeaving() bool {
	return u.Draining || u.departure != nil
}

// recordDeparture records that an incarnation announced that it drains, as this host or the
// source heard. It returns nil if that was known, or has no effect yet since the incarnation
// is not listed. The caller holds Placer.mu.
func (p *Placer) recordDeparture(leaving core.Upstream, source core.HostName, now time.Time) *AvailabilityChange {
	if p.departures == nil {
		p.departures = departures{}
	}
	key := departureKeyOf(leaving)
	one := p.departures.record(key, source, now)
	if one == nil {
		return nil
	}
	isKnown := source == ""
	for u := range p.allIncarnations() {
		if departureKeyOf(u.Upstream) == key {
			u.departure, leaving, isKnown = one, u.Upstream, true
		}
	}
	if u := p.upstreams[leaving.Name]; u != nil && u.departure == one {
		one.unlistedAt = time.Time{}
		p.groupByService()
	}
	if !isKnown {
		return nil
	}
	return one.report(leaving)
}

// report returns the change to report for the departure of an upstream.
func (d *departure) report(u core.Upstream) *AvailabilityChange {
	d.isReported = true
	return &AvailabilityChange{Upstream: u, Availability: Availability{IsLeaving: true}, Source: d.source}
}

// applyDepartures makes the upstreams of a list leave whose incarnations have announced it,
// and returns what takes effect only now. The caller holds Placer.mu.
func (p *Placer) applyDepartures(listed map[core.UpstreamName]*upstream, now time.Time) []AvailabilityChange {
	var changes []AvailabilityChange
	for _, u := range listed {
		u.departure = p.departures[departureKeyOf(u.Upstream)]
		if u.departure != nil && !u.departure.isReported {
			changes = append(changes, *u.departure.report(u.Upstream))
		}
	}
	p.departures.follow(listed, now)
	return changes
}

// MergeLeavingNotice records that another host heard an incarnation of an upstream announce
// that it drains. It has no effect on other incarnations. The notice may arrive before the
// incarnation is listed; it then takes effect with the list.
func (p *Placer) MergeLeavingNotice(name core.UpstreamName, incarnation core.Incarnation, source core.HostName, now time.Time) {
	p.notifyAvailability(p.mergeLeaving(core.Upstream{Name: name, Incarnation: incarnation}, source, now))
}

func (p *Placer) mergeLeaving(leaving core.Upstream, source core.HostName, now time.Time) *AvailabilityChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Notices about unknown upstreams must not displace what this host heard itself.
	u := p.upstreams[leaving.Name]
	isListed := u != nil && u.Incarnation == leaving.Incarnation
	if !isListed && p.departures.isFull() {
		return nil
	}
	return p.recordDeparture(leaving, source, now)
}

// notice is a departure of which other hosts may be told.
type notice struct {
	*departure
	name        core.UpstreamName
	incarnation core.Incarnation
	// turn is the rank of notices that are told in rotation.
	turn uint64
}

// LeavingNotices returns incarnations that announced that they drain, for other hosts: at
// most the given number. Those that this host learned of lately come first; which of the
// others are included changes irregularly with each call, so that hosts that get every
// second heartbeat also hear of all. hasMoreNews reports whether some of the former had to be
// left out.
func (p *Placer) LeavingNotices(most int, now time.Time) (notices map[core.UpstreamName]core.Incarnation, hasMoreNews bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.toldDepartures(now)
	if len(told) == 0 {
		return nil, false
	}
	slices.SortFunc(told, func(a, b notice) int {
		aIsNews, bIsNews := a.isNews(now), b.isNews(now)
		switch {
		case aIsNews && bIsNews:
			return cmp.Or(cmp.Compare(a.timesTold, b.timesTold), cmp.Compare(a.turn, b.turn))
		case aIsNews:
			return -1
		case bIsNews:
			return 1
		}
		return cmp.Compare(a.turn, b.turn)
	})
	n := min(most, len(told))
	notices = make(map[core.UpstreamName]core.Incarnation, n)
	for _, one := range told[:n] {
		notices[one.name] = one.incarnation
		one.timesTold++
	}
	hasMoreNews = slices.ContainsFunc(told[n:], func(one notice) bool { return one.isNews(now) && one.timesTold < newsRepeats })
	return notices, hasMoreNews
}

// toldDepartures returns the departures of which other hosts are told, one for each name:
// that of the listed incarnation, or else the latest.
func (p *Placer) toldDepartures(now time.Time) []notice {
	p.leavingRound++
	round := xxhash.Sum64String(strconv.Itoa(p.leavingRound))
	byName := map[core.UpstreamName]notice{}
	for key, one := range p.departures {
		if key.incarnation == 0 || !one.isTold(now) {
			continue
		}
		other, ok := byName[key.name]
		if ok && !one.unlistedAt.IsZero() && (other.unlistedAt.IsZero() || other.incarnation > key.incarnation) {
			continue
		}
		turn := core.CombineHashes(round, xxhash.Sum64String(string(key.name)))
		byName[key.name] = notice{departure: one, name: key.name, incarnation: key.incarnation, turn: turn}
	}
	return slices.Collect(maps.Values(byName))
}

// LeavingUpstreams returns the number of listed upstreams that drain, whoever said so.
func (p *Placer) LeavingUpstreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.upstreams {
		if u.isLeaving() {
			n++
		}
	}
	return n
}
