package limiter

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// kindSlots is the kind of the objects that hold the slots of a region.
const kindSlots = "linkslots"

// conflictTries is how often a lost race for the object is repeated.
const conflictTries = 5

// demandMargin is how much more than the last demand is asked for.
const demandMargin = 1.5

// Keeper holds a slot and leases of a region's links for one life of a host.
// The exported fields are set before the first Renew; one goroutine uses it.
type Keeper struct {
	Life  core.Life
	Store core.Store
	Links *Links
	// Caps returns the links of the configuration in force.
	Caps func() map[core.Link]core.LinkCap
	// IsLive reports whether a life is heard from.
	IsLive func(core.Life) bool
	// Confirm is told of a renewal that was asked for at the given time.
	Confirm func(asked time.Time)
	// Now tells the time after a call to the store.
	Now func() time.Time

	watch  Watch
	leases map[core.RegionName]core.BitsPerSecond
	last   time.Time
}

// HasLeases reports whether any lease is held.
func (k *Keeper) HasLeases() bool {
	return len(k.leases) > 0
}

// Renew writes the slot with a new round and the leases that the demand since
// the last call calls for.
func (k *Keeper) Renew(now time.Time) error {
	wanted := k.wanted(now)
	var err error
	for range conflictTries {
		err = k.try(wanted, now)
		if !core.IsConflict(err) {
			return err
		}
		now = k.Now()
	}
	return err
}

// wanted returns the rates to ask for beyond the fixed part.
func (k *Keeper) wanted(now time.Time) map[core.RegionName]core.BitsPerSecond {
	period := max(now.Sub(k.last), time.Second)
	k.last = now
	links := k.outgoing()
	wanted := map[core.RegionName]core.BitsPerSecond{}
	for r, n := range k.Links.Demand() {
		rate := core.BitsPerSecond(demandMargin * 8 * float64(n) / period.Seconds())
		if extra := rate - FixedRate(links[r]); extra > 0 {
			wanted[r] = extra
		}
	}
	return wanted
}

// outgoing returns the links out of the host's region.
func (k *Keeper) outgoing() map[core.RegionName]core.LinkCap {
	links := map[core.RegionName]core.LinkCap{}
	for l, c := range k.Caps() {
		if l.From == k.Links.Region {
			links[l.To] = c
		}
	}
	return links
}

// ErrNoSlot reports that all slots are held by others.
var ErrNoSlot = core.Errors.NewType("no-slot")

// try does one read and one conditional write.
func (k *Keeper) try(wanted map[core.RegionName]core.BitsPerSecond, asked time.Time) error {
	var table SlotTable
	object, err := k.Store.Read(kindSlots, string(k.Links.Region), &table)
	if err != nil {
		return err
	}
	read := k.Now()
	k.watch.Observe(table, read)
	claim := Claim{Life: k.Life, Wanted: wanted, Links: k.outgoing(), IsLive: k.IsLive}
	next, index, ok := claim.Apply(table, &k.watch, read)
	if !ok {
		return ErrNoSlot.New("all slots of %s are held", k.Links.Region)
	}
	leases := next.Slots[index].Leases
	k.lower(leases, read)
	if err := k.Store.Write(object, next); err != nil {
		return err
	}
	k.use(leases, asked)
	return nil
}

// lower gives up at once what the host is about to ask less of, because the
// write may take effect without an answer.
func (k *Keeper) lower(leases map[core.RegionName]core.BitsPerSecond, now time.Time) {
	for r, old := range k.leases {
		if leases[r] < old {
			k.Links.LowerLease(r, leases[r], now)
			k.leases[r] = leases[r]
		}
	}
}

// use begins to use what was written; its time counts from before the call.
func (k *Keeper) use(leases map[core.RegionName]core.BitsPerSecond, asked time.Time) {
	now := k.Now()
	k.leases = leases
	for r, b := range leases {
		k.Links.SetLease(r, b, asked.Add(LeaseTime), now)
	}
	k.Confirm(asked)
}

// Release hands the slot back at a planned stop.
func (k *Keeper) Release() error {
	var err error
	for range conflictTries {
		var table SlotTable
		var object core.Object
		object, err = k.Store.Read(kindSlots, string(k.Links.Region), &table)
		if err != nil || object.Version == 0 {
			return err
		}
		err = k.Store.Write(object, Release(table, k.Life))
		if !core.IsConflict(err) {
			return err
		}
	}
	return err
}
