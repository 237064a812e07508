package server

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/assigner"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/messenger"
	"github.com/endiverun/endiverun/entry/storer"
)

// Kinds and names of tickets in the platform's store.
const (
	kindTicket   = "ticket"
	kindSnapshot = "snapshot"
	nameSnapshot = "newest"
)

// Times and counts of keeping up with tickets.
const (
	watchWait       = 10 * time.Second
	watchPause      = 500 * time.Millisecond
	catchUpInterval = 100 * time.Millisecond
	readInterval    = 5 * time.Second
	fetchTimeout    = 2 * time.Second
	snapshotEvery   = 32
	// settleTries is how often a write without an answer is read back.
	settleTries = 10
	settlePause = 200 * time.Millisecond
)

// storedTicket is a ticket in the platform's store. The nonce tells the writer
// whether a write without an answer was its own.
type storedTicket struct {
	Ticket core.Ticket `json:"ticket"`
	Nonce  string      `json:"nonce"`
}

// TicketName returns the name of the object for a ticket.
func TicketName(number core.Number) string {
	return fmt.Sprintf("%020d", uint64(number))
}

// Applied is the answer to an accepted ticket.
type Applied struct {
	Number core.Number `json:"number"`
	// CheckOnly says that nothing was changed.
	CheckOnly bool `json:"check-only,omitempty"`
}

// applyTicket checks a ticket and has the platform's store accept it.
func (s *Server) applyTicket(data []byte, checkOnly bool) (any, error) {
	ticket, err := core.ParseTicket(data)
	if err != nil {
		return nil, err
	}
	if !checkOnly {
		s.readTickets()
	}
	configuration := s.steerer.Sequencer.Configuration()
	if err := checkNext(configuration, ticket); err != nil {
		return nil, err
	}
	if checkOnly {
		return Applied{Number: ticket.Number, CheckOnly: true}, nil
	}
	if err := s.accept(ticket); err != nil {
		return nil, err
	}
	s.log.Event(logger.TicketAccepted).Uint64("ticket", uint64(ticket.Number)).Str("author", ticket.Author).Send()
	s.offer(ticket)
	return Applied{Number: ticket.Number}, nil
}

// checkNext checks a ticket against the configuration that it changes.
func checkNext(configuration *core.Configuration, ticket core.Ticket) error {
	next := configuration.Number + 1
	if ticket.Number < next {
		return core.ErrConflict.New("ticket %d is in force already; the next is %d", ticket.Number, next)
	}
	var findings core.Findings
	if ticket.Number > next {
		findings.Addf("/number", "%d does not follow %d", ticket.Number, configuration.Number)
	}
	findings = append(findings, configuration.Apply(ticket).Check()...)
	return findings.Err()
}

// accept creates the ticket's object. A write without an answer is settled by
// reading back.
func (s *Server) accept(ticket core.Ticket) error {
	nonce := s.host.Incarnation.String() + "." + strconv.FormatUint(s.sequence.Add(1), 36) + "." + string(s.host.Name)
	stored := storedTicket{Ticket: ticket, Nonce: nonce}
	name := TicketName(ticket.Number)
	var err error
	for range settleTries {
		_, err = s.storer.Create(kindTicket, name, stored)
		if err == nil {
			return nil
		}
		if errorx.IsOfType(err, core.ErrConflict) {
			return s.compare(name, nonce)
		}
		time.Sleep(settlePause)
	}
	return err
}

// compare tells whose ticket stands under a name.
func (s *Server) compare(name, nonce string) error {
	var err error
	for range settleTries {
		var object storer.Object
		object, err = s.storer.Get(kindTicket, name)
		if err == nil {
			return s.judge(object, nonce)
		}
		time.Sleep(settlePause)
	}
	return err
}

