package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/exchanger"
)

// userTimeout is the TCP user timeout of the dialed connections.
const userTimeout = time.Second

var fields = exchanger.HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", Target: "Target", Load: "Load", NotRun: "Not-Run", RemainingWarmUp: "Cold-Ms",
	Leaving: "Leaving", Instance: "Instance",
}

// serve listens on loopback and runs one script per connection, in order.
func serve(t *testing.T, scripts ...func(conn net.Conn, r *bufio.Reader)) core.Upstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			script(conn, bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return core.Upstream{Name: "u-1", Service: "consulta", Address: listener.Addr().String()}
}

// reply returns a script that reads one request and writes the text.
func reply(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		_, _ = io.WriteString(conn, text)
	}
}

func readRequest(r *bufio.Reader) *fasthttp.Request {
	request := &fasthttp.Request{}
	if request.Read(r) != nil {
		return nil
	}
	return request
}

// dialTime is the stated round-trip time of attempts. It lets connections be opened within
// three times as long, also on a busy machine.
const dialTime = time.Second

func attempt(upstream core.Upstream, body string) exchanger.Attempt {
	head := &fasthttp.RequestHeader{}
	head.SetMethod("POST")
	head.SetRequestURI("/work/7?x=%20a")
	head.SetHost("service.example")
	head.Set("Request-Id", "id-1")
	head.Set("X-Other", "kept")
	head.Set("Connection", "close")
	now := time.Now()
	return exchanger.Attempt{
		Upstream: upstream, Header: head, Body: exchanger.Body{[]byte(body)}, RequestID: "id-1",
		UpstreamDeadline: now.Add(2 * time.Second), ResponseDeadline: now.Add(3 * time.Second),
		RoundTrip: dialTime,
	}
}

func newExchanger() *exchanger.Exchanger {
	return &exchanger.Exchanger{HeaderNames: fields, Dial: caller.NewDialer(userTimeout), MaxResponseBody: core.Mebibyte}
}

// okHead is the start of a successful response with the request id of attempt.
const okHead = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"

// TestClassifyResponses covers the responses of correct and faulty upstreams. Only a
// complete response to the request counts as Answered, and only an explicit rejection
// as NotRun.
func TestClassifyResponses(t *testing.T) {
	tests := []struct {
		name     string
		response string
		state    core.RunState
		outcome  placer.Outcome
		body     string
	}{
		{"whole", okHead + "Content-Length: 2\r\n\r\nok", core.Answered, placer.Done, "ok"},
		{"chunked", okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", core.Answered, placer.Done, "ok"},
		{"without a length, ended with its connection", okHead + "\r\nok", core.Answered, placer.Done, "ok"},
		{
			"after an informational one",
			"HTTP/1.1 103 Early Hints\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok", core.Answered, placer.Done, "ok",
		},
		{
			"failure of the upstream",
			"HTTP/1.1 500 Oops\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n", core.Answered, placer.Failed, "",
		},
		{
			"rejected",
			"HTTP/1.1 503 Busy\r\nRequest-Id: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", core.NotRun, placer.Shed, "",
		},
		{
			"another upstream at the address",
			"HTTP/1.1 421 Misdirected\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n", core.NotRun, placer.Misdirected, "",
		},
		{
			"503 without the proof",
			"HTTP/1.1 503 Busy\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n", core.Answered, placer.Failed, "",
		},
		{"truncated", okHead + "Content-Length: 20\r\n\r\nok", core.RunUnknown, placer.Broken, ""},
		{"truncated chunk", okHead + "Transfer-Encoding: chunked\r\n\r\n9\r\nok", core.RunUnknown, placer.Broken, ""},
		{"no answer in the protocol", "hello\r\n\r\n", core.RunUnknown, placer.Broken, ""},
		{"closed without an answer", "", core.RunUnknown, placer.Broken, ""},
		{
			"of another request",
			"HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nContent-Length: 2\r\n\r\nno", core.RunUnknown, placer.Broken, "",
		},
		{
			"after one of another request",
			"HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nContent-Length: 2\r\n\r\nno" + okHead + "Content-Length: 2\r\n\r\nok",
			core.Answered, placer.Done, "ok",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			result := newExchanger().Do(t.Context(), attempt(serve(t, reply(tt.response)), "body"))
			defer result.Close()
			is.Equal(result.State, tt.state)
			is.Equal(result.Report.Outcome, tt.outcome)
			if result.Response != nil {
				is.Equal(string(result.Response.Body()), tt.body)
			}
		})
	}
}

// TestResetAnswerIsNotWhole guards against taking a truncated response for a complete
// one. A body without a length ends when the connection is closed; a reset is not that
// end.
func TestResetAnswerIsNotWhole(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset
		}
	})
	result := newExchanger().Do(t.Context(), attempt(upstream, ""))
	is.Equal(result.State, core.RunUnknown)
}

