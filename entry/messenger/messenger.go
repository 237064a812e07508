// Package messenger exchanges messages between entry hosts over QUIC.
//
// Membership records are sent as datagrams. Each call uses its own stream. The called
// host sends an "accepted" frame as soon as it has read the call, then "running"
// frames at regular intervals until it sends the reply. The caller therefore detects
// within a few round trips that a device on the path has dropped the state of a
// connection. Every connection is dialed from its own UDP socket, so its replacement
// has another source port and does not depend on that state.
//
// Hosts authenticate each other with certificates of one authority. A peer without
// such a certificate cannot connect.
//
// # Usage
//
//	server, client, err := messenger.TLSConfigs(certificate, key, authority) // PEM texts
//	m := &messenger.Messenger{Self: host, ServerTLS: server, ClientTLS: client, Handle: handle}
//	go m.Run(ctx) // listens until ctx ends
//	reply, err := m.Call(to, call, deadline)
//
// OnRecords and MaxBody must also be set to receive records and bodies.
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
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/tracker"
)

// Timeouts, intervals and limits of connections and calls.
const (
	idleTimeout      = 1200 * time.Millisecond
	keepAlivePeriod  = 400 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	// retireDelay is how long the calls on an unresponsive connection may still finish
	// before it is closed.
	retireDelay = 10 * time.Second
	// unusedTimeout is how long an unused connection stays open.
	unusedTimeout = 30 * time.Second
	// maxStreams is the maximum number of concurrent calls on one connection.
	maxStreams = 4096
	// runningInterval is the time between two running frames.
	runningInterval = 250 * time.Millisecond
	// frameTimeout is the longest wait for the next frame after the accepted frame.
	frameTimeout = time.Second
	// acceptTimeoutBase plus acceptRoundTrips round trips is the longest wait for the
	// accepted frame.
	acceptTimeoutBase = 150 * time.Millisecond
	acceptRoundTrips  = 4
	// readTimeout is the timeout for reading a call.
	readTimeout = 10 * time.Second
	// closeDelay is how long connections stay open after the end of Run's context, since
	// QUIC does not report when a reply that was sent has been delivered.
	closeDelay = 200 * time.Millisecond
)

// Application error codes of closed connections.
const (
	codeClosed       quic.ApplicationErrorCode = 0
	codeUnresponsive quic.ApplicationErrorCode = 1
	// codeStopped is sent by a host that ends. The reason is a stream id: calls on that stream and
	// on later ones were not handled.
	codeStopped quic.ApplicationErrorCode = 2
)

// Messenger exchanges messages between this host and others.
type Messenger struct {
	Self core.Host
	// ServerTLS is the mutual TLS configuration for incoming connections.
	ServerTLS *tls.Config
	// ClientTLS is the mutual TLS configuration for outgoing connections.
	ClientTLS *tls.Config
	// ListenSocket opens the socket for incoming connections; nil means UDP.
	ListenSocket func(address string) (net.PacketConn, error)
	// OpenSocket opens the socket of one outgoing connection; nil means UDP.
	OpenSocket func(address string) (net.PacketConn, error)
	// MaxBody is the largest body in a message, in bytes.
	MaxBody core.Bytes
	// ReserveBandwidth waits until n bytes may be sent to another region. It returns false if this
	// host must not send there. Nil means no limit.
	ReserveBandwidth func(to core.RegionName, n core.Bytes) bool
	// OnRecords receives the records of a datagram.
	OnRecords func(records []tracker.Record)
	// Handle processes a call. It returns when the outcome is known, or soon after the end of
	// ctx for a query.
	Handle func(ctx context.Context, call Call) Reply
	// OnError receives the address of a peer and the error in its messages or in
	// messages to it; nil ignores errors.
	OnError func(peer, fault string)
	// OnUnresponsive is called when a connection to a host is replaced because the host did
	// not respond in time; nil ignores it.
	OnUnresponsive func(to core.Host)
	// OnBytes is called with the size of each sent or received datagram; nil ignores
	// it.
	OnBytes func(direction string, n int)

	mu          sync.Mutex
	connections map[string]*connection
	roundTrips  map[core.ZoneName]time.Duration
	inFlight    atomic.Int64
}

// connection is an outgoing connection that is open or being opened. The other fields
// except lastUse and endDial are set before ready is closed.
type connection struct {
	ready chan struct{}
	// endDial ends the dial, if it has not ended.
	endDial context.CancelFunc
	conn    *quic.Conn
	err     error
	lastUse time.Time
	close   func()
}

