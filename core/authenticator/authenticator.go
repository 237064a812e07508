// Package authenticator decides to which organisation a request belongs.
//
// A request states an API key, and the routing policy says which organisation holds it. A key
// that was withdrawn must not be accepted for longer than a bound, on any host: also one that is
// cut off from the store, that was frozen, or that has just started from the copy of another
// host. A host therefore records as of when its policy is known to be the newest, and accepts no
// key once that was too long ago. It decides anew before each attempt, since a request may wait
// for a long time.
//
// The store itself may come back from an older copy, in a later era (see core.Era). Until the
// operator has written again what that copy lacks, the store does not know the newest policy, so
// its word counts for nothing: neither on a host that has just started nor on one that missed the
// last change. What hosts knew before the restore counts on, and they tell each other.
//
// Why the bound holds: a policy without the key was acknowledged at time w, and this host does
// not know of it. Its policy was then confirmed as of a time before w, and it accepts keys until
// MaxAge after that time. A request that is accepted was sent before, so at most MaxAge after w.
//
// # Usage
//
//	a := &authenticator.Authenticator{MaxAge: 4 * time.Second, RewriteTime: 3 * time.Second}
//	a.ConfirmByStore(version, era, asOf, now) // when the store names the newest version
//	a.Confirm(version, asOf)                  // when another host does
//	organisation, verdict := a.Check(policy, route, authenticator.ParseCredentials(fields), now)
package authenticator

import (
	"bytes"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Verdict is the result of a check.
type Verdict uint8

// The verdicts. Only Accepted lets a request run.
const (
	// Accepted means that the request has a valid key, or that it needs none.
	Accepted Verdict = iota
	// Unknown means that the policy has no organisation with the key, or that the request
	// states no key, more than one or an invalid one.
	Unknown
	// Unconfirmed means that the policy may be so old that the key was withdrawn since.
	Unconfirmed
	// Unreadable means that the key may be one of an organisation that could not be read.
	Unreadable
)

// String returns the name of the verdict, as the cause of a refusal.
func (v Verdict) String() string {
	names := [...]string{"accepted", "key-unknown", "key-unconfirmed", "organisation-unreadable"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// maxKeyLength is the longest key that is looked up, in bytes.
const maxKeyLength = 512

// Credentials are the key that a request states, if it is one valid key.
type Credentials struct {
	digest core.KeyDigest
	hasKey bool
}

// ParseCredentials reads the fields of the header Authorization. There must be one, with the
// scheme Bearer in any case, one space or more, and a key of the characters that RFC 6750 allows.
func ParseCredentials(fields [][]byte) Credentials {
	const scheme = "bearer"
	if len(fields) != 1 {
		return Credentials{}
	}
	stated, key, _ := bytes.Cut(fields[0], []byte{' '})
	key = bytes.Trim(key, " ")
	if !bytes.EqualFold(stated, []byte(scheme)) || !isKey(key) {
		return Credentials{}
	}
	return Credentials{digest: core.DigestKey(key), hasKey: true}
}

// isKey reports whether a text may be a key: letters, digits and some marks, then perhaps
// equals signs.
func isKey(text []byte) bool {
	if len(text) > maxKeyLength {
		return false
	}
	body := bytes.TrimRight(text, "=")
	for _, c := range body {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		isDigit := '0' <= c && c <= '9'
		if !isLetter && !isDigit && !bytes.ContainsRune([]byte("-._~+/"), rune(c)) {
			return false
		}
	}
	return len(body) > 0
}

// Authenticator decides for one host.
//
// Lock order: Authenticator.mu is a leaf.
type Authenticator struct {
	// MaxAge is the time after which a policy that is no longer known to be the newest does
	// not vouch for keys; 0 means that it always does.
	MaxAge time.Duration
	// RewriteTime is the time after the beginning of an era of the store within which the
	// operator writes again what the store has lost.
	RewriteTime time.Duration
	// IsFirstStart says that the whole fleet starts for the first time, so that the store has
	// lost nothing in the era in which this host first reads it.
	IsFirstStart bool

	mu          sync.Mutex
	version     uint64
	isConfirmed bool
	confirmedAt core.Uptime
	era         storeEra
}

// Confirm records that the newest policy had the given version as of a time, by the word of
// another host. It counts for all policies of that version or a later one.
func (a *Authenticator) Confirm(version uint64, asOf core.Uptime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirm(version, asOf)
}

// confirm is Confirm. The caller holds Authenticator.mu.
func (a *Authenticator) confirm(version uint64, asOf core.Uptime) {
	if a.isConfirmed && asOf <= a.confirmedAt {
		return
	}
	a.version, a.isConfirmed, a.confirmedAt = max(version, a.version), true, asOf
}

// Confirmed returns the newest version that is known and as of when it was known to be the
// newest. It returns false if that was never known.
func (a *Authenticator) Confirmed() (version uint64, asOf core.Uptime, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version, a.confirmedAt, a.isConfirmed
}

// Check returns the organisation to which a request with the credentials belongs by the policy,
// nil where requests need no key.
func (a *Authenticator) Check(
	policy *core.RoutingPolicy, route *core.Route, credentials Credentials, now core.Uptime,
) (*core.OrganisationPolicy, Verdict) {
	if !policy.HasOrganisations() || route.IsAnonymous {
		return nil, Accepted
	}
	if !a.isRecent(policy.Version, now) {
		return nil, Unconfirmed
	}
	if !credentials.hasKey {
		return nil, Unknown
	}
	organisation, ok := policy.OrganisationOf(credentials.digest)
	switch {
	case ok:
		return organisation, Accepted
	case policy.HasUnreadableOrganisations:
		return nil, Unreadable
	default:
		return nil, Unknown
	}
}

// isRecent reports whether a policy of the version is known to have been the newest at most
// MaxAge ago.
func (a *Authenticator) isRecent(version uint64, now core.Uptime) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.MaxAge <= 0 {
		return true
	}
	return a.isConfirmed && a.version <= version && now.Sub(a.confirmedAt) <= a.MaxAge
}
