package router_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core/router"
)

// TestRouteFormat compares the JSON encoding of a route with a golden file.
func TestRouteFormat(t *testing.T) {
	checkJSON(t, "route.json", router.Route{
		Service: "desk",
		Hosts: []router.Target{{
			Name: "host-1", Address: "10.0.0.1:8548", Rank: 2, Incarnation: "mubbs7i9", Zone: "for-a", KeyIssuedAt: 1790000123,
		}},
		Lifetime: 5000, WhenStale: router.UseInOrder, TicketNumber: 7,
	})
}

// checkJSON checks that a golden file decodes to the value and that the value encodes to
// the file. The caller sets every field of the value.
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
