package caller

import (
	"errors"
	"net"
	"net/netip"
)

// maxDatagramSize is the largest datagram that is read, in bytes. It fits in one packet.
const maxDatagramSize = 1400

// ListenUDP opens a UDP socket on an IP address and port.
func ListenUDP(address string) (net.PacketConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
}

// ReadDatagrams passes each datagram to handle until the socket is closed. The data is valid only
// until handle returns.
func ReadDatagrams(socket net.PacketConn, handle func(data []byte, from net.Addr)) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(buffer[:n], from)
		}
	}
}
