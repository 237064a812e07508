package loader_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/loader"
)

// TestParseReportsEveryProblem guards against a parser that stops at the first
// problem: a file with many must produce a finding for each of them.
func TestParseReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	_, err := loader.Parse([]byte(`{"name":"A b","region":"r","zone":"z","client-address":"x","peer-address":"127.0.0.1:1",
		"seed-peers":["y"],"platform":{"address":"127.0.0.1:0"},"tls":{"certificate":"c","certificate-file":"f"},
		"traces":{"exporter":"paper","ratio":2,"colour":1},"speed":9,"limits":{"policy":"guess"},"log-level":"loud"}`))
	findings, ok := core.FindingsOf(err)
	is.True(ok)
	pointers := map[string]bool{}
	for _, f := range findings {
		pointers[f.Pointer] = true
	}
	for _, want := range []string{
		"/name", "/client-address", "/seed-peers/0", "/platform/address", "/tls/certificate", "/tls/key",
		"/tls/authority", "/traces/exporter", "/traces/ratio", "/limits/policy", "/log-level",
		"/speed", "/traces/colour",
	} {
		is.True(pointers[want]) // each field has a finding
	}
}

// FuzzParse guards against errors for invalid content that are not findings, and
// against panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"a"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := loader.Parse(data); err != nil {
			if _, ok := core.FindingsOf(err); !ok {
				t.Fatalf("not findings: %v", err)
			}
		}
	})
}
