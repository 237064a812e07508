package emulator

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// silenceCheck is the time between two looks at whether a flow is silent.
const silenceCheck = 20 * time.Millisecond

// streamConn is a TCP connection that may go silent.
type streamConn struct {
	net.Conn
	emulator *Emulator
	gate     *gate
	from, to core.Zone
	begun    time.Time
	delay    time.Duration

	mu       sync.Mutex
	deadline time.Time
}

func (c *streamConn) isSilent() bool {
	return c.begun.Before(c.emulator.Epoch()) || c.emulator.IsCut(c.from.Name, c.to.Name)
}

// SetReadDeadline remembers the deadline for reads that find silence.
func (c *streamConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline remembers the deadline for reads that find silence.
func (c *streamConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// Read reads, or waits for the deadline once the connection is silent.
func (c *streamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.gate.pass() {
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
		time.Sleep(silenceCheck)
	}
	return n, err
}

// Close closes the connection.
func (c *streamConn) Close() error {
	c.gate.remove(c)
	return c.Conn.Close()
}

// Write writes, or loses what is written once the connection is silent.
func (c *streamConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	if !c.gate.pass() {
		return 0, net.ErrClosed
	}
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
