package exchanger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// TestAvailabilityOfResponses covers what responses say about further requests. A statement
// belongs to the upstream that made it, and an invalid one costs only itself.
func TestAvailabilityOfResponses(t *testing.T) {
	const ok, busy = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
	tests := []struct {
		name, head string
		want       placer.Availability
		hasFinding bool
	}{
		{"nothing", ok, placer.Availability{}, false},
		{"leaving", ok + "Leaving: 1\r\n", placer.Availability{IsLeaving: true}, false},
		{"not leaving", ok + "Leaving: 0\r\n", placer.Availability{}, false},
		{"leaving and busy", busy + "Leaving: 1\r\nRetry-After: 2\r\n", placer.Availability{IsLeaving: true, RetryAfter: 2 * time.Second}, false},
		{"fraction", busy + "Retry-After: 0.25\r\n", placer.Availability{RetryAfter: 250 * time.Millisecond}, false},
		{"failure that may have run", "HTTP/1.1 503 Busy\r\nRetry-After: 3\r\n", placer.Availability{RetryAfter: 3 * time.Second}, false},
		{"another status", ok + "Retry-After: 3\r\n", placer.Availability{}, false},
		{"another upstream", "HTTP/1.1 421 No\r\nLeaving: 1\r\nRetry-After: 3\r\n", placer.Availability{}, false},
		{"date", busy + "Retry-After: Sat, 05 Dec 2026 12:00:00 GMT\r\n", placer.Availability{}, true},
		{"negative", busy + "Retry-After: -1\r\n", placer.Availability{}, true},
		{"empty", busy + "Retry-After: \r\n", placer.Availability{}, true},
		{"no number", busy + "Retry-After: NaN\r\n", placer.Availability{}, true},
		{"huge", busy + "Retry-After: 1e300\r\n", placer.Availability{RetryAfter: 10 * time.Minute}, true},
		{"twice", busy + "Retry-After: 1\r\nRetry-After: 4\r\n", placer.Availability{RetryAfter: 4 * time.Second}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			head, rest, _ := strings.Cut(tt.head, "\r\n")
			response := head + "\r\nRequest-Id: id-1\r\n" + rest + "Content-Length: 0\r\n\r\n"
			result := newExchanger().Do(t.Context(), attempt(serve(t, reply(response)), ""))
			defer result.Close()
			said := result.Report.Availability
			is.Equal(said.Finding != "", tt.hasFinding)
			said.Finding = ""
			is.Equal(said, tt.want)
		})
	}
}

// TestForeignStatementMarksNobody guards against taking what a late response to another
// request says for a statement of the upstream that runs this one.
func TestForeignStatementMarksNobody(t *testing.T) {
	is := is.New(t)
	foreign := "HTTP/1.1 503 Busy\r\nRequest-Id: id-0\r\nLeaving: 1\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n"
	result := newExchanger().Do(t.Context(), attempt(serve(t, reply(foreign+okResponse)), ""))
	defer result.Close()
	is.Equal(result.State, core.Answered)
	is.Equal(result.Report.Availability, placer.Availability{})
}

// TestHealthSaysAvailability checks that an unhealthy upstream's statements count, and those
// of another upstream at its address do not.
func TestHealthSaysAvailability(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 503 Draining\r\nInstance: u-1\r\nLeaving: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
	health, err := newExchanger().CheckHealth(serve(t, reply(response)), "/health", time.Second)
	is.True(err != nil)
	is.Equal(health.Availability, placer.Availability{IsLeaving: true, RetryAfter: 2 * time.Second})
	other := strings.Replace(response, "u-1", "u-2", 1)
	health, err = newExchanger().CheckHealth(serve(t, reply(other)), "/health", time.Second)
	is.True(err != nil)
	is.Equal(health.Availability, placer.Availability{})
}

// leavingAnswer returns a response to the request with the id that says that its upstream
// drains and wants no requests.
func leavingAnswer(id string) string {
	return "HTTP/1.1 503 Busy\r\nRequest-Id: " + id + "\r\nInstance: u-1\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 9\r\n" +
		"Keep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\nbusy"
}

