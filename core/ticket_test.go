package core_test

import (
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
)

var update = flag.Bool("update", false, "write the golden files")

// TestTicketFindings compares all findings of invalid tickets with golden files.
func TestTicketFindings(t *testing.T) {
	for _, name := range []string{"empty", "many", "unknown-field", "unknown-fields", "wrong-type", "trailing"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("testdata/" + name + ".json")
			is.NoErr(err)
			_, err = core.ParseTicket(data)
			findings, ok := core.FindingsOf(err)
			is.True(ok) // all problems are findings
			golden := "testdata/" + name + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(findings.Error()+"\n"), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(findings.Error()+"\n", string(want))
		})
	}
}

// TestConfigurationApplies checks that a ticket changes only the new configuration, and
// that the ticket of a whole configuration yields the same one.
func TestConfigurationApplies(t *testing.T) {
	is := is.New(t)
	first := core.Ticket{
		Number: 1, Author: "a",
		Zones:  []core.Zone{{Name: "a-1", Region: "a"}, {Name: "b-1", Region: "b"}},
		Blocks: []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Zone: "a-1"}},
		Links:  []core.LinkCap{{Link: core.Link{From: "a", To: "b"}, Cap: core.Megabit}},
	}
	second := core.Ticket{
		Number: 2, Author: "a",
		Blocks: []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Zone: "b-1"}},
		Remove: core.Removal{Links: []core.Link{{From: "a", To: "b"}}},
	}
	before := core.NewConfiguration().Apply(first)
	after := before.Apply(second)
	zone, ok := after.ZoneOf(netip.MustParseAddr("10.1.2.3"))
	is.True(ok)
	is.Equal(zone, core.ZoneName("b-1"))
	zone, _ = before.ZoneOf(netip.MustParseAddr("10.1.2.3"))
	is.Equal(zone, core.ZoneName("a-1")) // the earlier configuration is unchanged
	is.Equal(len(after.Links), 0)
	is.NoErr(after.Validate().Err())
	restored := core.NewConfiguration().Apply(after.SnapshotTicket("snapshot"))
	is.Equal(restored.Zones, after.Zones)
	zone, _ = restored.ZoneOf(netip.MustParseAddr("10.9.9.9"))
	is.Equal(zone, core.ZoneName("a-1"))
}

// TestKeyRoundTrip checks that a home-bound key names its host and incarnation, and that
// malformed keys are rejected.
func TestKeyRoundTrip(t *testing.T) {
	is := is.New(t)
	home := core.HostInstance{Host: "nl-south-a-1", Incarnation: 123456}
	key, err := core.ParseIdempotencyKey("home.nl-south-a-1." + home.Incarnation.String() + ".1796361292.abc")
	is.NoErr(err)
	is.Equal(key.Home, home)
	for _, malformed := range []string{"", "home.x", "home.a.!.1.n", "home.a.1.x.n", "a b", strings.Repeat("k", 201)} {
		_, err := core.ParseIdempotencyKey(malformed)
		is.True(err != nil)
	}
}

// FuzzParseTicket checks that every error consists of findings, and that the ticket of a
// whole configuration is valid.
func FuzzParseTicket(f *testing.F) {
	f.Add([]byte(`{"number":1,"author":"a"}`))
	f.Add([]byte(`{"number":1,"author":"a","blocks":[{"prefix":"10.0.0.0/8","zone":"z"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := core.ParseTicket(data)
		if err != nil {
			if _, ok := core.FindingsOf(err); !ok {
				t.Fatalf("error is not findings: %v", err)
			}
			return
		}
		encoded, err := json.Marshal(core.NewConfiguration().Apply(ticket).SnapshotTicket("w"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := core.ParseTicket(encoded); err != nil {
			t.Fatalf("the ticket of a whole valid configuration is not valid: %v", err)
		}
	})
}

// FuzzParseKey checks that parsing keeps the text of a key.
func FuzzParseKey(f *testing.F) {
	f.Add("home.h.1.1.n")
	f.Add("order-17")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := core.ParseIdempotencyKey(text)
		if err == nil && key.Text != text {
			t.Fatalf("key %q became %q", text, key.Text)
		}
	})
}
