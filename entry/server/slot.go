package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/storer"
)

// kindSlots is the kind of the objects that hold the slots of a region.
const kindSlots = "linkslots"

// Intervals of renewals.
const (
	// renewLeased is used while a lease is held or wanted.
	renewLeased = limiter.LeaseTime / 3
	// renewIdle is used otherwise, well below limiter.SlotTime.
	renewIdle = 10 * time.Second
	// slotRetry is used while the host has no slot.
	slotRetry = time.Second
	// slotTries is how often a lost race for the object is repeated.
	slotTries = 5
)

// demandMargin is how much more than the last demand is asked for.
const demandMargin = 1.5

// keeper renews the host's slot and leases.
type keeper struct {
	server *Server
	watch  limiter.Watch
	leases map[core.RegionName]core.BitsPerSecond
	last   time.Time
	had    bool
}

// keepSlot holds a slot of the region's links while the host runs.
func (s *Server) keepSlot(ctx context.Context) {
	k := &keeper{server: s, last: s.now()}
	for ctx.Err() == nil {
		pause := slotRetry
		isLive := s.steerer.Phase() == core.PhaseLive
		if isLive && k.renew() {
			pause = k.pause()
		}
		k.logChange()
		sleep(ctx, jitter(pause))
	}
}

func (k *keeper) pause() time.Duration {
	if len(k.leases) > 0 {
		return renewLeased
	}
	return renewIdle
}

func (k *keeper) logChange() {
	has := k.server.steerer.Links.HasSlot()
	if has == k.had {
		return
	}
	k.had = has
	event := logger.SlotLost
	if has {
		event = logger.SlotTaken
	}
	k.server.log.Event(event).Send()
}

// renew writes the slot with a new round and the leases wanted.
func (k *keeper) renew() bool {
	wanted := k.wanted()
	for range slotTries {
		done, again := k.tryRenew(wanted)
		if done || !again {
			return done
		}
	}
	return false
}

// wanted returns the rates to ask for beyond the fixed part.
func (k *keeper) wanted() map[core.RegionName]core.BitsPerSecond {
	s := k.server
	now := s.now()
	period := max(now.Sub(k.last), time.Second)
	k.last = now
	links := k.links()
	wanted := map[core.RegionName]core.BitsPerSecond{}
	for r, n := range s.steerer.Links.Demand() {
		rate := core.BitsPerSecond(demandMargin * 8 * float64(n) / period.Seconds())
		if extra := rate - limiter.FixedRate(links[r]); extra > 0 {
			wanted[r] = extra
		}
	}
	return wanted
}

// links returns the links out of the host's region.
func (k *keeper) links() map[core.RegionName]core.LinkCap {
	links := map[core.RegionName]core.LinkCap{}
	for l, c := range k.server.steerer.Sequencer.Configuration().Links {
		if l.From == k.server.host.Zone.Region {
			links[l.To] = c
		}
	}
	return links
}

// tryRenew does one read and conditional write. It reports whether it
// succeeded, and whether to try again at once.
func (k *keeper) tryRenew(wanted map[core.RegionName]core.BitsPerSecond) (done, again bool) {
	s := k.server
	object, table, err := s.readSlots()
	if err != nil {
		return false, false
	}
	now := s.now()
	k.watch.Observe(table, now)
	claim := limiter.Claim{Life: s.host.Life(), Wanted: wanted, Links: k.links(), IsLive: s.isLive}
	next, index, ok := claim.Apply(table, &k.watch, now)
	if !ok {
		return false, false
	}
	leases := next.Slots[index].Leases
	k.lower(leases, now)
	if err := s.writeSlots(object, next); err != nil {
		return false, errorx.IsOfType(err, core.ErrConflict)
	}
	k.use(leases, now)
	return true, false
}

// lower gives up at once what the host is about to ask less of, because the
// write may take effect without an answer.
func (k *keeper) lower(leases map[core.RegionName]core.BitsPerSecond, now time.Time) {
	for r, old := range k.leases {
		if leases[r] < old {
			k.server.steerer.Links.SetLease(r, leases[r], now.Add(limiter.LeaseTime), now)
			k.leases[r] = leases[r]
		}
	}
}

// use begins to use what was written; its time counts from before the write.
func (k *keeper) use(leases map[core.RegionName]core.BitsPerSecond, asked time.Time) {
	s := k.server
	now := s.now()
	k.leases = map[core.RegionName]core.BitsPerSecond{}
	for r, b := range leases {
		k.leases[r] = b
		s.steerer.Links.SetLease(r, b, asked.Add(limiter.LeaseTime), now)
	}
	s.steerer.ConfirmSlot(asked, now)
}

// isLive reports whether a life is heard from.
func (s *Server) isLive(life core.Life) bool {
	member, ok := s.steerer.Tracker.Lookup(life.Host, s.now())
	return ok && member.Host.Incarnation == life.Incarnation
}

// readSlots reads the slots of the region; an absent object is an empty table.
func (s *Server) readSlots() (storer.Object, limiter.SlotTable, error) {
	name := string(s.host.Zone.Region)
	object, err := s.storer.Get(kindSlots, name)
	if err != nil && errorx.IsOfType(err, core.ErrNotFound) {
		return storer.Object{Kind: kindSlots, Metadata: storer.Metadata{Name: name}}, limiter.SlotTable{}, nil
	}
	if err != nil {
		return storer.Object{}, limiter.SlotTable{}, err
	}
	var table limiter.SlotTable
	if err := json.Unmarshal(object.Data, &table); err != nil {
		return storer.Object{}, limiter.SlotTable{}, core.ErrPlatform.Wrap(err, "slots")
	}
	return object, table, nil
}

func (s *Server) writeSlots(object storer.Object, table limiter.SlotTable) error {
	var err error
	if object.Metadata.ResourceVersion == 0 {
		_, err = s.storer.Create(object.Kind, object.Metadata.Name, table)
	} else {
		_, err = s.storer.Update(object, table)
	}
	return err
}

// releaseSlot hands the slot back at a planned stop.
func (s *Server) releaseSlot() {
	for range slotTries {
		object, table, err := s.readSlots()
		if err != nil || object.Metadata.ResourceVersion == 0 {
			return
		}
		err = s.writeSlots(object, limiter.Release(table, s.host.Life()))
		if !errorx.IsOfType(err, core.ErrConflict) {
			return
		}
	}
}
