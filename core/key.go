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
// A home-bound key names the one life of a host that may run the request, so
// that the table in that host's memory decides alone. Any other key is the
// client's own and is claimed in the platform's store before the run.
type Key struct {
	// Text is the key as the client sent it.
	Text string
	// Home is the life that may run the request; empty for a client's own key.
	Home Life
	// Minted is the second in which the client made a home-bound key.
	Minted time.Time
}

// homeKeyPrefix marks home-bound keys.
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

// ParseKey reads a key from a request header.
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
		return Key{}, ErrKey.New("a home-bound key is home.<host>.<incarnation>.<seconds>.<nonce>")
	}
	incarnation, err := ParseIncarnation(parts[2])
	if err != nil {
		return Key{}, err
	}
	seconds, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return Key{}, ErrKey.New("minting second %q is not a number", parts[3])
	}
	home := Life{Host: HostName(parts[1]), Incarnation: incarnation}
	return Key{Text: text, Home: home, Minted: time.Unix(seconds, 0)}, nil
}

// IsHomeBound reports whether the key names its home.
func (k Key) IsHomeBound() bool {
	return k.Home.Host != ""
}
