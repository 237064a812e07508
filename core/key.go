package core

import (
	"strconv"
	"strings"
	"time"
)

// MaxKeyLength is the longest idempotency key, in bytes.
const MaxKeyLength = 200

// Key is the idempotency key of a request that must run at most once.
//
// A home-bound key names the one incarnation of a host, its home, that may run the
// request, so that the table in that host's memory is enough to find duplicates. Any
// other key is chosen by the client and is claimed in the platform's store before the
// request runs.
type Key struct {
	// Text is the key as the client sent it.
	Text string
	// Home is the incarnation of a host that may run the request; empty where the
	// client chose the key.
	Home Life
	// Minted is the time at which the client issued a home-bound key, in whole seconds.
	Minted time.Time
}

// homeKeyPrefix is the first part of every home-bound key.
const homeKeyPrefix = "home"

// homeKeyParts is the number of dot-separated parts of a home-bound key.
const homeKeyParts = 5

// NewHomeKey returns the key home.<host>.<incarnation>.<unix seconds>.<nonce>.
func NewHomeKey(home Life, nonce string, now time.Time) Key {
	seconds := now.Unix()
	text := strings.Join([]string{
		homeKeyPrefix, string(home.Host), home.Incarnation.String(), strconv.FormatInt(seconds, 10), nonce,
	}, ".")
	return Key{Text: text, Home: home, Minted: time.Unix(seconds, 0)}
}

// ParseKey parses the key in a request header. Its errors are of type ErrKey.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > MaxKeyLength {
		return Key{}, ErrKey.New("length %d is not between 1 and %d", len(text), MaxKeyLength)
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return Key{}, ErrKey.New("byte %#x is not printable ASCII", c)
		}
	}
	if !strings.HasPrefix(text, homeKeyPrefix+".") {
		return Key{Text: text}, nil
	}
	parts := strings.Split(text, ".")
	if len(parts) != homeKeyParts || parts[1] == "" || parts[4] == "" {
		return Key{}, ErrKey.New("a home-bound key must have the form home.<host>.<incarnation>.<seconds>.<nonce>")
	}
	incarnation, err := ParseIncarnation(parts[2])
	if err != nil {
		return Key{}, err
	}
	seconds, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return Key{}, ErrKey.New("issue time %q is not a number of seconds", parts[3])
	}
	home := Life{Host: HostName(parts[1]), Incarnation: incarnation}
	return Key{Text: text, Home: home, Minted: time.Unix(seconds, 0)}, nil
}

// IsHomeBound reports whether the key names the host that may run the request.
func (k Key) IsHomeBound() bool {
	return k.Home.Host != ""
}
