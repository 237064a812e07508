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
	"github.com/endiverun/endiverun/entry/budgeter"
	"github.com/endiverun/endiverun/entry/caller"
)

const (
	// readBufferSize is the read buffer of a connection in bytes. The response
	// head must fit in it.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how long before the upstream's idle timeout a connection
	// is closed. A request sent while the upstream closes the connection would have
	// an unknown outcome.
	idleTimeoutMargin = 1500 * time.Millisecond
)

// readerPool holds the read buffers. Only connections in use have one.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// connection is an open connection to an upstream.
type connection struct {
	net.Conn
	// reader and metered, which it reads from, are nil while the connection is idle.
	reader  *bufio.Reader
	metered *meteredReader
	// dialTime is how long opening the connection took.
	dialTime    time.Duration
	idleTimeout time.Duration
	// expires is when the connection has been idle for too long.
	expires time.Time
	// isReused says that the connection has been in the pool.
	isReused bool
	// isReplacement says that the connection was opened after idle ones were found
	// closed by the upstream.
	isReplacement bool
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, idleTimeout: defaultIdleTimeout}
}

// acquireReader prepares the connection for an exchange. The bytes that are read
// count in the budget.
func (c *connection) acquireReader(budget *budgeter.Budget, limit core.Bytes) {
	reader, ok := readerPool.Get().(*bufio.Reader)
	if !ok {
		reader = bufio.NewReaderSize(nil, readBufferSize)
	}
	c.metered = &meteredReader{Conn: c.Conn, claim: budget.NewClaim(), limit: limit}
	reader.Reset(c.metered)
	c.reader = reader
}

// releaseReader ends an exchange and returns the number of bytes that were
// received but not read.
func (c *connection) releaseReader() int {
	unread := c.reader.Buffered()
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.metered.release()
	c.reader, c.metered = nil, nil
	return unread
}

// updateIdleTimeout takes the idle timeout from the response's Keep-Alive field,
// if there is one. It reports whether the connection is worth keeping.
func (c *connection) updateIdleTimeout(response *fasthttp.Response) bool {
	timeout, ok := parseKeepAlive(string(response.Header.Peek("Keep-Alive")))
	if ok {
		c.idleTimeout = timeout - idleTimeoutMargin
	}
	return c.idleTimeout > 0
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive field.
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

// endpoint is an upstream at one address. An upstream that restarts may get another
// address under the same name; connections to the old address must not carry its
// requests.
type endpoint struct {
	name    core.UpstreamName
	address string
}

func endpointOf(upstream core.Upstream) endpoint {
	return endpoint{name: upstream.Name, address: upstream.Address}
}

// pool is the connection pool of all upstreams.
type pool struct {
	mu        sync.Mutex
	endpoints map[endpoint]*endpointPool
}

// endpointPool holds the idle connections to one endpoint.
type endpointPool struct {
	upstream core.Upstream
	// idle is ordered by the time at which the connections became idle.
	idle []*connection
	// open counts all open connections, idle or in use.
	open int
}

// take removes and returns the most recently used idle connection that can carry
// a request, or nil. It also reports whether the upstream had closed an idle
// connection before its timeout.
func (p *pool) take(target endpoint, now time.Time) (c *connection, wasClosed bool) {
	for {
		c := p.pop(target)
		if c == nil {
			return nil, wasClosed
		}
		isFresh := now.Before(c.expires)
		if isFresh && caller.CheckIdleConn(c.Conn, 0) == nil {
			return c, wasClosed
		}
		wasClosed = wasClosed || isFresh
		p.discard(target, c)
	}
}

func (p *pool) pop(target endpoint) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.endpoints[target]
	if connections == nil || len(connections.idle) == 0 {
		return nil
	}
	last := len(connections.idle) - 1
	c := connections.idle[last]
	connections.idle[last] = nil
	connections.idle = connections.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened. It returns false if
// that would exceed the limit.
func (p *pool) reserve(upstream core.Upstream, limit int) bool {
	if limit <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = map[endpoint]*endpointPool{}
	}
	target := endpointOf(upstream)
	connections := p.endpoints[target]
	if connections == nil {
		connections = &endpointPool{upstream: upstream}
		p.endpoints[target] = connections
	}
	if connections.open >= limit {
		return false
	}
	connections.open++
	return true
}

// release undoes one reserve: the connection was closed or never opened.
func (p *pool) release(target endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.endpoints[target]
	if connections == nil {
		return
	}
	connections.open--
	if connections.open <= 0 && len(connections.idle) == 0 {
		delete(p.endpoints, target)
	}
}

// put adds an idle connection to the pool.
func (p *pool) put(target endpoint, c *connection, now time.Time) {
	c.expires = now.Add(c.idleTimeout)
	c.isReused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if connections := p.endpoints[target]; connections != nil {
		connections.idle = append(connections.idle, c)
	}
}

// idleCount returns the number of idle connections to an endpoint.
func (p *pool) idleCount(target endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.endpoints[target]
	if connections == nil {
		return 0
	}
	return len(connections.idle)
}

// discard closes a connection that is not idle in the pool.
func (p *pool) discard(target endpoint, c *connection) {
	_ = c.Close()
	p.release(target)
}

// closeIdle closes the idle connections to one endpoint.
func (p *pool) closeIdle(target endpoint) {
	for c := p.pop(target); c != nil; c = p.pop(target) {
		p.discard(target, c)
	}
}

// CloseExpiredConnections closes the connections that have been idle for too long, and idle
// ones beyond MaxConnections.
func (e *Exchanger) CloseExpiredConnections(now time.Time) {
	for target, connections := range e.pool.removeExpired(e.maxConnections, now) {
		for _, conn := range connections {
			e.pool.discard(target, conn)
		}
	}
}

// removeExpired removes the expired idle connections, and the oldest ones beyond the limit
// of each upstream, and returns them. They are still open and counted.
func (p *pool) removeExpired(limitOf func(core.Upstream) int, now time.Time) map[endpoint][]*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed := map[endpoint][]*connection{}
	for target, connections := range p.endpoints {
		n := 0
		for n < len(connections.idle) && !now.Before(connections.idle[n].expires) {
			n++
		}
		if surplus := connections.open - limitOf(connections.upstream); surplus > n {
			n = min(surplus, len(connections.idle))
		}
		if n == 0 {
			continue
		}
		removed[target] = append(removed[target], connections.idle[:n]...)
		connections.idle = append([]*connection(nil), connections.idle[n:]...)
	}
	return removed
}

// Close closes all idle connections.
func (e *Exchanger) Close() {
	e.pool.mu.Lock()
	targets := make([]endpoint, 0, len(e.pool.endpoints))
	for target := range e.pool.endpoints {
		targets = append(targets, target)
	}
	e.pool.mu.Unlock()
	for _, target := range targets {
		e.pool.closeIdle(target)
	}
}
