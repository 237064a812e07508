// Package allotter keeps organisations below their quotas over all hosts together.
//
// A quota is divided equally over the availability zones. In each zone one host grants the
// zone's share of an organisation: the grantor, which is the first of the zone's live hosts by
// rendezvous hash. It holds a token bucket, and every other host asks it for one credit before
// it sends a request of the organisation. If the bucket is empty, the host asks the grantor of
// another zone, those of its own region first, so an organisation may use its whole quota
// wherever its clients are.
//
// The shares sum up to the quota whatever the hosts can reach, since the number of zones comes
// from the settings. A host grants only while it hears of at least half of the registered hosts
// of its zone, so that two parts of a zone do not both grant. For the time until the hosts of a
// zone agree on a new grantor, two may grant; what they grant beyond the zone's share in that
// time is covered by the tolerance of the quota. A host that becomes the grantor begins with an
// empty bucket.
//
// A host that has started lately grants nothing until it and the others of its zone know each
// other. Hosts that start together would else be many grantors at once: each knows itself only,
// which is a majority of one.
//
// # Usage
//
//	a := &allotter.Allotter{Self: host, Zones: 6, Tolerance: allotter.Tolerance{Overage: 0.1, Slack: 20}}
//	a.Update(members, quotas, now) // periodically
//	for _, grantor := range a.Grantors(organisation) { /* ask */ }
//	answer := a.Grant(organisation, now) // on the grantor
//	a.Return(organisation, now)          // a credit that was not used
package allotter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

const (
	// CreditLifetime is how long after its grant a credit may be used. Credits that are
	// granted but not yet used add to what runs in a later time.
	CreditLifetime = 100 * time.Millisecond
	// maxUpdateInterval is the time between two calls of Update above which the host counts
	// as paused in between. Another host may have become grantor meanwhile.
	maxUpdateInterval = time.Second
	// maxRetryAfter limits the time after which a client without a credit should return, and
	// minReturnRate, in requests a second, is the lowest rate at which clients return.
	maxRetryAfter = 2 * time.Second
	minReturnRate = 0.5
	// usedTolerance is the part of the tolerance that grants use in a steady state. The rest
	// covers changes of the grantor and credits that are used late.
	usedTolerance = 0.5
)

// Tolerance is how far the requests that run may exceed a quota.
type Tolerance struct {
	// Overage is a fraction of the quota, and Slack a number of requests, in each window.
	Overage float64
	Slack   float64
}

// Answer is the answer of a host to a request for a credit.
type Answer struct {
	// IsGranted says that one request of the organisation may be sent.
	IsGranted bool
	// IsGrantor is false if the host grants no credits of the organisation.
	IsGrantor bool
	// NextIn is the time after which the grantor will have a credit if it has none now. RetryIn
	// is the time after which the client should return: clients are told to return one after
	// the other, at the rate of the bucket.
	NextIn, RetryIn time.Duration
}

// Allotter decides for one host.
//
// Lock order: Allotter.mu is a leaf.
type Allotter struct {
	Self core.Host
	// Zones is the number of availability zones over which quotas are divided, the same on all
	// hosts.
	Zones     int
	Tolerance Tolerance

	mu sync.Mutex
	// live holds the ready hosts that may grant, by zone, and zones the zones that have any, the
	// nearest first.
	live      map[core.ZoneName][]core.Host
	zones     []core.Zone
	members   []roster.Member
	updatedAt time.Time
	buckets   map[core.Organisation]*bucket
	// grantors caches the result of Grantors until Update is called.
	grantors map[core.Organisation][]core.Host
}

// Update records which hosts this one knows, itself included, and the quotas of all organisations
// that have one.
func (a *Allotter) Update(members []roster.Member, quotas map[core.Organisation]core.Quota, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.updatedAt) > maxUpdateInterval {
		a.buckets = nil
	}
	a.members, a.updatedAt = members, now
	a.live, a.zones, a.grantors = map[core.ZoneName][]core.Host{}, nil, map[core.Organisation][]core.Host{}
	for _, m := range members {
		if !m.IsReady || m.IsJoining {
			continue
		}
		if len(a.live[m.Host.Zone.Name]) == 0 {
			a.zones = append(a.zones, m.Host.Zone)
		}
		a.live[m.Host.Zone.Name] = append(a.live[m.Host.Zone.Name], m.Host)
	}
	slices.SortFunc(a.zones, a.compareDistance)
	a.updateBuckets(quotas, now)
}

// updateBuckets keeps a bucket for each organisation whose credits this host grants. A bucket is
// empty when it begins. The caller holds Allotter.mu.
func (a *Allotter) updateBuckets(quotas map[core.Organisation]core.Quota, now time.Time) {
	next := make(map[core.Organisation]*bucket, len(a.buckets))
	zones := float64(max(a.Zones, 1))
	for organisation, quota := range quotas {
		if quota.Rate <= 0 || !a.isGrantor(organisation) {
			continue
		}
		b := a.buckets[organisation]
		if b == nil {
			b = &bucket{filledAt: now}
		}
		b.fill(now)
		b.rate = float64(quota.Rate) * (1 + usedTolerance*a.Tolerance.Overage) / zones
		b.capacity = max((quota.Burst+usedTolerance*a.Tolerance.Slack)/zones, 1)
		b.tokens = min(b.tokens, b.capacity)
		next[organisation] = b
	}
	a.buckets = next
}

