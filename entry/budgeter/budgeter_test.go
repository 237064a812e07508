package budgeter_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/budgeter"
)

// TestBudget guards against bytes that count twice, that count on after their release, or
// that exceed the limit: it compares random steps of several claims with a plain sum.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &budgeter.Budget{}
		claims := make([]budgeter.Claim, 4)
		counted := make([]core.Bytes, len(claims))
		for i := range claims {
			claims[i] = budget.NewClaim()
		}
		sum := func() core.Bytes {
			total := core.Bytes(0)
			for _, bytes := range counted {
				total += bytes
			}
			return total
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(claims)-1).Draw(t, "claim")
			if rapid.Bool().Draw(t, "release") {
				claims[i].Release()
				counted[i] = 0
				continue
			}
			bytes := core.Bytes(rapid.Int64Range(0, 100).Draw(t, "bytes"))
			limit := core.Bytes(rapid.Int64Range(0, 200).Draw(t, "limit"))
			fits := limit == 0 || sum()+bytes <= limit
			if claims[i].Grow(bytes, limit) != fits {
				t.Fatalf("%d more than %d bytes, of %d: fits is not %v", bytes, sum(), limit, fits)
			}
			if fits {
				counted[i] += bytes
			}
			if budget.Used() != sum() {
				t.Fatalf("%d bytes are used and %d counted", sum(), budget.Used())
			}
		}
		for i := range claims {
			claims[i].Release()
		}
		if budget.Used() != 0 {
			t.Fatalf("%d bytes are left", budget.Used())
		}
	})
}

// TestBudgetIsShared guards against holders that together exceed the limit because they
// claim at the same time.
func TestBudgetIsShared(t *testing.T) {
	is := is.New(t)
	const (
		holders = 8
		rounds  = 2000
		bytes   = core.Bytes(30)
		limit   = core.Bytes(100)
	)
	budget := &budgeter.Budget{}
	var group sync.WaitGroup
	for range holders {
		group.Go(func() {
			for range rounds {
				claim := budget.NewClaim()
				_ = claim.Grow(bytes, limit)
				if budget.Used() > limit {
					t.Error("the limit is exceeded")
				}
				claim.Release()
			}
		})
	}
	group.Wait()
	is.Equal(budget.Used(), core.Bytes(0))
}
