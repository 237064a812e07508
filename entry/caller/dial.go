package caller

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP settings after which the operating system ends a connection whose peer does
// not respond.
const (
	// defaultUserTimeout is the TCP user timeout of DialTCP.
	defaultUserTimeout = 600 * time.Millisecond
	keepAliveInterval  = time.Second
	keepAliveProbes    = 2
)

// DialTCP opens a TCP connection within the timeout. The open connection fails later
// if sent data stays unacknowledged for the default TCP user timeout, or if keep-alive
// probes get no response while the connection is idle.
func DialTCP(network, address string, timeout time.Duration) (net.Conn, error) {
	return NewDialer(defaultUserTimeout)(network, address, timeout)
}

// NewDialer returns a dialer like DialTCP with the given TCP user timeout: how long
// sent data may remain unacknowledged before the connection fails.
func NewDialer(userTimeout time.Duration) DialFunc {
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		dialer := net.Dialer{
			Timeout: timeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
			},
			Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) },
		}
		return dialer.Dial(network, address)
	}
}

// setUserTimeout sets the option TCP_USER_TIMEOUT of a socket.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
