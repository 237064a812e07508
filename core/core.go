// Package core holds the domain types that all programs share and, in its
// subpackages, every decision of the system.
//
// This package and its subpackages open no sockets, read no files and do not read
// the clock. A decision is a function of its state, its input and the time that the
// caller passes in, so tests can run the same code under any order of events.
//
// # Usage
//
//	ticket, err := core.ParseTicket(data)
//	if err != nil {
//		return err // core.Findings: every problem with its JSON pointer
//	}
//	next := configuration.Apply(ticket)
//
// Package steerer combines the decision packages. Entry hosts run it, and the
// stateful tests drive it.
package core