// TestRequestIsPassedOnAsItIs checks that the method, request target, header and body
// reach the upstream unchanged, apart from the fields that the host adds and removes.
func TestRequestIsPassedOnAsItIs(t *testing.T) {
	is := is.New(t)
	var received bytes.Buffer
	upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		request := readRequest(tee(r, &received))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n")
		is.Equal(string(request.Body()), "body")
	})
	result := newExchanger().Do(t.Context(), attempt(upstream, "body"))
	defer result.Close()
	is.Equal(result.State, core.Answered)
	text := received.String()
	is.True(strings.HasPrefix(text, "POST /work/7?x=%20a HTTP/1.1\r\n"))
	is.True(strings.Contains(text, "\r\nHost: service.example\r\n"))
	is.True(strings.Contains(text, "\r\nTarget: u-1\r\n"))
	is.True(strings.Contains(text, "\r\nX-Other: kept\r\n"))
	is.True(strings.Contains(text, "\r\nContent-Length: 4\r\n"))
	is.True(!strings.Contains(text, "Connection: close"))
	is.True(strings.Contains(text, "\r\nDeadline-Ms: 1"))
}

// tee returns a reader whose bytes are also written to w.
func tee(r *bufio.Reader, w io.Writer) *bufio.Reader {
	return bufio.NewReader(io.TeeReader(r, w))
}

// okResponse is a complete response to attempt that allows reuse of the connection.
const okResponse = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"

// TestConnectionsKept covers which responses allow the connection to be reused.
func TestConnectionsKept(t *testing.T) {
	tests := []struct {
		name     string
		response string
		isKept   bool
	}{
		{"clean", okResponse, true},
		{"in chunks", okHead + "Keep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"surplus bytes", okResponse + "x", false},
		{"a second answer", okResponse + okResponse, false},
		{"told to close", strings.Replace(okResponse, "Keep-Alive: timeout=10", "Connection: close", 1), false},
		{"a limit too short to be safe", strings.Replace(okResponse, "timeout=10", "timeout=1", 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			isReused := make(chan bool, 2)
			upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
				reply(tt.response)(conn, r)
				if readRequest(r) != nil {
					isReused <- true
					_, _ = io.WriteString(conn, okResponse)
				}
			}, func(conn net.Conn, r *bufio.Reader) {
				isReused <- false
				reply(okResponse)(conn, r)
			})
			e := newExchanger()
			first := e.Do(t.Context(), attempt(upstream, ""))
			defer first.Close()
			is.Equal(first.State, core.Answered)
			time.Sleep(20 * time.Millisecond)
			again := e.Do(t.Context(), attempt(upstream, ""))
			defer again.Close()
			is.Equal(again.State, core.Answered)
			is.Equal(<-isReused, tt.isKept)
			e.Close()
		})
	}
}

// TestIdleConnectionIsChecked guards against sending a request on an idle connection
// that the upstream has closed, or on which it sent a second, late response. The next
// request must use another connection.
func TestIdleConnectionIsChecked(t *testing.T) {
	for name, afterResponse := range map[string]func(net.Conn){
		"closed":      func(net.Conn) {},
		"late answer": func(conn net.Conn) { _, _ = io.WriteString(conn, okResponse); time.Sleep(100 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
				reply(okResponse)(conn, r)
				afterResponse(conn)
			}, reply(okResponse))
			e := newExchanger()
			for range 2 {
				result := e.Do(t.Context(), attempt(upstream, ""))
				is.Equal(result.State, core.Answered)
				result.Close()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestEarlyAnswerEndsTheConnection covers an upstream that responds before it has read
// a long body. The connection must be closed, or the upstream would take the rest of
// the body for a request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	is := is.New(t)
	received := make(chan int64, 1)
	upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = r.Peek(100)
		_, _ = io.WriteString(conn, okResponse)
		time.Sleep(100 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r)
		received <- n
	}, reply(okResponse))
	e := newExchanger()
	const size = 8 << 20
	early := e.Do(t.Context(), attempt(upstream, strings.Repeat("b", size)))
	defer early.Close()
	is.Equal(early.State, core.Answered)
	is.True(<-received < size)
	again := e.Do(t.Context(), attempt(upstream, "next"))
	defer again.Close()
	is.Equal(again.State, core.Answered)
}

// TestCancelClosesConnection cancels an attempt, as when the client disconnects, and
// checks that the upstream sees the connection close at once.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	upstream := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	result := newExchanger().Do(ctx, attempt(upstream, ""))
	is.Equal(result.State, core.RunUnknown)
	is.Equal(result.Report.Outcome, placer.Abandoned)
	<-closed
}

