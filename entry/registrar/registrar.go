// Package registrar keeps this host registered in a store, and removes the
// registrations of hosts that ended without removing their own.
//
// An incarnation of a host is one process of it, from its start to its end. A host
// replaces the registration of an earlier incarnation of itself, and registers again
// whenever its registration is missing. Every write states the
// revision that it replaces, so that it never overwrites what another host or a
// later incarnation has written. The store may come back from an older copy, without the
// registration or, after a graceful stop began, with it: the host then verifies it.
//
// # Usage
//
//	r := &registrar.Registrar{Self: host, Create: create, Read: read, Replace: replace, Remove: remove, Log: log}
//	go r.Run(ctx)
//	r.SetListed(isListed) // After each read of the list of hosts.
//	r.Verify()            // When the store came back from an older copy.
//	r.Unregister()        // When a graceful stop begins.
package registrar

import (
	"context"
	"math/rand/v2"
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
	// verificationSpread is the time over which the hosts of a fleet spread their
	// verifications, since the store limits the rate of all calls together.
	verificationSpread = time.Second
	// maxRemovals limits the attempts to remove a registration that changes meanwhile.
	maxRemovals = 3
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
	// missing signals that the registration of this host is missing, and unverified that
	// it may be. Use signals to access them.
	missing    chan struct{}
	unverified chan struct{}
	// isListed says that the last list of hosts included this host.
	isListed       atomic.Bool
	isUnregistered atomic.Bool
}

// Run registers this host and removes the registrations of expired hosts, until ctx
// ends.
func (r *Registrar) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { waiter.Every(ctx, cleanupInterval, r.removeExpired) })
	missing, unverified := r.signals()
	r.register(ctx, r.writeRegistration)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-missing:
			r.register(ctx, r.writeRegistration)
		case <-unverified:
			waiter.Sleep(ctx, rand.N(verificationSpread)) //nolint:gosec // Jitter needs no secure random numbers.
			r.register(ctx, r.verifyRegistration)
		}
	}
	group.Wait()
}

// signals returns the channels that signal that the registration is missing, and that it
// may be.
func (r *Registrar) signals() (missing, unverified chan struct{}) {
	r.once.Do(func() { r.missing, r.unverified = make(chan struct{}, 1), make(chan struct{}, 1) })
	return r.missing, r.unverified
}

// send sends a signal, unless one is pending.
func send(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// SetListed records whether the store lists this host. A host that was listed and no
// longer is registers again, since another host considered it expired and removed its
// registration.
func (r *Registrar) SetListed(isListed bool) {
	if wasListed := r.isListed.Swap(isListed); !wasListed || isListed || r.isUnregistered.Load() {
		return
	}
	missing, _ := r.signals()
	send(missing)
}

// Verify makes Run read the registration, within verificationSpread, and write it if it is
// missing or another one. After Unregister, Run removes it if it is there.
func (r *Registrar) Verify() {
	_, unverified := r.signals()
	send(unverified)
}

// register repeats an attempt to register until it succeeds, ctx ends or the host is
// unregistered. In the last case it removes what the attempt may have written.
func (r *Registrar) register(ctx context.Context, attempt func() error) {
	for ctx.Err() == nil {
		if r.isUnregistered.Load() {
			r.removeOwn()
			return
		}
		err := attempt()
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
	return r.verifyRegistration()
}

// verifyRegistration reads the registration and writes it if it is missing or another one.
func (r *Registrar) verifyRegistration() error {
	existing, err := r.Read(r.Self.Name)
	switch {
	case r.isUnregistered.Load(): // It was unregistered during the call.
		return nil
	case core.IsNotFound(err):
		return r.Create(r.Self)
	case err != nil || existing.Host == r.Self:
		return err
	default:
		return r.Replace(r.Self, existing)
	}
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
	var err error
	for range maxRemovals {
		err = r.tryToRemove(host)
		if !core.IsConflict(err) && !core.IsEarlierEra(err) {
			return err
		}
	}
	return err
}

func (r *Registrar) tryToRemove(host core.Host) error {
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
