package deduplicator_test

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
	"github.com/endiverun/endiverun/core/deduplicator"
)

// TestClaimFormat checks the kind, name and content of the store object that a claim is
// written to, and that the holder can be read from it.
func TestClaimFormat(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	holder := core.HostInstance{Host: "host-1", Incarnation: 1790000000001}
	claimer := deduplicator.Claimer{Instance: holder, Store: core.Store{
		Get: func(kind, name string) (core.Object, error) {
			return core.Object{}, core.ErrNotFound.New("%s/%s", kind, name)
		},
		Create: func(kind, name string, data json.RawMessage) error {
			fmt.Fprintf(&text, "create %s %s %s\n", kind, name, data)
			return nil
		},
	}}
	_, err := claimer.Claim(deduplicator.BucketOf("key-1"), []string{"key-1"}, time.Unix(1790000123, 0))
	is.NoErr(err)
	checkText(t, "objects.txt", text.String())
	table := deduplicator.ClaimTable{Claims: map[string]string{"key-1": "host-1.mubbs7i9.1790000123"}}
	checkJSON(t, "claims.json", table)
	is.Equal(table.Holders([]string{"key-1"}), map[string]core.HostInstance{"key-1": holder})
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
