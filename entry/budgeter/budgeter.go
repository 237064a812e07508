// Package budgeter counts the bytes that several holders keep in memory, such as the bodies
// of requests, and refuses those beyond a limit before they are allocated.
//
// # Usage
//
//	claim := budget.NewClaim()
//	defer claim.Release()
//	if !claim.Grow(length, limit) {
//		return errBudgetExceeded
//	}
package budgeter

import (
	"sync/atomic"

	"github.com/endiverun/endiverun/core"
)

// Budget counts the bytes of all its claims. Its zero value is ready to use.
type Budget struct {
	used atomic.Int64
}

// Claim is the part of a Budget that one holder uses. The methods of one claim must not be
// called at the same time; those of different claims may. The zero value counts nowhere.
type Claim struct {
	budget *Budget
	bytes  core.Bytes
}

// Used returns the bytes of all claims.
func (b *Budget) Used() core.Bytes {
	return core.Bytes(b.used.Load())
}

// NewClaim returns a claim of no bytes.
func (b *Budget) NewClaim() Claim {
	return Claim{budget: b}
}

// tryAdd counts more bytes if all claims then have no more than the limit.
func (b *Budget) tryAdd(bytes, limit core.Bytes) bool {
	for {
		used := b.used.Load()
		total := used + int64(bytes)
		if limit > 0 && total > int64(limit) {
			return false
		}
		if b.used.CompareAndSwap(used, total) {
			return true
		}
	}
}

// Grow adds bytes to the claim if all claims of the budget then have no more than the limit;
// 0 or less means no limit. Otherwise it returns false and changes nothing.
func (c *Claim) Grow(bytes, limit core.Bytes) bool {
	if c.budget == nil {
		return true
	}
	if !c.budget.tryAdd(bytes, limit) {
		return false
	}
	c.bytes += bytes
	return true
}

// Release returns all bytes of the claim to the budget.
func (c *Claim) Release() {
	if c.budget == nil {
		return
	}
	c.budget.used.Add(-int64(c.bytes))
	c.bytes = 0
}
