package loader_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/loader"
)

// fullSettings has every field set, those for PEM text and for files too.
var fullSettings = loader.Settings{
	Name: "host-1", Region: "for", Zone: "for-a", ClientAddress: "10.0.0.1:8548", PeerAddress: "10.0.0.2:7540",
	SeedPeers: []string{"10.0.0.3:7540"},
	Platform:  loader.Platform{Address: "10.0.0.4:8541", Timeout: 1100},
	TLS: loader.TLS{
		Certificate: "certificate", CertificateFile: "testdata/certificate.pem", Key: "key", KeyFile: "testdata/key.pem",
		Authority: "authority", AuthorityFile: "testdata/authority.pem",
	},
	Traces:        loader.Traces{Exporter: loader.ExporterOTLP, Address: "10.0.0.5:4318", File: "spans", SampleRatio: 0.25},
	Limits:        loader.Limits{MaxBody: 65536, MaxConnections: 120, BalancingPolicy: "round-robin", StopTimeout: 13000},
	OperatorToken: "token", LogLevel: "warn",
}

// TestSettingsFormat compares settings with every field with a golden file.
func TestSettingsFormat(t *testing.T) {
	checkJSON(t, "settings-full.json", fullSettings)
}

// TestParseFormat checks that settings files with PEM text, and with the names of
// files, are read as they are meant.
func TestParseFormat(t *testing.T) {
	text := fullSettings
	text.TLS.CertificateFile, text.TLS.KeyFile, text.TLS.AuthorityFile = "", "", ""
	file := fullSettings
	file.Traces = loader.Traces{Exporter: loader.ExporterFile, File: "spans", SampleRatio: 0.5}
	short := loader.Settings{
		Name: "host-1", Region: "for", Zone: "for-a", ClientAddress: "10.0.0.1:8548", PeerAddress: "10.0.0.2:7540",
		Platform: loader.Platform{Address: "10.0.0.4:8541", Timeout: 1000},
		TLS:      loader.TLS{Certificate: "certificate", Key: "key", Authority: "authority"},
		Traces:   loader.Traces{Exporter: loader.ExporterOff},
		Limits:   loader.Limits{MaxBody: 64 * core.Mebibyte, MaxConnections: 10_000, BalancingPolicy: "least-expected", StopTimeout: 60_000},
		LogLevel: "info",
	}
	tests := []struct {
		name string
		want loader.Settings
	}{
		{"settings-text.json", text},
		{"settings-files.json", file},
		{"settings-short.json", short},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			settings, err := loader.Load(filepath.Join("testdata", tt.name))
			is.NoErr(err)
			is.Equal(settings, tt.want)
		})
	}
}

// TestHostFormat checks which of the settings other hosts learn.
func TestHostFormat(t *testing.T) {
	is := is.New(t)
	is.Equal(fullSettings.Host(1790000000001), core.Host{
		Name: "host-1", Incarnation: 1790000000001, Zone: core.Zone{Name: "for-a", Region: "for"},
		ClientAddress: "10.0.0.1:8548", PeerAddress: "10.0.0.2:7540",
	})
}

// TestBoundsFormat checks that bounds are read as numbers and as seconds.
func TestBoundsFormat(t *testing.T) {
	is := is.New(t)
	var bounds loader.Bounds
	is.NoErr(json.Unmarshal([]byte(`{"grace_s":6.5,"ratio":0.2}`), &bounds))
	var findings core.Findings
	is.Equal(bounds.Duration("grace_s", 0, &findings), 6500*time.Millisecond)
	is.Equal(bounds.Number("ratio", 0, &findings), 0.2)
	is.NoErr(findings.Err())
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
