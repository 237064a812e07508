package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
)

// dialerFor returns a dialer to an upstream that sends one scripted response and closes
// the connection. The script gets the attempt id of the request.
func dialerFor(respond func(attempt string) string) caller.DialFunc {
	return func(string, string, time.Duration) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			defer func() { _ = serverConn.Close() }()
			reader := bufio.NewReader(serverConn)
			attempt := ""
			for {
				line, err := reader.ReadString('\n')
				if err != nil {
					return
				}
				if name, value, ok := strings.Cut(strings.TrimSpace(line), ": "); ok && name == caller.HeaderAttempt {
					attempt = value
				}
				if strings.TrimSpace(line) == "" {
					_, _ = fmt.Fprint(serverConn, respond(attempt))
					return
				}
			}
		}()
		return clientConn, nil
	}
}

// completeResponse returns a response with a body and its digest.
func completeResponse(attempt string) string {
	const body = "hello"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s",
		caller.HeaderAttempt, attempt, len(body), caller.HeaderContentDigest, caller.ContentDigest([]byte(body)), body)
}

// TestAnswers checks the run state that follows from each kind of response. Only a
// complete and intact response to the attempt counts as Answered, and only a rejection
// of that attempt as NotRun.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name    string
		respond func(attempt string) string
		want    core.RunState
	}{
		{"whole", completeResponse, core.Answered},
		{"crossed", func(string) string { return completeResponse("another") }, core.RunUnknown},
		{"truncated", func(a string) string { return completeResponse(a)[:len(completeResponse(a))-2] }, core.RunUnknown},
		{"damaged", func(a string) string { return strings.Replace(completeResponse(a), "\r\nhello", "\r\njello", 1) }, core.RunUnknown},
		{"without length", func(a string) string {
			return "HTTP/1.1 200 OK\r\n" + caller.HeaderAttempt + ": " + a + "\r\n\r\nhello"
		}, core.RunUnknown},
		{"in chunks without their end", func(a string) string {
			return "HTTP/1.1 200 OK\r\n" + caller.HeaderAttempt + ": " + a + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
		}, core.RunUnknown},
		{"no answer", func(string) string { return "" }, core.RunUnknown},
		{"shed", func(a string) string {
			return "HTTP/1.1 503 X\r\n" + caller.HeaderAttempt + ": " + a + "\r\n" +
				caller.HeaderRunState + ": not-run\r\nContent-Length: 0\r\n\r\n"
		}, core.NotRun},
		{"shed for another", func(string) string {
			return "HTTP/1.1 503 X\r\n" + caller.HeaderAttempt + ": b\r\n" +
				caller.HeaderRunState + ": not-run\r\nContent-Length: 0\r\n\r\n"
		}, core.RunUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			subject := &caller.Caller{Dial: dialerFor(c.respond), MaxResponseBody: core.Mebibyte}
			result := subject.Do(caller.Attempt{
				ID:              "a.1.1",
				Upstream:        core.Upstream{Address: "127.0.0.1:1"},
				Request:         core.Request{Method: "GET", Path: "/", Deadline: time.Now().Add(5 * time.Second)},
				ProgressTimeout: 5 * time.Second,
			}, time.Now)
			is.Equal(result.RunState, c.want)
		})
	}
}

// TestRefusedConnectionWasNotRun checks that an attempt without a connection counts as
// NotRun, so that another attempt is safe.
func TestRefusedConnectionWasNotRun(t *testing.T) {
	is := is.New(t)
	subject := &caller.Caller{Dial: func(string, string, time.Duration) (net.Conn, error) { return nil, net.ErrClosed }}
	result := subject.Do(caller.Attempt{Request: core.Request{Deadline: time.Now().Add(time.Second)}}, time.Now)
	is.Equal(result.RunState, core.NotRun)
}