// TestUnreachable checks that a refused connection counts as NotRun: nothing was sent,
// so every request may be retried.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	result := newExchanger().Do(t.Context(), attempt(core.Upstream{Name: "u-1", Address: address}, ""))
	is.Equal(result.State, core.NotRun)
	is.Equal(result.Report.Outcome, placer.Unreachable)
	is.True(!result.MayHaveArrived)
}

// unackedConn is a connection whose peer acknowledges nothing: reads fail as they do
// when the TCP user timeout expires.
type unackedConn struct {
	net.Conn
}

func (unackedConn) Read([]byte) (int, error) { return 0, os.NewSyscallError("read", syscall.ETIMEDOUT) }

// TestLostUpstream covers an upstream that lost power, so that the request sent to it is
// never acknowledged. The request may have run, and the upstream must count as
// unreachable before the deadline.
func TestLostUpstream(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	e := newExchanger()
	dial := e.Dial
	e.Dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(network, address, timeout)
		return unackedConn{conn}, err
	}
	result := e.Do(t.Context(), attempt(upstream, ""))
	is.Equal(result.State, core.RunUnknown)
	is.Equal(result.Report.Outcome, placer.Unreachable)
	is.True(!result.TimedOut)
}

// TestConnectionsAreBounded checks that an attempt beyond the host's share of the
// upstream's connection limit is shed.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		<-release
		_, _ = io.WriteString(conn, okResponse)
	})
	e := newExchanger()
	e.MaxConnections = func(core.Upstream) int { return 1 }
	first := make(chan exchanger.Result)
	go func() { first <- e.Do(t.Context(), attempt(upstream, "")) }()
	time.Sleep(50 * time.Millisecond)
	second := e.Do(t.Context(), attempt(upstream, ""))
	is.Equal(second.State, core.NotRun)
	is.Equal(second.Report.Outcome, placer.Shed)
	close(release)
	result := <-first
	is.Equal(result.State, core.Answered)
	result.Close()
}

// TestPreparedConnectionIsKept covers a fleet whose hosts rarely use each upstream. A
// connection that was opened in advance must be kept for the idle timeout that the
// service's other upstreams stated. With the default timeout it would be closed and
// reopened every few seconds.
func TestPreparedConnectionIsKept(t *testing.T) {
	is := is.New(t)
	first := serve(t, reply(okResponse))
	second := serve(t, reply(okResponse), func(net.Conn, *bufio.Reader) { t.Error("a second connection") })
	e := newExchanger()
	result := e.Do(t.Context(), attempt(first, ""))
	result.Close()
	is.NoErr(e.Preconnect(second, time.Second))
	e.CloseExpiredConnections(time.Now().Add(6 * time.Second)) // okResponse states an idle timeout of 10 s
	result = e.Do(t.Context(), attempt(second, ""))
	defer result.Close()
	is.Equal(result.State, core.Answered)
	e.Close()
}

// TestRestartAtAnotherAddress covers an upstream that restarts under the same name at
// another address while an idle connection to the old address is still open. The old
// connection must not get the next request.
func TestRestartAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	oldClosed := make(chan struct{})
	oldUpstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		reply(okResponse)(conn, r)
		if readRequest(r) != nil {
			t.Error("the old address received a request")
		}
		close(oldClosed)
	})
	newUpstream := serve(t, reply(okResponse))
	e := newExchanger()
	for _, upstream := range []core.Upstream{oldUpstream, newUpstream} {
		result := e.Do(t.Context(), attempt(upstream, ""))
		is.Equal(result.State, core.Answered)
		result.Close()
	}
	e.Close()
	<-oldClosed
}

// TestFewerConnectionsAllowed checks what happens when the share of a connection limit
// shrinks to none: idle connections are closed, attempts are shed, and a health check, which
// one host makes on behalf of all, still runs.
func TestFewerConnectionsAllowed(t *testing.T) {
	is := is.New(t)
	isClosed := make(chan bool, 1)
	upstream := serve(t, func(conn net.Conn, r *bufio.Reader) {
		reply(okResponse)(conn, r)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := r.ReadByte()
		isClosed <- errors.Is(err, io.EOF)
	}, reply(strings.Replace(okResponse, "Request-Id: id-1", "Instance: u-1", 1)))
	limit := 2
	e := newExchanger()
	e.MaxConnections = func(core.Upstream) int { return limit }
	result := e.Do(t.Context(), attempt(upstream, ""))
	result.Close()
	limit = 0
	e.CloseExpiredConnections(time.Now())
	is.True(<-isClosed)
	result = e.Do(t.Context(), attempt(upstream, ""))
	is.Equal(result.Report.Outcome, placer.Shed)
	_, err := e.CheckHealth(upstream, "/health", time.Second)
	is.NoErr(err)
}
