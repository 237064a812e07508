package server

import (
	"context"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/waiter"
)

// Renewal intervals of the slot, which is the host's share of its region's links, and
// of the leases on additional bandwidth.
const (
	// leaseRenewInterval is used while the host holds a lease.
	leaseRenewInterval = limiter.LeaseDuration / 3
	// slotRenewInterval is used while the host holds only a slot. It is well below
	// limiter.SlotDuration, after which an unconfirmed slot must not be used.
	slotRenewInterval = 10 * time.Second
	// slotRetryInterval is used while the host has no slot.
	slotRetryInterval = time.Second
)

func (s *Server) newSlotKeeper() *limiter.SlotManager {
	return &limiter.SlotManager{
		Instance:    s.host.Instance(),
		Store:       s.storer.Store(),
		LinkLimiter: s.steerer.LinkLimiter,
		LinkCaps:    func() map[core.Link]core.LinkCap { return s.steerer.Sequencer.Configuration().Links },
		IsLive:      s.isIncarnationLive,
		OnRenewed:   func(requestedAt time.Time) { s.steerer.RecordSlotRenewal(requestedAt, s.now()) },
		Now:         s.now,
	}
}

// renewSlot acquires a slot of the region's links and renews it until ctx ends.
func (s *Server) renewSlot(ctx context.Context) {
	hadSlot := false
	for ctx.Err() == nil {
		interval := slotRetryInterval
		if s.steerer.Phase() == core.PhaseLive && s.slotKeeper.Renew(s.now()) == nil {
			interval = slotRenewInterval
			if s.slotKeeper.HasLeases() {
				interval = leaseRenewInterval
			}
		}
		hasSlot := s.steerer.LinkLimiter.HasSlot()
		if hasSlot != hadSlot {
			s.logSlotChange(hasSlot)
		}
		hadSlot = hasSlot
		waiter.Sleep(ctx, jitter(interval))
	}
}

func (s *Server) logSlotChange(hasSlot bool) {
	event := logger.SlotLost
	if hasSlot {
		event = logger.SlotTaken
	}
	s.log.Event(event).Send()
}

// isIncarnationLive reports whether a host is live and still the same incarnation.
func (s *Server) isIncarnationLive(instance core.HostInstance) bool {
	member, ok := s.steerer.Tracker.Lookup(instance.Host, s.now())
	return ok && member.Host.Incarnation == instance.Incarnation
}
