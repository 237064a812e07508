package deduplicator

import (
	"strconv"
	"time"

	"github.com/endiverun/endiverun/core"
)

// kindClaims is the kind of the objects that hold claims of clients' keys.
const kindClaims = "claims"

// claimTries is how often a lost race or a lost answer is repeated.
const claimTries = 8

// Claimer claims clients' own keys in the platform's store for one life of a
// host.
type Claimer struct {
	Life  core.Life
	Store core.Store
}

// Claim claims keys of one bucket that are not claimed and returns the holder
// of each. A key is missing from the result where the bucket is full. A write
// without an answer is settled by the next read, which shows whose the claims
// are.
func (c Claimer) Claim(bucket int, keys []string, now time.Time) (map[string]core.Life, error) {
	var err error
	for range claimTries {
		var table ClaimTable
		var object core.Object
		object, err = c.Store.Read(kindClaims, strconv.Itoa(bucket), &table)
		if err != nil {
			continue
		}
		holders := table.Holders(keys)
		if len(holders) == len(keys) {
			return holders, nil
		}
		next, holders := table.Add(keys, c.Life, now)
		err = c.Store.Write(object, next)
		if err == nil {
			return holders, nil
		}
	}
	return nil, err
}
