package exchanger

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/endiverun/endiverun/core"
)

// errBudgetExceeded reports that the responses in memory exceed the byte budget.
var errBudgetExceeded = errors.New("buffered responses exceed the host's byte budget")

// byteBudget counts the bytes of all responses that are in memory.
type byteBudget struct {
	used atomic.Int64
}

// meteredReader reads from a connection and counts the bytes in a byteBudget.
type meteredReader struct {
	net.Conn
	budget *byteBudget
	// limit is the most bytes that the budget may count; 0 or less means no limit.
	limit core.Bytes
	// counted is how many of the budget's bytes come from this reader.
	counted int64
	// isReleased says that the bytes are passed on as they arrive, so they no
	// longer count.
	isReleased bool
}

// Read reads from the connection and fails once the budget is exceeded.
func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if r.isReleased {
		return n, err
	}
	r.counted += int64(n)
	if total := r.budget.used.Add(int64(n)); r.limit > 0 && total > int64(r.limit) {
		return n, errBudgetExceeded
	}
	return n, err
}

// release returns the counted bytes to the budget and stops counting.
func (r *meteredReader) release() {
	r.isReleased = true
	r.budget.used.Add(-r.counted)
	r.counted = 0
}
