package asker_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/operator/asker"
)

var (
	// fullStatus is a host's status with every field set.
	fullStatus = asker.Status{
		Host: "host-1", Zone: "for-a", Region: "for", Phase: "live", Ticket: 7, HasLinkSlot: true,
		Members: []asker.Member{{
			Host: "host-2", Address: "10.0.0.1:8548", Zone: "for-b", Phase: "leaving", Ticket: 6, IsLive: true, HeartbeatAgeMs: 310,
		}},
		Upstreams: []asker.Upstream{
			{Name: "desk-1", Service: "desk", Slots: 8, Limit: 5, InFlight: 3, MeanServiceTimeMs: 42, IsDraining: true},
			{Name: "order-1", Service: "order", Slots: 9, Limit: 4, InFlight: 2, MeanServiceTimeMs: 43, IsEjected: true},
		},
		Links: []asker.Link{{ToRegion: "nat", BitsPerSecond: 8_000_000}},
	}
	// fullExplanation is an explanation with every field set.
	fullExplanation = asker.Explanation{
		Service: "desk", Host: "host-1", ClientZone: "for-a", Ticket: 7,
		Route: []asker.Target{{Name: "host-2", Address: "10.0.0.1:8548", Incarnation: "mubbs7i9", Zone: "for-b"}},
		Candidates: []asker.Candidate{{
			Name: "desk-1", Kind: "upstream", Zone: "slz-a", FreeSlots: 3, TotalSlots: 8, CostMs: 41.5, IsUsable: true, Reason: "a reason",
		}},
		Decision: "a verdict",
	}
	// fullApplied is the response to a ticket with every field set.
	fullApplied = asker.ApplyResponse{Number: 7, CheckOnly: true}
)

// TestAnswerFormat compares the JSON of the responses of hosts, which the command line
// also writes for programs, with golden files.
func TestAnswerFormat(t *testing.T) {
	tests := []struct {
		name  string
		value any
	}{
		{"status", fullStatus},
		{"explanation", fullExplanation},
		{"applied", fullApplied},
		{"progress", asker.RolloutProgress{
			Number: 7, InForce: []string{"host-1"}, Pending: []string{"host-2"}, Unreachable: []string{"host-3"}, Elapsed: 1300,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkJSON(t, tt.name+".json", tt.value) })
	}
}

// TestCallFormat compares the method, URI, token and body of each call to a host with a
// golden file, and checks that responses and problems are decoded.
func TestCallFormat(t *testing.T) {
	is := is.New(t)
	var calls strings.Builder
	responses := map[string]string{"/v1/status": "status", "/v1/explain": "explanation", "/v1/tickets": "applied", "/v1/tickets/9": "progress"}
	listener := listen(t)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		fmt.Fprintf(&calls, "%s %s %s %s\n", ctx.Method(), ctx.RequestURI(), ctx.Request.Header.Peek("Authorization"), ctx.PostBody())
		if string(ctx.PostBody()) == "{}" {
			ctx.SetStatusCode(fasthttp.StatusUnprocessableEntity)
			ctx.SetBodyString(`{"type":"urn:endiverun:problem:findings","findings":[{"pointer":"/name","message":"is empty"}]}`)
			return
		}
		if string(ctx.PostBody()) == "[]" {
			ctx.SetStatusCode(fasthttp.StatusConflict)
			ctx.SetBodyString(`{"type":"urn:endiverun:problem:conflict","detail":"a detail"}`)
			return
		}
		data, err := os.ReadFile(filepath.Join("testdata", responses[string(ctx.Path())]+".json"))
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		ctx.SetBody(data)
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	host := listener.Addr().String()
	a := &asker.APIClient{Hosts: []string{host}, Token: "token", Timeout: 5 * time.Second}
	status, err := a.Status(host)
	is.NoErr(err)
	is.Equal(status, fullStatus)
	explanation, err := a.Explain("desk", "for-a")
	is.NoErr(err)
	is.Equal(explanation, fullExplanation)
	applied, err := a.ApplyTicket([]byte("1"), true)
	is.NoErr(err)
	is.Equal(applied, fullApplied)
	_, err = a.ApplyTicket([]byte("{}"), false)
	is.Equal(err, core.Findings{{Pointer: "/name", Message: "is empty"}})
	_, err = a.ApplyTicket([]byte("[]"), false)
	is.Equal(err.Error(), "conflict: a detail")
	_, err = a.GetTicket(0)
	is.NoErr(err)
	_, err = a.GetTicket(9)
	is.NoErr(err)
	checkText(t, "calls.txt", calls.String())
}

// listen opens a listening socket on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// checkJSON checks that a golden file decodes to the value and that the value encodes
// to the file. Every field of the value must be set.
func checkJSON(t *testing.T, name string, value any) {
	t.Helper()
	is := is.New(t)
	encoded, err := json.MarshalIndent(value, "", "  ")
	is.NoErr(err)
	data, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	decoded := reflect.New(reflect.TypeOf(value))
	is.NoErr(json.Unmarshal(data, decoded.Interface()))
	is.Equal(decoded.Elem().Interface(), value)
	is.Equal(string(encoded)+"\n", string(data))
}

// checkText compares a text with a golden file.
func checkText(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	is.Equal(text, string(data))
}
