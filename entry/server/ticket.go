package server

import (
	"context"
	"strconv"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/assigner"
	"github.com/endiverun/endiverun/core/sequencer"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/messenger"
	"github.com/endiverun/endiverun/entry/storer"
	"github.com/endiverun/endiverun/entry/waiter"
)

// Intervals, timeouts and counts for reading tickets. A ticket is a numbered change of
// the configuration.
const (
	// watchTimeout is the longest duration of one watch.
	watchTimeout       = 10 * time.Second
	watchRetryInterval = 500 * time.Millisecond
	catchUpInterval    = 100 * time.Millisecond
	ticketReadInterval = 5 * time.Second
	fetchTimeout       = 2 * time.Second
	snapshotInterval   = 32
	archiveRetryDelay  = 200 * time.Millisecond
)

// ApplyResponse is the response to an accepted ticket.
type ApplyResponse struct {
	Number core.TicketNumber `json:"number"`
	// CheckOnly says that the ticket was checked but not stored.
	CheckOnly bool `json:"check-only,omitempty"`
}

// applyTicket checks a ticket and, unless checkOnly is set, stores it on the platform.
func (s *Server) applyTicket(data []byte, checkOnly bool) (any, error) {
	ticket, err := core.ParseTicket(data)
	if err != nil {
		return nil, err
	}
	if !checkOnly {
		s.readTickets()
	}
	configuration := s.steerer.Sequencer.Configuration()
	if err := sequencer.ValidateNext(configuration, ticket); err != nil {
		return nil, err
	}
	if checkOnly {
		return ApplyResponse{Number: ticket.Number, CheckOnly: true}, nil
	}
	if err := s.storeTicket(ticket); err != nil {
		return nil, err
	}
	s.log.Event(logger.TicketAccepted).Uint64("ticket", uint64(ticket.Number)).Str("author", ticket.Author).Send()
	s.offerTicket(ticket)
	return ApplyResponse{Number: ticket.Number}, nil
}

// storeTicket stores a ticket on the platform. If another ticket was stored under the
// same number, it offers that ticket to the steerer and returns an error of type
// core.ErrConflict.
func (s *Server) storeTicket(ticket core.Ticket) error {
	nonce := s.host.Incarnation.String() + "." + strconv.FormatUint(s.sequence.Add(1), 36) + "." + string(s.host.Name)
	winner, err := s.archive.Accept(ticket, nonce)
	if core.IsConflict(err) {
		s.offerTicket(winner)
		s.log.Event(logger.TicketConflict).Uint64("ticket", uint64(winner.Number)).Str("winner", winner.Author).Send()
	}
	return err
}

// offerTicket offers a stored ticket to the steerer, which applies tickets in the order
// of their numbers.
func (s *Server) offerTicket(ticket core.Ticket) {
	now := s.now()
	wasReady := s.steerer.Phase() != core.PhaseStarting
	applied := s.steerer.AddTicket(ticket, now)
	for _, n := range applied {
		s.reportApplied(n, now)
	}
	s.logReady(wasReady)
}

// logReady logs that the host became ready, if it was not ready before.
func (s *Server) logReady(wasReady bool) {
	if !wasReady && s.steerer.Phase() != core.PhaseStarting {
		s.log.Event(logger.HostReady).Uint64("ticket", uint64(s.steerer.Sequencer.TicketNumber())).Send()
	}
}

// reportApplied logs that a ticket was applied and calls the callback for applied
// tickets.
func (s *Server) reportApplied(number core.TicketNumber, now time.Time) {
	s.log.Event(logger.TicketApplied).Uint64("ticket", uint64(number)).Send()
	if s.OnTicketApplied != nil {
		s.OnTicketApplied(number, now)
	}
}

// restoreSnapshot passes a snapshot to the steerer, which applies it if it is newer
// than the configuration.
func (s *Server) restoreSnapshot(snapshot core.Ticket) {
	now := s.now()
	wasReady := s.steerer.Phase() != core.PhaseStarting
	if s.steerer.RestoreSnapshot(snapshot, now) {
		s.reportApplied(snapshot.Number, now)
	}
	s.logReady(wasReady)
}

// readTickets reads from the platform the tickets after the last applied one. It
// returns the newest object version read, after which a watch can start.
func (s *Server) readTickets() core.ObjectVersion {
	if s.steerer.Sequencer.TicketNumber() == 0 {
		if snapshot, err := s.archive.ReadSnapshot(); err == nil {
			s.restoreSnapshot(snapshot)
		}
	}
	var version core.ObjectVersion
	for {
		next := s.steerer.Sequencer.TicketNumber() + 1
		ticket, read, err := s.archive.Read(next)
		if err != nil {
			return version
		}
		version = max(version, read)
		s.offerTicket(ticket)
	}
}

