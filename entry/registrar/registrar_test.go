package registrar

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
)

// table is a store of registrations.
type table struct {
	registrations map[core.HostName]Registration
	revision      uint64
	// failures is how many writes fail from now on.
	failures int
}

func (t *table) put(host core.Host) {
	t.revision++
	t.registrations[host.Name] = Registration{Host: host, Revision: t.revision}
}

func (t *table) registrar(self core.Host) *Registrar {
	return &Registrar{
		Self: self,
		Create: func(host core.Host) error {
			if t.failures > 0 {
				t.failures--
				return core.ErrPlatform.New("down")
			}
			if _, ok := t.registrations[host.Name]; ok {
				return core.ErrConflict.New("exists")
			}
			t.put(host)
			return nil
		},
		Read: func(name core.HostName) (Registration, error) {
			registered, ok := t.registrations[name]
			if !ok {
				return registered, core.ErrNotFound.New("%s", name)
			}
			return registered, nil
		},
		Replace: func(host core.Host, revision uint64) error {
			if t.registrations[host.Name].Revision != revision {
				return core.ErrConflict.New("revision")
			}
			t.put(host)
			return nil
		},
		Remove: func(name core.HostName, revision uint64) error {
			if t.registrations[name].Revision != revision {
				return core.ErrConflict.New("revision")
			}
			delete(t.registrations, name)
			return nil
		},
		Lapsed: func(time.Time) []core.Host { return nil },
		Log:    logger.New(io.Discard, "error", self),
	}
}

// run runs a registrar while act is played, inside a bubble of its own time.
func run(t *testing.T, r *Registrar, act func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		r.once.Do(func() { r.missing = make(chan struct{}, 1) })
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		synctest.Wait()
		act()
		stop()
		<-done
	})
}

var (
	self  = core.Host{Name: "host-1", Incarnation: 2}
	other = core.Host{Name: "host-2", Incarnation: 1}
)

// TestRegister is the pattern of a host that starts while the store is down and
// still lists its earlier life.
func TestRegister(t *testing.T) {
	is := is.New(t)
	store := &table{registrations: map[core.HostName]Registration{}, failures: 3}
	store.put(core.Host{Name: self.Name, Incarnation: 1})
	run(t, store.registrar(self), func() {
		time.Sleep(4 * pause)
		synctest.Wait()
		is.Equal(store.registrations[self.Name].Host, self)
	})
}

// TestMissingRegistersAgain is the pattern of a host that was cut off for so
// long that another one removed its registration.
func TestMissingRegistersAgain(t *testing.T) {
	is := is.New(t)
	store := &table{registrations: map[core.HostName]Registration{}}
	r := store.registrar(self)
	run(t, r, func() {
		r.Notice(false) // the list is older than the registration
		r.Notice(true)
		delete(store.registrations, self.Name)
		r.Notice(false)
		synctest.Wait()
		is.Equal(store.registrations[self.Name].Host, self)
	})
}

// TestTidy checks that only the life that is gone is removed.
func TestTidy(t *testing.T) {
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
			store := &table{registrations: map[core.HostName]Registration{}}
			store.put(core.Host{Name: other.Name, Incarnation: tt.listed})
			r := store.registrar(self)
			r.Lapsed = func(time.Time) []core.Host { return []core.Host{other} }
			r.tidy(time.Time{})
			_, isListed := store.registrations[other.Name]
			is.Equal(isListed, tt.want)
		})
	}
}

// TestUnregister checks that a planned stop takes the host off the list once.
func TestUnregister(t *testing.T) {
	is := is.New(t)
	store := &table{registrations: map[core.HostName]Registration{}}
	r := store.registrar(self)
	run(t, r, func() {
		r.Notice(true)
		r.Unregister()
		r.Notice(false)
		time.Sleep(2 * pause)
		synctest.Wait()
		is.Equal(len(store.registrations), 0)
	})
}
