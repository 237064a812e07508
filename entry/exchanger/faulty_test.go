package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/exchanger"
)

// refusal says that the request of attempt did not run.
const refusal = "HTTP/1.1 503 Busy\r\nRequest-Id: id-1\r\nNot-Run: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\nbusy"

// answer returns a response to the request with the id.
func answer(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"
}

// attemptWithID returns an attempt of another request than attempt, or of a request
// without an id.
func attemptWithID(upstream core.Upstream, id string) exchanger.Attempt {
	a := attempt(upstream, "")
	a.RequestID = id
	a.Header.Del("Request-Id")
	if id != "" {
		a.Header.Set("Request-Id", id)
	}
	return a
}

// serveConnections listens on loopback and serves connections at the same time. It writes
// the responses of one list to each of them, one for each request.
func serveConnections(t *testing.T, connections ...[]string) core.Upstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		for _, responses := range connections {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { writeResponses(conn, responses) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return core.Upstream{Name: "u-1", Service: "consulta", Address: listener.Addr().String()}
}

// writeResponses writes one response for each request on a connection and closes it.
func writeResponses(conn net.Conn, responses []string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, response := range responses {
		if readRequest(r) == nil {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// TestRepeatedRefusal guards against telling clients that a request did not run, or running
// it at a second upstream, because a faulty upstream wrote an earlier refusal once more on
// a kept connection while it ran the request.
func TestRepeatedRefusal(t *testing.T) {
	tests := []struct {
		name string
		// id is that of the request that the upstream runs, and response what it writes
		// when it has read that request.
		id, response string
		state        core.RunState
	}{
		{"before the answer", "id-2", refusal + answer("id-2"), core.Answered},
		{"twice before the answer", "id-2", refusal + refusal + answer("id-2"), core.Answered},
		{"in place of the answer", "id-2", refusal, core.RunUnknown},
		{"without end", "id-2", strings.Repeat(refusal, 9), core.RunUnknown},
		{"without an id", "id-2", strings.Replace(refusal, "Request-Id: id-1\r\n", "", 1), core.RunUnknown},
		{"after a part of itself", "id-2", refusal[:40] + refusal, core.RunUnknown},
		{"as an informational head", "id-2", strings.Replace(refusal, "503", "103", 1) + answer("id-2"), core.RunUnknown},
		{"to a request without an id", "", refusal + answer(""), core.Answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			upstream := serveConnections(t, []string{refusal, tt.response}, []string{answer(tt.id)})
			e := newExchanger()
			first := e.Do(t.Context(), attemptWithID(upstream, "id-1"))
			is.Equal(first.State, core.NotRun)
			first.Close()
			result := e.Do(t.Context(), attemptWithID(upstream, tt.id))
			is.Equal(result.State, tt.state)
			result.Close()
			e.Close()
		})
	}
}

// TestPartOfAnAnswerIsNotWhole guards against passing on an answer that the upstream broke
// off, in its head or in its body, as a complete one.
func TestPartOfAnAnswerIsNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Type: text/plain\r\n"
	for name, whole := range map[string]string{
		"with a length":          head + "Content-Length: 7\r\n\r\nwhole!!",
		"length first":           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: id-1\r\nX-Late: 1\r\n\r\n",
		"in chunks":              head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n2\r\n!!\r\n0\r\n\r\n",
		"in chunks with a field": head + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nSum: 1\r\n\r\n",
		"without a body":         "HTTP/1.1 204 No Content\r\nRequest-Id: id-1\r\nX-Late: 1\r\n\r\n",
		"after early hints":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"long":                   head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("b", 200000),
	} {
		cuts := []int{len(whole)}
		for n := range min(len(whole), 400) {
			cuts = append(cuts, n)
		}
		t.Run(name, func(t *testing.T) {
			for _, cut := range cuts {
				state, size := exchangeBytes(t, whole[:cut])
				if isWhole := cut == len(whole); (state == core.Answered) != isWhole {
					t.Errorf("%d of %d bytes: state %v with %d bytes of the body\n%q", cut, len(whole), state, size, whole[max(cut-40, 0):cut])
				}
			}
		})
	}
}

// TestHeadWithoutLengthIsNotWhole guards against an answer that breaks off in its head
// after which the body would end with the connection: the head has no end, so no part of
// it is an answer.
func TestHeadWithoutLengthIsNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nX-Late: 1\r\n\r\n"
	for cut := range len(head) {
		state, size := exchangeBytes(t, head[:cut])
		if state == core.Answered {
			t.Errorf("%d bytes of the head: answered with %d bytes", cut, size)
		}
	}
}

// exchangeBytes runs an attempt at an upstream that writes the bytes and closes the
// connection, and returns the state and the length of the body.
func exchangeBytes(t *testing.T, response string) (core.RunState, int64) {
	t.Helper()
	result := newExchanger().Do(t.Context(), attempt(serve(t, reply(response)), ""))
	defer result.Close()
	switch {
	case result.Stream != nil:
		n, err := io.Copy(io.Discard, result.Stream)
		if err != nil {
			return core.RunUnknown, n
		}
		return result.State, n
	case result.Response != nil:
		return result.State, int64(len(result.Response.Body()))
	}
	return result.State, 0
}

// TestNumbersOutOfRange guards against a faulty upstream whose load or warm-up does not fit
// in the numbers that the hosts calculate with: the response counts, the number does not.
func TestNumbersOutOfRange(t *testing.T) {
	for _, field := range []string{"Load: 0,0,9223372036854775807", "Load: 9223372036854775807,1,6", "Cold-Ms: NaN", "Cold-Ms: 1e300"} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			response := okHead + field + "\r\nContent-Length: 2\r\n\r\nok"
			result := newExchanger().Do(t.Context(), attempt(serve(t, reply(response)), ""))
			defer result.Close()
			is.Equal(result.State, core.Answered)
			is.True(result.Report.Load == nil)
			is.True(result.Report.RemainingWarmUp >= 0)
			is.True(result.Report.RemainingWarmUp <= time.Hour)
		})
	}
}
