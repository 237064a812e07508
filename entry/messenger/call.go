package messenger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/tracker"
)

// Round trips assumed before the first measurement.
const (
	assumedZoneTrip   = time.Millisecond
	assumedRegionTrip = 5 * time.Millisecond
	assumedFarTrip    = 100 * time.Millisecond
)

// tripSmoothing is the weight of a new round trip in the running mean.
const tripSmoothing = 0.2

// CallError tells how far a failed call came.
type CallError struct {
	// Sent says that the call may have reached the other host.
	Sent bool
	Err  error
}

// Error returns the cause.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Call sends a call and waits for its reply until the deadline. The error is
// of type *CallError.
func (m *Messenger) Call(to core.Host, call Call, deadline time.Time) (Reply, error) {
	call.From = m.Self
	call.Left = time.Until(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	l, err := m.connect(ctx, to)
	if err != nil {
		return Reply{}, &CallError{Err: err}
	}
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		m.drop(to.PeerAddress, l, codeSilent)
		return Reply{}, &CallError{Err: err}
	}
	defer stream.CancelRead(0)
	_ = stream.SetWriteDeadline(deadline)
	pace := func(n core.Bytes) bool { return m.pace(to.Zone.Region, n) }
	if sent, err := writeMessage(stream, nil, call, limiter.ChunkSize, pace); err != nil {
		stream.CancelWrite(0)
		return Reply{}, &CallError{Sent: sent, Err: err}
	}
	_ = stream.Close()
	reply, err := m.await(to, l, stream, deadline)
	if err != nil {
		return Reply{}, &CallError{Sent: true, Err: err}
	}
	return reply, nil
}

// await reads frames until the reply. Silence retires the connection.
func (m *Messenger) await(to core.Host, l *link, stream *quic.Stream, deadline time.Time) (Reply, error) {
	reader := bufio.NewReader(stream)
	start := time.Now()
	limit := m.patience(to)
	for {
		_ = stream.SetReadDeadline(earlier(time.Now().Add(limit), deadline))
		kind, err := reader.ReadByte()
		if err != nil {
			if isTimeout(err) && time.Now().Before(deadline) {
				m.silent(to)
				m.retire(to.PeerAddress, l)
			}
			return Reply{}, err
		}
		switch frameKind(kind) {
		case frameAccepted:
			m.measure(to.Zone.Name, time.Since(start))
			limit = silenceLimit
		case frameRunning:
		case frameReply:
			_ = stream.SetReadDeadline(deadline)
			return m.readReply(reader)
		default:
			return Reply{}, core.ErrPeer.New("frame kind %d", kind)
		}
	}
}

