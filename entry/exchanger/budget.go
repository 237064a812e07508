package exchanger

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/endiverun/endiverun/core"
)

// errHeld reports that the answers that are held leave no room for more.
var errHeld = errors.New("the answers that are held take all the memory that they may")

// budget counts the bytes of all answers that are held.
type budget struct {
	held atomic.Int64
}

// meteredReader reads from a connection and counts what it reads in a budget.
type meteredReader struct {
	net.Conn
	budget *budget
	limit  core.Bytes
	held   int64
	// isFree says that what is read is passed on and no longer held.
	isFree bool
}

// Read reads as long as the budget has room.
func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if r.isFree {
		return n, err
	}
	r.held += int64(n)
	if total := r.budget.held.Add(int64(n)); r.limit > 0 && total > int64(r.limit) {
		return n, errHeld
	}
	return n, err
}

// free gives back what was counted, and counts no more.
func (r *meteredReader) free() {
	r.isFree = true
	r.budget.held.Add(-r.held)
	r.held = 0
}
