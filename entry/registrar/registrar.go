// Package registrar keeps this host registered in a store, and removes the
// registrations of hosts that ended without removing their own.
//
// An incarnation of a host is one process of it, from its start to its end. A host
// replaces the registration of an earlier incarnation of itself, and registers again
// whenever its registration is missing. Every write states the
// revision that it replaces, so that it never overwrites what another host or a
// later incarnation has written.
//
// # Usage
//
//	r := &registrar.Registrar{Self: host, Create: create, Read: read, Replace: replace, Remove: remove, Log: log}
//	go r.Run(ctx)
//	r.SetListed(isListed) // After each read of the list of hosts.
//	r.Unregister()        // When a graceful stop begins.
package registrar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/waiter"
)

const (
	// retryInterval is the time between two attempts to register.
	retryInterval = 400 * time.Millisecond
	// cleanupInterval is the time between two searches for registrations of hosts
	// that are gone.
	cleanupInterval = 10 * time.Second
)

// Registration is a host's entry in the store.
type Registration struct {
	Host     core.Host
	Revision uint64
	// Era is the era of the store to which Revision belongs.
	Era core.Era
}

// Registrar maintains the registration of one host. Its function fields access the
// store and return the error types of package core.
type Registrar struct {
	Self core.Host
	// Create writes a new registration. It returns core.ErrConflict if one exists
	// already.
	Create func(host core.Host) error
	// Read returns a registration. It returns core.ErrNotFound if there is none.
	Read func(name core.HostName) (Registration, error)
	// Replace and Remove change a registration that was read. They return core.ErrConflict
	// if the store holds another revision of it or is in another era.
	Replace func(host core.Host, existing Registration) error
	Remove  func(existing Registration) error
	// ExpiredHosts returns the registered hosts whose heartbeats have been missing for so
	// long that this host should remove their registrations.
	ExpiredHosts func(now time.Time) []core.Host
	Log          *logger.Logger

	once sync.Once
	// missing signals that the registration of this host is missing. Use
	// missingSignal to access it.
	missing chan struct{}
	// isListed says that the last list of hosts included this host.
	isListed       atomic.Bool
	isUnregistered atomic.Bool
}

// Run registers this host and removes the registrations of expired hosts, until ctx
// ends.
func (r *Registrar) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { waiter.Every(ctx, cleanupInterval, r.removeExpired) })
	for ctx.Err() == nil {
		r.register(ctx)
		select {
		case <-ctx.Done():
		case <-r.missingSignal():
		}
	}
	group.Wait()
}

// missingSignal returns the channel that signals that the registration is missing.
func (r *Registrar) missingSignal() chan struct{} {
	r.once.Do(func() { r.missing = make(chan struct{}, 1) })
	return r.missing
}

// SetListed records whether the store lists this host. A host that was listed and no
// longer is registers again, since another host considered it expired and removed its
// registration.
func (r *Registrar) SetListed(isListed bool) {
	if wasListed := r.isListed.Swap(isListed); !wasListed || isListed || r.isUnregistered.Load() {
		return
	}
	select {
	case r.missingSignal() <- struct{}{}:
	default: // Run has been signaled already.
	}
}

// register tries to write the registration until it succeeds, ctx ends or the host is
// unregistered. In the last case it removes what the attempt may have written.
func (r *Registrar) register(ctx context.Context) {
	for ctx.Err() == nil {
		if r.isUnregistered.Load() {
			r.removeOwn()
			return
		}
		err := r.writeRegistration()
		if err == nil && !r.isUnregistered.Load() {
			return
		}
		if err != nil {
			r.Log.Event(logger.RegistrationFailed).Err(err).Send()
			waiter.Sleep(ctx, retryInterval)
		}
	}
}

func (r *Registrar) writeRegistration() error {
	err := r.Create(r.Self)
	if !core.IsConflict(err) {
		return err
	}
	existing, err := r.Read(r.Self.Name)
	if err != nil {
		return err
	}
	return r.Replace(r.Self, existing)
}

// Unregister removes this host's registration, and keeps Run from registering it
// again.
func (r *Registrar) Unregister() {
	r.isUnregistered.Store(true)
	r.removeOwn()
}

func (r *Registrar) removeOwn() {
	if err := r.removeRegistration(r.Self); err != nil {
		r.Log.Event(logger.RegistrationFailed).Err(err).Send()
	}
}

// removeRegistration removes the registration of one incarnation of a host. That of
// another incarnation stays.
func (r *Registrar) removeRegistration(host core.Host) error {
	existing, err := r.Read(host.Name)
	if core.IsNotFound(err) {
		return nil
	}
	if err != nil || existing.Host.Incarnation != host.Incarnation {
		return err
	}
	return r.Remove(existing)
}

// removeExpired removes the registrations of expired hosts.
func (r *Registrar) removeExpired(now time.Time) {
	for _, host := range r.ExpiredHosts(now) {
		err := r.removeRegistration(host)
		r.Log.Event(logger.HostRemoved).Str("peer", string(host.Name)).Err(err).Send()
	}
}
