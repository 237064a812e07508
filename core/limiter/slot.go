package limiter

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Times of slots and leases. A holder stops to use what it holds a margin
// before others may take it.
const (
	// LeaseTime is how long a holder uses a lease after it asked for it.
	LeaseTime = 10 * time.Second
	// leaseSilence is how long others respect a lease that is not renewed.
	leaseSilence = LeaseTime + 2*time.Second
	// SlotTime is how long a holder uses a slot without confirmation.
	SlotTime = 50 * time.Second
	// slotSilence is how long others respect a slot that is not renewed.
	slotSilence = SlotTime + 10*time.Second
)

// Slot is one numbered part of a region's links as the platform's store keeps
// it.
type Slot struct {
	Holder      core.HostName    `json:"holder,omitempty"`
	Incarnation core.Incarnation `json:"incarnation,omitempty"`
	// Round grows with every renewal, so that others see the holder is alive
	// without comparing clocks.
	Round uint64 `json:"round"`
	// Leases is the rate lent to the holder towards each region.
	Leases map[core.RegionName]core.BitsPerSecond `json:"leases,omitempty"`
}

// SlotTable is the stored state of the slots of one region.
type SlotTable struct {
	Slots []Slot `json:"slots"`
}

// Watch remembers since when each slot has shown the same round.
type Watch struct {
	seen []watched
}

type watched struct {
	slot  Slot
	since time.Time
}

// Observe takes in the stored table.
func (w *Watch) Observe(table SlotTable, now time.Time) {
	for len(w.seen) < len(table.Slots) {
		w.seen = append(w.seen, watched{since: now})
	}
	for i, s := range table.Slots {
		old := w.seen[i].slot
		if old.Holder != s.Holder || old.Incarnation != s.Incarnation || old.Round != s.Round {
			w.seen[i] = watched{slot: s, since: now}
		}
	}
}

// isSilent reports whether slot i has shown the same round for the given time.
func (w *Watch) isSilent(i int, silence time.Duration, now time.Time) bool {
	return i < len(w.seen) && now.Sub(w.seen[i].since) >= silence
}

// Claim is the wish of one host for a slot and leases.
type Claim struct {
	Life core.Life
	// Wanted is the rate asked for towards each region.
	Wanted map[core.RegionName]core.BitsPerSecond
	// Links are the links out of the region, by the region they lead to.
	Links map[core.RegionName]core.LinkCap
	// IsLive reports whether a holder is heard from by other means.
	IsLive func(core.Life) bool
}

// Apply returns the table after the claim and the index of the host's slot. It
// reports false where no slot is free; the table is then unchanged.
func (c Claim) Apply(table SlotTable, watch *Watch, now time.Time) (SlotTable, int, bool) {
	next := SlotTable{Slots: make([]Slot, max(c.slotCount(), len(table.Slots)))}
	copy(next.Slots, table.Slots)
	index := c.find(next, watch, now)
	if index < 0 {
		return table, -1, false
	}
	round := next.Slots[index].Round + 1
	next.Slots[index] = Slot{Holder: c.Life.Host, Incarnation: c.Life.Incarnation, Round: round}
	next.Slots[index].Leases = c.lend(next, watch, now)
	return next, index, true
}

// find returns the host's own slot, else a free one, else one whose holder has
// been silent to the store and to all peers.
func (c Claim) find(table SlotTable, watch *Watch, now time.Time) int {
	for i, s := range table.Slots {
		if s.Holder == c.Life.Host && s.Incarnation == c.Life.Incarnation {
			return i
		}
	}
	limit := min(len(table.Slots), c.slotCount())
	for i, s := range table.Slots[:limit] {
		if s.Holder == "" {
			return i
		}
	}
	for i, s := range table.Slots[:limit] {
		life := core.Life{Host: s.Holder, Incarnation: s.Incarnation}
		if watch.isSilent(i, slotSilence, now) && !c.IsLive(life) {
			return i
		}
	}
	return -1
}

// slotCount returns the number of slots that every link is divided over at
// least, so that no slot has a part on one link and none on another.
func (c Claim) slotCount() int {
	count := 0
	for _, l := range c.Links {
		if count == 0 || l.SlotCount() < count {
			count = l.SlotCount()
		}
	}
	return count
}

// lend returns the leases that the claim gets beside those already lent.
func (c Claim) lend(table SlotTable, watch *Watch, now time.Time) map[core.RegionName]core.BitsPerSecond {
	leases := map[core.RegionName]core.BitsPerSecond{}
	for r, l := range c.Links {
		left := LeasableRate(l)
		for i, s := range table.Slots {
			if !watch.isSilent(i, leaseSilence, now) {
				left -= s.Leases[r]
			}
		}
		if grant := min(c.Wanted[r], left); grant > 0 {
			leases[r] = grant
		}
	}
	return leases
}

// Release returns the table without the slot of the given life.
func Release(table SlotTable, life core.Life) SlotTable {
	next := SlotTable{Slots: make([]Slot, len(table.Slots))}
	copy(next.Slots, table.Slots)
	for i, s := range next.Slots {
		if s.Holder == life.Host && s.Incarnation == life.Incarnation {
			next.Slots[i] = Slot{Round: s.Round + 1}
		}
	}
	return next
}

// Confirmation tells how long a host may go on using its slot. Another host of
// the region takes the slot only when it sees no renewal and hears nothing of
// the holder. So a holder may use it while it renewed recently, or while it
// hears from every other availability zone of its region.
type Confirmation struct {
	// Zones are the other availability zones of the region.
	Zones []core.ZoneName

	renewed time.Time
	heard   map[core.ZoneName]time.Time
}

// Renew notes a renewal that was asked for at the given time.
func (c *Confirmation) Renew(asked time.Time) {
	c.renewed = asked
}

// Hear notes news from a host of an availability zone.
func (c *Confirmation) Hear(zone core.ZoneName, now time.Time) {
	if c.heard == nil {
		c.heard = map[core.ZoneName]time.Time{}
	}
	c.heard[zone] = now
}

// IsValid reports whether the slot may be used at the given time. A slot that
// was never renewed by this host is not valid.
func (c *Confirmation) IsValid(now time.Time) bool {
	if c.renewed.IsZero() {
		return false
	}
	if now.Sub(c.renewed) < SlotTime {
		return true
	}
	for _, z := range c.Zones {
		if now.Sub(c.heard[z]) >= SlotTime {
			return false
		}
	}
	return len(c.Zones) > 0
}
