package deduplicator

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// Bounds of claims in the platform's store.
const (
	// BucketCount is the number of objects that claims are divided over.
	BucketCount = 256
	// ClaimLife is how long a claim is kept.
	ClaimLife = 24 * time.Hour
	// maxClaims keeps an object below the store's limit for a value.
	maxClaims = 10_000
)

// Bucket returns the number of the object that holds the claim of a key.
func Bucket(key string) int {
	return int(xxhash.Sum64String(key) % BucketCount)
}

// ClaimTable is the stored state of one bucket: the holder of each key, as
// host.incarnation.second.
type ClaimTable struct {
	Claims map[string]string `json:"claims"`
}

// Add returns the table with claims for the keys that have none, and the
// holder of each key. A key is missing from the result where the table is
// full.
func (c ClaimTable) Add(keys []string, life core.Life, now time.Time) (ClaimTable, map[string]core.Life) {
	next := ClaimTable{Claims: make(map[string]string, len(c.Claims)+len(keys))}
	for k, v := range c.Claims {
		if claim, ok := parseClaim(v); ok && now.Sub(claim.at) < ClaimLife {
			next.Claims[k] = v
		}
	}
	holders := make(map[string]core.Life, len(keys))
	for _, k := range keys {
		if claim, ok := parseClaim(next.Claims[k]); ok {
			holders[k] = claim.life
			continue
		}
		if len(next.Claims) >= maxClaims {
			continue
		}
		next.Claims[k] = formatClaim(life, now)
		holders[k] = life
	}
	return next, holders
}

// Holders returns the holder of each key that is claimed.
func (c ClaimTable) Holders(keys []string) map[string]core.Life {
	holders := make(map[string]core.Life, len(keys))
	for _, k := range keys {
		if claim, ok := parseClaim(c.Claims[k]); ok {
			holders[k] = claim.life
		}
	}
	return holders
}

type claim struct {
	life core.Life
	at   time.Time
}

func formatClaim(life core.Life, now time.Time) string {
	return string(life.Host) + "." + life.Incarnation.String() + "." + strconv.FormatInt(now.Unix(), 10)
}

func parseClaim(text string) (claim, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return claim{}, false
	}
	incarnation, err := core.ParseIncarnation(parts[1])
	if err != nil {
		return claim{}, false
	}
	second, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return claim{}, false
	}
	return claim{
		life: core.Life{Host: core.HostName(parts[0]), Incarnation: incarnation},
		at:   time.Unix(second, 0),
	}, true
}
