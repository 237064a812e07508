// Package limiter keeps the traffic between regions below the rate limits of the
// links, and the number of retries below a fraction of the requests.
//
// The rate limit (cap) of a link is divided in advance, so that hosts need no
// messages to stay below it. Hosts use only UsableFraction of the cap. Half of that is
// divided into equal fixed rates for the numbered slots of the sending region; a host
// holds at most one slot. The other half is granted to slot holders as leases. A host
// without a slot sends nothing to other regions.
//
// # Usage
//
//	links := &limiter.LinkLimiter{Region: "nl-south"}
//	links.Configure(configuration.Links, now)
//	links.SetSlot(true, now)
//	reservation := links.Reserve("de-west", 16*core.Kibibyte, now)
//
// A SlotManager acquires and renews the slot and the leases in the platform's store.
//
// Lock order: no other lock of this program is acquired while LinkLimiter.mu or RetryBudget.mu
// is held.
package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/endiverun/endiverun/core"
)

// The division of a link's cap.
const (
	// UsableFraction is the fraction of a cap that hosts use. The rest covers framing
	// overhead and inexact measurement.
	UsableFraction = 0.9
	// FixedFraction is the fraction of the planned rate that is divided over the slots.
	// The rest is granted as leases.
	FixedFraction = 0.5
	// burstDuration is the length of the burst that a share allows, at its rate. In
	// any window of 1 s, the bursts of all shares together are smaller than the
	// unused part of the cap.
	burstDuration = 60 * time.Millisecond
	// minBurst allows a share of any rate to send one chunk.
	minBurst = int(ChunkSize)
)

// maxReservationDelay is the longest time in advance for which bytes are reserved. A
// lease may expire before they are sent, but other hosts respect an expired lease for
// longer than this.
const maxReservationDelay = 250 * time.Millisecond

// ChunkSize is the maximum number of bytes in one reservation.
const ChunkSize = 16 * core.Kibibyte

// LinkLimiter limits what one host sends over the links out of its region.
type LinkLimiter struct {
	// Region is the region of the host.
	Region core.RegionName

	mu      sync.Mutex
	hasSlot bool
	shares  map[core.RegionName]*share
}

// share limits what the host sends to one region.
type share struct {
	link core.LinkCap
	// lease is the leased rate. It is valid until expiry.
	lease   core.BitsPerSecond
	expiry  time.Time
	limiter *rate.Limiter
	// demand is the number of bytes reserved since the last call of TakeDemand.
	demand core.Bytes
}

// Configure replaces the links. Links from other regions are ignored.
func (l *LinkLimiter) Configure(links map[core.Link]core.LinkCap, now time.Time) {
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

// configure adds or updates the share of one link. The caller holds mu.
func (l *LinkLimiter) configure(to core.RegionName, limit core.LinkCap, now time.Time) {
	s := l.shares[to]
	if s == nil {
		s = &share{limiter: rate.NewLimiter(0, minBurst)}
		l.shares[to] = s
	}
	s.link = limit
	l.updateLimiter(s, now)
}

// SetSlot sets whether the host holds a slot.
func (l *LinkLimiter) SetSlot(hasSlot bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasSlot = hasSlot
	for _, s := range l.shares {
		l.updateLimiter(s, now)
	}
}

// HasSlot reports whether the host holds a slot.
func (l *LinkLimiter) HasSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasSlot
}

// SetLease sets the rate that the host may use until expiry in addition to the fixed
// rate of its slot.
func (l *LinkLimiter) SetLease(to core.RegionName, lease core.BitsPerSecond, expiry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return
	}
	s.lease, s.expiry = lease, expiry
	l.updateLimiter(s, now)
}

// LowerLease reduces the leased rate to at most the given one. The expiry of the lease
// stays the same.
func (l *LinkLimiter) LowerLease(to core.RegionName, lease core.BitsPerSecond, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return
	}
	s.lease = min(s.lease, lease)
	l.updateLimiter(s, now)
}

