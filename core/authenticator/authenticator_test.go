package authenticator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/authenticator"
)

const (
	maxAge      = 4 * time.Second
	rewriteTime = 3 * time.Second
)

func newPolicy(version uint64, hasUnreadable bool, organisations ...core.OrganisationPolicy) *core.RoutingPolicy {
	return core.NewRoutingPolicy(version, nil, nil, core.ClientLimits{}).WithOrganisations(organisations, hasUnreadable)
}

func guild(keys ...string) core.OrganisationPolicy {
	organisation := core.OrganisationPolicy{Name: "guild"}
	for _, key := range keys {
		organisation.Keys = append(organisation.Keys, core.DigestKey([]byte(key)))
	}
	return organisation
}

func fields(values ...string) [][]byte {
	var list [][]byte
	for _, value := range values {
		list = append(list, []byte(value))
	}
	return list
}

// TestCredentials checks which Authorization fields state a key.
func TestCredentials(t *testing.T) {
	tests := []struct {
		name   string
		fields [][]byte
		want   bool
	}{
		{"usual", fields("Bearer k1"), true},
		{"scheme in another case", fields("bEARER k1"), true},
		{"several spaces", fields("Bearer   k1"), true},
		{"space at the end", fields("Bearer k1 "), true},
		{"missing", nil, false},
		{"empty", fields(""), false},
		{"only the scheme", fields("Bearer"), false},
		{"no key", fields("Bearer  "), false},
		{"another scheme", fields("Basic k1"), false},
		{"no scheme", fields("k1"), false},
		{"scheme without a space", fields("Bearerk1"), false},
		{"tab for the space", fields("Bearer\tk1"), false},
		{"two keys", fields("Bearer k1 k1"), false},
		{"a list", fields("Bearer k1, Bearer k1"), false},
		{"quoted", fields(`Bearer "k1"`), false},
		{"repeated with the same key", fields("Bearer k1", "Bearer k1"), false},
		{"repeated with an empty field", fields("Bearer k1", ""), false},
		{"oversized", fields("Bearer " + strings.Repeat("k", 600)), false},
		{"another case of the key", fields("Bearer K1"), false},
	}
	policy := newPolicy(1, false, guild("k1"))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var a authenticator.Authenticator
			organisation, verdict := a.Check(policy, &core.Route{}, authenticator.ParseCredentials(tt.fields), 0)
			is.Equal(verdict == authenticator.Accepted, tt.want)
			is.Equal(organisation != nil, tt.want)
		})
	}
}

// TestCheck checks the verdict by what the policy knows and how old it is.
func TestCheck(t *testing.T) {
	known, other := authenticator.ParseCredentials(fields("Bearer k1")), authenticator.ParseCredentials(fields("Bearer k2"))
	keyed, anonymous := &core.Route{}, &core.Route{IsAnonymous: true}
	policy := newPolicy(7, false, guild("k1"))
	const confirmed = core.Uptime(time.Minute)
	tests := []struct {
		name        string
		policy      *core.RoutingPolicy
		route       *core.Route
		credentials authenticator.Credentials
		age         time.Duration
		version     uint64
		want        authenticator.Verdict
	}{
		{"known key", policy, keyed, known, 0, 7, authenticator.Accepted},
		{"unknown key", policy, keyed, other, 0, 7, authenticator.Unknown},
		{"no key", policy, keyed, authenticator.Credentials{}, 0, 7, authenticator.Unknown},
		{"no key is needed", policy, anonymous, authenticator.Credentials{}, time.Hour, 7, authenticator.Accepted},
		{"a policy without organisations", newPolicy(7, false), keyed, authenticator.Credentials{}, time.Hour, 7, authenticator.Accepted},
		{"confirmed just recently enough", policy, keyed, known, maxAge, 7, authenticator.Accepted},
		{"confirmed too long ago", policy, keyed, known, maxAge + 1, 7, authenticator.Unconfirmed},
		{"unknown key, confirmed too long ago", policy, keyed, other, maxAge + 1, 7, authenticator.Unconfirmed},
		{"a later version is known", policy, keyed, known, 0, 8, authenticator.Unconfirmed},
		{"an earlier version is known", policy, keyed, known, 0, 6, authenticator.Accepted},
		{"unreadable organisation, known key", newPolicy(7, true, guild("k1")), keyed, known, 0, 7, authenticator.Accepted},
		{"unreadable organisation, unknown key", newPolicy(7, true, guild("k1")), keyed, other, 0, 7, authenticator.Unreadable},
		{"only unreadable organisations", newPolicy(7, true), keyed, known, 0, 7, authenticator.Unreadable},
		{"all keys withdrawn", newPolicy(7, false, guild()), keyed, known, 0, 7, authenticator.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := authenticator.Authenticator{MaxAge: maxAge}
			a.Confirm(tt.version, confirmed)
			_, verdict := a.Check(tt.policy, tt.route, tt.credentials, confirmed.Add(tt.age))
			is.Equal(verdict, tt.want)
		})
	}
	t.Run("never confirmed", func(t *testing.T) {
		is := is.New(t)
		a := authenticator.Authenticator{MaxAge: maxAge}
		_, verdict := a.Check(policy, keyed, known, 0)
		is.Equal(verdict, authenticator.Unconfirmed)
	})
}

