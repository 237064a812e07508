package limiter

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// kindSlots is the kind of the store objects that hold the slots of a region.
const kindSlots = "linkslots"

// maxWriteAttempts is the number of attempts to write an object that other hosts
// change at the same time.
const maxWriteAttempts = 5

// demandFactor is the ratio of the requested rate to the rate since the last
// renewal.
const demandFactor = 1.5

// SlotManager acquires and renews a slot and leases of a region's links for one
// incarnation of a host. The exported fields are set before the first Renew. It is
// not safe for concurrent use.
type SlotManager struct {
	// Instance is the incarnation of the host that holds the slot.
	Instance core.HostInstance
	// Store is the platform's store.
	Store core.Store
	// LinkLimiter gets the leases after each renewal.
	LinkLimiter *LinkLimiter
	// LinkCaps returns the links of the current configuration.
	LinkCaps func() map[core.Link]core.LinkCap
	// IsLive reports whether heartbeats of an incarnation are received.
	IsLive func(core.HostInstance) bool
	// OnRenewed is called after each successful renewal with the time at which the
	// renewal was requested.
	OnRenewed func(requestedAt time.Time)
	// Now returns the current time. It is called after each access to the store.
	Now func() time.Time

	renewals RenewalTracker
	leases   map[core.RegionName]core.BitsPerSecond
	// demandSince is the time since which LinkLimiter counts the demand.
	demandSince time.Time
}

// HasLeases reports whether the host holds any lease.
func (k *SlotManager) HasLeases() bool {
	return len(k.leases) > 0
}

// Renew renews the slot, or takes one where the host holds none, and requests leases
// for the demand since the last call.
func (k *SlotManager) Renew(now time.Time) error {
	requestedRates := k.requestedRates(now)
	var err error
	for range maxWriteAttempts {
		err = k.tryRenew(requestedRates, now)
		if !core.IsConflict(err) {
			return err
		}
		now = k.Now()
	}
	return err
}

// requestedRates returns the rates to request as leases, which is the demand beyond
// the fixed rate of the slot.
func (k *SlotManager) requestedRates(now time.Time) map[core.RegionName]core.BitsPerSecond {
	period := max(now.Sub(k.demandSince), time.Second)
	k.demandSince = now
	links := k.outgoingLinks()
	requestedRates := map[core.RegionName]core.BitsPerSecond{}
	for r, n := range k.LinkLimiter.TakeDemand() {
		rate := core.BitsPerSecond(demandFactor * 8 * float64(n) / period.Seconds())
		if extra := rate - FixedRate(links[r]); extra > 0 {
			requestedRates[r] = extra
		}
	}
	return requestedRates
}

// outgoingLinks returns the links out of the host's region by destination region.
func (k *SlotManager) outgoingLinks() map[core.RegionName]core.LinkCap {
	links := map[core.RegionName]core.LinkCap{}
	for l, c := range k.LinkCaps() {
		if l.From == k.LinkLimiter.Region {
			links[l.To] = c
		}
	}
	return links
}

// ErrNoSlot is returned when other hosts hold all slots of the region.
var ErrNoSlot = core.ErrorNamespace.NewType("no-slot")

// tryRenew reads the slots once and writes them back if they are unchanged since.
func (k *SlotManager) tryRenew(requestedRates map[core.RegionName]core.BitsPerSecond, requestedAt time.Time) error {
	var table SlotTable
	object, err := k.Store.Read(kindSlots, string(k.LinkLimiter.Region), &table)
	if err != nil {
		return err
	}
	readAt := k.Now()
	k.renewals.Observe(table, readAt)
	request := SlotRequest{Instance: k.Instance, RequestedRates: requestedRates, Links: k.outgoingLinks(), IsLive: k.IsLive}
	next, index, ok := request.Apply(table, &k.renewals, readAt)
	if !ok {
		return ErrNoSlot.New("other hosts hold all link slots of region %q", k.LinkLimiter.Region)
	}
	leases := next.Slots[index].Leases
	k.reduceLeases(leases, readAt)
	if err := k.Store.Write(object, next); err != nil {
		return err
	}
	k.useLeases(leases, requestedAt)
	return nil
}

// reduceLeases applies the reductions among the new leases before they are written,
// because a write may take effect without a response and other hosts may then use the
// released rate.
func (k *SlotManager) reduceLeases(leases map[core.RegionName]core.BitsPerSecond, now time.Time) {
	for r, old := range k.leases {
		if leases[r] < old {
			k.LinkLimiter.LowerLease(r, leases[r], now)
			k.leases[r] = leases[r]
		}
	}
}

// useLeases applies the leases that were written. They expire LeaseDuration after the
// renewal was requested, which was before the write.
func (k *SlotManager) useLeases(leases map[core.RegionName]core.BitsPerSecond, requestedAt time.Time) {
	now := k.Now()
	k.leases = leases
	for r, b := range leases {
		k.LinkLimiter.SetLease(r, b, requestedAt.Add(LeaseDuration), now)
	}
	k.OnRenewed(requestedAt)
}

// Release frees the slot at a graceful stop.
func (k *SlotManager) Release() error {
	var err error
	for range maxWriteAttempts {
		var table SlotTable
		var object core.Object
		object, err = k.Store.Read(kindSlots, string(k.LinkLimiter.Region), &table)
		if err != nil || object.Version == 0 {
			return err
		}
		err = k.Store.Write(object, ReleaseSlot(table, k.Instance))
		if !core.IsConflict(err) {
			return err
		}
	}
	return err
}
