package listener_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/listener"
)

// startListener starts a listener whose services echo the path. It returns the address.
func startListener(t *testing.T) string {
	t.Helper()
	return startDrainingListener(t, &atomic.Bool{})
}

// startDrainingListener starts a listener that drains when a request to the service "drain" has
// arrived.
func startDrainingListener(t *testing.T, isDraining *atomic.Bool) string {
	t.Helper()
	var config net.ListenConfig
	socket, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startListenerAt(t, socket, isDraining)
}

// startListenerAt starts a listener that drains when a request to the service "drain" has
// arrived. It accepts connections from the socket.
func startListenerAt(t *testing.T, socket net.Listener, isDraining *atomic.Bool) string {
	t.Helper()
	is := is.New(t)
	l := &listener.Listener{
		MaxBody: 64 * core.Kibibyte, MaxConnections: 100, OperatorToken: "secret",
		Listen: func(string) (net.Listener, error) { return socket, nil },
		NewRequest: func(incoming listener.ClientRequest) core.Request {
			return core.Request{Service: incoming.Service, Path: incoming.Path, Body: incoming.Body, Key: incoming.Key}
		},
		Serve: func(_ context.Context, r core.Request) core.Outcome {
			if r.Service == "drain" {
				isDraining.Store(true)
			}
			return core.AnsweredOutcome(&core.Response{Status: 200, Body: []byte(r.Path)})
		},
		Status:     func() any { return map[string]string{"host": "h"} },
		IsReady:    func() bool { return true },
		IsDraining: isDraining.Load,
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, func() time.Time { return time.Now().Add(time.Second) }) }()
	t.Cleanup(func() {
		stop()
		is.NoErr(<-done)
	})
	return socket.Addr().String()
}

// exchange sends raw bytes and returns the first line of the response.
func exchange(t *testing.T, address, raw string) string {
	t.Helper()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, raw)
	response, _ := io.ReadAll(conn)
	line, _, _ := strings.Cut(string(response), "\r\n")
	return line
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

// TestServesAfterDescriptorsRanOut guards against a host that ends, with all requests in
// flight, when it has no file descriptor for one more connection.
func TestServesAfterDescriptorsRanOut(t *testing.T) {
	is := is.New(t)
	var config net.ListenConfig
	socket, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := startListenerAt(t, &exhaustedListener{Listener: socket}, &atomic.Bool{})
	is.Equal(exchange(t, address, "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "HTTP/1.1 200 OK")
}

// TestInvalidInputIsRejected guards against accepting invalid or oversized requests and
// wrong operator tokens, and against a listener that stops serving after them.
func TestInvalidInputIsRejected(t *testing.T) {
	address := startListener(t)
	cases := []struct{ name, raw, want string }{
		{"good", "GET /s/x/a?b=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "200"},
		{"garbage", "\x00\x01\x02\r\n\r\n", "400"},
		{"long header", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", "431"},
		{"long body", fmt.Sprintf("POST /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", 1<<30), "413"},
		{"bad key", "GET /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nIdempotency-Key: home.x\r\n\r\n", "400"},
		{"bad deadline", "GET /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nEndiverun-Deadline-Ms: soon\r\n\r\n", "400"},
		{"no token", "GET /v1/status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "401"},
		{"wrong token", "GET /v1/status HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer x\r\n\r\n", "401"},
		{"token", "GET /v1/status HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer secret\r\n\r\n", "200"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if line := exchange(t, address, test.raw); !strings.Contains(line, test.want) {
				t.Errorf("got %q, want %s", line, test.want)
			}
		})
	}
	is := is.New(t)
	response, err := http.Get("http://" + address + "/healthz") //nolint:noctx // The test has a timeout.
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK) // still serves after invalid requests
}

// TestStopDuringRequestClosesConnection guards against a connection that stays open after a
// request during which the stop began: the stop could then close it as idle while the client sends
// the next request.
func TestStopDuringRequestClosesConnection(t *testing.T) {
	is := is.New(t)
	address := startDrainingListener(t, &atomic.Bool{})
	response, err := http.Get("http://" + address + "/s/lookup/a") //nolint:noctx // The test has a timeout.
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(!response.Close)
	response, err = http.Get("http://" + address + "/s/drain/a") //nolint:noctx // The test has a timeout.
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
}
