package exchanger

import (
	"errors"
	"net"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/budgeter"
)

// errBudgetExceeded reports that the responses in memory exceed the byte budget.
var errBudgetExceeded = errors.New("buffered responses exceed the host's byte budget")

// meteredReader reads from a connection and counts the bytes in a budget.
type meteredReader struct {
	net.Conn
	claim budgeter.Claim
	// limit is the most bytes that the budget may count; 0 or less means no limit.
	limit core.Bytes
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
	if !r.claim.Grow(core.Bytes(n), r.limit) {
		return n, errBudgetExceeded
	}
	return n, err
}

// release returns the counted bytes to the budget and stops counting.
func (r *meteredReader) release() {
	r.isReleased = true
	r.claim.Release()
}
