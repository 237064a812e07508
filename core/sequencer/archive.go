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

// settleTries is how often a call without an answer is repeated.
const settleTries = 10

// Stored is a ticket in the platform's store. The nonce tells a writer whether
// a write without an answer was its own.
type Stored struct {
	Ticket core.Ticket `json:"ticket"`
	Nonce  string      `json:"nonce"`
}

// ObjectName returns the name of the object for a ticket.
func ObjectName(number core.Number) string {
	return fmt.Sprintf("%020d", uint64(number))
}

// DecodeStored reads a ticket from its object.
func DecodeStored(object core.Object) (Stored, error) {
	var stored Stored
	if err := json.Unmarshal(object.Data, &stored); err != nil {
		return Stored{}, core.ErrPlatform.Wrap(err, "ticket %s", object.Name)
	}
	if ObjectName(stored.Ticket.Number) != object.Name {
		return Stored{}, core.ErrPlatform.New("object %s holds ticket %d", object.Name, stored.Ticket.Number)
	}
	return stored, nil
}

// CheckNext checks a ticket against the configuration that it changes.
func CheckNext(configuration *core.Configuration, ticket core.Ticket) error {
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

// Archive keeps tickets in the platform's store.
type Archive struct {
	Store core.Store
	// Wait pauses between two tries.
	Wait func()
}

// Accept creates the ticket's object. A call without an answer is settled by
// reading back whose ticket stands there; the winner is returned where it is
// another's, with an error of type core.ErrConflict. After an error of type
// core.ErrPlatform the ticket may be accepted.
func (a Archive) Accept(ticket core.Ticket, nonce string) (core.Ticket, error) {
	data, err := json.Marshal(Stored{Ticket: ticket, Nonce: nonce})
	if err != nil {
		return core.Ticket{}, err
	}
	name := ObjectName(ticket.Number)
	for range settleTries {
		err = a.Store.Create(KindTicket, name, data)
		if err == nil {
			return ticket, nil
		}
		if core.IsConflict(err) {
			return a.compare(name, nonce)
		}
		a.Wait()
	}
	return core.Ticket{}, err
}

// compare returns the ticket that stands under a name, and a conflict where it
// was written under another nonce.
func (a Archive) compare(name, nonce string) (core.Ticket, error) {
	var err error
	for range settleTries {
		var object core.Object
		object, err = a.Store.Get(KindTicket, name)
		if err != nil {
			a.Wait()
			continue
		}
		winner, err := DecodeStored(object)
		if err != nil || winner.Nonce == nonce {
			return winner.Ticket, err
		}
		return winner.Ticket, core.ErrConflict.New("ticket %d was taken by %s: %s",
			winner.Ticket.Number, winner.Ticket.Author, winner.Ticket.Reason)
	}
	return core.Ticket{}, err
}

// Read returns an accepted ticket and the version of its object.
func (a Archive) Read(number core.Number) (core.Ticket, core.Version, error) {
	object, err := a.Store.Get(KindTicket, ObjectName(number))
	if err != nil {
		return core.Ticket{}, 0, err
	}
	stored, err := DecodeStored(object)
	return stored.Ticket, object.Version, err
}

// ReadSnapshot returns the stored snapshot; its number is 0 where there is
// none.
func (a Archive) ReadSnapshot() (core.Ticket, error) {
	var snapshot core.Ticket
	_, err := a.Store.Read(kindSnapshot, nameSnapshot, &snapshot)
	return snapshot, err
}

// WriteSnapshot stores a snapshot and reports whether it replaced an older one.
func (a Archive) WriteSnapshot(snapshot core.Ticket) (bool, error) {
	var stored core.Ticket
	object, err := a.Store.Read(kindSnapshot, nameSnapshot, &stored)
	if err != nil || stored.Number >= snapshot.Number {
		return false, err
	}
	err = a.Store.Write(object, snapshot)
	return err == nil, err
}
