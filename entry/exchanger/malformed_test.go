package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/exchanger"
)

// TestMalformedResponses guards against taking bytes for a response that RFC 9110 and RFC 9112
// do not allow. Such an attempt has an unknown outcome, and nothing in its bytes counts: each
// head here also says that the request did not run, that the upstream drains and has a load.
func TestMalformedResponses(t *testing.T) {
	const said = "Request-Id: id-1\r\nNot-Run: 1\r\nLeaving: 1\r\nLoad: 1,2,3\r\n"
	const fields = said + "Content-Length: 2\r\n\r\nok"
	const chunked = said + "Transfer-Encoding: chunked\r\n"
	tests := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 OK\r\n" + fields},
		{"status 099", "HTTP/1.1 099 OK\r\n" + fields},
		{"status 600", "HTTP/1.1 600 OK\r\n" + fields},
		{"status 999", "HTTP/1.1 999 OK\r\n" + fields},
		{"status of two digits", "HTTP/1.1 20 OK\r\n" + fields},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + fields},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + fields},
		{"status with a letter", "HTTP/1.1 20x OK\r\n" + fields},
		{"no status", "HTTP/1.1 OK\r\n" + fields},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + fields},
		{"tab before the status", "HTTP/1.1\t200 OK\r\n" + fields},
		{"tab after the status", "HTTP/1.1 200\tOK\r\n" + fields},
		{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n" + fields},
		{"later major version", "HTTP/2.0 200 OK\r\n" + fields},
		{"earlier major version", "HTTP/0.9 200 OK\r\n" + fields},
		{"version of two digits", "HTTP/1.10 200 OK\r\n" + fields},
		{"name of the protocol in lower case", "http/1.1 200 OK\r\n" + fields},
		{"another protocol", "ICY 200 OK\r\n" + fields},
		{"blank before the status line", " HTTP/1.1 200 OK\r\n" + fields},
		{"empty line before the status line", "\r\nHTTP/1.1 200 OK\r\n" + fields},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + fields},
		{"NUL in the reason", "HTTP/1.1 200 O\x00K\r\n" + fields},
		{"line feed alone after the status line", "HTTP/1.1 200 OK\n" + fields},
		{"line feed alone after a field", "HTTP/1.1 200 OK\r\nX: y\n" + fields},
		{"line feed alone after the head", "HTTP/1.1 200 OK\r\n" + said + "Content-Length: 2\r\n\nok"},
		{"carriage return in a value", "HTTP/1.1 200 OK\r\nX: a\rb\r\n" + fields},
		{"carriage return before the line end", "HTTP/1.1 200 OK\r\nX: a\r\r\n" + fields},
		{"NUL in a value", "HTTP/1.1 200 OK\r\nX: a\x00b\r\n" + fields},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX: a\x1bb\r\n" + fields},
		{"DEL in a value", "HTTP/1.1 200 OK\r\nX: a\x7fb\r\n" + fields},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: a\r\n" + fields},
		{"blank after a name", "HTTP/1.1 200 OK\r\nX : a\r\n" + fields},
		{"tab after a name", "HTTP/1.1 200 OK\r\nX\t: a\r\n" + fields},
		{"blank before a name", "HTTP/1.1 200 OK\r\n X: a\r\n" + fields},
		{"blank after the name of the length", "HTTP/1.1 200 OK\r\n" + said + "Content-Length : 2\r\n\r\nok"},
		{"blank in the name of the length", "HTTP/1.1 200 OK\r\n" + said + "Content Length: 2\r\n\r\nok"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: a\r\n" + fields},
		{"NUL in a name", "HTTP/1.1 200 OK\r\nX\x00Y: a\r\n" + fields},
		{"byte above 127 in a name", "HTTP/1.1 200 OK\r\nX\xe9: a\r\n" + fields},
		{"delimiter in a name", "HTTP/1.1 200 OK\r\nX(Y): a\r\n" + fields},
		{"empty name", "HTTP/1.1 200 OK\r\n: a\r\n" + fields},
		{"line without a colon", "HTTP/1.1 200 OK\r\nX\r\n" + fields},
		{"value over two lines", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n" + fields},
		{"two lengths", "HTTP/1.1 200 OK\r\n" + said + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
		{"list of two lengths", "HTTP/1.1 200 OK\r\n" + said + "Content-Length: 2, 3\r\n\r\nok"},
		{"length with a sign", "HTTP/1.1 200 OK\r\n" + said + "Content-Length: +2\r\n\r\nok"},
		{"negative length", "HTTP/1.1 200 OK\r\n" + said + "Content-Length: -2\r\n\r\nok"},
		{"length in hexadecimal", "HTTP/1.1 200 OK\r\n" + said + "Content-Length: 0x2\r\n\r\nok"},
		{"empty length", "HTTP/1.1 200 OK\r\n" + said + "Content-Length:\r\n\r\nok"},
		{"length above 64 bits", "HTTP/1.1 200 OK\r\n" + said + "Content-Length: 18446744073709551618\r\n\r\nok"},
		{"length and chunks", "HTTP/1.1 200 OK\r\n" + chunked + "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"unknown coding", "HTTP/1.1 200 OK\r\n" + said + "Transfer-Encoding: identity\r\n\r\nok"},
		{"coding that was not requested", "HTTP/1.1 200 OK\r\n" + said + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"chunks twice", "HTTP/1.1 200 OK\r\n" + chunked + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked + "\r\n2\r\nok\r\n0\r\n\r\n"},
		{"no chunk size", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n\r\nok\r\n0\r\n\r\n"},
		{"chunk size with a sign", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n+2\r\nok\r\n0\r\n\r\n"},
		{"chunk size with a prefix", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n0x2\r\nok\r\n0\r\n\r\n"},
		{"chunk size after a blank", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n 2\r\nok\r\n0\r\n\r\n"},
		{"chunk size before a blank", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2 \r\nok\r\n0\r\n\r\n"},
		{"chunk size above 64 bits", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n10000000000000002\r\nok\r\n0\r\n\r\n"},
		{"control byte in a chunk extension", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2;a\x01\r\nok\r\n0\r\n\r\n"},
		{"chunk extension without a name", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2;=b\r\nok\r\n0\r\n\r\n"},
		{"line feed alone after a chunk size", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2\nok\r\n0\r\n\r\n"},
		{"line feed alone after a chunk", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2\r\nok\n0\r\n\r\n"},
		{"chunk longer than its size", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2\r\noks\r\n0\r\n\r\n"},
		{"blank in the name of a trailer field", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2\r\nok\r\n0\r\nX Y: a\r\n\r\n"},
		{"line without a colon in the trailer", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2\r\nok\r\n0\r\nX\r\n\r\n"},
		{"control byte in the trailer", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2\r\nok\r\n0\r\nX: \x01\r\n\r\n"},
		{"line feed alone after the trailer", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n2\r\nok\r\n0\r\n\n"},
		{"broken informational head", "HTTP/1.1 103 Hints\r\nX Y: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields},
		{"informational head with a length", "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n" + fields},
		{"informational head with chunks", "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n" + fields},
		{"status 204 with a length", "HTTP/1.1 204 No Content\r\n" + fields},
		{"status 204 with chunks", "HTTP/1.1 204 No Content\r\n" + chunked + "\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newExchanger()
			hasLeft := false
			e.OnLeaving = func(core.Upstream) { hasLeft = true }
			result := e.Do(t.Context(), attempt(serve(t, reply(tt.response)), ""))
			defer result.Close()
			is.Equal(result.State, core.RunUnknown)
			is.Equal(result.Report.Outcome, placer.Broken)
			is.True(result.Report.Load == nil)
			is.True(!result.Report.Availability.IsLeaving)
			if head, _, _ := strings.Cut(tt.response, "\r\n\r\n"); !strings.Contains(head, "chunked") {
				is.True(!hasLeft)
			}
		})
	}
}

// TestUnusualResponses guards against refusing responses that RFC 9110 and RFC 9112 allow but
// few upstreams send.
func TestUnusualResponses(t *testing.T) {
	const id = "Request-Id: id-1\r\n"
	tests := []struct {
		name, response string
		status         int
		body           string
	}{
		{"empty reason", "HTTP/1.1 200 \r\n" + id + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"no blank after the status", "HTTP/1.1 200\r\n" + id + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"odd reason", "HTTP/1.1 200 a\tb  \x80\xff (200) \"x\": y\r\n" + id + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"status without a name", "HTTP/1.1 299 \r\n" + id + "Content-Length: 2\r\n\r\nok", 299, "ok"},
		{"highest status", "HTTP/1.1 599 Last\r\n" + id + "Content-Length: 2\r\n\r\nok", 599, "ok"},
		{"later minor version", "HTTP/1.2 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n" + id + "\r\nok", 200, "ok"},
		{"names in other case", "HTTP/1.1 200 OK\r\nREQUEST-ID: id-1\r\ncontent-length: 2\r\n\r\nok", 200, "ok"},
		{"all characters of a name", okHead + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"empty values", okHead + "X:\r\nY: \r\nZ: \t \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"no blank after the colon", "HTTP/1.1 200 OK\r\nRequest-Id:id-1\r\nContent-Length:2\r\n\r\nok", 200, "ok"},
		{"blanks around a value", okHead + "Content-Length: \t 2 \t\r\n\r\nok", 200, "ok"},
		{"bytes above 127 in a value", okHead + "X: \x80\xff\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"tab in a value", okHead + "X: a\tb\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"length with zeros in front", okHead + "Content-Length: 0002\r\n\r\nok", 200, "ok"},
		{"same field twice", okHead + "X: a\r\nX: b\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"name of the coding in other case", okHead + "Transfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
		{"empty element beside the coding", okHead + "Transfer-Encoding: , chunked ,\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
		{
			"chunk extensions", okHead + "Transfer-Encoding: chunked\r\n\r\n" +
				"1;a\r\no\r\n1 ; b = c;d=\"e;\\\"\tf\"\r\nk\r\n0;z\r\n\r\n", 200, "ok",
		},
		{"chunk size with zeros in front", okHead + "Transfer-Encoding: chunked\r\n\r\n0002\r\nok\r\n000\r\n\r\n", 200, "ok"},
		{
			"chunk size in letters", okHead + "Transfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\nb\r\n0123456789x\r\n0\r\n\r\n",
			200, "01234567890123456789x",
		},
		{"trailer", okHead + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\nX:\r\n\r\n", 200, "ok"},
		{"no bytes in chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, ""},
		{"no bytes before the end of the connection", okHead + "\r\n", 200, ""},
		{
			"several informational heads",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 \r\n\r\nHTTP/1.1 103 H\r\nLink: a\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok",
			200, "ok",
		},
		{"same length twice", okHead + "Content-Length: 2\r\nContent-Length: 2, 2\r\n\r\nok", 200, "ok"},
		{"status 204 with length 0", "HTTP/1.1 204 No Content\r\n" + id + "Content-Length: 0\r\n\r\n", 204, ""},
		{"status 304 with the length of the object", "HTTP/1.1 304 Not Modified\r\n" + id + "Content-Length: 7\r\n\r\n", 304, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			result := newExchanger().Do(t.Context(), attempt(serve(t, reply(tt.response)), ""))
			defer result.Close()
			is.Equal(result.FailureReason, failureOf(tt.status))
			is.Equal(result.State, core.Answered)
			is.Equal(result.Response.StatusCode(), tt.status)
			is.Equal(string(result.Response.Body()), tt.body)
		})
	}
}

// failureOf returns the failure reason of a response with a status.
func failureOf(status int) string {
	if status < 500 {
		return ""
	}
	return "failed with status 599"
}

// uploadSize is the size in bytes of a request body that is still being sent when the upstream
// responds: it exceeds what the sockets buffer.
const uploadSize = 1 << 20

// early returns a script that reads the beginning of a request and then responds.
func early(response string, end func(conn net.Conn)) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		end(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// drainTime is how long an upstream that has responded reads what the host still sends.
const drainTime = 100 * time.Millisecond

// closeCleanly ends what the upstream sends, and reads what the host still sends.
func closeCleanly(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.Copy(io.Discard, conn)
}

// TestResetDuringUpload guards against taking the first part of a body without a length for a
// whole one if the upstream resets the connection during an upload. The system tells only one
// of the two directions of the reset; for the other the connection just ends.
func TestResetDuringUpload(t *testing.T) {
	const tries = 60
	answered := 0
	for range tries {
		upstream := serve(t, early(okHead+"\r\nfirst part", reset))
		result := newExchanger().Do(t.Context(), attempt(upstream, strings.Repeat("u", uploadSize)))
		if result.State == core.Answered {
			answered++
		}
		result.Close()
	}
	if answered > 0 {
		t.Errorf("%d of %d responses passed as whole", answered, tries)
	}
}

// TestEarlyResponse covers responses that come whole during an upload, after which the upstream
// closes the connection.
func TestEarlyResponse(t *testing.T) {
	const head = "HTTP/1.1 413 Too Large\r\nRequest-Id: id-1\r\n"
	tests := []struct {
		name, response string
		end            func(conn net.Conn)
	}{
		{"with a length", head + "Content-Length: 5\r\n\r\nlarge", closeCleanly},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n0\r\n\r\n", closeCleanly},
		{"without a length", head + "\r\nlarge", closeCleanly},
		{"with a length, then a reset", head + "Content-Length: 5\r\n\r\nlarge", reset},
		{"without a length, then an end and a reset", head + "\r\nlarge", func(conn net.Conn) {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			_ = conn.Close() // The unread bytes make it a reset.
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 20 {
				is := is.New(t)
				upstream := serve(t, early(tt.response, tt.end))
				result := newExchanger().Do(t.Context(), attempt(upstream, strings.Repeat("u", uploadSize)))
				is.Equal(result.FailureReason, "")
				is.Equal(result.State, core.Answered)
				is.Equal(result.Response.StatusCode(), 413)
				is.Equal(string(result.Response.Body()), "large")
				result.Close()
			}
		})
	}
}

// TestMalformedHealthResponses covers health checks, which read responses as attempts do.
func TestMalformedHealthResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nInstance: u-1\r\nLeaving: 1\r\n"
	for name, response := range map[string]string{
		"status 000":       "HTTP/1.1 000 OK\r\nInstance: u-1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":  head + "X Y: a\r\nContent-Length: 0\r\n\r\n",
		"two lengths":      head + "Content-Length: 0\r\nContent-Length: 1\r\n\r\n",
		"reset in a body":  head + "Content-Length: 5\r\n\r\nab",
		"broken last line": head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			health, err := newExchanger().CheckHealth(serve(t, reply(response)), "/health", dialTime)
			is.True(err != nil)
			is.Equal(health, exchanger.Health{})
		})
	}
}
