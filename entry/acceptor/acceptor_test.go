package acceptor_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/entry/acceptor"
)

// scriptedListener returns the errors in turn, then one end of a pipe.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptAfterTransientError guards against a host that ends with all requests in flight
// when it has no file descriptor or memory for one more connection.
func TestAcceptAfterTransientError(t *testing.T) {
	tests := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	for _, err := range tests {
		t.Run(err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const failures = 20
				inner := &scriptedListener{}
				for range failures {
					inner.errs = append(inner.errs, err)
				}
				var seen []error
				l := acceptor.Listener{Listener: inner, OnRetry: func(err error) { seen = append(seen, err) }}
				start := time.Now()
				conn, acceptErr := l.Accept()
				is.NoErr(acceptErr)
				is.NoErr(conn.Close())
				is.Equal(len(seen), failures)
				is.True(errors.Is(seen[0], err))
				// The pauses grow, but a freed descriptor is used soon.
				is.True(time.Since(start) > failures*20*time.Millisecond)
				is.True(time.Since(start) <= failures*100*time.Millisecond)
			})
		})
	}
}

// TestAcceptEnds guards against a server that never ends: an error that does not pass is
// returned at once.
func TestAcceptEnds(t *testing.T) {
	for _, err := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL} {
		t.Run(err.Error(), func(t *testing.T) {
			is := is.New(t)
			l := acceptor.Listener{
				Listener: &scriptedListener{errs: []error{err}},
				OnRetry:  func(err error) { t.Errorf("tried again after %v", err) },
			}
			_, acceptErr := l.Accept()
			is.True(errors.Is(acceptErr, err))
		})
	}
}
