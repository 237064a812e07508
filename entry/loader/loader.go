// Package loader reads and validates the settings file of the program endiverun-entry.
// The program of the module platform has another settings file with other keys, which
// platform/parser reads; it uses only Traces and Bounds of this package.
//
// The file holds one JSON object with kebab-case keys. All problems are reported
// together, each with the JSON pointer of the field.
//
// # Usage
//
//	settings, err := loader.Load("settings.json")
//	if findings, ok := core.FindingsOf(err); ok {
//		// The content is invalid: print the findings and exit with code 2.
//	}
package loader

import (
	"os"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
)

// maxFileSize limits the size of a settings file.
const maxFileSize = core.Mebibyte

// Settings is the content of a settings file. The host listens on ClientAddress (an IP
// address and TCP port) for clients and on PeerAddress (an IP address and UDP port) for
// other hosts, and announces both.
type Settings struct {
	Name          core.HostName   `json:"name"`
	Region        core.RegionName `json:"region"`
	Zone          core.ZoneName   `json:"zone"`
	ClientAddress string          `json:"client-address"`
	PeerAddress   string          `json:"peer-address"`
	// SeedPeers are the peer addresses of the hosts to contact first.
	SeedPeers []string `json:"seed-peers"`
	Platform  Platform `json:"platform"`
	TLS       TLS      `json:"tls"`
	Traces    Traces   `json:"traces,omitzero"`
	Limits    Limits   `json:"limits,omitzero"`
	// OperatorToken is the bearer token that operators must send with each call to this
	// host; empty disables the check.
	OperatorToken string `json:"operator-token,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level,omitempty"`
}

// Platform holds the settings of the client for the object API of the platform's store.
type Platform struct {
	// Address is the IP address and TCP port of the API.
	Address string `json:"address"`
	// Timeout limits the duration of each call.
	Timeout core.Milliseconds `json:"timeout-ms,omitempty"`
}

// TLS holds the certificate, the private key and the certificate authority for
// mutual TLS between hosts. Each is given either as PEM text or as the name of a
// file with PEM text.
type TLS struct {
	Certificate     string `json:"certificate,omitempty"`
	CertificateFile string `json:"certificate-file,omitempty"`
	Key             string `json:"key,omitempty"`
	KeyFile         string `json:"key-file,omitempty"`
	Authority       string `json:"authority,omitempty"`
	AuthorityFile   string `json:"authority-file,omitempty"`
}

// Traces configures the export of OpenTelemetry spans.
type Traces struct {
	// Exporter is off, otlp or file.
	Exporter string `json:"exporter"`
	// Address is the IP address and port of an OTLP/HTTP receiver, for the otlp
	// exporter.
	Address string `json:"address,omitempty"`
	// File is the file that the file exporter appends spans to.
	File string `json:"file,omitempty"`
	// SampleRatio is the fraction of traces to sample, from 0 to 1. 0 means that it is not
	// set, and all traces are sampled.
	SampleRatio float64 `json:"ratio,omitempty"`
}

// Limits limits the load on a host and the time of its graceful stop, and selects
// how it balances load.
type Limits struct {
	// MaxBody limits the size of request and response bodies for all services.
	MaxBody core.Bytes `json:"max-body-bytes,omitempty"`
	// MaxConnections limits the number of open client connections.
	MaxConnections int `json:"max-connections,omitempty"`
	// BalancingPolicy is the name of the load balancing policy, one of balancer.Policies:
	// round-robin, random, least-in-flight, two-choices or least-expected (the default). It
	// is not related to the routing policy.
	BalancingPolicy string `json:"policy,omitempty"`
	// StopTimeout limits the duration of a graceful stop, as controller.Bounds.GracePeriod
	// does for the program of the module platform.
	StopTimeout core.Milliseconds `json:"stop-timeout-ms,omitempty"`
}

// Default values of optional settings.
const (
	defaultPlatformTimeout = core.Milliseconds(1000)
	defaultMaxBody         = 64 * core.Mebibyte
	defaultMaxConnections  = 10_000
	defaultStopTimeout     = core.Milliseconds(60_000)
	defaultLogLevel        = "info"
)

// Values of Traces.Exporter.
const (
	ExporterOff  = "off"
	ExporterOTLP = "otlp"
	ExporterFile = "file"
)

// Load reads and validates a settings file. The error is of type core.Findings if
// the content is invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse decodes and validates settings, and reads the PEM files that they name.
func Parse(data []byte) (Settings, error) {
	var settings Settings
	findings, isReadable := core.DecodeStrict(data, maxFileSize, &settings)
	if !isReadable {
		return Settings{}, findings
	}
	settings = settings.withDefaults()
	findings = append(findings, settings.Validate()...)
	settings.TLS.readFiles(&findings)
	return settings, findings.Err()
}

