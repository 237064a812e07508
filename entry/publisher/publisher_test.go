package publisher_test

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
	"github.com/endiverun/endiverun/entry/publisher"
)

// freeAddress returns an address that no server listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestMetrics guards against an endpoint that is missing or has the wrong format: it
// reads a counter from each of them.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	m := meter.New()
	m.Count(meter.Retries, meter.Labels{Service: "desk"})
	p := &publisher.Publisher{Log: logger.New(io.Discard, "error", core.Host{})}
	address := freeAddress(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Serve(ctx, address, publisher.MetricsRoutes(m))
	}()
	tests := []struct{ path, want string }{
		{"/metrics", `endiverun_retries_total{service="desk"} 1`},
		{"/debug/vars", `"retries":[{"labels":{"service":"desk"},"count":1}]`},
	}
	for _, tt := range tests {
		body := get(t, "http://"+address+tt.path)
		is.True(strings.Contains(body, tt.want))
	}
	stop()
	<-done
}

// exhaustedListener is a listener whose first call of Accept finds no descriptor left.
type exhaustedListener struct {
	net.Listener
	calls atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.calls.Add(1) == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServesAfterDescriptorsRanOut guards against endpoints such as readiness that are gone
// for good once the host had no file descriptor for one more connection.
func TestServesAfterDescriptorsRanOut(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	p := &publisher.Publisher{
		Log: logger.New(&text, "warn", core.Host{}),
		Listen: func(address string) (net.Listener, error) {
			inner, err := publisher.Listen(address)
			return &exhaustedListener{Listener: inner}, err
		},
	}
	address := freeAddress(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Serve(ctx, address, publisher.MetricsRoutes(meter.New()))
	}()
	get(t, "http://"+address+"/metrics")
	stop()
	<-done
	is.True(strings.Contains(text.String(), `"accept-failed"`))
}

// get returns the body of a URL. It retries until the server listens, for at most
// 10 seconds.
func get(t *testing.T, url string) string {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status, body, err := fasthttp.Get(nil, url); err == nil && status == fasthttp.StatusOK {
			return string(body)
		}
	}
	t.Fatal("not served: " + url)
	return ""
}
