package server_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core/router"
	"github.com/endiverun/endiverun/entry/server"
)

// TestAnswerFormat compares the responses to operators, and the platform's list of
// upstreams, with golden files.
func TestAnswerFormat(t *testing.T) {
	tests := []struct {
		name  string
		value any
	}{
		{"status", server.Status{
			Host: "host-1", Zone: "for-a", Region: "for", Phase: "live", Ticket: 7,
			Members: []server.MemberStatus{{Host: "host-2", Zone: "for-b", Phase: "leaving", Ticket: 6, IsLive: true, Silence: 310}},
			Upstream: []server.UpstreamStatus{
				{Name: "desk-1", Service: "desk", Slots: 8, Limit: 5, InFlight: 3, Mean: 42, Leaving: true},
				{Name: "order-1", Service: "order", Slots: 9, Limit: 4, InFlight: 2, Mean: 43, Ejected: true},
			},
			Links:   []server.LinkStatus{{To: "nat", Rate: 8_000_000}},
			Waiting: map[string]int{"desk": 11},
			HasSlot: true, Life: "mubbs7i9", Keys: 13, Now: time.Unix(1790000123, 456_000_000).UTC(),
		}},
		{"explanation", server.Explanation{
			Service: "desk", Host: "host-1", Zone: "for-a", Ticket: 7,
			Route: []router.Target{{
				Name: "host-2", Address: "10.0.0.1:8548", Rank: 2, Incarnation: "mubbs7i9", Zone: "for-b", Second: 1790000123,
			}},
			Choices: []server.Choice{{
				Name: "desk-1", Kind: "upstream", Zone: "slz-a", Free: 3, Total: 8, Cost: 41.5, Usable: true, Reason: "a reason",
			}},
			Verdict: "a verdict",
		}},
		{"applied", server.Applied{Number: 7, CheckOnly: true}},
		{"numbers", server.Numbers{InForce: 7, Next: 8}},
		{"host-list", server.HostList{Hosts: []server.ListedHost{{Name: "host-1", Phase: "leaving"}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkJSON(t, tt.name+".json", tt.value) })
	}
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
