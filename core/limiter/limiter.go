// Package limiter keeps traffic under the caps of links and the number of
// retries under a fraction of the requests.
//
// A link's cap is split beforehand. PlannedShare of it is used at all; half of
// that is divided in fixed parts over the numbered slots of the sending
// region, one slot a host, and the other half is lent by leases. A host spends
// only its own parts, so no message is needed to stay under the cap, and a
// host without a slot sends nothing across regions.
//
// # Usage
//
//	links := &limiter.Links{Region: "nl-south"}
//	links.Configure(configuration.Links, now)
//	links.SetSlot(true, now)
//	reservation := links.Reserve("de-west", 16*core.Kibibyte, now)
//
// Lock order: Links.mu and Budget.mu are leaves.
package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/endiverun/endiverun/core"
)

// The split of a link's cap.
const (
	// PlannedShare of a cap is used; the rest covers framing and measurement.
	PlannedShare = 0.9
	// FixedShare of the planned rate belongs to slots; the rest is leased.
	FixedShare = 0.5
	// burstTime is how much of a share may be sent at once. Over a window of
	// 1 s the bursts of all shares add less than the unplanned part of the cap.
	burstTime = 60 * time.Millisecond
	// minBurst lets a share of any size send one chunk.
	minBurst = int(ChunkSize)
)

// maxAhead is how far ahead bytes are granted. A lease that lapses meanwhile
// is respected by others for longer than this.
const maxAhead = 250 * time.Millisecond

// ChunkSize is the largest amount that is charged at once.
const ChunkSize = 16 * core.Kibibyte

// Links holds one host's shares of the links out of its region.
type Links struct {
	// Region is the region that the host sends from.
	Region core.RegionName

	mu     sync.Mutex
	held   bool
	shares map[core.RegionName]*share
}

// share is what a host may send to one region.
type share struct {
	link    core.LinkCap
	lease   core.BitsPerSecond
	expiry  time.Time
	limiter *rate.Limiter
	// demand counts the bytes asked for since the last Demand call.
	demand core.Bytes
}

// Configure takes in the links of a configuration.
func (l *Links) Configure(links map[core.Link]core.LinkCap, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares == nil {
		l.shares = map[core.RegionName]*share{}
	}
	for r := range l.shares {
		if _, ok := links[core.Link{From: l.Region, To: r}]; !ok {
			delete(l.shares, r)
		}
	}
	for k, c := range links {
		if k.From == l.Region {
			l.configure(k.To, c, now)
		}
	}
}

func (l *Links) configure(to core.RegionName, limit core.LinkCap, now time.Time) {
	s := l.shares[to]
	if s == nil {
		s = &share{limiter: rate.NewLimiter(0, minBurst)}
		l.shares[to] = s
	}
	s.link = limit
	l.apply(s, now)
}

// SetSlot tells whether the host holds a slot.
func (l *Links) SetSlot(held bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	for _, s := range l.shares {
		l.apply(s, now)
	}
}

// HasSlot reports whether the host holds a slot.
func (l *Links) HasSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// SetLease lends the host an additional rate until expiry.
func (l *Links) SetLease(to core.RegionName, lease core.BitsPerSecond, expiry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return
	}
	s.lease, s.expiry = lease, expiry
	l.apply(s, now)
}

// LowerLease reduces the additional rate and leaves its expiry.
func (l *Links) LowerLease(to core.RegionName, lease core.BitsPerSecond, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return
	}
	s.lease = min(s.lease, lease)
	l.apply(s, now)
}

// apply sets the rate of a share to what is held at the given time.
func (l *Links) apply(s *share, now time.Time) {
	if !now.Before(s.expiry) {
		s.lease = 0
	}
	held := l.rateOf(s)
	s.limiter.SetLimitAt(now, rate.Limit(held.PerSecond()))
	s.limiter.SetBurstAt(now, max(minBurst, int(held.PerSecond()*burstTime.Seconds())))
}

func (l *Links) rateOf(s *share) core.BitsPerSecond {
	if !l.held {
		return 0
	}
	return FixedRate(s.link) + min(s.lease, LeasableRate(s.link))
}

// FixedRate is the part of a cap that each of the slots owns.
func FixedRate(link core.LinkCap) core.BitsPerSecond {
	return core.BitsPerSecond(float64(link.Cap) * PlannedShare * FixedShare / float64(link.SlotCount()))
}

// LeasableRate is the part of a cap that is lent by leases.
func LeasableRate(link core.LinkCap) core.BitsPerSecond {
	return core.BitsPerSecond(float64(link.Cap) * PlannedShare * (1 - FixedShare))
}

// Reservation is the answer to Reserve.
type Reservation struct {
	// Wait is how long to wait.
	Wait time.Duration
	// Granted says that the bytes may be sent after Wait; otherwise the caller
	// asks again then.
	Granted bool
	// Forbidden says that the host may not send there at all.
	Forbidden bool
}

// Reserve takes n bytes, at most ChunkSize, of the share towards a region. It
// grants nothing further ahead than maxAhead, because the rate may lapse.
func (l *Links) Reserve(to core.RegionName, n core.Bytes, now time.Time) Reservation {
	if to == l.Region || to == "" {
		return Reservation{Granted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return Reservation{Forbidden: true}
	}
	l.lapse(s, now)
	if l.rateOf(s) <= 0 {
		return Reservation{Forbidden: true}
	}
	reservation := s.limiter.ReserveN(now, int(min(n, ChunkSize)))
	wait := reservation.DelayFrom(now)
	if wait > maxAhead {
		reservation.CancelAt(now)
		return Reservation{Wait: maxAhead}
	}
	s.demand += n
	return Reservation{Wait: wait, Granted: true}
}

// CanSend reports whether a message of n bytes towards a region would start to
// leave within the given time.
func (l *Links) CanSend(to core.RegionName, n core.Bytes, within time.Duration, now time.Time) bool {
	if to == l.Region {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return false
	}
	l.lapse(s, now)
	held := l.rateOf(s)
	if held <= 0 {
		return false
	}
	short := float64(n) - s.limiter.TokensAt(now)
	return short <= held.PerSecond()*within.Seconds()
}

// lapse ends a lease that is past its expiry.
func (l *Links) lapse(s *share, now time.Time) {
	if s.lease > 0 && !now.Before(s.expiry) {
		l.apply(s, now)
	}
}

// Demand returns the bytes asked for towards each region since the last call.
func (l *Links) Demand() map[core.RegionName]core.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[core.RegionName]core.Bytes, len(l.shares))
	for r, s := range l.shares {
		demand[r] = s.demand
		s.demand = 0
	}
	return demand
}

// Rates returns the rate held towards each region at the given time.
func (l *Links) Rates(now time.Time) map[core.RegionName]core.BitsPerSecond {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates := make(map[core.RegionName]core.BitsPerSecond, len(l.shares))
	for r, s := range l.shares {
		l.lapse(s, now)
		rates[r] = l.rateOf(s)
	}
	return rates
}
