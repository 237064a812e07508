package limiter

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Durations of slots and leases. A holder stops using a slot or a lease some time before
// other hosts may take it.
const (
	// LeaseDuration is how long a holder uses a lease after it requested the renewal.
	LeaseDuration = 10 * time.Second
	// leaseTakeoverDelay is how long other hosts respect a lease without a renewal.
	leaseTakeoverDelay = LeaseDuration + 2*time.Second
	// SlotDuration is how long a holder uses a slot without confirmation.
	SlotDuration = 50 * time.Second
	// slotTakeoverDelay is how long other hosts respect a slot without a renewal.
	slotTakeoverDelay = SlotDuration + 10*time.Second
)

// Slot is one numbered slot of a region's outgoing links, as kept in the platform's
// store. A slot without a holder is free.
type Slot struct {
	Holder      core.HostName    `json:"holder,omitempty"`
	Incarnation core.Incarnation `json:"incarnation,omitempty"`
	// Renewals is incremented with every renewal. Other hosts detect renewals by it
	// without comparing clocks.
	Renewals uint64 `json:"round"`
	// Leases is the rate granted to the holder towards each region.
	Leases map[core.RegionName]core.BitsPerSecond `json:"leases,omitempty"`
}

// SlotTable is the stored state of the slots of one region.
type SlotTable struct {
	Slots []Slot `json:"slots"`
}

// RenewalTracker records when the last renewal of each slot was observed.
type RenewalTracker struct {
	observed []observedSlot
}

// observedSlot is a slot and the time at which its current number of renewals was first observed.
type observedSlot struct {
	slot  Slot
	since time.Time
}

// Observe records the renewals since the last call.
func (w *RenewalTracker) Observe(table SlotTable, now time.Time) {
	for len(w.observed) < len(table.Slots) {
		w.observed = append(w.observed, observedSlot{since: now})
	}
	for i, s := range table.Slots {
		old := w.observed[i].slot
		if old.Holder != s.Holder || old.Incarnation != s.Incarnation || old.Renewals != s.Renewals {
			w.observed[i] = observedSlot{slot: s, since: now}
		}
	}
}

// isUnrenewed reports whether no renewal of slot i was observed for the given duration.
func (w *RenewalTracker) isUnrenewed(i int, duration time.Duration, now time.Time) bool {
	return i < len(w.observed) && now.Sub(w.observed[i].since) >= duration
}

// SlotRequest is the request of one host for a slot and leases.
type SlotRequest struct {
	// Instance is the incarnation of the host.
	Instance core.HostInstance
	// RequestedRates is the requested rate towards each region.
	RequestedRates map[core.RegionName]core.BitsPerSecond
	// Links are the links out of the region, by destination region.
	Links map[core.RegionName]core.LinkCap
	// IsLive reports whether heartbeats of a holder are received.
	IsLive func(core.HostInstance) bool
}

// Apply returns the table with the request applied and the index of the host's slot. It
// returns false and the unchanged table where no slot is free.
func (c SlotRequest) Apply(table SlotTable, renewals *RenewalTracker, now time.Time) (SlotTable, int, bool) {
	next := SlotTable{Slots: make([]Slot, max(c.minSlotCount(), len(table.Slots)))}
	copy(next.Slots, table.Slots)
	index := c.findSlot(next, renewals, now)
	if index < 0 {
		return table, -1, false
	}
	count := next.Slots[index].Renewals + 1
	next.Slots[index] = Slot{Holder: c.Instance.Host, Incarnation: c.Instance.Incarnation, Renewals: count}
	next.Slots[index].Leases = c.grantLeases(next, renewals, now)
	return next, index, true
}

// findSlot returns the index of the slot that the host holds, or else of a free one, or
// else of one whose holder neither renewed it in the store nor sent heartbeats; -1 where
// there is none.
func (c SlotRequest) findSlot(table SlotTable, renewals *RenewalTracker, now time.Time) int {
	for i, s := range table.Slots {
		if s.Holder == c.Instance.Host && s.Incarnation == c.Instance.Incarnation {
			return i
		}
	}
	limit := min(len(table.Slots), c.minSlotCount())
	for i, s := range table.Slots[:limit] {
		if s.Holder == "" {
			return i
		}
	}
	for i, s := range table.Slots[:limit] {
		holder := core.HostInstance{Host: s.Holder, Incarnation: s.Incarnation}
		if renewals.isUnrenewed(i, slotTakeoverDelay, now) && !c.IsLive(holder) {
			return i
		}
	}
	return -1
}

// minSlotCount returns the smallest slot count of the links, so that every slot has a
// fixed rate on each of them.
func (c SlotRequest) minSlotCount() int {
	count := 0
	for _, l := range c.Links {
		if count == 0 || l.SlotCount() < count {
			count = l.SlotCount()
		}
	}
	return count
}

// grantLeases returns the requested leases, reduced to what the leases of other hosts
// leave.
func (c SlotRequest) grantLeases(table SlotTable, renewals *RenewalTracker, now time.Time) map[core.RegionName]core.BitsPerSecond {
	leases := map[core.RegionName]core.BitsPerSecond{}
	for r, l := range c.Links {
		available := LeasableRate(l)
		for i, s := range table.Slots {
			if !renewals.isUnrenewed(i, leaseTakeoverDelay, now) {
				available -= s.Leases[r]
			}
		}
		if granted := min(c.RequestedRates[r], available); granted > 0 {
			leases[r] = granted
		}
	}
	return leases
}

// ReleaseSlot returns a copy of the table in which the slots of the given incarnation of a
// host are free.
func ReleaseSlot(table SlotTable, holder core.HostInstance) SlotTable {
	next := SlotTable{Slots: make([]Slot, len(table.Slots))}
	copy(next.Slots, table.Slots)
	for i, s := range next.Slots {
		if s.Holder == holder.Host && s.Incarnation == holder.Incarnation {
			next.Slots[i] = Slot{Renewals: s.Renewals + 1}
		}
	}
	return next
}

// SlotValidity determines how long a host may use its slot. Another host of the region
// takes the slot only if it observes no renewals and receives no heartbeats of the
// holder. A holder may therefore use the slot while its last renewal is recent, or while
// it receives heartbeats from every other availability zone of its region.
type SlotValidity struct {
	// OtherZones are the other availability zones of the region.
	OtherZones []core.ZoneName

	renewedAt time.Time
	// heartbeats is the time of the last heartbeat from each availability zone.
	heartbeats map[core.ZoneName]time.Time
}

// RecordRenewal records a successful renewal that was requested at the given time.
func (c *SlotValidity) RecordRenewal(requestedAt time.Time) {
	c.renewedAt = requestedAt
}

// RecordHeartbeat records a heartbeat of a host in an availability zone.
func (c *SlotValidity) RecordHeartbeat(zone core.ZoneName, now time.Time) {
	if c.heartbeats == nil {
		c.heartbeats = map[core.ZoneName]time.Time{}
	}
	c.heartbeats[zone] = now
}

// IsValid reports whether the host may use the slot at the given time. A slot that
// this host never renewed is not valid.
func (c *SlotValidity) IsValid(now time.Time) bool {
	if c.renewedAt.IsZero() {
		return false
	}
	if now.Sub(c.renewedAt) < SlotDuration {
		return true
	}
	for _, z := range c.OtherZones {
		if now.Sub(c.heartbeats[z]) >= SlotDuration {
			return false
		}
	}
	return len(c.OtherZones) > 0
}
