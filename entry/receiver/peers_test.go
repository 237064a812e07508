package receiver_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/heartbeater"
	"github.com/endiverun/endiverun/entry/storer"
)

// callTimeout is the timeout of the calls to peers, and longer than those take.
const callTimeout = 5 * time.Second

// peer is one of those whose responses hosts read.
type peer struct {
	name string
	// fields and body are those of a response that the call accepts.
	fields, body string
	// mustStateLength says that the call accepts no body that ends with the connection.
	mustStateLength bool
	// limit is the largest body that the call reads.
	limit core.Bytes
	// call makes a call to the peer at an address, and fails if it accepts no response.
	call func(address string) error
}

// peers returns all peers but the upstreams of package exchanger, whose responses to attempts
// it tests itself, and the hosts that package asker calls.
func peers() []peer {
	deadline := time.Now().Add(time.Hour)
	return []peer{
		{"upstream, health check", "Instance: u-1\r\n", "ok", false, core.Mebibyte, checkHealth},
		{"upstream of entry", "Endiverun-Attempt: a.1.1\r\n", "ok", true, core.Mebibyte, func(address string) error {
			c := &caller.Caller{Dial: caller.DialTCP, MaxResponseBody: core.Mebibyte}
			defer c.Close()
			request := core.Request{Method: "GET", Path: "/", Deadline: deadline}
			result := c.Do(caller.Attempt{ID: "a.1.1", Upstream: core.Upstream{Address: address}, Request: request}, time.Now)
			if result.RunState != core.Answered {
				return core.ErrPeer.New("%s", result.FailureReason)
			}
			return nil
		}},
		{"upstream of entry, health report", "", "{}", false, 4 * core.Kibibyte, func(address string) error {
			c := &caller.Caller{Dial: caller.DialTCP}
			_, err := c.FetchHealth(core.Upstream{Address: address}, callTimeout, time.Now())
			return err
		}},
		{"store", "", "{}", false, 4 * core.Mebibyte, func(address string) error {
			c := caller.NewStoreClient(address, caller.NewDialer(callTimeout))
			var object map[string]any
			_, err := c.Do(caller.StoreCall{Operation: "get", Method: fasthttp.MethodGet, Path: "/objects/config/main", Wait: callTimeout}, &object)
			return err
		}},
		{"store of entry", "", "{}", false, 2 * core.Mebibyte, func(address string) error {
			_, err := newStorer(address).Get("ticket", "7")
			return err
		}},
		{"store of entry, watch", "", "{}", false, 4 * core.Mebibyte, func(address string) error {
			s := newStorer(address)
			defer s.Close()
			return s.Watch("ticket", 1, callTimeout, func(storer.Event) bool { return true })
		}},
		{"another host", "", "\xa0", false, 16 * core.Mebibyte, func(address string) error {
			var f heartbeater.Fetcher
			_, err := f.Fetch(address, core.Revisions{}, callTimeout)
			return err
		}},
	}
}

func checkHealth(address string) error {
	e := &exchanger.Exchanger{
		HeaderNames: exchanger.HeaderNames{RequestID: "Request-Id", Instance: "Instance", Leaving: "Leaving"},
		Dial:        caller.NewDialer(callTimeout), MaxResponseBody: core.Mebibyte,
	}
	defer e.Close()
	_, err := e.CheckHealth(core.Upstream{Name: "u-1", Address: address}, "/health", callTimeout)
	return err
}

func newStorer(address string) *storer.Storer {
	s := &storer.Storer{Address: address, Timeout: callTimeout}
	s.Init()
	return s
}

// serve listens on loopback and handles each connection, which it then closes. It returns the
// address.
func serve(t testing.TB, handle func(conn net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// respondWith handles a connection by reading a request and writing a response with respond.
func respondWith(respond func(conn net.Conn)) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(r) == nil {
			respond(conn)
		}
	}
}

