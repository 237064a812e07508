package core

import (
	"strconv"
	"strings"
	"time"
)

// MaxIdempotencyKeyLength is the longest idempotency key, in bytes.
const MaxIdempotencyKeyLength = 200

// IdempotencyKey is the idempotency key of a request. It is required where the request
// must run at most once, and optional for repeatable requests.
//
// A home-bound key names the one incarnation of a host, its home, that decides whether
// the request may run, so that the table of keys in that host's memory (package
// deduplicator) is enough to find duplicates. Any other key is chosen by the client and
// is claimed in the platform's store before the request runs.
type IdempotencyKey struct {
	// Text is the key as the client sent it.
	Text string
	// Home is the one incarnation of a host that decides whether the request may run;
	// empty where the client chose the key. Other hosts forward the request to it.
	Home HostInstance
	// IssuedAt is the time at which the client issued a home-bound key, in whole seconds.
	IssuedAt time.Time
}

// homeKeyPrefix is the first part of every home-bound key.
const homeKeyPrefix = "home"

// homeKeyParts is the number of dot-separated parts of a home-bound key.
const homeKeyParts = 5

// NewHomeBoundKey returns the key home.<host>.<incarnation>.<unix seconds>.<nonce>.
func NewHomeBoundKey(home HostInstance, nonce string, now time.Time) IdempotencyKey {
	seconds := now.Unix()
	text := strings.Join([]string{
		homeKeyPrefix, string(home.Host), home.Incarnation.String(), strconv.FormatInt(seconds, 10), nonce,
	}, ".")
	return IdempotencyKey{Text: text, Home: home, IssuedAt: time.Unix(seconds, 0)}
}

// ParseIdempotencyKey parses the key in a request header. Its errors are of type ErrInvalidKey.
func ParseIdempotencyKey(text string) (IdempotencyKey, error) {
	if text == "" || len(text) > MaxIdempotencyKeyLength {
		return IdempotencyKey{}, ErrInvalidKey.New("length %d is not between 1 and %d", len(text), MaxIdempotencyKeyLength)
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return IdempotencyKey{}, ErrInvalidKey.New("byte %#x is not printable ASCII", c)
		}
	}
	if !strings.HasPrefix(text, homeKeyPrefix+".") {
		return IdempotencyKey{Text: text}, nil
	}
	parts := strings.Split(text, ".")
	if len(parts) != homeKeyParts || parts[1] == "" || parts[4] == "" {
		return IdempotencyKey{}, ErrInvalidKey.New("a home-bound key is home.<host>.<incarnation>.<seconds>.<nonce>")
	}
	incarnation, err := ParseIncarnation(parts[2])
	if err != nil {
		return IdempotencyKey{}, err
	}
	seconds, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return IdempotencyKey{}, ErrInvalidKey.New("minting second %q is not a number", parts[3])
	}
	home := HostInstance{Host: HostName(parts[1]), Incarnation: incarnation}
	return IdempotencyKey{Text: text, Home: home, IssuedAt: time.Unix(seconds, 0)}, nil
}

// IsHomeBound reports whether the key names its home.
func (k IdempotencyKey) IsHomeBound() bool {
	return k.Home.Host != ""
}
