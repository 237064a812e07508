package storer_test

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
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/storer"
)

// fullObject is a stored object with every field set.
var fullObject = storer.Object{
	Kind: "ticket", Metadata: storer.Metadata{Name: "name-1", ResourceVersion: 42}, Data: json.RawMessage(`7`),
}

// TestObjectFormat compares objects and events with golden files.
func TestObjectFormat(t *testing.T) {
	tests := []struct {
		name  string
		value any
	}{
		{"object", fullObject},
		{"event", storer.Event{Type: "ADDED", Object: fullObject}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkJSON(t, tt.name+".json", tt.value) })
	}
}

// TestCallFormat compares the requests to the platform with a golden file and checks
// that the responses are decoded.
func TestCallFormat(t *testing.T) {
	is := is.New(t)
	var calls strings.Builder
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		fmt.Fprintf(&calls, "%s %s %s\n", ctx.Method(), ctx.RequestURI(), ctx.PostBody())
		if strings.Contains(string(ctx.RequestURI()), "watch=") {
			ctx.SetBodyString(`{"type":"ADDED","object":{"kind":"ticket","metadata":{"name":"name-1","resourceVersion":"42"},"data":7}}`)
			return
		}
		ctx.SetBodyString(`{"kind":"ticket","metadata":{"name":"name-1","resourceVersion":"42"},"data":7}`)
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = listener.Close() }()
	s := &storer.Storer{Address: "10.0.0.4:8541", Timeout: time.Second, Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	s.Init()
	defer s.Close()
	got, err := s.Get("ticket", "name-1")
	is.NoErr(err)
	is.Equal(got, fullObject)
	_, err = s.Create("ticket", "name-1", 7)
	is.NoErr(err)
	_, err = s.Update(fullObject, 8)
	is.NoErr(err)
	port := s.Store()
	read, err := port.Get("ticket", "name-1")
	is.NoErr(err)
	is.Equal(read, core.Object{Kind: "ticket", Name: "name-1", Version: 42, Data: json.RawMessage(`7`)})
	is.NoErr(port.Create("claims", "9", json.RawMessage(`{}`)))
	is.NoErr(port.Update(core.Object{Kind: "claims", Name: "9", Version: 43}, json.RawMessage(`[]`)))
	var events []storer.Event
	is.NoErr(s.Watch("ticket", 41, 3*time.Second, func(e storer.Event) bool {
		events = append(events, e)
		return true
	}))
	is.Equal(events, []storer.Event{{Type: "ADDED", Object: fullObject}})
	checkText(t, "calls.txt", calls.String())
}

// checkJSON checks that a golden file decodes to the value, in which every field is
// set, and that the value encodes to the file.
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
