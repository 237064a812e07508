package receiver_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/entry/receiver"
)

// newClient returns a client that reads responses strictly and retries nothing.
func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		Transport:  &receiver.Transport{},
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// post sends a body and returns the body of the response.
func post(client *fasthttp.Client, address string, body []byte) (string, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/")
	request.SetBodyRaw(body)
	err := client.DoTimeout(request, response, callTimeout)
	return string(response.Body()), err
}

// TestTransportKeepsConnections covers when a connection carries the next request too.
func TestTransportKeepsConnections(t *testing.T) {
	tests := []struct {
		name, response string
		connections    int32
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n", 1},
		{"HTTP/1.0 that stays open", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n\r\nok", 1},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 2},
		{"upstream closes", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"bytes after the response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int32
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				connections.Add(1)
				for {
					var request fasthttp.Request
					if request.Read(r) != nil {
						return
					}
					_, _ = io.WriteString(conn, tt.response)
				}
			})
			client := newClient()
			defer client.CloseIdleConnections()
			for range 2 {
				body, err := post(client, address, nil)
				is.NoErr(err)
				is.Equal(body, "ok")
			}
			is.Equal(connections.Load(), tt.connections)
		})
	}
}

// TestTransportTimeout guards against a call that takes longer than its timeout because the
// connection took a part of it to open.
func TestTransportTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := newClient()
		client.Dial = func(string) (net.Conn, error) {
			time.Sleep(callTimeout / 2)
			conn, peer := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, peer) }()
			return conn, nil
		}
		start := time.Now()
		_, err := post(client, "127.0.0.1:1", nil)
		is.Equal(err, fasthttp.ErrTimeout)
		is.Equal(time.Since(start), callTimeout)
		time.Sleep(time.Minute) // until the goroutines of the client have ended
	})
}

// TestTransportReset guards against taking the first part of a body without a length for a whole
// one if the peer resets the connection while it is sent a long request. The client may notice
// the reset in the middle of its request alone.
func TestTransportReset(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nfirst part")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	upload := bytes.Repeat([]byte("u"), 1<<20)
	for range 60 {
		if body, err := post(newClient(), address, upload); err == nil {
			t.Fatalf("%q passed as whole", body)
		}
	}
}

// TestTransportEarlyResponse covers a whole response that comes during a long request, after
// which the peer closes the connection.
func TestTransportEarlyResponse(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Large\r\nContent-Length: 5\r\n\r\nlarge")
	})
	upload := bytes.Repeat([]byte("u"), 1<<20)
	for range 20 {
		is := is.New(t)
		body, err := post(newClient(), address, upload) // on a new connection
		is.NoErr(err)
		is.Equal(body, "large")
	}
}
