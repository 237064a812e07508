// Package registrar keeps this host's registration in a store, and removes those
// of hosts that ended without taking theirs back.
//
// A registration is written in place of one of an earlier life, and again
// whenever the host finds itself missing. Every write names the revision that it
// replaces, so that it never undoes what another host or a later life wrote.
//
// # Usage
//
//	r := &registrar.Registrar{Self: host, Create: create, Read: read, Replace: replace, Remove: remove, Log: log}
//	go r.Run(ctx)
//	r.Notice(isListed) // after each list of hosts
//	r.Unregister()     // when a planned stop begins
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
	// pause is the time between two attempts to register.
	pause = 400 * time.Millisecond
	// tidyEvery is the time between two looks for registrations of hosts that
	// are gone.
	tidyEvery = 10 * time.Second
)

// Registration is a host as the store lists it.
type Registration struct {
	Host     core.Host
	Revision uint64
}

// Registrar keeps the registration of one host. The function fields reach the
// store; their errors are of the types of package core.
type Registrar struct {
	Self core.Host
	// Create writes a registration that must not exist; core.ErrConflict says
	// that it does.
	Create func(host core.Host) error
	// Read returns a registration; core.ErrNotFound says that there is none.
	Read func(name core.HostName) (Registration, error)
	// Replace and Remove change a registration at a revision.
	Replace func(host core.Host, revision uint64) error
	Remove  func(name core.HostName, revision uint64) error
	// Lapsed returns the hosts whose registrations this host should remove.
	Lapsed func(now time.Time) []core.Host
	Log    *logger.Logger

	once    sync.Once
	missing chan struct{}
	// wasListed says that the store listed this host at the last look.
	wasListed atomic.Bool
	isLeaving atomic.Bool
}

// Run keeps registrations until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { waiter.Every(ctx, tidyEvery, r.tidy) })
	for ctx.Err() == nil {
		r.register(ctx)
		select {
		case <-ctx.Done():
		case <-r.signal():
		}
	}
	group.Wait()
}

// signal returns the channel that says that the host is missing.
func (r *Registrar) signal() chan struct{} {
	r.once.Do(func() { r.missing = make(chan struct{}, 1) })
	return r.missing
}

// Notice states whether the store lists this host. One that was listed and is no
// longer registers again: another host took it for gone.
func (r *Registrar) Notice(isListed bool) {
	if wasListed := r.wasListed.Swap(isListed); !wasListed || isListed {
		return
	}
	select {
	case r.signal() <- struct{}{}:
	default: // it registers already
	}
}

// register writes the registration until that succeeds or a stop begins.
func (r *Registrar) register(ctx context.Context) {
	for ctx.Err() == nil && !r.isLeaving.Load() {
		err := r.write()
		if err == nil {
			return
		}
		r.Log.Event(logger.RegistrationFailed).Err(err).Send()
		waiter.Sleep(ctx, pause)
	}
}

func (r *Registrar) write() error {
	err := r.Create(r.Self)
	if !core.IsConflict(err) {
		return err
	}
	registered, err := r.Read(r.Self.Name)
	if err != nil {
		return err
	}
	return r.Replace(r.Self, registered.Revision)
}

// Unregister takes the host off the list.
func (r *Registrar) Unregister() {
	r.isLeaving.Store(true)
	if err := r.remove(r.Self); err != nil {
		r.Log.Event(logger.RegistrationFailed).Err(err).Send()
	}
}

// remove removes the registration of one life of a host. That of another life
// stays.
func (r *Registrar) remove(host core.Host) error {
	registered, err := r.Read(host.Name)
	if core.IsNotFound(err) {
		return nil
	}
	if err != nil || registered.Host.Incarnation != host.Incarnation {
		return err
	}
	return r.Remove(host.Name, registered.Revision)
}

// tidy removes the registrations of hosts that are gone.
func (r *Registrar) tidy(now time.Time) {
	for _, host := range r.Lapsed(now) {
		err := r.remove(host)
		r.Log.Event(logger.HostRemoved).Str("peer", string(host.Name)).Err(err).Send()
	}
}
