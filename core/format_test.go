package core_test

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

// fullTicket has every field set that a ticket carries.
var fullTicket = core.Ticket{
	Number: 7,
	Author: "ana",
	Reason: "a reason",
	Services: []core.Service{{
		Name: "desk", Repeatable: true, Deadline: 2100, ProgressTimeout: 310, MaxBody: 4096,
		OrganisationWeights: map[core.Organisation]core.Weight{"guild": 2.5},
	}},
	Zones: []core.Zone{{Name: "for-a", Region: "for"}},
	Upstreams: []core.Upstream{{
		Name: "desk-1", Service: "desk", Zone: "for-a", Address: "10.0.0.9:8080", Slots: 6, Draining: true,
	}},
	Links:      []core.LinkCap{{Link: core.Link{From: "for", To: "nat"}, Cap: 8_000_000, Slots: 3}},
	Blocks:     []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Zone: "for-b"}},
	Objectives: &core.Objectives{Latency: 1.5, Headroom: 3.5, Drain: 4.5},
	Remove: core.Removal{
		Services:  []core.ServiceName{"order"},
		Zones:     []core.ZoneName{"slz-a"},
		Upstreams: []core.UpstreamName{"order-1"},
		Links:     []core.Link{{From: "slz", To: "for"}},
		Blocks:    []netip.Prefix{netip.MustParsePrefix("10.2.0.0/16")},
	},
}

// TestJSONFormat compares the JSON that hosts store and answer with golden files.
func TestJSONFormat(t *testing.T) {
	tests := []struct {
		name  string
		value any
	}{
		{"ticket", fullTicket},
		{"host", core.Host{
			Name: "host-1", Incarnation: 1790000000001, Zone: core.Zone{Name: "for-a", Region: "for"},
			ClientAddress: "10.0.0.1:8548", PeerAddress: "10.0.0.2:7540", Capacity: 320,
		}},
		{"revisions", core.Revisions{Policy: 3, Upstreams: 5, Evacuations: 7, Hosts: 11, MayIncludeExpired: true}},
		{"revisions-of-era", core.Revisions{
			Policy: 3, Upstreams: 5, Evacuations: 7, Hosts: 11, Era: 13, UpstreamsSettling: true, EvacuationsSettling: true,
		}},
		{"findings", core.Findings{{Pointer: "/name", Message: "is empty"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkJSON(t, "format-"+tt.name+".json", tt.value) })
	}
}

// TestTicketFormat checks that a ticket file with every field has no problems and
// decodes to the same ticket.
func TestTicketFormat(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", "format-ticket.json"))
	is.NoErr(err)
	ticket, err := core.ParseTicket(data)
	is.NoErr(err)
	is.Equal(ticket, fullTicket)
}

// TestWords compares the words that stand in messages, answers and logs with a
// golden file.
func TestWords(t *testing.T) {
	key := core.NewHomeBoundKey(core.HostInstance{Host: "host-1", Incarnation: 1790000000001}, "n-1", time.Unix(1790000123, 0))
	checkJSON(t, "format-words.json", map[string][]string{
		"incarnation": {core.Incarnation(1790000000001).String()},
		"home-key":    {key.Text},
		"run-state":   {core.NotRun.String(), core.RunUnknown.String(), core.Answered.String()},
		"class":       {core.Idempotent.String(), core.NonIdempotent.String(), core.Upload.String(), core.Download.String()},
		"phase":       {string(core.PhaseStarting), string(core.PhaseLive), string(core.PhaseLeaving), string(core.PhaseGone)},
		"refusal": {
			string(core.RefusalOverload), string(core.RefusalDeadline), string(core.RefusalUnknownService),
			string(core.RefusalBadRequest), string(core.RefusalBodyTooLarge), string(core.RefusalKeyRequired),
			string(core.RefusalKeyInvalid), string(core.RefusalKeyExpired), string(core.RefusalKeyReused),
			string(core.RefusalStaleHome), string(core.RefusalStopping), string(core.RefusalNotReady),
			string(core.RefusalPlatformUnavailable), string(core.RefusalTableFull), string(core.RefusalUpstreamFailed),
			string(core.RefusalOutcomeUnknown),
		},
	})
}

// TestKeyFormat checks that the texts of a key and an incarnation are read back.
func TestKeyFormat(t *testing.T) {
	is := is.New(t)
	life := core.HostInstance{Host: "host-1", Incarnation: 1790000000001}
	key, err := core.ParseIdempotencyKey("home.host-1.mubbs7i9.1790000123.n-1")
	is.NoErr(err)
	is.Equal(key, core.NewHomeBoundKey(life, "n-1", time.Unix(1790000123, 0)))
	incarnation, err := core.ParseIncarnation("mubbs7i9")
	is.NoErr(err)
	is.Equal(incarnation, life.Incarnation)
}

// checkJSON checks that a golden file decodes to the value, every field of which
// is set, and that the value encodes to the file.
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