// fakeHost is one host of TestWithdrawnKeyEndsInTime. Its clock begins anew with each process
// only in what it remembers.
type fakeHost struct {
	authenticator *authenticator.Authenticator
	// policy is the version that it holds; 0 if none.
	policy uint64
}

// TestWithdrawnKeyEndsInTime plays random sequences in which a key is withdrawn and given back,
// hosts read the store or ask one another, answers take long, hosts are frozen in between, start
// anew and take over a copy, and the store comes back from older copies, into which the operator
// writes the newest policy again. No host may accept the key later than maxAge after its
// withdrawal.
func TestWithdrawnKeyEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		credentials := authenticator.ParseCredentials(fields("Bearer k1"))
		now, version := core.Uptime(time.Hour), uint64(1)
		policies := map[uint64]*core.RoutingPolicy{1: newPolicy(1, false, guild("k1"))}
		isHeld := true
		var withdrawnAt core.Uptime
		// stored is the version in the store, which is written again at rewriteAt.
		stored, era, rewriteAt := version, core.Era(rapid.IntRange(0, 1).Draw(t, "era")), now
		newHost := func() *fakeHost {
			return &fakeHost{authenticator: &authenticator.Authenticator{MaxAge: maxAge, RewriteTime: rewriteTime}}
		}
		list := make([]*fakeHost, hosts)
		for i := range list {
			list[i] = newHost()
		}
		wait := func() {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond)
		}
		// adopt replaces the policy of a host unless its own is later.
		adopt := func(h *fakeHost, offered uint64) { h.policy = max(h.policy, offered) }
		drawHost := func() *fakeHost { return rapid.SampledFrom(list).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(*rapid.T) { wait() },
			"the key is withdrawn or given back": func(*rapid.T) {
				version++
				stored = version
				isHeld = !isHeld
				policies[version] = newPolicy(version, false, guild())
				if isHeld {
					policies[version] = newPolicy(version, false, guild("k1"))
				} else {
					withdrawnAt = now
				}
			},
			"a host reads the store": func(*rapid.T) {
				if now >= rewriteAt {
					stored = version
				}
				h, sent, read, readEra := drawHost(), now, stored, era
				wait()
				adopt(h, read)
				h.authenticator.ConfirmByStore(read, readEra, sent, now)
			},
			"the store is restored": func(*rapid.T) {
				era++
				stored = uint64(rapid.IntRange(1, int(version)).Draw(t, "copy"))
				rewriteAt = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "rewrite")) * time.Millisecond)
			},
			"a host asks another": func(*rapid.T) {
				h, other, sent := drawHost(), drawHost(), now
				wait()
				known, asOf, ok := other.authenticator.Confirmed()
				age := now.Sub(asOf)
				otherEra, enteredAt := other.authenticator.Era()
				eraAge := now.Sub(enteredAt)
				wait()
				if ok {
					h.authenticator.Confirm(known, sent.Add(-age))
				}
				h.authenticator.RecordEra(otherEra, sent.Add(-eraAge))
			},
			"a host takes over a copy": func(*rapid.T) { adopt(drawHost(), drawHost().policy) },
			"a host starts anew": func(*rapid.T) {
				*drawHost() = *newHost()
			},
			"": func(t *rapid.T) {
				for i, h := range list {
					if h.policy == 0 {
						continue
					}
					_, verdict := h.authenticator.Check(policies[h.policy], &core.Route{}, credentials, now)
					isOverdue := !isHeld && now.Sub(withdrawnAt) > maxAge
					if isOverdue && verdict == authenticator.Accepted {
						t.Fatalf("host %d accepts a key that was withdrawn %v ago", i, now.Sub(withdrawnAt))
					}
				}
			},
		})
	})
}
