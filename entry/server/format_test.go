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
			Members: []server.MemberStatus{{
				Host: "host-2", Address: "10.0.0.1:8548", Zone: "for-b", Phase: "leaving", Ticket: 6, IsLive: true, HeartbeatAge: 310,
			}},
			Upstreams: []server.UpstreamStatus{
				{Name: "desk-1", Service: "desk", Slots: 8, ConcurrencyLimit: 5, InFlight: 3, MeanServiceTime: 42, IsDraining: true},
				{Name: "order-1", Service: "order", Slots: 9, ConcurrencyLimit: 4, InFlight: 2, MeanServiceTime: 43, IsEjected: true},
			},
			Links:          []server.LinkStatus{{ToRegion: "nat", Rate: 8_000_000}},
			QueuedRequests: map[string]int{"desk": 11},
			HasLinkSlot:    true, Incarnation: "mubbs7i9", RememberedKeys: 13, Now: time.Unix(1790000123, 456_000_000).UTC(),
		}},
		{"explanation", server.Explanation{
			Service: "desk", Host: "host-1", ClientZone: "for-a", Ticket: 7,
			Route: []router.Target{{
				Name: "host-2", Address: "10.0.0.1:8548", Rank: 2, Incarnation: "mubbs7i9", Zone: "for-b", KeyIssuedAt: 1790000123,
			}},
			Candidates: []server.Candidate{{
				Name: "desk-1", Kind: "upstream", Zone: "slz-a", FreeSlots: 3, TotalSlots: 8, CostMs: 41.5, IsUsable: true, Reason: "a reason",
			}},
			Decision: "a verdict",
		}},
		{"applied", server.ApplyResponse{Number: 7, CheckOnly: true}},
		{"numbers", server.TicketNumbers{Applied: 7, Next: 8}},
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