func (m *Messenger) readReply(reader *bufio.Reader) (Reply, error) {
	data, err := readMessage(reader, m.MaxBody+maxOverhead)
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	if err := decodeMode.Unmarshal(data, &reply); err != nil {
		return Reply{}, core.ErrPeer.Wrap(err, "reply")
	}
	isAnswered := reply.State == core.Answered && reply.Answer != nil
	isRefused := reply.State != core.Answered && reply.Refusal != nil
	isOther := len(reply.Tickets) > 0 || reply.Snapshot != nil
	if !isAnswered && !isRefused && !isOther && reply.State != core.NotRun {
		return Reply{}, core.ErrPeer.New("reply without its content")
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

// measure takes in a round trip to an availability zone.
func (m *Messenger) measure(zone core.ZoneName, trip time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.trips == nil {
		m.trips = map[core.ZoneName]time.Duration{}
	}
	old, ok := m.trips[zone]
	if !ok {
		m.trips[zone] = trip
		return
	}
	m.trips[zone] = old + time.Duration(tripSmoothing*float64(trip-old))
}

// RoundTrip returns the time to a host and back, from calls to its zone.
func (m *Messenger) RoundTrip(to core.Host) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if trip, ok := m.trips[to.Zone.Name]; ok {
		return trip
	}
	switch {
	case to.Zone.Name == m.Self.Zone.Name:
		return assumedZoneTrip
	case to.Zone.Region == m.Self.Zone.Region:
		return assumedRegionTrip
	default:
		return assumedFarTrip
	}
}

// Send sends records to a peer address without waiting for anything.
func (m *Messenger) Send(address string, records []tracker.Record) {
	l := m.link(address)
	select {
	case <-l.ready:
	default:
		return
	}
	if l.err != nil {
		return
	}
	datagrams, err := EncodeRecords(records)
	if err != nil {
		m.fault(address, err.Error())
		return
	}
	for _, d := range datagrams {
		if err := l.conn.SendDatagram(d); err != nil {
			m.drop(address, l, codeSilent)
			return
		}
		m.countBytes("sent", len(d))
	}
}

// patience returns how long to wait for a host to show that it is there.
func (m *Messenger) patience(to core.Host) time.Duration {
	return acceptBase + acceptTrips*m.RoundTrip(to)
}

// connect returns an open connection to a host.
func (m *Messenger) connect(ctx context.Context, to core.Host) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, m.patience(to))
	defer cancel()
	l := m.link(to.PeerAddress)
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// link returns the connection to an address and begins to open one where there
// is none.
func (m *Messenger) link(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[address]; l != nil {
		l.used = time.Now()
		return l
	}
	if m.links == nil {
		m.links = map[string]*link{}
	}
	l := &link{ready: make(chan struct{}), used: time.Now(), close: func() {}}
	m.links[address] = l
	go m.open(address, l)
	return l
}

// open dials from a new socket.
func (m *Messenger) open(address string, l *link) {
	err := m.dial(address, l)
	if err != nil {
		l.err = err
		m.forget(address, l)
	}
	close(l.ready)
	if err == nil {
		<-l.conn.Context().Done()
		m.drop(address, l, codeDone)
	}
}

func (m *Messenger) dial(address string, l *link) error {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	open := m.Open
	if open == nil {
		open = OpenUDP
	}
	socket, err := open(m.Self.PeerAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	transport := &quic.Transport{Conn: socket}
	l.close = func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	l.conn, err = transport.Dial(ctx, remote, m.Client, quicConfig())
	if err != nil {
		l.close()
	}
	return err
}

// forget removes a connection from the table if it is still there.
func (m *Messenger) forget(address string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[address] == l {
		delete(m.links, address)
	}
}

// drop closes a connection; the next use opens a new one.
func (m *Messenger) drop(address string, l *link, code quic.ApplicationErrorCode) {
	m.forget(address, l)
	<-l.ready
	if l.err != nil {
		return
	}
	_ = l.conn.CloseWithError(code, "")
	l.close()
}

// silent reports that a connection to a host is replaced after silence.
func (m *Messenger) silent(to core.Host) {
	if m.OnSilent != nil {
		m.OnSilent(to)
	}
}

// retire makes the next use open a new connection and closes this one later:
// other calls on it may only be slow.
func (m *Messenger) retire(address string, l *link) {
	m.forget(address, l)
	time.AfterFunc(retireTime, func() { m.drop(address, l, codeSilent) })
}

// closeUnused closes connections that nothing has used for a while.
func (m *Messenger) closeUnused(ctx context.Context) {
	ticker := time.NewTicker(unusedTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for address, l := range m.snapshot() {
				if now.Sub(m.usedAt(l)) > unusedTimeout {
					m.drop(address, l, codeDone)
				}
			}
		}
	}
}

func (m *Messenger) usedAt(l *link) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.used
}

func (m *Messenger) snapshot() map[string]*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make(map[string]*link, len(m.links))
	for a, l := range m.links {
		links[a] = l
	}
	return links
}

func (m *Messenger) closeAll() {
	for a, l := range m.snapshot() {
		m.drop(a, l, codeDone)
	}
}