func (s *Server) judge(object storer.Object, nonce string) error {
	var winner storedTicket
	if err := json.Unmarshal(object.Data, &winner); err != nil {
		return core.ErrPlatform.Wrap(err, "ticket %s", object.Metadata.Name)
	}
	if winner.Nonce == nonce {
		return nil
	}
	s.offer(winner.Ticket)
	s.log.Event(logger.TicketConflict).Uint64("ticket", uint64(winner.Ticket.Number)).Str("winner", winner.Ticket.Author).Send()
	return core.ErrConflict.New("ticket %d was taken by %s: %s", winner.Ticket.Number, winner.Ticket.Author, winner.Ticket.Reason)
}

// offer gives an accepted ticket to the decisions.
func (s *Server) offer(ticket core.Ticket) {
	now := s.now()
	wasReady := s.steerer.Phase() != core.PhaseStarting
	applied := s.steerer.Offer(ticket, now)
	for _, n := range applied {
		s.inForce(n, now)
	}
	s.logReady(wasReady)
}

func (s *Server) logReady(wasReady bool) {
	if !wasReady && s.steerer.Phase() != core.PhaseStarting {
		s.log.Event(logger.HostReady).Uint64("ticket", uint64(s.steerer.Sequencer.Number())).Send()
	}
}

func (s *Server) inForce(number core.Number, now time.Time) {
	s.log.Event(logger.TicketApplied).Uint64("ticket", uint64(number)).Send()
	if s.OnTicket != nil {
		s.OnTicket(number, now)
	}
}

// restore gives a snapshot to the decisions.
func (s *Server) restore(snapshot core.Ticket) {
	now := s.now()
	wasReady := s.steerer.Phase() != core.PhaseStarting
	if s.steerer.Restore(snapshot, now) {
		s.inForce(snapshot.Number, now)
	}
	s.logReady(wasReady)
}

// readTickets reads from the platform's store what follows the configuration
// in force. It returns the newest version read, from which a watch can go on.
func (s *Server) readTickets() storer.Version {
	if s.steerer.Sequencer.Number() == 0 {
		s.readSnapshot()
	}
	var version storer.Version
	for {
		next := s.steerer.Sequencer.Number() + 1
		object, err := s.storer.Get(kindTicket, TicketName(next))
		if err != nil {
			return version
		}
		version = max(version, object.Metadata.ResourceVersion)
		if !s.take(object) || s.steerer.Sequencer.Number() < next {
			return version
		}
	}
}

func (s *Server) readSnapshot() {
	object, err := s.storer.Get(kindSnapshot, nameSnapshot)
	if err != nil {
		return
	}
	var snapshot core.Ticket
	if json.Unmarshal(object.Data, &snapshot) == nil {
		s.restore(snapshot)
	}
}

// take offers a stored ticket and reports whether it could be read.
func (s *Server) take(object storer.Object) bool {
	var stored storedTicket
	err := json.Unmarshal(object.Data, &stored)
	if err != nil || TicketName(stored.Ticket.Number) != object.Metadata.Name {
		s.log.Event(logger.TicketUnreadable).Str("name", object.Metadata.Name).Err(err).Send()
		return false
	}
	s.offer(stored.Ticket)
	return true
}

// watchTickets follows new tickets: the relay of an availability zone watches
// the platform, and every host reads the next number at times.
func (s *Server) watchTickets(ctx context.Context) {
	version := s.readTickets()
	lastRead := s.now()
	for ctx.Err() == nil {
		now := s.now()
		isStale := now.Sub(lastRead) >= readInterval
		if isStale || s.steerer.Sequencer.Number() == 0 {
			version = max(version, s.readTickets())
			s.writeSnapshot()
			lastRead = now
		}
		if s.steerer.IsRelay(now) {
			version = s.watchOnce(version)
		}
		sleep(ctx, jitter(watchPause))
	}
}

// watchOnce waits for new tickets and returns the version reached.
func (s *Server) watchOnce(after storer.Version) storer.Version {
	_ = s.storer.Watch(kindTicket, after, watchWait, func(event storer.Event) bool {
		after = max(after, event.Object.Metadata.ResourceVersion)
		s.take(event.Object)
		return s.steerer.Sequencer.Number() != 0
	})
	return after
}

