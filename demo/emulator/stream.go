package emulator

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// silencePollInterval is how often a read on a silent connection checks whether
// the silence or its deadline has ended.
const silencePollInterval = 20 * time.Millisecond

// streamConn is a TCP connection that can go silent: it stays open, but its reads
// return nothing and its writes are dropped.
type streamConn struct {
	net.Conn
	emulator  *Emulator
	process   *processState
	from, to  core.Zone
	startedAt time.Time
	// delay is the added time of every write.
	delay time.Duration

	mu sync.Mutex
	// deadline is the read deadline.
	deadline time.Time
}

func (c *streamConn) isSilent() bool {
	return c.startedAt.Before(c.emulator.SilencedAt()) || c.emulator.IsPartitioned(c.from.Name, c.to.Name)
}

// SetReadDeadline sets the deadline of reads, also while the connection is silent.
func (c *streamConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines, that of reads also while the connection is
// silent.
func (c *streamConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// Read reads from the connection. While it is silent, Read blocks until the
// deadline, and without one until an error of the connection or the end of the
// silence.
func (c *streamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.process.awaitRunning() {
		return 0, net.ErrClosed
	}
	for c.isSilent() {
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		if !deadline.IsZero() && time.Now().After(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if deadline.IsZero() && err != nil {
			return 0, err
		}
		time.Sleep(silencePollInterval)
	}
	return n, err
}

// Close closes the connection.
func (c *streamConn) Close() error {
	c.process.unregister(c)
	return c.Conn.Close()
}

// Write writes to the connection. While it is silent, Write drops the data and
// returns success.
func (c *streamConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	if !c.process.awaitRunning() {
		return 0, net.ErrClosed
	}
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
