package registrar

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// restore makes the store come back from a copy that holds the given hosts.
func (s *fakeStore) restore(hosts ...core.Host) {
	clear(s.registrations)
	for _, host := range hosts {
		s.write(host)
	}
}

// TestVerify guards against a host that is missing from the list of hosts after the store
// came back from a copy without its registration, or with that of an earlier incarnation.
func TestVerify(t *testing.T) {
	earlier := core.Host{Name: selfHost.Name, Incarnation: 1}
	tests := []struct {
		name       string
		restored   []core.Host
		wantWrites uint64
	}{
		{"missing", nil, 1},
		{"an earlier incarnation", []core.Host{earlier}, 1},
		{"present", []core.Host{selfHost}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{registrations: map[core.HostName]Registration{}}
			r := store.registrar(selfHost)
			run(t, r, func() {
				store.restore(tt.restored...)
				before := store.revision
				r.Verify()
				time.Sleep(verificationSpread)
				synctest.Wait()
				is.Equal(store.registrations[selfHost.Name].Host, selfHost)
				is.Equal(store.revision-before, tt.wantWrites)
			})
		})
	}
}

// TestVerifyRetries guards against a verification that is given up when the store is
// unavailable or its answers are discarded.
func TestVerifyRetries(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{registrations: map[core.HostName]Registration{}}
	r := store.registrar(selfHost)
	read := r.Read
	failures := []error{core.ErrPlatform.New("down"), core.ErrEarlierEra.New("late answer")}
	r.Read = func(name core.HostName) (Registration, error) {
		if len(failures) > 0 {
			err := failures[0]
			failures = failures[1:]
			return Registration{}, err
		}
		return read(name)
	}
	run(t, r, func() {
		store.restore()
		r.Verify()
		time.Sleep(verificationSpread + 2*retryInterval)
		synctest.Wait()
		is.Equal(store.registrations[selfHost.Name].Host, selfHost)
	})
}

// TestVerificationsAreSpread guards against a fleet whose hosts all call the store at the
// moment in which it is back.
func TestVerificationsAreSpread(t *testing.T) {
	const (
		hosts  = 200
		slot   = verificationSpread / 10
		atMost = hosts / 2 // far above the mean of a tenth, far below all
	)
	var reads []time.Duration
	for range hosts {
		store := &fakeStore{registrations: map[core.HostName]Registration{}}
		r := store.registrar(selfHost)
		run(t, r, func() {
			start := time.Now()
			read := r.Read
			r.Read = func(name core.HostName) (Registration, error) {
				reads = append(reads, time.Since(start))
				return read(name)
			}
			r.Verify()
			time.Sleep(verificationSpread)
			synctest.Wait()
		})
	}
	is := is.New(t)
	is.Equal(len(reads), hosts)
	perSlot := map[time.Duration]int{}
	for _, at := range reads {
		perSlot[at/slot]++
	}
	for _, count := range perSlot {
		is.True(count <= atMost)
	}
}

// TestStopWhileVerificationWaits guards against a host that registers again after its
// graceful stop began, because a verification was due.
func TestStopWhileVerificationWaits(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{registrations: map[core.HostName]Registration{}}
	r := store.registrar(selfHost)
	run(t, r, func() {
		revision := store.revision
		r.Verify()
		r.Unregister()
		time.Sleep(verificationSpread + retryInterval)
		synctest.Wait()
		is.Equal(len(store.registrations), 0)
		is.Equal(store.revision, revision) // no write
	})
}

// TestRestoredAfterStop guards against a registration that is back with the restored store,
// although the host has removed it.
func TestRestoredAfterStop(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{registrations: map[core.HostName]Registration{}}
	r := store.registrar(selfHost)
	run(t, r, func() {
		r.Unregister()
		store.restore(selfHost)
		r.Verify()
		time.Sleep(verificationSpread)
		synctest.Wait()
		is.Equal(len(store.registrations), 0)
	})
}

// TestRemovalReadsAgain guards against a registration that stays because the store came back
// between the read and the removal, or the answer was of an earlier era.
func TestRemovalReadsAgain(t *testing.T) {
	for _, failure := range []error{core.ErrConflict.New("later era"), core.ErrEarlierEra.New("late answer")} {
		t.Run(failure.Error(), func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{registrations: map[core.HostName]Registration{}}
			store.write(selfHost)
			r := store.registrar(selfHost)
			remove := r.Remove
			failures := []error{failure}
			r.Remove = func(existing Registration) error {
				if len(failures) > 0 {
					failures = slices.Delete(failures, 0, 1)
					return failure
				}
				return remove(existing)
			}
			r.Unregister()
			is.Equal(len(store.registrations), 0)
		})
	}
}
