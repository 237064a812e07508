// Package core holds the domain types that all programs share and, in its
// subpackages, every decision of the system.
//
// Nothing below this package opens a socket, reads a file or asks for the
// present time. A decision is a function of its state, its input and the time
// that the caller passes in, so tests run the same code under any order of
// events.
//
// # Usage
//
//	ticket, err := core.ParseTicket(data)
//	if err != nil {
//		return err // core.Findings: every problem with its JSON pointer
//	}
//	next := configuration.Apply(ticket)
//
// The decision packages are joined by package steerer, which is what an entry
// host runs and what the stateful tests drive.
package core