// TestMalformedResponsesOfPeers guards against a reader of responses that takes bytes that are
// no valid response.
func TestMalformedResponsesOfPeers(t *testing.T) {
	tests := []struct {
		name, response string
		isValid        bool
	}{
		{"without a length", "HTTP/1.1 200 OK\r\nFIELDS\r\nBODY", true},
		{"in chunks", "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n0LENGTH;a\r\nBODY\r\n0\r\nX:\r\n\r\n", true},
		{"valid", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", true},
		{"empty reason", "HTTP/1.1 200 \r\nX:\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", true},
		{"status 000", "HTTP/1.1 000 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", false},
		{"status 600", "HTTP/1.1 600 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", false},
		{"later major version", "HTTP/2.0 200 OK\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: a\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: a\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", false},
		{"value over two lines", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nFIELDSContent-Length: LENGTH\r\n\r\nBODY", false},
		{"length and chunks", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: LENGTH\r\n" +
			"Transfer-Encoding: chunked\r\n\r\nLENGTH\r\nBODY\r\n0\r\n\r\n", false},
		{"broken trailer", "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n0LENGTH\r\nBODY\r\n0\r\nX Y: a\r\n\r\n", false},
		{"cut before the end of the body", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 1LENGTH\r\n\r\nBODY", false},
	}
	for _, p := range peers() {
		for _, tt := range tests {
			t.Run(p.name+", "+tt.name, func(t *testing.T) {
				length := string(rune('0' + len(p.body)))
				response := strings.NewReplacer("FIELDS", p.fields, "LENGTH", length, "BODY", p.body).Replace(tt.response)
				err := p.call(serve(t, respondWith(func(conn net.Conn) { _, _ = io.WriteString(conn, response) })))
				wantValid := tt.isValid && (tt.name != "without a length" || !p.mustStateLength)
				if isValid := err == nil; isValid != wantValid {
					t.Errorf("%q: error %v", response, err)
				}
			})
		}
	}
}

// TestEndlessResponsesOfPeers guards against running out of memory when a peer never stops
// sending: the call must read a limited number of bytes and then close the connection.
func TestEndlessResponsesOfPeers(t *testing.T) {
	// The socket buffers take some megabytes in addition to what the host reads.
	const socketBuffers = 16 * core.Mebibyte
	const chunked = "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, head, repeated string
	}{
		{"head of one field", "HTTP/1.1 200 OK\r\nFIELDSX: ", "x"},
		{"head of fields", "HTTP/1.1 200 OK\r\nFIELDS", "X: x\r\n"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no response at all", "", "\x00\xff"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body without a length", "HTTP/1.1 200 OK\r\nFIELDS\r\n\"", "x"},
		{"body with a long length", "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 99999999999\r\n\r\n\"", "x"},
		{"body in chunks", chunked + "1\r\n\"\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{"body in small chunks", chunked + "1\r\n\"\r\n", "1\r\nx\r\n"},
		{"one chunk", chunked + "fffffffff\r\n\"", "x"},
		{"size of a chunk", chunked, "0"},
		{"extension of a chunk", chunked + "1;", "x"},
		{"extensions of all chunks", chunked, "1;" + strings.Repeat("x", 1024) + "\r\n \r\n"},
		{"trailer of one field", chunked + "0\r\nX: ", "x"},
		{"trailer of fields", chunked + "0\r\n", "X: x\r\n"},
	}
	for _, p := range peers() {
		for _, tt := range tests {
			t.Run(p.name+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				address := serve(t, respondWith(func(conn net.Conn) {
					piece := strings.Repeat(tt.repeated, 1+4096/len(tt.repeated))
					_, err := io.WriteString(conn, strings.ReplaceAll(tt.head, "FIELDS", p.fields))
					for err == nil {
						_, err = io.WriteString(conn, piece)
						sent.Add(int64(len(piece)))
					}
				}))
				if p.call(address) == nil {
					t.Error("accepted")
				}
				// A chunk of one byte takes six on the wire.
				const overhead = 6
				if sent.Load() > int64(overhead*p.limit+socketBuffers) {
					t.Errorf("%d bytes sent, the limit of a body is %d", sent.Load(), p.limit)
				}
			})
		}
	}
}
