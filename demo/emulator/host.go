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

// Process opens the sockets of one emulated process, which can be paused or crashed
// as a whole.
type Process struct {
	emulator *Emulator
	zone     core.Zone
	process  *processState
}

// NewProcess returns a process in the given zone, without open sockets.
func (e *Emulator) NewProcess(zone core.Zone) *Process {
	return &Process{emulator: e, zone: zone, process: &processState{sockets: map[io.Closer]bool{}}}
}

// SetPaused pauses the process, or resumes it: while it is paused, reads and writes on
// all of its sockets block.
func (h *Process) SetPaused(isPaused bool) { h.process.setPaused(isPaused) }

// Crash closes all sockets at once and makes the process open no more.
func (h *Process) Crash() { h.process.crash() }

// ListenPacket opens a UDP socket that accepts packets of peers.
func (h *Process) ListenPacket(address string) (net.PacketConn, error) {
	return h.wrapPacket(messenger.ListenUDP(address))
}

// OpenPacket opens a UDP socket for one outgoing connection to a peer.
func (h *Process) OpenPacket(address string) (net.PacketConn, error) {
	return h.wrapPacket(messenger.OpenUDP(address))
}

func (h *Process) wrapPacket(socket net.PacketConn, err error) (net.PacketConn, error) {
	if err != nil {
		return nil, err
	}
	udp, _ := socket.(*net.UDPConn)
	local, _ := netip.ParseAddrPort(socket.LocalAddr().String())
	p := &packetConn{
		udp: udp, local: local, emulator: h.emulator, process: h.process,
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	if !h.process.register(p) {
		_ = udp.Close()
		return nil, net.ErrClosed
	}
	go p.sendLoop()
	return p, nil
}

// Listen opens a TCP listener for clients.
func (h *Process) Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped := &streamListener{Listener: listener, host: h}
	if !h.process.register(wrapped) {
		_ = listener.Close()
		return nil, net.ErrClosed
	}
	return wrapped, nil
}

// streamListener is a TCP listener that wraps the connections that it accepts.
type streamListener struct {
	net.Listener
	host *Process
}

// Accept waits for a connection.
func (l *streamListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	remote, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	return l.host.wrapStream(conn, l.host.emulator.Zones[remote.Addr()])
}

// Close closes the listener.
func (l *streamListener) Close() error {
	l.host.process.unregister(l)
	return l.Listener.Close()
}

func (h *Process) wrapStream(conn net.Conn, to core.Zone) (net.Conn, error) {
	stream := &streamConn{Conn: conn, emulator: h.emulator, process: h.process, from: h.zone, to: to, startedAt: time.Now()}
	if !h.process.register(stream) {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return stream, nil
}

// DialStream opens a TCP connection. The connection goes silent when the
// emulator silences connections, and while its zones are partitioned.
func (h *Process) DialStream(network, address string, timeout time.Duration) (net.Conn, error) {
	return h.dial(&net.Dialer{Timeout: timeout}, network, address)
}

// dial opens a TCP connection. To a partitioned zone it fails after the timeout.
func (h *Process) dial(dialer *net.Dialer, network, address string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !h.process.awaitRunning() {
		return nil, net.ErrClosed
	}
	to := h.emulator.Zones[remote.Addr()]
	if h.emulator.IsPartitioned(h.zone.Name, to.Name) {
		time.Sleep(dialer.Timeout)
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := dialer.Dial(network, address)
	if err != nil {
		return nil, err
	}
	return h.wrapStream(conn, to)
}

// DialFrom is DialStream over TCP from a given local IP address.
func (h *Process) DialFrom(local netip.Addr, address string, timeout time.Duration) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return h.dial(dialer, "tcp", address)
}

// DelayedDialer returns a dial function for connections that delay every write by
// the round-trip time between the zones. This is right for connections on which
// each request is one write and waits for its response.
func (h *Process) DelayedDialer(timeout time.Duration) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := h.DialStream("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		if stream, ok := conn.(*streamConn); ok {
			stream.delay = 2 * h.emulator.OneWayDelay(stream.from, stream.to)
		}
		return conn, nil
	}
}

// processState is the state of an emulated process: its open sockets, and whether it is
// paused or crashed.
type processState struct {
	mu      sync.Mutex
	sockets map[io.Closer]bool
	// resumed is closed when the process resumes; nil while it is not paused.
	resumed chan struct{}
	crashed bool
}

// register adds an open socket. It returns false once the process has crashed.
func (p *processState) register(c io.Closer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed {
		return false
	}
	p.sockets[c] = true
	return true
}

// unregister removes a closed socket.
func (p *processState) unregister(c io.Closer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sockets, c)
}

// setPaused pauses or resumes the process.
func (p *processState) setPaused(isPaused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case isPaused && p.resumed == nil:
		p.resumed = make(chan struct{})
	case !isPaused && p.resumed != nil:
		close(p.resumed)
		p.resumed = nil
	default:
	}
}

// crash closes all sockets and releases the calls that a pause has blocked.
func (p *processState) crash() {
	p.mu.Lock()
	p.crashed = true
	sockets := make([]io.Closer, 0, len(p.sockets))
	for c := range p.sockets {
		sockets = append(sockets, c)
	}
	p.mu.Unlock()
	for _, c := range sockets {
		_ = c.Close()
	}
	p.setPaused(false)
}

// awaitRunning blocks while the process is paused and returns false once it has
// crashed.
func (p *processState) awaitRunning() bool {
	for {
		p.mu.Lock()
		resumed, crashed := p.resumed, p.crashed
		p.mu.Unlock()
		if crashed {
			return false
		}
		if resumed == nil {
			return true
		}
		<-resumed
	}
}
