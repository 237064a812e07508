// Package messenger carries messages between entry hosts over QUIC.
//
// Records of membership travel as datagrams; calls travel on a stream each.
// The called host says "accepted" as soon as it has read a call and "running"
// at times until its reply, so a connection that something on the way has
// forgotten is noticed within a few round trips. Every connection is dialed
// from its own UDP socket, so the one that replaces it takes another path
// through such state.
//
// Both ends prove themselves with certificates of one authority; a peer
// without one gets nothing.
//
// # Usage
//
//	m := &messenger.Messenger{Self: host, TLS: keys, Handle: handle}
//	err := m.Run(ctx) // listens until ctx ends
//	reply, err := m.Call(to, call, deadline)
//
// Lock order: Messenger.mu is a leaf.
package messenger

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/tracker"
)

// Bounds of connections.
const (
	idleTimeout      = 1200 * time.Millisecond
	keepAlive        = 400 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	// retireTime is how long the calls on a connection that seems silent may
	// still end on it.
	retireTime = 10 * time.Second
	// unusedTimeout is how long a connection is kept without being used.
	unusedTimeout = 30 * time.Second
	// maxStreams is the most calls that one peer may have open.
	maxStreams = 4096
	// runningEvery is the time between two running frames.
	runningEvery = 250 * time.Millisecond
	// silenceLimit is how long a caller waits without any frame.
	silenceLimit = time.Second
	// acceptBase and acceptTrips bound the wait for the accepted frame.
	acceptBase  = 150 * time.Millisecond
	acceptTrips = 4
	// readLimit bounds the reading of a call.
	readLimit = 10 * time.Second
)

// Application error codes of closed connections.
const (
	codeDone   quic.ApplicationErrorCode = 0
	codeSilent quic.ApplicationErrorCode = 1
)

// Messenger carries one host's messages.
type Messenger struct {
	Self core.Host
	// Server and Client are the two sides of mutual TLS.
	Server *tls.Config
	Client *tls.Config
	// Listen opens the socket that peers send to; nil means UDP.
	Listen func(address string) (net.PacketConn, error)
	// Open opens a socket for one outgoing connection; nil means UDP.
	Open func(address string) (net.PacketConn, error)
	// MaxBody bounds the body in a message.
	MaxBody core.Bytes
	// Pace waits until n bytes may be sent to a region; false forbids it.
	Pace func(to core.RegionName, n core.Bytes) bool
	// OnRecords gets the records of a datagram.
	OnRecords func(records []tracker.Record)
	// Handle answers a call. It returns once the outcome is known.
	Handle func(ctx context.Context, call Call) Reply
	// OnFault gets what was wrong with a peer; nil ignores it.
	OnFault func(peer, fault string)
	// OnSilent is told of a connection that is replaced after silence; nil
	// ignores it.
	OnSilent func(to core.Host)
	// OnBytes counts control bytes by direction; nil ignores them.
	OnBytes func(direction string, n int)

	mu    sync.Mutex
	links map[string]*link
	trips map[core.ZoneName]time.Duration
}

// link is an outgoing connection, or the attempt to open one.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
	used  time.Time
	close func()
}

// quicConfig returns the settings of all connections.
func quicConfig() *quic.Config {
	return &quic.Config{
		EnableDatagrams:      true,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// Run listens for peers until ctx ends, then closes all connections.
func (m *Messenger) Run(ctx context.Context) error {
	socket, err := m.listen()
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(m.Server, quicConfig())
	if err != nil {
		_ = socket.Close()
		return err
	}
	var group conc.WaitGroup
	group.Go(func() { m.closeUnused(ctx) })
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			break
		}
		group.Go(func() { m.serve(ctx, conn) })
	}
	m.closeAll()
	_ = listener.Close()
	_ = transport.Close()
	_ = socket.Close()
	group.Wait()
	return nil
}

func (m *Messenger) listen() (net.PacketConn, error) {
	if m.Listen != nil {
		return m.Listen(m.Self.PeerAddress)
	}
	return ListenUDP(m.Self.PeerAddress)
}

// ListenUDP opens a UDP socket on an IP address and port.
func ListenUDP(address string) (net.PacketConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
}

// OpenUDP opens a UDP socket on any port of the address's host.
func OpenUDP(address string) (net.PacketConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(parsed.Addr(), 0)))
}

// serve handles what one peer sends.
func (m *Messenger) serve(ctx context.Context, conn *quic.Conn) {
	var group conc.WaitGroup
	group.Go(func() { m.receiveRecords(ctx, conn) })
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		group.Go(func() { m.answer(ctx, conn, stream) })
	}
	_ = conn.CloseWithError(codeDone, "")
	group.Wait()
}

func (m *Messenger) receiveRecords(ctx context.Context, conn *quic.Conn) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		m.countBytes("received", len(data))
		records, err := DecodeRecords(data)
		if err != nil {
			m.fault(conn.RemoteAddr().String(), err.Error())
			continue
		}
		m.OnRecords(records)
	}
}

func (m *Messenger) countBytes(direction string, n int) {
	if m.OnBytes != nil {
		m.OnBytes(direction, n)
	}
}

func (m *Messenger) fault(peer, fault string) {
	if m.OnFault != nil {
		m.OnFault(peer, fault)
	}
}

// answer reads a call from a stream and writes its reply.
func (m *Messenger) answer(ctx context.Context, conn *quic.Conn, stream *quic.Stream) {
	defer stream.CancelRead(0)
	_ = stream.SetReadDeadline(time.Now().Add(readLimit))
	data, err := readMessage(bufio.NewReader(stream), m.MaxBody+maxOverhead)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	call, err := DecodeCall(data)
	if err != nil {
		m.fault(conn.RemoteAddr().String(), err.Error())
		stream.CancelWrite(0)
		return
	}
	if _, err := stream.Write([]byte{byte(frameAccepted)}); err != nil {
		return
	}
	reply := m.handle(ctx, call, stream)
	pace := func(n core.Bytes) bool { return m.pace(call.From.Zone.Region, n) }
	if _, err := writeMessage(stream, []byte{byte(frameReply)}, reply, limiter.ChunkSize, pace); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
}

// handle answers a call and tells the caller meanwhile that it is running.
func (m *Messenger) handle(ctx context.Context, call Call, stream *quic.Stream) Reply {
	if call.To != 0 && call.To != m.Self.Incarnation {
		return wrongLife(call)
	}
	done := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() { sendRunning(stream, done) })
	reply := m.Handle(ctx, call)
	close(done)
	group.Wait()
	return reply
}

// wrongLife replies to a call for an earlier life of this host. What was handed
// to that life is unknown to this one; what arrives only now was not run.
func wrongLife(call Call) Reply {
	outcome := core.Refuse(core.RefusalStaleHome, "the host has been replaced", 0)
	if call.Kind == CallAsk {
		outcome = core.Unknown(core.RefusalUnknown, "the host that had the request is gone")
	}
	return Reply{State: outcome.State, Refusal: outcome.Refusal}
}

func sendRunning(stream *quic.Stream, done <-chan struct{}) {
	ticker := time.NewTicker(runningEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if _, err := stream.Write([]byte{byte(frameRunning)}); err != nil {
				return
			}
		}
	}
}

func (m *Messenger) pace(to core.RegionName, n core.Bytes) bool {
	if to == m.Self.Zone.Region || m.Pace == nil {
		return true
	}
	return m.Pace(to, n)
}
