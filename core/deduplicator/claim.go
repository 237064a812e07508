package deduplicator

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// Bounds of the claims in the platform's store.
const (
	// BucketCount is the number of store objects that the claims are divided over.
	BucketCount = 256
	// ClaimTTL is how long a claim is kept.
	ClaimTTL = 24 * time.Hour
	// maxClaims is the number of claims in a bucket; it keeps the object below the
	// store's size limit for a value.
	maxClaims = 10_000
)

// BucketOf returns the number of the bucket that holds the claim of a key.
func BucketOf(key string) int {
	return int(xxhash.Sum64String(key) % BucketCount)
}

// ClaimTable is the stored state of one bucket. It maps each claimed key to its
// holder and the time of the claim, as host.incarnation.second.
type ClaimTable struct {
	Claims map[string]string `json:"claims"`
}

// Add returns a table in which the holder has also claimed the keys that nobody
// has claimed, and the holder of each key. Keys for which the table has no room are
// missing from the holders. Expired claims are dropped from the returned table.
func (c ClaimTable) Add(keys []string, holder core.HostInstance, now time.Time) (ClaimTable, map[string]core.HostInstance) {
	next := ClaimTable{Claims: make(map[string]string, len(c.Claims)+len(keys))}
	for k, v := range c.Claims {
		if claim, ok := parseClaim(v); ok && now.Sub(claim.claimedAt) < ClaimTTL {
			next.Claims[k] = v
		}
	}
	holders := make(map[string]core.HostInstance, len(keys))
	for _, k := range keys {
		if claim, ok := parseClaim(next.Claims[k]); ok {
			holders[k] = claim.holder
			continue
		}
		if len(next.Claims) >= maxClaims {
			continue
		}
		next.Claims[k] = formatClaim(holder, now)
		holders[k] = holder
	}
	return next, holders
}

// Holders returns the holder of each of the keys that is claimed.
func (c ClaimTable) Holders(keys []string) map[string]core.HostInstance {
	holders := make(map[string]core.HostInstance, len(keys))
	for _, k := range keys {
		if claim, ok := parseClaim(c.Claims[k]); ok {
			holders[k] = claim.holder
		}
	}
	return holders
}

// claim says which incarnation of a host claimed a key, and when.
type claim struct {
	holder    core.HostInstance
	claimedAt time.Time
}

// formatClaim returns a claim in the form host.incarnation.second.
func formatClaim(holder core.HostInstance, now time.Time) string {
	return string(holder.Host) + "." + holder.Incarnation.String() + "." + strconv.FormatInt(now.Unix(), 10)
}

// parseClaim is the inverse of formatClaim; false where the text is malformed.
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
		holder:    core.HostInstance{Host: core.HostName(parts[0]), Incarnation: incarnation},
		claimedAt: time.Unix(second, 0),
	}, true
}
