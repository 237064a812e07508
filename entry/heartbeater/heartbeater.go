// Package heartbeater tells the other hosts that this one is alive and passes
// the newest copy of the store between hosts.
//
// Heartbeats are datagrams: a lost one is replaced by the next, and their
// order does not matter. A whole copy travels over HTTP, since it is larger
// than a datagram; a host asks for it when a heartbeat shows that another host
// has read a newer state.
//
// # Usage
//
//	h := &heartbeater.Heartbeater{Address: "10.0.0.1:7000", Roster: r, Self: beat}
//	err := h.Run(ctx)
package heartbeater

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

const (
	// period is the time between two heartbeats.
	period = 500 * time.Millisecond
	// maxDatagram bounds a heartbeat.
	maxDatagram = 1400
	// urgentGap is the time in which each datagram of an urgent heartbeat keeps the
	// next one waiting, so that news in quick succession travel together.
	urgentGap = 5 * time.Millisecond
)

// Heartbeater sends and receives heartbeats.
type Heartbeater struct {
	// Address is the IP address and UDP port.
	Address string
	Roster  *roster.Roster
	// Self returns the heartbeat to send.
	Self func() roster.Heartbeat
	// OnHear is told of each heartbeat; nil ignores it.
	OnHear func(beat roster.Heartbeat)
	// Urgent asks for a heartbeat to the hosts that Roster.Urgent names, soon.
	Urgent <-chan struct{}
	// Near asks for a heartbeat to the hosts of the own zone at once.
	Near <-chan struct{}
	// Listen opens the socket; nil means UDP.
	Listen func(address string) (net.PacketConn, error)
	// OnFault gets what was wrong with a datagram; nil ignores it.
	OnFault func(from string, err error)

	turn int
}

// Run exchanges heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) error {
	listen := h.Listen
	if listen == nil {
		listen = listenUDP
	}
	socket, err := listen(h.Address)
	if err != nil {
		return err
	}
	var group conc.WaitGroup
	group.Go(func() { h.receive(socket) })
	h.send(ctx, socket)
	err = socket.Close()
	group.Wait()
	return err
}

func listenUDP(address string) (net.PacketConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
}

func (h *Heartbeater) send(ctx context.Context, socket net.PacketConn) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	urgent := h.Urgent
	var resume <-chan time.Time
	h.turn++
	h.tell(socket, h.Roster.Turn(h.turn, time.Now()))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.turn++
			h.tell(socket, h.Roster.Turn(h.turn, time.Now()))
		case <-urgent:
			peers := h.Roster.Urgent(time.Now())
			h.tell(socket, peers)
			urgent, resume = nil, time.After(time.Duration(len(peers))*urgentGap)
		case <-resume:
			urgent, resume = h.Urgent, nil
		case <-h.Near:
			h.tell(socket, h.Roster.ZonePeers(time.Now()))
		}
	}
}

// tell sends one heartbeat to each of the hosts.
func (h *Heartbeater) tell(socket net.PacketConn, peers []core.Host) {
	beat := h.Self()
	data, err := cbor.Marshal(beat)
	if err != nil {
		h.fault("self", err)
		return
	}
	for _, peer := range peers {
		to, err := netip.ParseAddrPort(peer.PeerAddress)
		if err != nil {
			h.fault(string(peer.Name), err)
			continue
		}
		if _, err := socket.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			h.fault(peer.PeerAddress, err)
		}
	}
}

func (h *Heartbeater) receive(socket net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var beat roster.Heartbeat
		if err := cbor.Unmarshal(buffer[:n], &beat); err != nil {
			h.fault(from.String(), err)
			continue
		}
		if beat.Host.Name == "" {
			h.fault(from.String(), core.ErrPeer.New("a heartbeat names no host"))
			continue
		}
		h.Roster.Hear(beat, time.Now())
		if h.OnHear != nil {
			h.OnHear(beat)
		}
	}
}

func (h *Heartbeater) fault(from string, err error) {
	if h.OnFault != nil {
		h.OnFault(from, err)
	}
}
