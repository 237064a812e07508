package asker_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/operator/asker"
)

// respondWith serves one connection of a listener: it reads a request and writes a response.
func respondWith(t *testing.T, respond func(conn net.Conn)) *asker.APIClient {
	t.Helper()
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var request fasthttp.Request
		if request.Read(bufio.NewReader(conn)) == nil {
			respond(conn)
		}
	}()
	return &asker.APIClient{Hosts: []string{listener.Addr().String()}, Timeout: 5 * time.Second}
}

// TestMalformedResponse guards against showing an operator what a host did not say: bytes that
// are no valid response count as no response.
func TestMalformedResponse(t *testing.T) {
	tests := []struct {
		name, response string
		isValid        bool
	}{
		{"valid", "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"host\":\"host-1\"}", true},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 17\r\n\r\n{\"host\":\"host-1\"}", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 17\r\n\r\n{\"host\":\"host-1\"}", false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 17\r\nContent-Length: 18\r\n\r\n{\"host\":\"host-1\"}", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := respondWith(t, func(conn net.Conn) { _, _ = io.WriteString(conn, tt.response) })
			status, err := a.Status(a.Hosts[0])
			is.Equal(err == nil, tt.isValid)
			is.Equal(status.Host == "host-1", tt.isValid)
		})
	}
}

// TestEndlessResponse guards against running out of memory when a host never stops sending.
func TestEndlessResponse(t *testing.T) {
	// The client reads bodies of up to 16 MiB; the socket buffers take some more.
	const maxSent = 32 << 20
	tests := []struct{ name, head, repeated string }{
		{"head", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n\"", "x"},
		{"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("1", 1024) + "\r\n"},
		{"extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			a := respondWith(t, func(conn net.Conn) {
				piece := strings.Repeat(tt.repeated, 1+4096/len(tt.repeated))
				_, err := io.WriteString(conn, tt.head)
				for err == nil {
					_, err = io.WriteString(conn, piece)
					sent.Add(int64(len(piece)))
				}
			})
			_, err := a.Status(a.Hosts[0])
			is.True(errors.Is(err, asker.ErrUnreachable))
			is.True(sent.Load() < maxSent)
		})
	}
}