func (s Settings) withDefaults() Settings {
	s.Platform.Timeout = orDefault(s.Platform.Timeout, defaultPlatformTimeout)
	s.Limits.MaxBody = orDefault(s.Limits.MaxBody, defaultMaxBody)
	s.Limits.MaxConnections = orDefault(s.Limits.MaxConnections, defaultMaxConnections)
	s.Limits.StopTimeout = orDefault(s.Limits.StopTimeout, defaultStopTimeout)
	s.Limits.BalancingPolicy = orDefault(s.Limits.BalancingPolicy, balancer.LeastServiceTime.Name)
	s.LogLevel = orDefault(s.LogLevel, defaultLogLevel)
	s.Traces.Exporter = orDefault(s.Traces.Exporter, ExporterOff)
	return s
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Validate returns all problems of the settings, except for those of the PEM files.
func (s Settings) Validate() core.Findings {
	var findings core.Findings
	names := []struct{ pointer, value string }{
		{"/name", string(s.Name)},
		{"/region", string(s.Region)},
		{"/zone", string(s.Zone)},
	}
	for _, n := range names {
		if !core.IsValidName(n.value) {
			findings.Addf(n.pointer, "%q is not a name of a-z, 0-9 and - with 1 to 63 characters", n.value)
		}
	}
	s.checkAddresses(&findings)
	s.checkLimits(&findings)
	s.checkTraces(&findings)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		findings.Addf("/log-level", "%q is not one of debug, info, warn, error", s.LogLevel)
	}
	return findings
}

func (s Settings) checkAddresses(findings *core.Findings) {
	addresses := []struct{ pointer, value string }{
		{"/client-address", s.ClientAddress},
		{"/peer-address", s.PeerAddress},
		{"/platform/address", s.Platform.Address},
	}
	for i, p := range s.SeedPeers {
		addresses = append(addresses, struct{ pointer, value string }{core.JSONPointer("seed-peers", i), p})
	}
	for _, a := range addresses {
		if !core.IsValidAddress(a.value) {
			findings.Addf(a.pointer, "%q is not an IP address with a port", a.value)
		}
	}
}

func (s Settings) checkLimits(findings *core.Findings) {
	if s.Platform.Timeout < 0 {
		findings.Addf("/platform/timeout-ms", "must not be negative")
	}
	if s.Limits.MaxBody < 0 {
		findings.Addf("/limits/max-body-bytes", "must not be negative")
	}
	if s.Limits.MaxConnections < 0 {
		findings.Addf("/limits/max-connections", "must not be negative")
	}
	if s.Limits.StopTimeout < 0 {
		findings.Addf("/limits/stop-timeout-ms", "must not be negative")
	}
	if _, ok := balancer.FindPolicy(s.Limits.BalancingPolicy); !ok {
		findings.Addf("/limits/policy", "%q is not the name of a balancing policy", s.Limits.BalancingPolicy)
	}
}

func (s Settings) checkTraces(findings *core.Findings) {
	switch s.Traces.Exporter {
	case ExporterOff:
	case ExporterOTLP:
		if !core.IsValidAddress(s.Traces.Address) {
			findings.Addf("/traces/address", "%q is not an IP address with a port", s.Traces.Address)
		}
	case ExporterFile:
		if s.Traces.File == "" {
			findings.Addf("/traces/file", "must be set for the file exporter")
		}
	default:
		findings.Addf("/traces/exporter", "%q is not one of off, otlp, file", s.Traces.Exporter)
	}
	if s.Traces.SampleRatio < 0 || s.Traces.SampleRatio > 1 {
		findings.Addf("/traces/ratio", "%v is not between 0 and 1", s.Traces.SampleRatio)
	}
}

// readFiles reads the PEM text of the settings that name a file.
func (t *TLS) readFiles(findings *core.Findings) {
	fields := []struct {
		name string
		text *string
		file string
	}{
		{"certificate", &t.Certificate, t.CertificateFile},
		{"key", &t.Key, t.KeyFile},
		{"authority", &t.Authority, t.AuthorityFile},
	}
	for _, f := range fields {
		pointer := core.JSONPointer("tls", f.name)
		switch {
		case *f.text != "" && f.file != "":
			findings.Addf(pointer, "must not be set together with %s-file", f.name)
		case *f.text != "":
		case f.file == "":
			findings.Addf(pointer, "must be set, either here or with %s-file", f.name)
		default:
			data, err := os.ReadFile(f.file)
			if err != nil {
				findings.Addf(pointer+"-file", "%s", err.Error())
				continue
			}
			*f.text = string(data)
		}
	}
}

// Host returns the host that the settings describe. The incarnation distinguishes this
// process from earlier ones of the host.
func (s Settings) Host(incarnation core.Incarnation) core.Host {
	return core.Host{
		Name:          s.Name,
		Incarnation:   incarnation,
		Zone:          core.Zone{Name: s.Zone, Region: s.Region},
		ClientAddress: s.ClientAddress,
		PeerAddress:   s.PeerAddress,
	}
}