// offerObject decodes a stored ticket that a watch returned and offers it to the
// steerer.
func (s *Server) offerObject(object core.Object) {
	stored, err := sequencer.DecodeStoredTicket(object)
	if err != nil {
		s.log.Event(logger.TicketUnreadable).Str("object", object.Name).Err(err).Send()
		return
	}
	s.offerTicket(stored.Ticket)
}

// watchTickets applies new tickets. The relay of an availability zone watches the
// platform; every host also reads the next ticket number every ticketReadInterval.
func (s *Server) watchTickets(ctx context.Context) {
	version := s.readTickets()
	lastRead := s.now()
	for ctx.Err() == nil {
		now := s.now()
		isStale := now.Sub(lastRead) >= ticketReadInterval
		if isStale || s.steerer.Sequencer.TicketNumber() == 0 {
			version = max(version, s.readTickets())
			s.writeSnapshot()
			lastRead = now
		}
		if s.steerer.IsRelay(now) {
			version = s.watchOnce(version)
		}
		waiter.Sleep(ctx, jitter(watchRetryInterval))
	}
}

// watchOnce watches for new tickets once and returns the newest object version
// received.
func (s *Server) watchOnce(after core.ObjectVersion) core.ObjectVersion {
	_ = s.storer.Watch(sequencer.KindTicket, after, watchTimeout, func(event storer.Event) bool {
		after = max(after, event.Object.Metadata.ResourceVersion)
		s.offerObject(event.Object.ToCore())
		return s.steerer.Sequencer.TicketNumber() != 0
	})
	return after
}

// writeSnapshot stores a snapshot of the configuration every snapshotInterval tickets,
// so that a starting host reads few tickets. Only one of the live hosts does this.
func (s *Server) writeSnapshot() {
	number := s.steerer.Sequencer.TicketNumber()
	if number == 0 || number%snapshotInterval != 0 || !s.isSnapshotWriter() {
		return
	}
	written, err := s.archive.WriteSnapshot(s.steerer.Sequencer.Configuration().SnapshotTicket("snapshot"))
	if err == nil && written {
		s.log.Event(logger.SnapshotWritten).Uint64("ticket", uint64(number)).Send()
	}
}

func (s *Server) isSnapshotWriter() bool {
	hosts := []core.HostName{s.host.Name}
	for _, m := range s.steerer.Tracker.Live(s.now()) {
		hosts = append(hosts, m.Host.Name)
	}
	writer, _ := assigner.Assign("snapshot", hosts)
	return writer == s.host.Name
}

// catchUp fetches from other hosts the tickets that they have applied and this host has
// not.
func (s *Server) catchUp(ctx context.Context) {
	waiter.Every(ctx, catchUpInterval, func(time.Time) {
		for _, h := range s.steerer.HostsAhead(s.now()) {
			if s.fetchTickets(h) {
				return
			}
		}
	})
}

// fetchTickets fetches the tickets after the last applied one from a host. It reports
// whether the host returned any.
func (s *Server) fetchTickets(from core.Host) bool {
	call := messenger.Call{Kind: messenger.CallFetchTickets, FromTicket: s.steerer.Sequencer.TicketNumber() + 1}
	reply, err := s.messenger.Call(from, call, time.Now().Add(fetchTimeout))
	if err != nil {
		return false
	}
	if reply.Snapshot != nil {
		s.restoreSnapshot(*reply.Snapshot)
	}
	for _, t := range reply.Tickets {
		s.offerTicket(t)
	}
	return reply.Snapshot != nil || len(reply.Tickets) > 0
}

// handleTickets returns the tickets from the requested number on. If they are no longer
// in memory, it returns a snapshot.
func (s *Server) handleTickets(call messenger.Call) messenger.Reply {
	tickets, ok := s.steerer.Sequencer.TicketsFrom(call.FromTicket)
	if ok {
		return messenger.Reply{Tickets: tickets}
	}
	snapshot := s.steerer.Sequencer.Configuration().SnapshotTicket("snapshot")
	return messenger.Reply{Snapshot: &snapshot}
}

// showTicket reads a ticket from the platform, or from memory while the platform does
// not respond.
func (s *Server) showTicket(number core.TicketNumber) (any, error) {
	ticket, _, err := s.archive.Read(number)
	if err == nil || core.IsNotFound(err) {
		return ticket, err
	}
	kept, ok := s.steerer.Sequencer.TicketsFrom(number)
	if ok && len(kept) > 0 {
		return kept[0], nil
	}
	return nil, err
}

// TicketNumbers holds the number of the last applied ticket and the number of the next one.
type TicketNumbers struct {
	Applied core.TicketNumber `json:"in-force"`
	Next    core.TicketNumber `json:"next"`
}

// showNumbers returns the number of the last applied ticket and of the next one.
func (s *Server) showNumbers() any {
	number := s.steerer.Sequencer.TicketNumber()
	return TicketNumbers{Applied: number, Next: number + 1}
}
