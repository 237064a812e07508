package emulator

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/messenger"
)

// Host opens the sockets of one process, which can be frozen or crashed as a
// whole.
type Host struct {
	emulator *Emulator
	zone     core.Zone
	gate     *gate
}

// Host returns the sockets of a process in a place.
func (e *Emulator) Host(zone core.Zone) *Host {
	return &Host{emulator: e, zone: zone, gate: &gate{open: map[io.Closer]bool{}}}
}

// Freeze stops everything that goes in and out, or lets it go on.
func (h *Host) Freeze(isFrozen bool) { h.gate.freeze(isFrozen) }

// Crash closes all sockets at once and lets no more be opened.
func (h *Host) Crash() { h.gate.crash() }

// ListenPacket opens a UDP socket for peers.
func (h *Host) ListenPacket(address string) (net.PacketConn, error) {
	return h.wrapPacket(messenger.ListenUDP(address))
}

// OpenPacket opens a UDP socket for one outgoing connection.
func (h *Host) OpenPacket(address string) (net.PacketConn, error) {
	return h.wrapPacket(messenger.OpenUDP(address))
}

func (h *Host) wrapPacket(socket net.PacketConn, err error) (net.PacketConn, error) {
	if err != nil {
		return nil, err
	}
	udp, _ := socket.(*net.UDPConn)
	local, _ := netip.ParseAddrPort(socket.LocalAddr().String())
	p := &packetConn{
		udp: udp, local: local, emulator: h.emulator, gate: h.gate,
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	if !h.gate.add(p) {
		_ = udp.Close()
		return nil, net.ErrClosed
	}
	go p.deliver()
	return p, nil
}

// Listen opens a TCP socket for clients.
func (h *Host) Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped := &streamListener{Listener: listener, host: h}
	if !h.gate.add(wrapped) {
		_ = listener.Close()
		return nil, net.ErrClosed
	}
	return wrapped, nil
}

// streamListener wraps the connections that it accepts.
type streamListener struct {
	net.Listener
	host *Host
}

// Accept waits for a connection.
func (l *streamListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	remote, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	return l.host.wrapStream(conn, l.host.emulator.Places[remote.Addr()])
}

// Close closes the socket.
func (l *streamListener) Close() error {
	l.host.gate.remove(l)
	return l.Listener.Close()
}

func (h *Host) wrapStream(conn net.Conn, to core.Zone) (net.Conn, error) {
	stream := &streamConn{Conn: conn, emulator: h.emulator, gate: h.gate, from: h.zone, to: to, begun: time.Now()}
	if !h.gate.add(stream) {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return stream, nil
}

// DialStream opens a TCP connection. It goes silent when Silence is called or
// its ends are cut off from each other.
func (h *Host) DialStream(network, address string, timeout time.Duration) (net.Conn, error) {
	return h.dial(&net.Dialer{Timeout: timeout}, network, address)
}

func (h *Host) dial(dialer *net.Dialer, network, address string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !h.gate.pass() {
		return nil, net.ErrClosed
	}
	to := h.emulator.Places[remote.Addr()]
	if h.emulator.IsCut(h.zone.Name, to.Name) {
		time.Sleep(dialer.Timeout)
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := dialer.Dial(network, address)
	if err != nil {
		return nil, err
	}
	return h.wrapStream(conn, to)
}

// DialFrom is DialStream from a given local address.
func (h *Host) DialFrom(local netip.Addr, address string, timeout time.Duration) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return h.dial(dialer, "tcp", address)
}

// DialDelayed returns a dialer that adds the round trip between the places to
// every write, which suits calls of one request and one answer.
func (h *Host) DialDelayed(timeout time.Duration) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := h.DialStream("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		if stream, ok := conn.(*streamConn); ok {
			stream.delay = 2 * h.emulator.Delay(stream.from, stream.to)
		}
		return conn, nil
	}
}

// gate holds the sockets of one process.
type gate struct {
	mu     sync.Mutex
	open   map[io.Closer]bool
	frozen chan struct{}
	dead   bool
}

// add keeps a socket; it reports false once the process has crashed.
func (g *gate) add(c io.Closer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return false
	}
	g.open[c] = true
	return true
}

func (g *gate) remove(c io.Closer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

func (g *gate) freeze(isFrozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case isFrozen && g.frozen == nil:
		g.frozen = make(chan struct{})
	case !isFrozen && g.frozen != nil:
		close(g.frozen)
		g.frozen = nil
	default:
	}
}

func (g *gate) crash() {
	g.mu.Lock()
	g.dead = true
	open := make([]io.Closer, 0, len(g.open))
	for c := range g.open {
		open = append(open, c)
	}
	g.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	g.freeze(false)
}

// pass waits while the process is frozen and reports whether it still runs.
func (g *gate) pass() bool {
	for {
		g.mu.Lock()
		frozen, dead := g.frozen, g.dead
		g.mu.Unlock()
		if dead {
			return false
		}
		if frozen == nil {
			return true
		}
		<-frozen
	}
}
