// Package emulator gives loopback sockets the properties of a network between
// availability zones: delays, partitions, connections that go silent, and
// processes that pause or crash.
//
// The zone of a socket follows from its IP address. UDP packets between two
// zones are delayed by the one-way delay, dropped while the zones are
// partitioned, and counted on the link between their regions. A TCP connection
// between partitioned zones stays open but transfers nothing.
//
// # Usage
//
//	e := emulator.New(zones, delay)
//	h := e.NewProcess(zone)
//	socket, err := h.ListenPacket("127.1.1.1:9000")
//	e.SetPartitioned("nl-south-a", "nl-south-b", true)
//	h.SetPaused(true)
package emulator

import (
	"container/heap"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Emulator holds the zones, the delays and the current network failures.
type Emulator struct {
	// Zones holds the availability zone of each address.
	Zones map[netip.Addr]core.Zone
	// OneWayDelay returns the one-way delay between two zones.
	OneWayDelay func(from, to core.Zone) time.Duration

	mu sync.Mutex
	// partitions holds the partitioned pairs of zones, in the order of zonePair.
	partitions map[[2]core.ZoneName]bool
	// silencedAt is when connections were last silenced; older flows are silent.
	silencedAt time.Time
	// flows holds the time of the first packet of each UDP flow.
	flows  map[flow]time.Time
	meters map[core.Link]*Meter
}

// flow is a UDP flow in both directions, as a firewall or NAT on the path tracks
// it and may lose it. a is the lower address.
type flow struct {
	a, b netip.AddrPort
}

// New returns an emulator for the zones of the given addresses, with the given
// one-way delays between zones.
func New(places map[netip.Addr]core.Zone, delay func(from, to core.Zone) time.Duration) *Emulator {
	return &Emulator{
		Zones:       places,
		OneWayDelay: delay,
		partitions:  map[[2]core.ZoneName]bool{},
		flows:       map[flow]time.Time{},
		meters:      map[core.Link]*Meter{},
	}
}

// SetPartitioned starts or ends a partition between two zones.
func (e *Emulator) SetPartitioned(a, b core.ZoneName, isPartitioned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partitions[zonePair(a, b)] = isPartitioned
}

// IsPartitioned reports whether two zones are partitioned.
func (e *Emulator) IsPartitioned(a, b core.ZoneName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.partitions[zonePair(a, b)]
}

// zonePair returns the two names in ascending order.
func zonePair(a, b core.ZoneName) [2]core.ZoneName {
	if a > b {
		a, b = b, a
	}
	return [2]core.ZoneName{a, b}
}

// SilenceConnections makes every flow and TCP connection that exists now silent for good: it
// stays open, but nothing is delivered on it any more.
func (e *Emulator) SilenceConnections(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silencedAt = now
}

// SilencedAt returns when connections were last silenced.
func (e *Emulator) SilencedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silencedAt
}

// Meters returns the meter of each link that carried any bytes.
func (e *Emulator) Meters() map[core.Link]*Meter {
	e.mu.Lock()
	defer e.mu.Unlock()
	meters := make(map[core.Link]*Meter, len(e.meters))
	for l, m := range e.meters {
		meters[l] = m
	}
	return meters
}

// CountBytes counts n bytes sent from one zone to another at the given time on the
// link between their regions. It ignores bytes within a region.
func (e *Emulator) CountBytes(from, to core.Zone, n int, now time.Time) {
	if from.Region == to.Region {
		return
	}
	link := core.Link{From: from.Region, To: to.Region}
	e.mu.Lock()
	m := e.meters[link]
	if m == nil {
		m = &Meter{}
		e.meters[link] = m
	}
	e.mu.Unlock()
	m.Add(n, now)
}

// packetDelay returns the one-way delay of a packet, or false if it is dropped: its
// zones are partitioned or its flow is silent.
func (e *Emulator) packetDelay(from, to netip.AddrPort, now time.Time) (time.Duration, bool) {
	source, destination := e.Zones[from.Addr()], e.Zones[to.Addr()]
	e.mu.Lock()
	isPartitioned := e.partitions[zonePair(source.Name, destination.Name)]
	key := flow{a: from, b: to}
	if key.a.Compare(key.b) > 0 {
		key = flow{a: to, b: from}
	}
	startedAt, exists := e.flows[key]
	if !exists {
		startedAt = now
		e.flows[key] = now
	}
	isSilent := startedAt.Before(e.silencedAt)
	e.mu.Unlock()
	if isPartitioned || isSilent {
		return 0, false
	}
	return e.OneWayDelay(source, destination), true
}

