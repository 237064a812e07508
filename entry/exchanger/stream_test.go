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

// longBody is the length in bytes of a body that is streamed: more than the part that
// is read in advance.
const longBody = 400 << 10

// replyLong returns a script that announces a body of longBody bytes, writes only sent
// bytes of it, then the tail, and closes the connection. After a complete body it first
// waits for the host.
func replyLong(sent int, tail string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", okHead, longBody)
		_, _ = io.WriteString(conn, strings.Repeat("x", sent)+tail)
		if sent == longBody {
			_ = readRequest(r) // returns when the host closes the connection
		}
	}
}

// TestLongAnswer covers streamed bodies. A truncated body must end with an error and a
// callback. If the upstream breaks off within the part that is read in advance,
// there is no response at all, so the request can be retried.
func TestLongAnswer(t *testing.T) {
	tests := []struct {
		name  string
		sent  int
		tail  string
		state core.RunState
		// isComplete says that the body can be read to its end.
		isComplete bool
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
			isTruncated := false
			result.Stream.OnTruncated = func() { isTruncated = true }
			n, err := io.Copy(io.Discard, result.Stream)
			is.Equal(err == nil, tt.isComplete)
			is.Equal(n == longBody, tt.isComplete)
			is.NoErr(result.Stream.Close())
			is.Equal(isTruncated, !tt.isComplete)
		})
	}
}

// TestConnectionOfLongAnswerIsKept checks that the connection of a streamed response is
// reused if the body was read to its end. Otherwise it must be closed, since the next
// request would read the rest of the body.
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
			isSameConnection := make(chan bool, 1)
			upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
				long(conn, r)
				isSameConnection <- readRequest(r) != nil
				_, _ = io.WriteString(conn, okResponse)
			}, reply(okResponse))
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
			is.Equal(<-isSameConnection, isRead)
		})
	}
}

// TestLongAnswerOfAnotherRequest guards against streaming the response to an earlier
// request that arrives late on a reused connection. All of it must be skipped, and the
// response that follows is returned.
func TestLongAnswerOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: late\r\nContent-Length: %d\r\n\r\n", longBody)
		_, _ = io.WriteString(conn, strings.Repeat("x", longBody)+okResponse)
	})
	e := newExchanger()
	defer e.Close()
	result := e.Do(t.Context(), attempt(upstream, ""))
	defer result.Close()
	is.Equal(result.State, core.Answered)
	is.True(result.Stream == nil)
	is.Equal(string(result.Response.Body()), "ok")
}
