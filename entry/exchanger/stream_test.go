package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// longBody is longer than the part that is read before an answer is passed on.
const longBody = 400 << 10

// replyLong writes an answer that states a long body and breaks off after some of it.
func replyLong(sent int, tail string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", okHead, longBody)
		_, _ = io.WriteString(conn, strings.Repeat("x", sent)+tail)
		if sent == longBody {
			_ = readRequest(r) // until the host closes the connection
		}
	}
}

// TestLongAnswer covers bodies that are passed on before they are whole.
func TestLongAnswer(t *testing.T) {
	tests := []struct {
		name  string
		sent  int
		tail  string
		state core.RunState
		// isWhole says that the body can be read to its end.
		isWhole bool
	}{
		{"whole", longBody, "", core.Answered, true},
		{"broken off midway", longBody / 2, "", core.Answered, false},
		{"broken off in the first part", 1000, "", core.RunUnknown, false},
		{"with surplus bytes", longBody, "HTTP/1.1 200 OK\r\n", core.Answered, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			upstream := serve(t, replyLong(tt.sent, tt.tail))
			e := newExchanger()
			defer e.Close()
			result := e.Do(t.Context(), attempt(upstream, ""))
			defer result.Close()
			is.Equal(result.State, tt.state)
			if tt.state != core.Answered {
				return
			}
			is.Equal(result.Report.Outcome, placer.Done)
			is.Equal(result.Stream.Size(), longBody)
			isCut := false
			result.Stream.OnCut = func() { isCut = true }
			n, err := io.Copy(io.Discard, result.Stream)
			is.Equal(err == nil, tt.isWhole)
			is.Equal(n == longBody, tt.isWhole)
			is.NoErr(result.Stream.Close())
			is.Equal(isCut, !tt.isWhole)
		})
	}
}

// TestConnectionOfLongAnswerIsKept checks that the connection carries the next
// request once a body was read to its end, and is closed where it was not.
func TestConnectionOfLongAnswerIsKept(t *testing.T) {
	for _, isRead := range []bool{true, false} {
		t.Run(fmt.Sprint(isRead), func(t *testing.T) {
			is := is.New(t)
			long := func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) == nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", okHead, longBody)
				_, _ = io.WriteString(conn, strings.Repeat("x", longBody))
			}
			same := make(chan bool, 1)
			upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
				long(conn, r)
				same <- readRequest(r) != nil
				_, _ = io.WriteString(conn, whole)
			}, reply(whole))
			e := newExchanger()
			defer e.Close()
			result := e.Do(t.Context(), attempt(upstream, ""))
			if isRead {
				_, err := io.Copy(io.Discard, result.Stream)
				is.NoErr(err)
			}
			result.Close()
			second := e.Do(t.Context(), attempt(upstream, ""))
			is.Equal(second.State, core.Answered)
			second.Close()
			is.Equal(<-same, isRead)
		})
	}
}

// TestLongAnswerOfAnotherRequest is the pattern of a second copy of a long answer
// on a connection that is in use again: it is passed over whole.
func TestLongAnswerOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: late\r\nContent-Length: %d\r\n\r\n", longBody)
		_, _ = io.WriteString(conn, strings.Repeat("x", longBody)+whole)
	})
	e := newExchanger()
	defer e.Close()
	result := e.Do(t.Context(), attempt(upstream, ""))
	defer result.Close()
	is.Equal(result.State, core.Answered)
	is.True(result.Stream == nil)
	is.Equal(string(result.Response.Body()), "ok")
}