// packetConn is a UDP socket that delays or drops outgoing packets.
type packetConn struct {
	udp      *net.UDPConn
	local    netip.AddrPort
	emulator *Emulator
	process  *processState

	mu sync.Mutex
	// queue holds the packets that are not sent yet.
	queue    packetQueue
	sequence uint64
	// wake tells sendLoop that another packet has become the next one.
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// ReadFrom reads a packet. It blocks while the process is paused.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.udp.ReadFrom(b)
	if !p.process.awaitRunning() {
		return 0, nil, net.ErrClosed
	}
	return n, from, err
}

// LocalAddr returns the socket's address.
func (p *packetConn) LocalAddr() net.Addr { return p.udp.LocalAddr() }

// SetDeadline sets both deadlines.
func (p *packetConn) SetDeadline(t time.Time) error { return p.udp.SetDeadline(t) }

// SetReadDeadline sets the deadline of reads.
func (p *packetConn) SetReadDeadline(t time.Time) error { return p.udp.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (p *packetConn) SetWriteDeadline(t time.Time) error { return p.udp.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the operating system's buffer.
func (p *packetConn) SetReadBuffer(n int) error { return p.udp.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the operating system's buffer.
func (p *packetConn) SetWriteBuffer(n int) error { return p.udp.SetWriteBuffer(n) }

// Close closes the socket.
func (p *packetConn) Close() error {
	p.once.Do(func() { close(p.closed) })
	p.process.unregister(p)
	return p.udp.Close()
}

// WriteTo sends a packet once the one-way delay has passed, without blocking for
// it. It returns success for a dropped packet too.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not a UDP address")
	}
	if !p.process.awaitRunning() {
		return 0, net.ErrClosed
	}
	now := time.Now()
	remote := udp.AddrPort()
	remote = netip.AddrPortFrom(remote.Addr().Unmap(), remote.Port())
	delay, ok := p.emulator.packetDelay(p.local, remote, now)
	if !ok {
		return len(b), nil
	}
	e := p.emulator
	e.CountBytes(e.Zones[p.local.Addr()], e.Zones[remote.Addr()], len(b)+ipOverhead, now)
	if delay == 0 {
		return p.udp.WriteTo(b, to)
	}
	p.enqueue(packet{due: now.Add(delay), data: append([]byte(nil), b...), to: to})
	return len(b), nil
}

// ipOverhead is the length of the IPv4 and UDP headers of a packet in bytes.
const ipOverhead = 28

// enqueue adds a packet to the queue of sendLoop.
func (p *packetConn) enqueue(item packet) {
	p.mu.Lock()
	p.sequence++
	item.sequence = p.sequence
	heap.Push(&p.queue, item)
	isFirst := p.queue[0].sequence == item.sequence
	p.mu.Unlock()
	if isFirst {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// sendLoop sends queued packets when they are due, until the socket is closed.
func (p *packetConn) sendLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(p.sendDue(time.Now()))
		select {
		case <-p.closed:
			return
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// sendDue sends the packets that are due and returns the time until the next one,
// or an hour if there is none.
func (p *packetConn) sendDue(now time.Time) time.Duration {
	for {
		p.mu.Lock()
		if len(p.queue) == 0 {
			p.mu.Unlock()
			return time.Hour
		}
		if untilDue := p.queue[0].due.Sub(now); untilDue > 0 {
			p.mu.Unlock()
			return untilDue
		}
		item, _ := heap.Pop(&p.queue).(packet)
		p.mu.Unlock()
		_, _ = p.udp.WriteTo(item.data, item.to)
	}
}

// packet is a queued packet.
type packet struct {
	due time.Time
	// sequence is the order in which packets were queued.
	sequence uint64
	data     []byte
	to       net.Addr
}

// packetQueue is a heap of packets by due time, then by order of sending.
type packetQueue []packet

// Len is part of heap.Interface.
func (p packetQueue) Len() int { return len(p) }

// Less is part of heap.Interface.
func (p packetQueue) Less(i, j int) bool {
	if !p[i].due.Equal(p[j].due) {
		return p[i].due.Before(p[j].due)
	}
	return p[i].sequence < p[j].sequence
}

// Swap is part of heap.Interface.
func (p packetQueue) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push is part of heap.Interface.
func (p *packetQueue) Push(x any) {
	item, _ := x.(packet)
	*p = append(*p, item)
}

// Pop is part of heap.Interface.
func (p *packetQueue) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
