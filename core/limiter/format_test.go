package limiter_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
)

// TestSlotFormat compares the object of a region's slots with a golden file.
func TestSlotFormat(t *testing.T) {
	checkJSON(t, "slots.json", limiter.SlotTable{Slots: []limiter.Slot{
		{Holder: "host-1", Incarnation: 1790000000001, Renewals: 5, Leases: map[core.RegionName]core.BitsPerSecond{"nat": 700_000}},
		{Renewals: 9},
	}})
}

// TestKeeperWrites checks under which kind and name a host takes a slot and hands
// it back, and what it writes there.
func TestKeeperWrites(t *testing.T) {
	is := is.New(t)
	written := map[string]json.RawMessage{}
	var text strings.Builder
	now := time.Unix(1790000123, 0)
	keeper := &limiter.SlotManager{
		Instance: core.HostInstance{Host: "host-1", Incarnation: 1790000000001},
		Store: core.Store{
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
			Update: func(object core.Object, data json.RawMessage) error {
				fmt.Fprintf(&text, "update %s %s %d %s\n", object.Kind, object.Name, object.Version, data)
				return nil
			},
		},
		LinkLimiter: &limiter.LinkLimiter{Region: "for"},
		LinkCaps: func() map[core.Link]core.LinkCap {
			link := core.Link{From: "for", To: "nat"}
			return map[core.Link]core.LinkCap{link: {Link: link, Cap: core.Megabit, Slots: 2}}
		},
		IsLive:    func(core.HostInstance) bool { return true },
		OnRenewed: func(time.Time) {},
		Now:       func() time.Time { return now },
	}
	is.NoErr(keeper.Renew(now))
	is.NoErr(keeper.Release())
	checkText(t, "objects.txt", text.String())
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

// checkText compares a text with a golden file.
func checkText(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	is.Equal(text, string(data))
}
