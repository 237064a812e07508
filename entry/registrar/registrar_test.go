package registrar

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
)

// fakeStore holds registrations in memory.
type fakeStore struct {
	mu            sync.Mutex
	registrations map[core.HostName]Registration
	revision      uint64
	// failures is the number of Create calls that fail from now on.
	failures int
}

func (s *fakeStore) write(host core.Host) {
	s.revision++
	s.registrations[host.Name] = Registration{Host: host, Revision: s.revision}
}

func (s *fakeStore) registrar(self core.Host) *Registrar {
	return &Registrar{
		Self: self,
		Create: func(host core.Host) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.failures > 0 {
				s.failures--
				return core.ErrPlatform.New("down")
			}
			if _, ok := s.registrations[host.Name]; ok {
				return core.ErrConflict.New("exists")
			}
			s.write(host)
			return nil
		},
		Read: func(name core.HostName) (Registration, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			existing, ok := s.registrations[name]
			if !ok {
				return existing, core.ErrNotFound.New("%s", name)
			}
			return existing, nil
		},
		Replace: func(host core.Host, existing Registration) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.registrations[host.Name] != existing {
				return core.ErrConflict.New("revision")
			}
			s.write(host)
			return nil
		},
		Remove: func(existing Registration) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.registrations[existing.Host.Name] != existing {
				return core.ErrConflict.New("revision")
			}
			delete(s.registrations, existing.Host.Name)
			return nil
		},
		ExpiredHosts: func(time.Time) []core.Host { return nil },
		Log:          logger.New(io.Discard, "error", self),
	}
}

// run calls scenario while a registrar runs. Both use the fake clock of a synctest
// bubble.
func run(t *testing.T, r *Registrar, scenario func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		r.signals()
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		synctest.Wait()
		scenario()
		stop()
		<-done
	})
}

var (
	selfHost  = core.Host{Name: "host-1", Incarnation: 2}
	otherHost = core.Host{Name: "host-2", Incarnation: 1}
)

// TestRegister checks that a host retries until it is registered if the store is
// unavailable at its start, and that it replaces the registration of its earlier
// incarnation.
func TestRegister(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{registrations: map[core.HostName]Registration{}, failures: 3}
	store.write(core.Host{Name: selfHost.Name, Incarnation: 1})
	run(t, store.registrar(selfHost), func() {
		time.Sleep(4 * retryInterval)
		synctest.Wait()
		is.Equal(store.registrations[selfHost.Name].Host, selfHost)
	})
}

// TestMissingRegistersAgain checks that a host registers again after another host has
// removed its registration, because it was unreachable for too long.
func TestMissingRegistersAgain(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{registrations: map[core.HostName]Registration{}}
	r := store.registrar(selfHost)
	run(t, r, func() {
		r.SetListed(false) // The list is older than the registration.
		r.SetListed(true)
		delete(store.registrations, selfHost.Name)
		r.SetListed(false)
		synctest.Wait()
		is.Equal(store.registrations[selfHost.Name].Host, selfHost)
	})
}

// TestRemoveExpired checks that the registration of a host that is gone is removed, but
// not that of a later incarnation of the host.
func TestRemoveExpired(t *testing.T) {
	tests := []struct {
		name   string
		listed core.Incarnation
		want   bool
	}{
		{"the life that is gone", 1, false},
		{"a later life", 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{registrations: map[core.HostName]Registration{}}
			store.write(core.Host{Name: otherHost.Name, Incarnation: tt.listed})
			r := store.registrar(selfHost)
			r.ExpiredHosts = func(time.Time) []core.Host { return []core.Host{otherHost} }
			r.removeExpired(time.Time{})
			_, isListed := store.registrations[otherHost.Name]
			is.Equal(isListed, tt.want)
		})
	}
}

// TestUnregister checks that a graceful stop removes the host's registration and that
// the host does not register again.
func TestUnregister(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{registrations: map[core.HostName]Registration{}}
	r := store.registrar(selfHost)
	run(t, r, func() {
		r.SetListed(true)
		r.Unregister()
		r.SetListed(false)
		time.Sleep(2 * retryInterval)
		synctest.Wait()
		is.Equal(len(store.registrations), 0)
	})
}

// TestStopDuringRegistration guards against a registration that stays after a graceful stop,
// because a call that writes it was pending when the stop began.
func TestStopDuringRegistration(t *testing.T) {
	const slow = time.Second
	earlier := core.Host{Name: selfHost.Name, Incarnation: 1}
	slowCalls := map[string]func(r *Registrar){
		"create": func(r *Registrar) {
			create := r.Create
			r.Create = func(host core.Host) error {
				time.Sleep(slow)
				return create(host)
			}
		},
		"read": func(r *Registrar) {
			read := r.Read
			var isLater atomic.Bool
			r.Read = func(name core.HostName) (Registration, error) {
				registration, err := read(name)
				if !isLater.Swap(true) {
					time.Sleep(slow)
				}
				return registration, err
			}
		},
	}
	for name, slowDown := range slowCalls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{registrations: map[core.HostName]Registration{}}
			if name == "read" {
				store.write(earlier) // Create finds it, so that Read is called.
			}
			r := store.registrar(selfHost)
			slowDown(r)
			run(t, r, func() {
				time.Sleep(slow / 2)
				r.Unregister()
				time.Sleep(2*slow + 2*retryInterval)
				synctest.Wait()
				is.True(store.registrations[selfHost.Name].Host != selfHost)
			})
		})
	}
}
