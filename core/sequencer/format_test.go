package sequencer_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/sequencer"
)

// ticket is valid as a ticket and as a snapshot.
var ticket = core.Ticket{
	Number: 7, Author: "ana", Reason: "a reason",
	Zones:      []core.Zone{{Name: "for-a", Region: "for"}},
	Blocks:     []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Zone: "for-b"}},
	Objectives: &core.Objectives{Latency: 1.5, Headroom: 3.5, Drain: 4.5},
}

// TestStoredFormat compares the store object of a ticket with a golden file.
func TestStoredFormat(t *testing.T) {
	is := is.New(t)
	stored := sequencer.StoredTicket{Ticket: ticket, Nonce: "nonce-1"}
	checkJSON(t, "stored.json", stored)
	data, err := os.ReadFile(filepath.Join("testdata", "stored.json"))
	is.NoErr(err)
	decoded, err := sequencer.DecodeStoredTicket(core.Object{Name: "00000000000000000007", Data: data})
	is.NoErr(err)
	is.Equal(decoded, stored)
}

// TestObjects checks the kinds, names and contents of the store objects that an archive
// writes, and that it can read them.
func TestObjects(t *testing.T) {
	is := is.New(t)
	written := map[string]json.RawMessage{}
	var text strings.Builder
	archive := sequencer.TicketStore{Store: core.Store{
		Get: func(kind, name string) (core.Object, error) {
			data, ok := written[kind+"/"+name]
			if !ok {
				return core.Object{}, core.ErrNotFound.New("%s/%s", kind, name)
			}
			return core.Object{Kind: kind, Name: name, Version: 3, Data: data}, nil
		},
		Create: func(kind, name string, data json.RawMessage) error {
			written[kind+"/"+name] = data
			fmt.Fprintf(&text, "create %s %s %s\n", kind, name, data)
			return nil
		},
	}}
	_, err := archive.Accept(ticket, "nonce-1")
	is.NoErr(err)
	isWritten, err := archive.WriteSnapshot(ticket)
	is.NoErr(err)
	is.True(isWritten)
	checkText(t, "objects.txt", text.String())
	read, version, err := archive.Read(7)
	is.NoErr(err)
	is.Equal(read, ticket)
	is.Equal(version, core.ObjectVersion(3))
	read, err = archive.ReadSnapshot()
	is.NoErr(err)
	is.Equal(read, ticket)
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

// checkText compares a text with a golden file.
func checkText(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	is.Equal(text, string(data))
}
