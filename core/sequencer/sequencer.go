// Package sequencer applies change tickets in the order of their numbers.
//
// Ticket n is accepted when the platform's store creates the object for n, which the
// store does only once. A host applies ticket n only after ticket n-1, or starts from a
// snapshot, and never returns to an earlier configuration, so all hosts go through the
// same sequence of configurations.
//
// # Usage
//
//	s := sequencer.New()
//	applied := s.AddTicket(ticket)
//	next := s.TicketNumber() + 1 // the ticket to request from a peer or the platform
//
// Lock order: Sequencer.mu is a leaf.
package sequencer

import (
	"slices"
	"sync"

	"github.com/endiverun/endiverun/core"
)

// Bounds of the tickets that a sequencer holds.
const (
	// MaxHistory is the number of applied tickets that are kept for peers.
	MaxHistory = 128
	// maxPending is how far ahead of the ticket in force a ticket may be to be kept until
	// the tickets before it arrive.
	maxPending = 64
)

// Sequencer holds the configuration in force, the tickets applied last, and tickets that
// arrived before their predecessors.
type Sequencer struct {
	mu            sync.Mutex
	configuration *core.Configuration
	history       []core.Ticket
	pending       map[core.TicketNumber]core.Ticket
}

// New returns a sequencer with the empty configuration, before the first ticket.
func New() *Sequencer {
	return &Sequencer{configuration: core.NewConfiguration(), pending: map[core.TicketNumber]core.Ticket{}}
}

// Configuration returns the configuration in force.
func (s *Sequencer) Configuration() *core.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration
}

// TicketNumber returns the number of the newest ticket in force.
func (s *Sequencer) TicketNumber() core.TicketNumber {
	return s.Configuration().Number
}

// AddTicket applies an accepted ticket and the pending tickets that directly follow it. It
// returns the numbers of the tickets that it applied: none where the ticket is already in
// force or its predecessors haven't arrived.
func (s *Sequencer) AddTicket(ticket core.Ticket) []core.TicketNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ticket.Number <= s.configuration.Number {
		return nil
	}
	if ticket.Number > s.configuration.Number+maxPending {
		return nil
	}
	s.pending[ticket.Number] = ticket
	var applied []core.TicketNumber
	for {
		next, ok := s.pending[s.configuration.Number+1]
		if !ok {
			return applied
		}
		delete(s.pending, next.Number)
		s.apply(next)
		applied = append(applied, next.Number)
	}
}

// apply applies the next ticket and appends it to the history.
func (s *Sequencer) apply(ticket core.Ticket) {
	s.configuration = s.configuration.Apply(ticket)
	s.history = append(s.history, ticket)
	if len(s.history) > MaxHistory {
		s.history = slices.Delete(s.history, 0, len(s.history)-MaxHistory)
	}
}

// RestoreSnapshot replaces the configuration with a snapshot where the snapshot is newer, and
// reports whether it was.
func (s *Sequencer) RestoreSnapshot(snapshot core.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Number <= s.configuration.Number {
		return false
	}
	s.configuration = core.NewConfiguration().Apply(snapshot)
	s.history = nil
	for n := range s.pending {
		if n <= snapshot.Number {
			delete(s.pending, n)
		}
	}
	return true
}

// TicketsFrom returns the tickets from the given number to the one in force. It returns false
// where the history doesn't go back to that number; the caller then sends a snapshot.
func (s *Sequencer) TicketsFrom(from core.TicketNumber) ([]core.Ticket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from > s.configuration.Number {
		return nil, true
	}
	first := s.configuration.Number - core.TicketNumber(len(s.history)) + 1
	if from < first {
		return nil, false
	}
	return slices.Clone(s.history[from-first:]), true
}