// updateLimiter sets the limiter to the rate that the host holds at the given time. The
// caller holds mu.
func (l *LinkLimiter) updateLimiter(s *share, now time.Time) {
	if !now.Before(s.expiry) {
		s.lease = 0
	}
	current := l.currentRate(s)
	s.limiter.SetLimitAt(now, rate.Limit(current.BytesPerSecond()))
	s.limiter.SetBurstAt(now, max(minBurst, int(current.BytesPerSecond()*burstDuration.Seconds())))
}

// currentRate returns the sum of the fixed rate and the lease; 0 without a slot. The
// caller holds mu.
func (l *LinkLimiter) currentRate(s *share) core.BitsPerSecond {
	if !l.hasSlot {
		return 0
	}
	return FixedRate(s.link) + min(s.lease, LeasableRate(s.link))
}

// FixedRate returns the rate that the holder of a slot may use without a lease.
func FixedRate(link core.LinkCap) core.BitsPerSecond {
	return core.BitsPerSecond(float64(link.Cap) * UsableFraction * FixedFraction / float64(link.SlotCount()))
}

// LeasableRate returns the rate that can be granted to all slots together as leases.
func LeasableRate(link core.LinkCap) core.BitsPerSecond {
	return core.BitsPerSecond(float64(link.Cap) * UsableFraction * (1 - FixedFraction))
}

// Reservation is the result of Reserve.
type Reservation struct {
	// Delay is the time until the bytes may be sent if Granted is set, and otherwise
	// the time until the caller should call Reserve again.
	Delay time.Duration
	// Granted reports whether the bytes were reserved.
	Granted bool
	// Forbidden reports that the host may send nothing to the region.
	Forbidden bool
}

// Reserve reserves n bytes, at most ChunkSize, of the rate towards a region. It
// reserves nothing more than maxReservationDelay in advance, because the lease may
// expire before that. Traffic within the host's region is not limited, nor is traffic
// for which no region is given.
func (l *LinkLimiter) Reserve(to core.RegionName, n core.Bytes, now time.Time) Reservation {
	if to == l.Region || to == "" {
		return Reservation{Granted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return Reservation{Forbidden: true}
	}
	l.expireLease(s, now)
	if l.currentRate(s) <= 0 {
		return Reservation{Forbidden: true}
	}
	reservation := s.limiter.ReserveN(now, int(min(n, ChunkSize)))
	delay := reservation.DelayFrom(now)
	if delay > maxReservationDelay {
		reservation.CancelAt(now)
		return Reservation{Delay: maxReservationDelay}
	}
	s.demand += n
	return Reservation{Delay: delay, Granted: true}
}

// CanSend reports whether n bytes could be sent to a region within the given time at
// the rate that the host holds now. It reserves nothing.
func (l *LinkLimiter) CanSend(to core.RegionName, n core.Bytes, within time.Duration, now time.Time) bool {
	if to == l.Region {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shares[to]
	if s == nil {
		return false
	}
	l.expireLease(s, now)
	current := l.currentRate(s)
	if current <= 0 {
		return false
	}
	missing := float64(n) - s.limiter.TokensAt(now)
	return missing <= current.BytesPerSecond()*within.Seconds()
}

// expireLease removes a lease after its expiry. The caller holds mu.
func (l *LinkLimiter) expireLease(s *share, now time.Time) {
	if s.lease > 0 && !now.Before(s.expiry) {
		l.updateLimiter(s, now)
	}
}

// TakeDemand returns the number of bytes reserved towards each region since the last call
// and resets it.
func (l *LinkLimiter) TakeDemand() map[core.RegionName]core.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := make(map[core.RegionName]core.Bytes, len(l.shares))
	for r, s := range l.shares {
		demand[r] = s.demand
		s.demand = 0
	}
	return demand
}

// CurrentRates returns the rate that the host holds towards each region at the given time.
func (l *LinkLimiter) CurrentRates(now time.Time) map[core.RegionName]core.BitsPerSecond {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates := make(map[core.RegionName]core.BitsPerSecond, len(l.shares))
	for r, s := range l.shares {
		l.expireLease(s, now)
		rates[r] = l.currentRate(s)
	}
	return rates
}
