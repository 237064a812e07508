// Package sequencer applies change tickets in the order of their numbers.
//
// Ticket n is accepted when the platform's store creates the object for n,
// which it does once. A host applies ticket n only after n-1 and never goes
// back, so all hosts pass through the same configurations.
//
// # Usage
//
//	s := sequencer.New()
//	applied, err := s.Offer(ticket)
//	from := s.Number() + 1 // what to ask a peer or the platform for
//
// Lock order: Sequencer.mu is a leaf.
package sequencer

import (
	"slices"
	"sync"

	"github.com/endiverun/endiverun/core"
)

// Bounds of what a sequencer keeps.
const (
	// HistoryLength is the number of applied tickets kept for peers.
	HistoryLength = 128
	// waitingLength is the number of tickets kept that came too early.
	waitingLength = 64
)

// Sequencer holds the configuration in force and the tickets around it.
type Sequencer struct {
	mu            sync.Mutex
	configuration *core.Configuration
	history       []core.Ticket
	waiting       map[core.Number]core.Ticket
}

// New returns a sequencer before the first ticket.
func New() *Sequencer {
	return &Sequencer{configuration: core.NewConfiguration(), waiting: map[core.Number]core.Ticket{}}
}

// Configuration returns the configuration in force.
func (s *Sequencer) Configuration() *core.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration
}

// Number returns the number of the newest ticket in force.
func (s *Sequencer) Number() core.Number {
	return s.Configuration().Number
}

// Offer takes in an accepted ticket and applies it and those that waited for
// it. It returns the numbers applied, which are none where the ticket is old
// or came too early.
func (s *Sequencer) Offer(ticket core.Ticket) []core.Number {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ticket.Number <= s.configuration.Number {
		return nil
	}
	if ticket.Number > s.configuration.Number+waitingLength {
		return nil
	}
	s.waiting[ticket.Number] = ticket
	var applied []core.Number
	for {
		next, ok := s.waiting[s.configuration.Number+1]
		if !ok {
			return applied
		}
		delete(s.waiting, next.Number)
		s.apply(next)
		applied = append(applied, next.Number)
	}
}

func (s *Sequencer) apply(ticket core.Ticket) {
	s.configuration = s.configuration.Apply(ticket)
	s.history = append(s.history, ticket)
	if len(s.history) > HistoryLength {
		s.history = slices.Delete(s.history, 0, len(s.history)-HistoryLength)
	}
}

// Restore replaces the configuration by a snapshot that is newer. It reports
// whether it did.
func (s *Sequencer) Restore(snapshot core.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Number <= s.configuration.Number {
		return false
	}
	s.configuration = core.NewConfiguration().Apply(snapshot)
	s.history = nil
	for n := range s.waiting {
		if n <= snapshot.Number {
			delete(s.waiting, n)
		}
	}
	return true
}

// Since returns the kept tickets from the given number on, and whether they
// reach back that far. Where they do not, the caller sends a snapshot.
func (s *Sequencer) Since(from core.Number) ([]core.Ticket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from > s.configuration.Number {
		return nil, true
	}
	first := s.configuration.Number - core.Number(len(s.history)) + 1
	if from < first {
		return nil, false
	}
	return slices.Clone(s.history[from-first:]), true
}
