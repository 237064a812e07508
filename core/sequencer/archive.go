package sequencer

import (
	"encoding/json"
	"fmt"

	"github.com/endiverun/endiverun/core"
)

// Kinds and names of objects in the platform's store.
const (
	KindTicket   = "ticket"
	kindSnapshot = "snapshot"
	nameSnapshot = "newest"
)

// maxStoreAttempts is the number of attempts to make a call to which the store must
// respond.
const maxStoreAttempts = 10

// StoredTicket is a ticket as the platform's store holds it. A writer whose create got no
// response recognizes by the nonce whether the stored ticket is its own.
type StoredTicket struct {
	Ticket core.Ticket `json:"ticket"`
	Nonce  string      `json:"nonce"`
}

// TicketObjectName returns the name of the store object for a ticket number.
func TicketObjectName(number core.TicketNumber) string {
	return fmt.Sprintf("%020d", uint64(number))
}

// DecodeStoredTicket decodes a ticket from its store object. Its errors are of type
// core.ErrPlatform.
func DecodeStoredTicket(object core.Object) (StoredTicket, error) {
	var stored StoredTicket
	if err := json.Unmarshal(object.Data, &stored); err != nil {
		return StoredTicket{}, core.ErrPlatform.Wrap(err, "decode ticket object %q", object.Name)
	}
	if TicketObjectName(stored.Ticket.Number) != object.Name {
		return StoredTicket{}, core.ErrPlatform.New("ticket object %q contains ticket %d", object.Name, stored.Ticket.Number)
	}
	return stored, nil
}

// ValidateNext validates that a ticket has the next number and that the configuration which
// results from it is valid. Its errors are of type core.ErrConflict, where the number is
// already in force, and core.Findings.
func ValidateNext(configuration *core.Configuration, ticket core.Ticket) error {
	next := configuration.Number + 1
	if ticket.Number < next {
		return core.ErrConflict.New("ticket %d is in force already; the next is %d", ticket.Number, next)
	}
	var findings core.Findings
	if ticket.Number > next {
		findings.Addf("/number", "%d does not follow %d", ticket.Number, configuration.Number)
	}
	findings = append(findings, configuration.Apply(ticket).Validate()...)
	return findings.Err()
}

// TicketStore reads and writes tickets and snapshots in the platform's store.
type TicketStore struct {
	Store core.Store
	// Backoff pauses between two attempts.
	Backoff func()
}

// Accept creates the ticket's object. Where the object already exists, perhaps because of
// an earlier create without a response, Accept reads it and compares the nonce. It returns
// another writer's ticket with an error of type core.ErrConflict. After an error of type
// core.ErrPlatform the ticket may have been accepted.
func (a TicketStore) Accept(ticket core.Ticket, nonce string) (core.Ticket, error) {
	data, err := json.Marshal(StoredTicket{Ticket: ticket, Nonce: nonce})
	if err != nil {
		return core.Ticket{}, err
	}
	name := TicketObjectName(ticket.Number)
	for range maxStoreAttempts {
		err = a.Store.Create(KindTicket, name, data)
		if err == nil {
			return ticket, nil
		}
		if core.IsConflict(err) {
			return a.readWinner(name, nonce)
		}
		a.Backoff()
	}
	return core.Ticket{}, err
}

// readWinner returns the ticket in the object of the given name, and an error of type
// core.ErrConflict where it was written with another nonce.
func (a TicketStore) readWinner(name, nonce string) (core.Ticket, error) {
	var err error
	for range maxStoreAttempts {
		var object core.Object
		object, err = a.Store.Get(KindTicket, name)
		if err != nil {
			a.Backoff()
			continue
		}
		winner, err := DecodeStoredTicket(object)
		if err != nil || winner.Nonce == nonce {
			return winner.Ticket, err
		}
		return winner.Ticket, core.ErrConflict.New("ticket %d was taken by %s: %s",
			winner.Ticket.Number, winner.Ticket.Author, winner.Ticket.Reason)
	}
	return core.Ticket{}, err
}

// Read returns an accepted ticket and the version of its store object.
func (a TicketStore) Read(number core.TicketNumber) (core.Ticket, core.ObjectVersion, error) {
	object, err := a.Store.Get(KindTicket, TicketObjectName(number))
	if err != nil {
		return core.Ticket{}, 0, err
	}
	stored, err := DecodeStoredTicket(object)
	return stored.Ticket, object.Version, err
}

// ReadSnapshot returns the stored snapshot. The number of the snapshot is 0 where the store
// holds none.
func (a TicketStore) ReadSnapshot() (core.Ticket, error) {
	var snapshot core.Ticket
	_, err := a.Store.Read(kindSnapshot, nameSnapshot, &snapshot)
	return snapshot, err
}

// WriteSnapshot stores a snapshot and reports whether it did: it doesn't replace a stored
// snapshot that is as new or newer.
func (a TicketStore) WriteSnapshot(snapshot core.Ticket) (bool, error) {
	var stored core.Ticket
	object, err := a.Store.Read(kindSnapshot, nameSnapshot, &stored)
	if err != nil || stored.Number >= snapshot.Number {
		return false, err
	}
	err = a.Store.Write(object, snapshot)
	return err == nil, err
}