// TestOtherAnswersMarkNobody guards against statements of answers that belong to no request
// of this upstream now: late ones, doubled ones, those after a complete answer, and heads
// that are no answer. Two requests use one connection if it is kept.
func TestOtherAnswersMarkNobody(t *testing.T) {
	late := leavingAnswer("id-0")
	early := strings.Replace(leavingAnswer("id-2"), "503 Busy", "103 Early", 1)
	tests := []struct {
		name string
		// first and second are what the upstream writes when it has read the requests.
		first, second string
		id            string
	}{
		{"late before the first", late + answer("id-1"), answer("id-2"), "id-2"},
		{"late before the second", answer("id-1"), late + answer("id-2"), "id-2"},
		{"late twice", answer("id-1"), late + late + answer("id-2"), "id-2"},
		{"to the first, before the second", answer("id-1"), leavingAnswer("id-1") + answer("id-2"), "id-2"},
		{"after the first", answer("id-1") + leavingAnswer("id-1"), answer("id-2"), "id-2"},
		{"after the first, as if to the second", answer("id-1") + leavingAnswer("id-2"), answer("id-2"), "id-2"},
		{"after the second", answer("id-1"), answer("id-2") + leavingAnswer("id-2"), "id-2"},
		{"without an id", answer("id-1"), strings.Replace(late, "Request-Id: id-0\r\n", "", 1) + answer("id-2"), "id-2"},
		{"with an empty id", answer("id-1"), leavingAnswer("") + answer("id-2"), "id-2"},
		{"with two ids", answer("id-1"), strings.Replace(late, "id-0", "id-0\r\nRequest-Id: id-2", 1) + answer("id-2"), "id-2"},
		{"before a request without an id", answer("id-1"), late + answer(""), ""},
		{"an informational head", answer("id-1"), strings.TrimSuffix(early, "busy") + answer("id-2"), "id-2"},
		{"in place of the answer", answer("id-1"), late, "id-2"},
		{"a broken head", answer("id-1"), leavingAnswer("id-2")[:90], "id-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			upstream := serveConnections(t, []string{tt.first, tt.second}, []string{answer(tt.id)})
			e := newExchanger()
			defer e.Close()
			for _, id := range []string{"id-1", tt.id} {
				result := e.Do(t.Context(), attemptWithID(upstream, id))
				is.Equal(result.Report.Availability, placer.Availability{})
				result.Close()
			}
		})
	}
}

// TestLateAnswerIsNoHealth guards against a health check on a kept connection that takes a
// late answer to a request for its response.
func TestLateAnswerIsNoHealth(t *testing.T) {
	is := is.New(t)
	healthy := "HTTP/1.1 200 OK\r\nRequest-Id: \r\nInstance: u-1\r\nContent-Length: 0\r\n\r\n"
	upstream := serveConnections(t, []string{answer("id-1"), leavingAnswer("id-1") + healthy}, []string{healthy})
	e := newExchanger()
	defer e.Close()
	result := e.Do(t.Context(), attempt(upstream, ""))
	is.Equal(result.State, core.Answered)
	result.Close()
	health, err := e.CheckHealth(upstream, "/health", time.Second)
	is.True(err != nil)
	is.Equal(health.Availability, placer.Availability{})
	_, err = e.CheckHealth(upstream, "/health", time.Second)
	is.NoErr(err)
}

// TestLeavingIsKnownBeforeTheBody guards against requests that go to an upstream that drains
// while the body of the response that said so is on its way, or after it broke off.
func TestLeavingIsKnownBeforeTheBody(t *testing.T) {
	head := func(status, id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nLeaving: 1\r\nContent-Length: %d\r\n\r\n", status, id, length)
	}
	tests := []struct {
		name, response string
		want           int
	}{
		{"short body", head("200 OK", "id-1", 10) + "part", 1},
		{"long body", head("200 OK", "id-1", 400<<10) + "part", 1},
		{"failure", head("500 Oops", "id-1", 10) + "part", 1},
		{"another upstream", head("421 No", "id-1", 10) + "part", 0},
		{"another request", head("200 OK", "id-0", 10) + "part", 0},
		{"part of a head", head("200 OK", "id-1", 10)[:60], 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var heard []core.Upstream
			e := newExchanger()
			e.OnLeaving = func(u core.Upstream) { heard = append(heard, u) }
			upstream := serve(t, reply(tt.response))
			result := e.Do(t.Context(), attempt(upstream, ""))
			defer result.Close()
			is.Equal(result.Report.Availability, placer.Availability{}) // There was no complete response.
			is.Equal(len(heard), tt.want)
			for _, u := range heard {
				is.Equal(u.Name, upstream.Name)
			}
		})
	}
}
