// Package emulator gives loopback sockets the delays, cuts and forgotten
// connections of the network between places.
//
// The place of a socket follows from its IP address. Packets between two
// places are held back by their one-way delay, dropped while the places are
// cut off from each other, and counted on the link between their regions.
//
// # Usage
//
//	e := emulator.New(places, delay)
//	h := e.Host(zone)
//	socket, err := h.ListenPacket("127.1.1.1:9000")
//	e.Cut("nl-south-a", "nl-south-b", true)
//	h.Freeze(true)
package emulator

import (
	"container/heap"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Emulator knows the places and what is wrong between them.
type Emulator struct {
	// Places gives the availability zone of each address.
	Places map[netip.Addr]core.Zone
	// Delay is the one-way time between two places.
	Delay func(from, to core.Zone) time.Duration

	mu     sync.Mutex
	cuts   map[[2]core.ZoneName]bool
	epoch  time.Time
	flows  map[flow]time.Time
	meters map[core.Link]*Meter
}

// flow is a pair of addresses that something on the way may forget.
type flow struct {
	a, b netip.AddrPort
}

// New returns an emulator for the places.
func New(places map[netip.Addr]core.Zone, delay func(from, to core.Zone) time.Duration) *Emulator {
	return &Emulator{
		Places: places,
		Delay:  delay,
		cuts:   map[[2]core.ZoneName]bool{},
		flows:  map[flow]time.Time{},
		meters: map[core.Link]*Meter{},
	}
}

// Cut cuts two zones off from each other, or joins them again.
func (e *Emulator) Cut(a, b core.ZoneName, isCut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cuts[pair(a, b)] = isCut
}

// IsCut reports whether two zones are cut off from each other.
func (e *Emulator) IsCut(a, b core.ZoneName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cuts[pair(a, b)]
}

func pair(a, b core.ZoneName) [2]core.ZoneName {
	if a > b {
		a, b = b, a
	}
	return [2]core.ZoneName{a, b}
}

// Silence makes every flow that exists now silent for good.
func (e *Emulator) Silence(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch = now
}

// Epoch returns when Silence was last called.
func (e *Emulator) Epoch() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// Meters returns the meter of each link that carried anything.
func (e *Emulator) Meters() map[core.Link]*Meter {
	e.mu.Lock()
	defer e.mu.Unlock()
	meters := make(map[core.Link]*Meter, len(e.meters))
	for l, m := range e.meters {
		meters[l] = m
	}
	return meters
}

// Charge counts bytes from one zone to another at the given time.
func (e *Emulator) Charge(from, to core.Zone, n int, now time.Time) {
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

// verdict decides the fate of a packet: the delay, or false where it is lost.
func (e *Emulator) verdict(from, to netip.AddrPort, now time.Time) (time.Duration, bool) {
	source, destination := e.Places[from.Addr()], e.Places[to.Addr()]
	e.mu.Lock()
	isCut := e.cuts[pair(source.Name, destination.Name)]
	key := flow{a: from, b: to}
	if key.a.Compare(key.b) > 0 {
		key = flow{a: to, b: from}
	}
	begun, known := e.flows[key]
	if !known {
		begun = now
		e.flows[key] = now
	}
	isSilent := begun.Before(e.epoch)
	e.mu.Unlock()
	if isCut || isSilent {
		return 0, false
	}
	return e.Delay(source, destination), true
}

// packetConn is a UDP socket whose packets are held back or lost.
type packetConn struct {
	udp      *net.UDPConn
	local    netip.AddrPort
	emulator *Emulator
	gate     *gate

	mu       sync.Mutex
	held     packets
	sequence uint64
	wake     chan struct{}
	closed   chan struct{}
	once     sync.Once
}

// ReadFrom reads a packet.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.udp.ReadFrom(b)
	if !p.gate.pass() {
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
	p.gate.remove(p)
	return p.udp.Close()
}

// WriteTo sends a packet when its delay is over.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not a UDP address")
	}
	if !p.gate.pass() {
		return 0, net.ErrClosed
	}
	now := time.Now()
	remote := udp.AddrPort()
	remote = netip.AddrPortFrom(remote.Addr().Unmap(), remote.Port())
	delay, ok := p.emulator.verdict(p.local, remote, now)
	if !ok {
		return len(b), nil
	}
	e := p.emulator
	e.Charge(e.Places[p.local.Addr()], e.Places[remote.Addr()], len(b)+ipOverhead, now)
	if delay == 0 {
		return p.udp.WriteTo(b, to)
	}
	p.hold(packet{due: now.Add(delay), data: append([]byte(nil), b...), to: to})
	return len(b), nil
}

// ipOverhead is the length of IPv4 and UDP headers.
const ipOverhead = 28

func (p *packetConn) hold(one packet) {
	p.mu.Lock()
	p.sequence++
	one.sequence = p.sequence
	heap.Push(&p.held, one)
	isFirst := p.held[0].sequence == one.sequence
	p.mu.Unlock()
	if isFirst {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// deliver sends held packets when they are due.
func (p *packetConn) deliver() {
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

// sendDue sends what is due and returns the time until the next packet.
func (p *packetConn) sendDue(now time.Time) time.Duration {
	for {
		p.mu.Lock()
		if len(p.held) == 0 {
			p.mu.Unlock()
			return time.Hour
		}
		if wait := p.held[0].due.Sub(now); wait > 0 {
			p.mu.Unlock()
			return wait
		}
		one, _ := heap.Pop(&p.held).(packet)
		p.mu.Unlock()
		_, _ = p.udp.WriteTo(one.data, one.to)
	}
}

// packet is a held packet.
type packet struct {
	due      time.Time
	sequence uint64
	data     []byte
	to       net.Addr
}

// packets is a heap by due time, then order.
type packets []packet

// Len is part of heap.Interface.
func (p packets) Len() int { return len(p) }

// Less is part of heap.Interface.
func (p packets) Less(i, j int) bool {
	if !p[i].due.Equal(p[j].due) {
		return p[i].due.Before(p[j].due)
	}
	return p[i].sequence < p[j].sequence
}

// Swap is part of heap.Interface.
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push is part of heap.Interface.
func (p *packets) Push(x any) {
	one, _ := x.(packet)
	*p = append(*p, one)
}

// Pop is part of heap.Interface.
func (p *packets) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}
