package deduplicator

import (
	"strconv"
	"time"

	"github.com/endiverun/endiverun/core"
)

// kindClaims is the kind of the store objects that hold claims.
const kindClaims = "claims"

// maxClaimAttempts is the number of attempts to claim keys. An attempt fails where
// another host wrote the bucket at the same time, or where the store did not respond.
const maxClaimAttempts = 8

// Claimer claims keys that clients chose in the platform's store, for one incarnation
// of a host.
type Claimer struct {
	Instance core.HostInstance
	Store    core.Store
}

// Claim claims the keys of one bucket that nobody has claimed and returns the holder
// of each. Keys for which the bucket has no room are missing from the result. After a
// write without a response, the next read shows whether the claims were written.
func (c Claimer) Claim(bucket int, keys []string, now time.Time) (map[string]core.HostInstance, error) {
	var err error
	for range maxClaimAttempts {
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
		next, holders := table.Add(keys, c.Instance, now)
		err = c.Store.Write(object, next)
		if err == nil {
			return holders, nil
		}
	}
	return nil, err
}
