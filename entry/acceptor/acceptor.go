// Package acceptor accepts connections in spite of errors that pass, such as a lack of
// file descriptors. A server usually ends when Accept fails, and with it all requests in
// flight.
//
// # Usage
//
//	server.Serve(acceptor.Listener{Listener: listener, OnRetry: logError})
package acceptor

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// minPause is the time between the first failure and the next try. It doubles with
	// each further failure up to maxPause, which also bounds how long a closed listener
	// may take to end.
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// transientErrors are the errors of accept after which a later call may succeed, without
// those that the net package itself retries.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EPERM, syscall.EINTR,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// Listener accepts connections and tries again after an error that may pass.
type Listener struct {
	net.Listener
	// OnRetry is called with each error after which Accept tries again; nil ignores them.
	OnRetry func(err error)
}

// Accept waits for the next connection. It returns an error if the listener is closed or
// cannot work again.
func (l Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return conn, err
		}
		if l.OnRetry != nil {
			l.OnRetry(err)
		}
		time.Sleep(pause)
	}
}

// isTransient reports whether a later call may succeed.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(target error) bool { return errors.Is(err, target) })
}
