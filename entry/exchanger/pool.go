package exchanger

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
)

const (
	// readBuffer holds the header of an answer.
	readBuffer = 4 << 10
	// maxIdleTime is how long an idle connection is kept where the upstream
	// states no limit.
	maxIdleTime = 4 * time.Second
	// idleMargin is how long before the upstream's limit it is given up, since
	// a request that crosses the upstream's close has an unknown outcome.
	idleMargin = 1500 * time.Millisecond
)

// readers are the buffers of connections in use. Idle ones hold none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// connection is an open connection to an upstream.
type connection struct {
	net.Conn
	// reader is nil while the connection is idle, and so is what it reads from.
	reader   *bufio.Reader
	metered  *meteredReader
	dialed   time.Duration
	idle     time.Duration
	expires  time.Time
	isReused bool
	// isReplacement says that the upstream had closed kept connections before
	// this one was opened.
	isReplacement bool
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, idle: maxIdleTime}
}

// acquireReader prepares the connection for an exchange, whose answer counts in a
// budget.
func (c *connection) acquireReader(held *budget, limit core.Bytes) {
	reader, ok := readers.Get().(*bufio.Reader)
	if !ok {
		reader = bufio.NewReaderSize(nil, readBuffer)
	}
	c.metered = &meteredReader{Conn: c.Conn, budget: held, limit: limit}
	reader.Reset(c.metered)
	c.reader = reader
}

// releaseReader ends an exchange and returns the bytes that were left over.
func (c *connection) releaseReader() int {
	left := c.reader.Buffered()
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.metered.free()
	c.reader, c.metered = nil, nil
	return left
}

// setIdleLimit takes the limit that the answer states, and reports whether the
// connection is worth keeping.
func (c *connection) setIdleLimit(response *fasthttp.Response) bool {
	limit, ok := parseKeepAlive(string(response.Header.Peek("Keep-Alive")))
	if ok {
		c.idle = limit - idleMargin
	}
	return c.idle > 0
}

// parseKeepAlive returns the timeout of a Keep-Alive field.
func parseKeepAlive(text string) (time.Duration, bool) {
	for part := range strings.SplitSeq(text, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds) * time.Second, true
	}
	return 0, false
}

// endpoint is an upstream at one address. One that starts anew under its name may
// have another address, and the connections to the old one are not its own.
type endpoint struct {
	name    core.UpstreamName
	address string
}

func endpointOf(upstream core.Upstream) endpoint {
	return endpoint{name: upstream.Name, address: upstream.Address}
}

// pool keeps the connections to each upstream.
type pool struct {
	mu      sync.Mutex
	shelves map[endpoint]*shelf
}

// shelf holds the idle connections to one upstream and counts all open ones.
type shelf struct {
	idle []*connection
	open int
}

// take returns an idle connection that is fit for a request, the one used last
// first, or nil. It reports whether the upstream had closed one of them.
func (p *pool) take(to endpoint, now time.Time) (c *connection, wasClosed bool) {
	for {
		c := p.pop(to)
		if c == nil {
			return nil, wasClosed
		}
		isFresh := now.Before(c.expires)
		if isFresh && caller.CheckOpen(c.Conn, 0) == nil {
			return c, wasClosed
		}
		wasClosed = wasClosed || isFresh
		p.discard(to, c)
	}
}

func (p *pool) pop(to endpoint) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelves[to]
	if s == nil || len(s.idle) == 0 {
		return nil
	}
	last := len(s.idle) - 1
	c := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened, and reports whether
// the limit allows it; 0 means no limit.
func (p *pool) reserve(to endpoint, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shelves == nil {
		p.shelves = map[endpoint]*shelf{}
	}
	s := p.shelves[to]
	if s == nil {
		s = &shelf{}
		p.shelves[to] = s
	}
	if limit > 0 && s.open >= limit {
		return false
	}
	s.open++
	return true
}

// release gives back what reserve counted.
func (p *pool) release(to endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelves[to]
	if s == nil {
		return
	}
	s.open--
	if s.open <= 0 && len(s.idle) == 0 {
		delete(p.shelves, to)
	}
}

func (p *pool) put(to endpoint, c *connection, now time.Time) {
	c.expires = now.Add(c.idle)
	c.isReused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.shelves[to]; s != nil {
		s.idle = append(s.idle, c)
	}
}

// idleCount returns the number of idle connections to an upstream.
func (p *pool) idleCount(to endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelves[to]
	if s == nil {
		return 0
	}
	return len(s.idle)
}

// discard closes a connection that is not in the pool.
func (p *pool) discard(to endpoint, c *connection) {
	_ = c.Close()
	p.release(to)
}

// closeIdle closes the idle connections to one upstream.
func (p *pool) closeIdle(to endpoint) {
	for c := p.pop(to); c != nil; c = p.pop(to) {
		p.discard(to, c)
	}
}

// CloseExpired closes the connections that were idle for too long.
func (e *Exchanger) CloseExpired(now time.Time) {
	for to, c := range e.pool.expired(now) {
		for _, conn := range c {
			e.pool.discard(to, conn)
		}
	}
}

func (p *pool) expired(now time.Time) map[endpoint][]*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	gone := map[endpoint][]*connection{}
	for to, s := range p.shelves {
		n := 0
		for n < len(s.idle) && !now.Before(s.idle[n].expires) {
			n++
		}
		if n == 0 {
			continue
		}
		gone[to] = append(gone[to], s.idle[:n]...)
		s.idle = append([]*connection(nil), s.idle[n:]...)
	}
	return gone
}

// Close closes all idle connections.
func (e *Exchanger) Close() {
	e.pool.mu.Lock()
	all := make([]endpoint, 0, len(e.pool.shelves))
	for to := range e.pool.shelves {
		all = append(all, to)
	}
	e.pool.mu.Unlock()
	for _, to := range all {
		e.pool.closeIdle(to)
	}
}