// quicConfig returns the QUIC settings of all connections.
func quicConfig() *quic.Config {
	return &quic.Config{
		EnableDatagrams:      true,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// InFlight returns the number of calls of other hosts whose replies have not been sent.
func (m *Messenger) InFlight() int64 {
	return m.inFlight.Load()
}

// Run accepts connections of other hosts until ctx ends, then closes all connections. Calls
// that arrive in between are refused, except queries.
func (m *Messenger) Run(ctx context.Context) error {
	socket, err := m.listen()
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(m.ServerTLS, quicConfig())
	if err != nil {
		_ = socket.Close()
		return err
	}
	open, closeNow := context.WithCancel(context.WithoutCancel(ctx))
	defer closeNow()
	context.AfterFunc(ctx, func() { time.AfterFunc(closeDelay, closeNow) })
	var group conc.WaitGroup
	group.Go(func() { m.closeUnused(ctx) })
	for {
		conn, err := listener.Accept(open)
		if err != nil {
			break
		}
		group.Go(func() { m.serveConnection(ctx, open, conn) })
	}
	m.closeAll()
	_ = listener.Close()
	// Each connection tells its peer why it is closed, before its socket is closed.
	group.Wait()
	_ = transport.Close()
	_ = socket.Close()
	return nil
}

func (m *Messenger) listen() (net.PacketConn, error) {
	if m.ListenSocket != nil {
		return m.ListenSocket(m.Self.PeerAddress)
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

// OpenUDP opens a UDP socket on the IP address of the given address and any free port.
func OpenUDP(address string) (net.PacketConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(parsed.Addr(), 0)))
}

// serveConnection receives the records and calls of one peer until open ends. After the end
// of ctx it answers only queries.
func (m *Messenger) serveConnection(ctx, open context.Context, conn *quic.Conn) {
	var group conc.WaitGroup
	group.Go(func() { m.receiveRecords(ctx, conn) })
	var handled handledStreams
	for {
		stream, err := conn.AcceptStream(open)
		if err != nil {
			break
		}
		group.Go(func() { m.serveCall(ctx, conn, stream, &handled) })
	}
	_ = conn.CloseWithError(codeStopped, handled.reason())
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
			m.reportError(conn.RemoteAddr().String(), err.Error())
			continue
		}
		m.OnRecords(records)
	}
}

func (m *Messenger) countBytes(direction string, count int) {
	if m.OnBytes != nil {
		m.OnBytes(direction, count)
	}
}

func (m *Messenger) reportError(peer, message string) {
	if m.OnError != nil {
		m.OnError(peer, message)
	}
}

// serveCall reads a call from a stream and writes its reply.
func (m *Messenger) serveCall(ctx context.Context, conn *quic.Conn, stream *quic.Stream, handled *handledStreams) {
	defer stream.CancelRead(0)
	_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
	data, err := readMessage(bufio.NewReader(stream), m.MaxBody+maxMessageOverhead)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	call, err := DecodeCall(data)
	if err != nil {
		m.reportError(conn.RemoteAddr().String(), err.Error())
		stream.CancelWrite(0)
		return
	}
	if ctx.Err() == nil {
		handled.add(stream.StreamID())
	}
	m.inFlight.Add(1)
	defer m.inFlight.Add(-1)
	if _, err := stream.Write([]byte{byte(frameAccepted)}); err != nil {
		return
	}
	reply := m.handleCall(ctx, call, stream)
	reserve := func(n core.Bytes) bool { return m.reserveBandwidth(call.From.Zone.Region, n) }
	if _, err := writeMessage(stream, []byte{byte(frameReply)}, reply, limiter.ChunkSize, reserve); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
}

// handleCall processes a call. It sends running frames until the reply is known.
func (m *Messenger) handleCall(ctx context.Context, call Call, stream *quic.Stream) Reply {
	if m.isStale(ctx, call) {
		return staleIncarnationReply(call)
	}
	done := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() { sendRunning(stream, done) })
	reply := m.Handle(ctx, call)
	close(done)
	group.Wait()
	return reply
}

// isStale reports whether a call is for another incarnation of this host, or for one that ends
// now. An ending incarnation still answers queries, since only it knows their outcomes.
func (m *Messenger) isStale(ctx context.Context, call Call) bool {
	if call.ToIncarnation != 0 && call.ToIncarnation != m.Self.Incarnation {
		return true
	}
	return ctx.Err() != nil && call.Kind != CallQueryAttempt
}

// staleIncarnationReply returns the reply to a call for an incarnation of this host that
// has ended, or ends now. A request that arrives now was not run. The outcome of an attempt that was
// forwarded to the earlier incarnation is unknown.
func staleIncarnationReply(call Call) Reply {
	outcome := core.RefusedOutcome(core.RefusalStaleHome, "the host has been replaced", 0)
	if call.Kind == CallQueryAttempt {
		outcome = core.UnknownOutcome(core.RefusalOutcomeUnknown, "the host that had the request is gone")
	}
	return Reply{RunState: outcome.State, Refusal: outcome.Refusal}
}

func sendRunning(stream *quic.Stream, done <-chan struct{}) {
	ticker := time.NewTicker(runningInterval)
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

func (m *Messenger) reserveBandwidth(to core.RegionName, n core.Bytes) bool {
	if to == m.Self.Zone.Region || m.ReserveBandwidth == nil {
		return true
	}
	return m.ReserveBandwidth(to, n)
}
