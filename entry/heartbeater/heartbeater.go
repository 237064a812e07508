// Package heartbeater exchanges heartbeats between hosts and transfers snapshots of
// the store.
//
// Heartbeats are UDP datagrams: the next one makes up for a lost one, and their
// order does not matter. A snapshot is larger than a datagram and is fetched over
// HTTP, with Fetcher. A host fetches one after a heartbeat shows that another host has
// read a newer revision of a part of the store: of the routing policy, or of the list
// of upstreams, evacuated zones or hosts.
//
// # Usage
//
//	h := &heartbeater.Heartbeater{Address: "10.0.0.1:7000", Roster: r, NewHeartbeat: newHeartbeat}
//	err := h.Run(ctx)
package heartbeater

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/caller"
)

const (
	// heartbeatInterval is the time between two regular heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// urgentDelay is how long each datagram of an urgent heartbeat delays the next
	// urgent heartbeat. Changes in quick succession are then sent together.
	urgentDelay = 5 * time.Millisecond
	// regularNotices and urgentNotices are the numbers of notices about rate limits in a
	// regular and in an urgent heartbeat, about 25 bytes each. noticedPeers is the mean number
	// of hosts that get notices with the heartbeats of an interval: 4 notices to 2.5 hosts,
	// twice a second, are 500 bytes a second.
	regularNotices = 4
	urgentNotices  = 16
	noticedPeers   = 2.5
)

// Heartbeater sends and receives heartbeats.
type Heartbeater struct {
	// Address is the IP address and UDP port to listen on.
	Address string
	Roster  *roster.Roster
	// NewHeartbeat returns the heartbeat to send.
	NewHeartbeat func() roster.Heartbeat
	// RateLimits returns what this host knows about the rate limits of at most the given
	// number of upstreams; nil sends nothing about them.
	RateLimits func(most int, now time.Time) map[core.UpstreamName]core.RateLimitNotice
	// OnHeartbeat is called with each received heartbeat; nil ignores it.
	OnHeartbeat func(heartbeat roster.Heartbeat)
	// SendUrgent requests a heartbeat ahead of the interval to many hosts, which
	// roster.Roster.UrgentTargets selects. It is for news that cannot wait, such as an
	// upstream that was found cold. After an urgent heartbeat there is a delay that grows
	// with the number of its targets; a request during the delay is served at its end.
	SendUrgent <-chan struct{}
	// SendToZone requests a heartbeat to the other hosts of this host's zone, sent at once.
	// It tells the hosts that fetch snapshots from this one that there is a newer one.
	SendToZone <-chan struct{}
	// Listen opens the socket; nil means a UDP socket.
	Listen func(address string) (net.PacketConn, error)
	// OnError is called with the peer and the error if a heartbeat cannot be sent or
	// an invalid one arrives; nil ignores it.
	OnError func(peer string, err error)

	// round counts the heartbeat intervals, and noticeRound is the next one with notices
	// about rate limits.
	round, noticeRound int
}

// Run sends and receives heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) error {
	listen := h.Listen
	if listen == nil {
		listen = caller.ListenUDP
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

// send sends regular heartbeats at each interval, and others on request.
func (h *Heartbeater) send(ctx context.Context, socket net.PacketConn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	// urgent is nil during the delay after an urgent heartbeat.
	urgent := h.SendUrgent
	var delayOver <-chan time.Time
	h.sendRegular(socket)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.sendRegular(socket)
		case <-urgent:
			peers := h.Roster.UrgentTargets(time.Now())
			h.sendTo(socket, peers, urgentNotices)
			urgent, delayOver = nil, time.After(time.Duration(len(peers))*urgentDelay)
		case <-delayOver:
			urgent, delayOver = h.SendUrgent, nil
		case <-h.SendToZone:
			h.sendTo(socket, h.Roster.ZonePeers(time.Now()), 0)
		}
	}
}

// sendRegular sends the heartbeat of an interval. Some of the intervals include notices
// about rate limits, the fewer the more hosts get the heartbeat. Which ones is random: each
// host gets a heartbeat in every so many intervals, and would otherwise get all or none of
// its heartbeats with notices.
func (h *Heartbeater) sendRegular(socket net.PacketConn) {
	h.round++
	peers := h.Roster.HeartbeatTargets(h.round, time.Now())
	notices := 0
	if h.round >= h.noticeRound {
		notices = regularNotices
		pause := float64(len(peers)) / noticedPeers * (0.5 + rand.Float64()) //nolint:gosec // Not used for security.
		h.noticeRound = h.round + max(1, int(math.Round(pause)))
	}
	h.sendTo(socket, peers, notices)
}

// sendTo sends one heartbeat, with at most the given number of notices about rate limits,
// to each of the peers.
func (h *Heartbeater) sendTo(socket net.PacketConn, peers []core.Host, notices int) {
	heartbeat := h.NewHeartbeat()
	if h.RateLimits != nil && notices > 0 {
		heartbeat.RateLimits = h.RateLimits(notices, time.Now())
	}
	data, err := cbor.Marshal(heartbeat)
	if err != nil {
		h.reportError("self", err)
		return
	}
	for _, peer := range peers {
		address, err := netip.ParseAddrPort(peer.PeerAddress)
		if err != nil {
			h.reportError(string(peer.Name), err)
			continue
		}
		if _, err := socket.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
			h.reportError(peer.PeerAddress, err)
		}
	}
}

// receive handles received heartbeats until the socket is closed.
func (h *Heartbeater) receive(socket net.PacketConn) {
	caller.ReadDatagrams(socket, func(data []byte, from net.Addr) {
		var heartbeat roster.Heartbeat
		if err := cbor.Unmarshal(data, &heartbeat); err != nil {
			h.reportError(from.String(), err)
			return
		}
		if heartbeat.Host.Name == "" {
			h.reportError(from.String(), core.ErrPeer.New("heartbeat without a host name"))
			return
		}
		h.Roster.RecordHeartbeat(heartbeat, time.Now())
		if h.OnHeartbeat != nil {
			h.OnHeartbeat(heartbeat)
		}
	})
}

func (h *Heartbeater) reportError(peer string, err error) {
	if h.OnError != nil {
		h.OnError(peer, err)
	}
}
