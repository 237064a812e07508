package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
)

// endless returns a script that writes head, then repeats a text until the host closes
// the connection. It counts the repeated bytes in sent.
func endless(head, repeated string, sent *atomic.Int64) func(net.Conn, *bufio.Reader) {
	chunk := strings.Repeat(repeated, 1+4096/len(repeated))
	return func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, err := io.WriteString(conn, head)
		for err == nil {
			_, err = io.WriteString(conn, chunk)
			sent.Add(int64(len(chunk)))
		}
	}
}

// TestEndlessAnswer guards against running out of memory when a faulty upstream never
// stops sending: the host must buffer a limited number of bytes and then close the
// connection.
func TestEndlessAnswer(t *testing.T) {
	// The socket buffers take some megabytes in addition to what the host buffers.
	const maxSent = 16 * core.Mebibyte
	tests := []struct {
		name, head, repeated string
	}{
		{"head of one field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"head of fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no answer at all", "", "\x00\xff"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body without a length", okHead + "\r\n", "x"},
		{"body in chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{"one chunk", okHead + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x"},
		{"answers to others", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			upstream := serve(t, endless(tt.head, tt.repeated, &sent))
			e := newExchanger()
			e.MaxBufferedBytes = 2 * core.Mebibyte
			result := e.Do(t.Context(), attempt(upstream, ""))
			is.Equal(result.State, core.RunUnknown)
			is.True(!result.TimedOut)
			is.True(sent.Load() < int64(maxSent))
			result.Close()
		})
	}
}

// TestEndlessAnswersShareBudget guards against running out of memory when many
// upstreams send endless bodies at once. All of them share one byte budget, and their
// bytes must be released afterwards: a normal response must still fit.
func TestEndlessAnswersShareBudget(t *testing.T) {
	is := is.New(t)
	const upstreams = 8
	var sent atomic.Int64
	e := newExchanger()
	e.MaxResponseBody, e.MaxBufferedBytes = core.Mebibyte, 2*core.Mebibyte
	var group conc.WaitGroup
	for range upstreams {
		upstream := serve(t, endless(okHead+"\r\n", "x", &sent))
		group.Go(func() {
			result := e.Do(t.Context(), attempt(upstream, ""))
			if result.State != core.RunUnknown {
				t.Errorf("state %v: %s", result.State, result.FailureReason)
			}
			result.Close()
		})
	}
	group.Wait()
	normal := serve(t, reply(okHead+"Content-Length: 2\r\n\r\nok"))
	result := e.Do(t.Context(), attempt(normal, ""))
	defer result.Close()
	is.Equal(result.State, core.Answered)
}