// sleep waits for the time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// writeSnapshot stores the configuration at times, so that a starting host
// reads few tickets. One host of all does it.
func (s *Server) writeSnapshot() {
	number := s.steerer.Sequencer.Number()
	if number == 0 || number%snapshotEvery != 0 || !s.isSnapshotWriter() {
		return
	}
	snapshot := s.steerer.Sequencer.Configuration().Whole("snapshot")
	object, err := s.storer.Get(kindSnapshot, nameSnapshot)
	switch {
	case err == nil && isSnapshotOf(object, number):
		return
	case err == nil:
		_, err = s.storer.Update(object, snapshot)
	case errorx.IsOfType(err, core.ErrNotFound):
		_, err = s.storer.Create(kindSnapshot, nameSnapshot, snapshot)
	default:
	}
	if err == nil {
		s.log.Event(logger.SnapshotWritten).Uint64("ticket", uint64(number)).Send()
	}
}

// isSnapshotOf reports whether a stored snapshot is as new as the number.
func isSnapshotOf(object storer.Object, number core.Number) bool {
	var stored core.Ticket
	return json.Unmarshal(object.Data, &stored) == nil && stored.Number >= number
}

func (s *Server) isSnapshotWriter() bool {
	hosts := []core.HostName{s.host.Name}
	for _, m := range s.steerer.Tracker.Live(s.now()) {
		hosts = append(hosts, m.Host.Name)
	}
	writer, _ := assigner.Assign("snapshot", hosts)
	return writer == s.host.Name
}

// catchUp fetches from other hosts the tickets that they have in force.
func (s *Server) catchUp(ctx context.Context) {
	every(ctx, catchUpInterval, func() {
		for _, h := range s.steerer.Behind(s.now()) {
			if s.fetch(h) {
				return
			}
		}
	})
}

// fetch asks a host for the tickets after the one in force.
func (s *Server) fetch(from core.Host) bool {
	call := messenger.Call{Kind: messenger.CallTickets, Tickets: s.steerer.Sequencer.Number() + 1}
	reply, err := s.messenger.Call(from, call, time.Now().Add(fetchTimeout))
	if err != nil {
		return false
	}
	if reply.Snapshot != nil {
		s.restore(*reply.Snapshot)
	}
	for _, t := range reply.Tickets {
		s.offer(t)
	}
	return reply.Snapshot != nil || len(reply.Tickets) > 0
}

// handleTickets answers a host that is behind.
func (s *Server) handleTickets(call messenger.Call) messenger.Reply {
	tickets, ok := s.steerer.Sequencer.Since(call.Tickets)
	if ok {
		return messenger.Reply{Tickets: tickets}
	}
	snapshot := s.steerer.Sequencer.Configuration().Whole("snapshot")
	return messenger.Reply{Snapshot: &snapshot}
}

// showTicket reads a ticket from the store, or from memory while the store
// does not answer.
func (s *Server) showTicket(number core.Number) (any, error) {
	object, err := s.storer.Get(kindTicket, TicketName(number))
	if err == nil {
		var stored storedTicket
		if err := json.Unmarshal(object.Data, &stored); err != nil {
			return nil, core.ErrPlatform.Wrap(err, "ticket %d", number)
		}
		return stored.Ticket, nil
	}
	if errorx.IsOfType(err, core.ErrNotFound) {
		return nil, err
	}
	kept, ok := s.steerer.Sequencer.Since(number)
	if ok && len(kept) > 0 {
		return kept[0], nil
	}
	return nil, err
}

// Numbers is the answer to which ticket is in force.
type Numbers struct {
	InForce core.Number `json:"in-force"`
	Next    core.Number `json:"next"`
}

func (s *Server) showNumber() any {
	number := s.steerer.Sequencer.Number()
	return Numbers{InForce: number, Next: number + 1}
}
