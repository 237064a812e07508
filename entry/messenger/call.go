package messenger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/tracker"
)

// Round trips assumed before the first measurement.
const (
	defaultZoneRoundTrip   = time.Millisecond
	defaultRegionRoundTrip = 5 * time.Millisecond
	defaultRemoteRoundTrip = 100 * time.Millisecond
)

// roundTripSmoothing is the weight of a new measurement in the moving average of the
// round trip.
const roundTripSmoothing = 0.2

// CallError is the error of a failed call.
type CallError struct {
	// MayHaveArrived says that the other host may have handled the call.
	MayHaveArrived bool
	Err            error
}

// Error returns the text of the cause.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Call sends a call and waits for its reply until the deadline. The error is of type
// *CallError.
func (m *Messenger) Call(to core.Host, call Call, deadline time.Time) (Reply, error) {
	call.From = m.Self
	call.RemainingTime = time.Until(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := m.connect(ctx, to)
	if err != nil {
		return Reply{}, &CallError{Err: err}
	}
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		m.closeConnection(to.PeerAddress, c, codeUnresponsive)
		return Reply{}, &CallError{Err: err}
	}
	defer stream.CancelRead(0)
	_ = stream.SetWriteDeadline(deadline)
	reserve := func(n core.Bytes) bool { return m.reserveBandwidth(to.Zone.Region, n) }
	if sent, err := writeMessage(stream, nil, call, limiter.ChunkSize, reserve); err != nil {
		stream.CancelWrite(0)
		return Reply{}, &CallError{MayHaveArrived: sent && !isUnhandled(err, stream.StreamID()), Err: err}
	}
	_ = stream.Close()
	reply, err := m.awaitReply(to, c, stream, deadline)
	if err != nil {
		return Reply{}, &CallError{MayHaveArrived: !isUnhandled(err, stream.StreamID()), Err: err}
	}
	return reply, nil
}

// awaitReply reads frames until the reply. If no frame arrives in time, the connection
// is replaced.
func (m *Messenger) awaitReply(to core.Host, c *connection, stream *quic.Stream, deadline time.Time) (Reply, error) {
	reader := bufio.NewReader(stream)
	start := time.Now()
	timeout := m.acceptTimeout(to)
	for {
		_ = stream.SetReadDeadline(earlier(time.Now().Add(timeout), deadline))
		kind, err := reader.ReadByte()
		if err != nil {
			if isTimeout(err) && time.Now().Before(deadline) {
				m.reportUnresponsive(to)
				m.retireConnection(to.PeerAddress, c)
			}
			return Reply{}, err
		}
		switch frameKind(kind) {
		case frameAccepted:
			m.recordRoundTrip(to.Zone.Name, time.Since(start))
			timeout = frameTimeout
		case frameRunning:
		case frameReply:
			_ = stream.SetReadDeadline(deadline)
			return m.readReply(reader)
		default:
			return Reply{}, core.ErrPeer.New("unknown frame kind %d", kind)
		}
	}
}

func (m *Messenger) readReply(reader *bufio.Reader) (Reply, error) {
	data, err := readMessage(reader, m.MaxBody+maxMessageOverhead)
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	if err := decodeMode.Unmarshal(data, &reply); err != nil {
		return Reply{}, core.ErrPeer.Wrap(err, "reply")
	}
	isAnswered := reply.RunState == core.Answered && reply.Response != nil
	isRefused := reply.RunState != core.Answered && reply.Refusal != nil
	hasTickets := len(reply.Tickets) > 0 || reply.Snapshot != nil
	if !isAnswered && !isRefused && !hasTickets && reply.RunState != core.NotRun {
		return Reply{}, core.ErrPeer.New("reply has no response, refusal or tickets")
	}
	return reply, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordRoundTrip updates the average round trip to an availability zone.
func (m *Messenger) recordRoundTrip(zone core.ZoneName, roundTrip time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.roundTrips == nil {
		m.roundTrips = map[core.ZoneName]time.Duration{}
	}
	average, ok := m.roundTrips[zone]
	if !ok {
		m.roundTrips[zone] = roundTrip
		return
	}
	m.roundTrips[zone] = average + time.Duration(roundTripSmoothing*float64(roundTrip-average))
}

// RoundTrip returns the average round trip of calls to the host's availability zone, or
// a default before the first call.
func (m *Messenger) RoundTrip(to core.Host) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if roundTrip, ok := m.roundTrips[to.Zone.Name]; ok {
		return roundTrip
	}
	switch {
	case to.Zone.Name == m.Self.Zone.Name:
		return defaultZoneRoundTrip
	case to.Zone.Region == m.Self.Zone.Region:
		return defaultRegionRoundTrip
	default:
		return defaultRemoteRoundTrip
	}
}

