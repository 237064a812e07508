package authenticator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/authenticator"
)

// TestRestoredStoreConfirmsNothing guards against a host that accepts a withdrawn key since a store
// that was restored from an older copy names a policy that still has it.
func TestRestoredStoreConfirmsNothing(t *testing.T) {
	const start = core.Uptime(time.Hour)
	credentials := authenticator.ParseCredentials(fields("Bearer k1"))
	tests := []struct {
		name         string
		era          core.Era
		isFirstStart bool
		// known and enteredBefore are what another host tells: the newest version it knows, 0 if
		// none, and how long before the first answer of the store it had heard of the era.
		known         uint64
		enteredBefore time.Duration
		// answeredAfter is the time between the first answer and the one after which is asked.
		answeredAfter time.Duration
		want          authenticator.Verdict
	}{
		{"a store that names no era", 0, false, 0, 0, 0, authenticator.Accepted},
		{"the first answer in an era", 2, false, 0, 0, 0, authenticator.Unconfirmed},
		{"the fleet starts for the first time", 2, true, 0, 0, 0, authenticator.Accepted},
		{"before the operator has written again", 2, false, 0, 0, rewriteTime - 1, authenticator.Unconfirmed},
		{"after the operator has written again", 2, false, 0, 0, rewriteTime, authenticator.Accepted},
		{"another host knows a later version", 2, false, 5, 0, rewriteTime, authenticator.Unconfirmed},
		{"another host knows the same version", 2, false, 3, 0, 0, authenticator.Accepted},
		{"another host has long known the era", 2, false, 0, time.Minute, 0, authenticator.Accepted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := authenticator.Authenticator{MaxAge: maxAge, RewriteTime: rewriteTime, IsFirstStart: tt.isFirstStart}
			a.ConfirmByStore(3, tt.era, start, start)
			if tt.known > 0 {
				a.Confirm(tt.known, start.Add(-time.Second))
			}
			a.RecordEra(tt.era, start.Add(-tt.enteredBefore))
			now := start.Add(tt.answeredAfter)
			a.ConfirmByStore(3, tt.era, now, now)
			_, verdict := a.Check(newPolicy(3, false, guild("k1")), &core.Route{}, credentials, now)
			is.Equal(verdict, tt.want)
		})
	}
}

// TestEarlierConfirmationLasts guards against a host that refuses keys at once after a restore of
// the store: what it knew before counts for as long as without the restore, and no longer.
func TestEarlierConfirmationLasts(t *testing.T) {
	is := is.New(t)
	const start = core.Uptime(time.Hour)
	credentials := authenticator.ParseCredentials(fields("Bearer k1"))
	a := authenticator.Authenticator{MaxAge: maxAge, RewriteTime: rewriteTime}
	a.ConfirmByStore(5, 1, start, start)
	a.RecordEra(1, start.Add(-time.Minute))
	a.ConfirmByStore(5, 1, start, start)
	check := func(after time.Duration) authenticator.Verdict {
		_, verdict := a.Check(newPolicy(5, false, guild("k1")), &core.Route{}, credentials, start.Add(after))
		return verdict
	}
	restored := start.Add(2 * time.Second)
	a.ConfirmByStore(3, 2, restored, restored)
	is.Equal(check(maxAge), authenticator.Accepted)
	is.Equal(check(maxAge+1), authenticator.Unconfirmed)
	a.ConfirmByStore(5, 1, restored.Add(time.Second), restored.Add(time.Second)) // a late answer of the earlier era
	is.Equal(check(maxAge+1), authenticator.Unconfirmed)
	later := restored.Add(rewriteTime)
	a.ConfirmByStore(5, 2, later, later)
	is.Equal(check(later.Sub(start)), authenticator.Accepted)
}
