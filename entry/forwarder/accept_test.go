package forwarder_test

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// exhaustedListener is a listener whose Accept fails while no descriptor is left.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServesAfterDescriptorsRanOut guards against a host that ends, with all requests in
// flight, when it has no file descriptor for one more connection.
func TestServesAfterDescriptorsRanOut(t *testing.T) {
	is := is.New(t)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	listener := &exhaustedListener{Listener: inner}
	listener.failures.Store(3)
	h := newHostAt(t, listener, orderRoute, &fakeUpstream{response: completeResponse})
	is.Equal(sendRequest(t, h, "/o/1").StatusCode(), fasthttp.StatusOK)
}