// Send sends records to a peer address without blocking. The records are dropped if the
// connection is not open yet.
func (m *Messenger) Send(address string, records []tracker.Record) {
	c := m.getConnection(address)
	select {
	case <-c.ready:
	default:
		return
	}
	if c.err != nil {
		return
	}
	datagrams, err := EncodeRecords(records)
	if err != nil {
		m.reportError(address, err.Error())
		return
	}
	for _, datagram := range datagrams {
		if err := c.conn.SendDatagram(datagram); err != nil {
			m.closeConnection(address, c, codeUnresponsive)
			return
		}
		m.countBytes("sent", len(datagram))
	}
}

// acceptTimeout returns how long to wait for a connection to a host or for the accepted
// frame of a call.
func (m *Messenger) acceptTimeout(to core.Host) time.Duration {
	return acceptTimeoutBase + acceptRoundTrips*m.RoundTrip(to)
}

// connect returns an open connection to a host.
func (m *Messenger) connect(ctx context.Context, to core.Host) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, m.acceptTimeout(to))
	defer cancel()
	c := m.getConnection(to.PeerAddress)
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// getConnection returns the connection to an address. If there is none, it starts to
// open one.
func (m *Messenger) getConnection(address string) *connection {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.connections[address]; c != nil {
		c.lastUse = time.Now()
		return c
	}
	if m.connections == nil {
		m.connections = map[string]*connection{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	c := &connection{ready: make(chan struct{}), endDial: cancel, lastUse: time.Now(), close: func() {}}
	m.connections[address] = c
	go m.open(ctx, address, c)
	return c
}

// open opens a connection from a new socket, then waits until it ends.
func (m *Messenger) open(ctx context.Context, address string, c *connection) {
	err := m.dial(ctx, address, c)
	c.endDial()
	if err != nil {
		c.err = err
		m.removeConnection(address, c)
	}
	close(c.ready)
	if err == nil {
		<-c.conn.Context().Done()
		m.closeConnection(address, c, codeClosed)
	}
}

func (m *Messenger) dial(ctx context.Context, address string, c *connection) error {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	open := m.OpenSocket
	if open == nil {
		open = OpenUDP
	}
	socket, err := open(m.Self.PeerAddress)
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: socket}
	c.close = func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	c.conn, err = transport.Dial(ctx, remote, m.ClientTLS, quicConfig())
	if err != nil {
		c.close()
	}
	return err
}

// removeConnection removes a connection from the table if the table still holds it.
func (m *Messenger) removeConnection(address string, c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connections[address] == c {
		delete(m.connections, address)
	}
}

// closeConnection closes a connection; the next use of the address opens a new one.
func (m *Messenger) closeConnection(address string, c *connection, code quic.ApplicationErrorCode) {
	m.removeConnection(address, c)
	c.endDial()
	<-c.ready
	if c.err != nil {
		return
	}
	_ = c.conn.CloseWithError(code, "")
	c.close()
}

// reportUnresponsive reports that a connection is replaced because the host did not
// respond in time.
func (m *Messenger) reportUnresponsive(to core.Host) {
	if m.OnUnresponsive != nil {
		m.OnUnresponsive(to)
	}
}

// retireConnection makes the next use of the address open a new connection. The old one
// is closed after retireDelay, since other calls on it may only be slow.
func (m *Messenger) retireConnection(address string, c *connection) {
	m.removeConnection(address, c)
	time.AfterFunc(retireDelay, func() { m.closeConnection(address, c, codeUnresponsive) })
}

// closeUnused closes connections that have not been used for unusedTimeout.
func (m *Messenger) closeUnused(ctx context.Context) {
	ticker := time.NewTicker(unusedTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for address, c := range m.copyConnections() {
				if now.Sub(m.lastUseOf(c)) > unusedTimeout {
					m.closeConnection(address, c, codeClosed)
				}
			}
		}
	}
}

func (m *Messenger) lastUseOf(c *connection) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return c.lastUse
}

// copyConnections returns a copy of the connection table.
func (m *Messenger) copyConnections() map[string]*connection {
	m.mu.Lock()
	defer m.mu.Unlock()
	connections := make(map[string]*connection, len(m.connections))
	for address, c := range m.connections {
		connections[address] = c
	}
	return connections
}

// closeAll closes all connections at the same time, since each may take long in a process that
// is short of processor time.
func (m *Messenger) closeAll() {
	var group conc.WaitGroup
	for address, c := range m.copyConnections() {
		group.Go(func() { m.closeConnection(address, c, codeClosed) })
	}
	group.Wait()
}