// compareDistance orders zones by their distance from this host. Zones at the same distance are
// ordered differently on the hosts of different zones.
func (a *Allotter) compareDistance(x, y core.Zone) int {
	distance := func(z core.Zone) int {
		switch {
		case z.Name == a.Self.Zone.Name:
			return 0
		case z.Region == a.Self.Zone.Region:
			return 1
		default:
			return 2
		}
	}
	weight := func(z core.Zone) uint64 { return core.RendezvousWeight(string(a.Self.Zone.Name), string(z.Name)) }
	return cmp.Or(cmp.Compare(distance(x), distance(y)), cmp.Compare(weight(x), weight(y)))
}

// Grantors returns the host that should grant the organisation's credits in each zone, that of
// the own zone first and those of other regions last.
func (a *Allotter) Grantors(organisation core.Organisation) []core.Host {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cached, ok := a.grantors[organisation]; ok {
		return cached
	}
	list := make([]core.Host, 0, len(a.zones))
	for _, zone := range a.zones {
		list = append(list, first(a.live[zone.Name], organisation))
	}
	if a.grantors != nil {
		a.grantors[organisation] = list
	}
	return list
}

// first returns the first of the hosts by rendezvous hash.
func first(hosts []core.Host, organisation core.Organisation) core.Host {
	return slices.MaxFunc(hosts, func(x, y core.Host) int { return compareRank(x, y, organisation) })
}

func compareRank(x, y core.Host, organisation core.Organisation) int {
	weight := func(h core.Host) uint64 { return core.RendezvousWeight(string(h.Name), string(organisation)) }
	return cmp.Or(cmp.Compare(weight(x), weight(y)), cmp.Compare(x.Name, y.Name))
}

// isGrantor reports whether this host grants the credits of the organisation in its zone. The
// caller holds Allotter.mu.
func (a *Allotter) isGrantor(organisation core.Organisation) bool {
	live := a.live[a.Self.Zone.Name]
	return len(live) > 0 && first(live, organisation).Name == a.Self.Name && a.hasQuorum(organisation)
}

// hasQuorum reports whether this host hears of more than half of the registered hosts of its
// zone, or of half of them with the first one. The caller holds Allotter.mu.
func (a *Allotter) hasQuorum(organisation core.Organisation) bool {
	var registered []core.Host
	live := 0
	isFirstLive := false
	for _, m := range a.members {
		if m.Host.Zone.Name != a.Self.Zone.Name || !m.IsRegistered {
			continue
		}
		registered = append(registered, m.Host)
		if m.IsReady {
			live++
		}
	}
	if len(registered) == 0 {
		return false
	}
	top := first(registered, organisation)
	for _, h := range a.live[a.Self.Zone.Name] {
		isFirstLive = isFirstLive || h.Name == top.Name
	}
	return 2*live > len(registered) || 2*live == len(registered) && isFirstLive
}

// Grant takes one credit of the organisation from this host's bucket.
func (a *Allotter) Grant(organisation core.Organisation, now time.Time) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[organisation]
	if b == nil || now.Sub(a.updatedAt) > maxUpdateInterval {
		return Answer{}
	}
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return Answer{IsGranted: true, IsGrantor: true}
	}
	return Answer{IsGrantor: true, NextIn: b.nextIn(), RetryIn: b.scheduleReturn(now)}
}

// Return gives back a credit that this host granted and that was not used.
func (a *Allotter) Return(organisation core.Organisation, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[organisation]; b != nil {
		b.fill(now)
		b.tokens = min(b.tokens+1, b.capacity)
	}
}

// bucket is the token bucket of one organisation in one zone.
type bucket struct {
	// rate is in tokens a second. A token is the right to send one request.
	rate, capacity, tokens float64
	filledAt               time.Time
	// nextReturn is when the next client without a credit should return.
	nextReturn time.Time
}

func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	if elapsed > 0 {
		b.tokens = min(b.tokens+elapsed*b.rate, b.capacity)
	}
}

// nextIn returns the time until the bucket holds a token.
func (b *bucket) nextIn() time.Duration {
	missing := 1 - b.tokens
	if b.rate <= 0 || missing > b.rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// scheduleReturn returns the time after which a client whose request got no credit should return.
func (b *bucket) scheduleReturn(now time.Time) time.Duration {
	earliest := now.Add(b.nextIn())
	if b.nextReturn.Before(earliest) || b.nextReturn.Sub(now) > maxRetryAfter {
		b.nextReturn = earliest
	}
	retryIn := b.nextReturn.Sub(now)
	b.nextReturn = b.nextReturn.Add(time.Duration(float64(time.Second) / max(b.rate, minReturnRate)))
	return retryIn
}
