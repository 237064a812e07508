package caller

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// DialFunc opens a TCP connection within the timeout.
type DialFunc func(network, address string, timeout time.Duration) (net.Conn, error)

// Limits of connections.
const (
	connectTimeout = 500 * time.Millisecond
	// maxIdlePerUpstream is the most idle connections kept to one upstream. It is
	// less than the 400 connections that an upstream can hold.
	maxIdlePerUpstream = 32
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// probeAfter is how long a connection must have been idle to be probed before
	// it carries a request that must run at most once.
	probeAfter = 20 * time.Millisecond
	// probeTimeout is the timeout of a probe.
	probeTimeout = 100 * time.Millisecond
)

// errUnexpectedData reports that bytes arrived on an idle connection.
var errUnexpectedData = errors.New("unexpected data on an idle connection")

// CheckIdleConn returns an error if the peer closed the idle connection or sent bytes
// that no request asked for, such as a late response. Buffered is how many bytes
// the caller has already received and not used.
func CheckIdleConn(conn net.Conn, buffered int) error {
	if buffered > 0 {
		return errUnexpectedData
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	// An expired deadline of the last exchange would make the check fail.
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var state error
	err = access.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, e := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = errUnexpectedData
		case errors.Is(e, syscall.EAGAIN):
		case e != nil:
			state = e
		default:
			state = io.EOF
		}
		return true
	})
	return errors.Join(err, state)
}

// connection is an open connection with its buffers.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// progressTimeout is the timeout of each read and write; 0 or less means none.
	progressTimeout time.Duration
	// deadline is the end of the current exchange.
	deadline time.Time
	lastUsed time.Time
	isReused bool
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(c)
	return c
}

// setLimits sets the timeout of each read and write, and the deadline, of the next
// exchange.
func (c *connection) setLimits(progressTimeout time.Duration, deadline time.Time) {
	c.progressTimeout, c.deadline = progressTimeout, deadline
}

// nextDeadline returns the deadline of a read or write that starts now.
func (c *connection) nextDeadline() time.Time {
	next := time.Now().Add(c.progressTimeout)
	if c.progressTimeout <= 0 || next.After(c.deadline) {
		return c.deadline
	}
	return next
}

// Read reads within the limits of the exchange.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes within the limits of the exchange.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// checkOpen returns an error if the idle connection cannot carry a request.
func (c *connection) checkOpen() error {
	return CheckIdleConn(c.Conn, c.reader.Buffered())
}

// probe sends a health request and accepts any response. It detects a connection on
// which the upstream stopped responding without closing it.
func (c *connection) probe(host string, now time.Time) error {
	c.setLimits(probeTimeout, now.Add(probeTimeout))
	return fetchReport(c, host, nil)
}

// connectionPool holds the idle connections by upstream address.
type connectionPool struct {
	mu   sync.Mutex
	idle map[string][]*connection
}

// take returns an idle connection that can carry the attempt, or a new one.
func (p *connectionPool) take(dial DialFunc, attempt Attempt, now time.Time) (*connection, error) {
	address := attempt.Upstream.Address
	for {
		c := p.pop(address, now)
		if c == nil {
			break
		}
		err := c.checkOpen()
		if err == nil && attempt.AtMostOnce && now.Sub(c.lastUsed) > probeAfter {
			err = c.probe(address, now)
		}
		if err == nil {
			return c, nil
		}
		_ = c.Close()
	}
	timeout := min(connectTimeout, time.Until(attempt.Request.Deadline))
	conn, err := dial("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return newConnection(conn), nil
}

// pop closes the connections to an address that were idle for too long. It removes
// and returns the most recently used of the others, or nil.
func (p *connectionPool) pop(address string, now time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[address]
	for len(connections) > 0 && now.Sub(connections[0].lastUsed) > idleTimeout {
		_ = connections[0].Close()
		connections = connections[1:]
	}
	if len(connections) == 0 {
		delete(p.idle, address)
		return nil
	}
	last := connections[len(connections)-1]
	p.idle[address] = connections[:len(connections)-1]
	return last
}

// put adds an idle connection to the pool, or closes it if the pool is full for its
// address.
func (p *connectionPool) put(address string, c *connection, now time.Time) {
	c.lastUsed = now
	c.isReused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*connection{}
	}
	if len(p.idle[address]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// closeAddress closes the idle connections to an address. After one connection failed,
// the others have probably failed too.
func (p *connectionPool) closeAddress(address string) {
	p.mu.Lock()
	connections := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range connections {
		_ = c.Close()
	}
}

// closeAll closes all idle connections.
func (p *connectionPool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, connections := range idle {
		for _, c := range connections {
			_ = c.Close()
		}
	}
}
