package heartbeater_test

import (
	"context"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/heartbeater"
)

// fullHost has every field set that hosts tell each other.
var fullHost = core.Host{
	Name: "host-1", Incarnation: 1790000000001, Zone: core.Zone{Name: "for-a", Region: "for"},
	ClientAddress: "10.0.0.1:8548", PeerAddress: "10.0.0.2:7540", Capacity: 320,
}

// fullBeat has every field set of a heartbeat.
var fullBeat = roster.Heartbeat{
	Host: fullHost, Ready: true,
	Revisions:  core.Revisions{Policy: 3, Upstreams: 5, Evacuations: 7, Hosts: 11, MayIncludeExpired: true},
	ReadsStore: true, StoreAge: 1300, RemainingWarmUps: map[core.UpstreamName]uint32{"desk-1": 1700},
}

// limitBeat has notices about rate limits beside the fields of fullBeat.
func limitBeat(name core.UpstreamName, notice core.RateLimitNotice) roster.Heartbeat {
	heartbeat := fullBeat
	heartbeat.RateLimits = map[core.UpstreamName]core.RateLimitNotice{name: notice}
	return heartbeat
}

// lendingBeat states a loan beside the fields of fullBeat, or that the host needs one.
func lendingBeat(steps uint8, needsShares bool) roster.Heartbeat {
	heartbeat := fullBeat
	heartbeat.LoanSteps, heartbeat.NeedsShares = steps, needsShares
	return heartbeat
}

// leavingBeat names an upstream that drains beside the fields of fullBeat.
func leavingBeat(name core.UpstreamName, incarnation core.Incarnation) roster.Heartbeat {
	heartbeat := fullBeat
	heartbeat.Leaving = map[core.UpstreamName]core.Incarnation{name: incarnation}
	return heartbeat
}

// restoredBeat is the heartbeat of a host whose store was restored lately.
func restoredBeat() roster.Heartbeat {
	heartbeat := fullBeat
	heartbeat.Revisions.Era, heartbeat.Revisions.UpstreamsSettling, heartbeat.Revisions.EvacuationsSettling = 13, true, true
	return heartbeat
}

// knowingBeat says what the host knew before a restore of the store beside the fields of
// restoredBeat.
func knowingBeat() roster.Heartbeat {
	heartbeat := restoredBeat()
	heartbeat.HasKnowledge = true
	heartbeat.KnownBefore = &core.KnownUpstreams{Era: 12, Revision: 29, Digest: 1 << 31}
	return heartbeat
}

// fullSnapshot has every field set that hosts pass on.
var fullSnapshot = replicator.Snapshot{
	Policy: &replicator.Policy{
		Version: 13,
		Routes: []core.Route{{
			Name: "r-desk", Hostname: "desk.example", Prefix: "/desk/", Class: core.Download,
			Timeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Priority: 4,
			WeightedServices: []core.WeightedService{{Service: "desk", Weight: 2.5}}, MaxAttempts: 6, HasAffinity: true,
			HomeRegions: []core.RegionName{"for"}, UnservableReason: "a fault",
		}},
		Services: []core.ServicePolicy{{
			Name: "desk", HealthPath: "/health", MaxConnections: 390, WarmUp: 3 * time.Second, WarmUpRate: 17.5,
		}},
		Limits: core.ClientLimits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second},
	},
	Upstreams: &replicator.Upstreams{
		Revision: 17,
		List: []core.Upstream{{
			Name: "desk-1", Service: "desk", Zone: "for-a", Address: "10.0.0.9:8080", Slots: 8, Draining: true, Incarnation: 1700000000002,
		}},
		BaseRevision: 16, Removed: []core.UpstreamName{"desk-2"}, RemainingWarmUps: map[core.UpstreamName]uint32{"desk-1": 1700},
		MayIncludeExpired: true,
	},
	Evacuations: &replicator.Evacuations{Revision: 19, Zones: []core.ZoneName{"nat-a"}},
	Hosts:       &replicator.Hosts{Revision: 23, List: []core.Host{fullHost}},
}

// restoredSnapshot is the snapshot of a host whose store was restored lately.
func restoredSnapshot() replicator.Snapshot {
	upstreams, evacuations := *fullSnapshot.Upstreams, *fullSnapshot.Evacuations
	upstreams.IsSettling, evacuations.IsSettling = true, true
	return replicator.Snapshot{Era: 13, Upstreams: &upstreams, Evacuations: &evacuations}
}

// TestMessageFormat compares heartbeats and copies of the store with golden files.
func TestMessageFormat(t *testing.T) {
	tests := []struct {
		name  string
		value any
	}{
		{"heartbeat", fullBeat},
		{"heartbeat-of-follower", roster.Heartbeat{Host: core.Host{Name: "host-2"}, Ready: true}},
		{"heartbeat-of-reader", roster.Heartbeat{Host: core.Host{Name: "host-3"}, ReadsStore: true}},
		{"heartbeat-with-limit", limitBeat("desk-1", core.NewRateLimitNotice(9.7, true, 1200*time.Millisecond))},
		{"heartbeat-with-ended-limit", limitBeat("desk-1", core.NewRateLimitNotice(0, false, 1200*time.Millisecond))},
		{"heartbeat-with-loan", lendingBeat(5, false)},
		{"heartbeat-of-borrower", lendingBeat(0, true)},
		{"heartbeat-with-leaving", leavingBeat("desk-1", 1700000000002)},
		{"heartbeat-after-restore", restoredBeat()},
		{"heartbeat-with-knowledge", knowingBeat()},
		{"heartbeat-of-joining-host", roster.Heartbeat{Host: core.Host{Name: "host-4"}, Ready: true, IsJoining: true}},
		{"snapshot", fullSnapshot},
		{"snapshot-after-restore", restoredSnapshot()},
		{"snapshot-unread", replicator.Snapshot{}},
		{"confirmation", heartbeater.Confirmation{Version: 5, Age: 1200 * time.Millisecond, IsKnown: true}},
		{"confirmation-in-era", heartbeater.Confirmation{Era: 13, EraAge: 700 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			data := golden(t, tt.name+".hex")
			decoded := reflect.New(reflect.TypeOf(tt.value))
			is.NoErr(cbor.Unmarshal(data, decoded.Interface()))
			is.Equal(decoded.Elem().Interface(), tt.value)
			encoded, err := cbor.Marshal(tt.value)
			is.NoErr(err)
			is.Equal(inLines(encoded), inLines(data))
		})
	}
}

// TestSnapshotFormat checks that a copy is sent to other hosts as the golden file
// has it.
func TestSnapshotFormat(t *testing.T) {
	is := is.New(t)
	encoded, err := heartbeater.EncodeSnapshot(fullSnapshot)
	is.NoErr(err)
	is.Equal(inLines(encoded), inLines(golden(t, "snapshot.hex")))
}

// TestHeldFormat checks where a host asks for a copy and how it says what it holds.
func TestHeldFormat(t *testing.T) {
	is := is.New(t)
	is.Equal(heartbeater.SnapshotPath, "/v1/snapshot")
	is.Equal(heartbeater.EncodeRevisions(fullBeat.Revisions), "evacuations=7&has-lapsed=true&hosts=11&policy=3&upstreams=5")
	query := map[string]string{"evacuations": "7", "has-lapsed": "true", "hosts": "11", "policy": "3", "upstreams": "5"}
	is.Equal(heartbeater.DecodeRevisions(func(name string) string { return query[name] }), fullBeat.Revisions)

	restored := restoredBeat().Revisions
	is.Equal(heartbeater.EncodeRevisions(restored),
		"era=13&evacuations=7&evacuations-settling=true&has-lapsed=true&hosts=11&policy=3&upstreams=5&upstreams-settling=true")
	query["era"], query["evacuations-settling"], query["upstreams-settling"] = "13", "true", "true"
	is.Equal(heartbeater.DecodeRevisions(func(name string) string { return query[name] }), restored)
}

// recordingConn receives one datagram and keeps those that are sent.
type recordingConn struct {
	net.PacketConn
	arrived chan []byte
	sent    chan []byte
}

func (c *recordingConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	c.sent <- append([]byte(nil), p...)
	return len(p), nil
}

func (c *recordingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	data, ok := <-c.arrived
	if !ok {
		return 0, nil, net.ErrClosed
	}
	return copy(p, data), &net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 7540}, nil
}

func (c *recordingConn) Close() error {
	close(c.arrived)
	return nil
}

// TestDatagramFormat checks that a host sends its heartbeat as the golden file has
// it, and hears one that arrives so.
func TestDatagramFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		want := golden(t, "heartbeat.hex")
		conn := &recordingConn{arrived: make(chan []byte, 1), sent: make(chan []byte, 16)}
		conn.arrived <- want
		heard := make(chan roster.Heartbeat, 1)
		r := &roster.Roster{Self: core.Host{Name: "host-2"}}
		r.SetRegistrations([]core.Host{fullHost}, time.Now())
		h := &heartbeater.Heartbeater{
			Roster:       r,
			NewHeartbeat: func() roster.Heartbeat { return fullBeat },
			Listen:       func(string) (net.PacketConn, error) { return conn, nil },
			OnHeartbeat:  func(beat roster.Heartbeat) { heard <- beat },
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		is.NoErr(h.Run(ctx))
		is.Equal(<-heard, fullBeat)
		is.Equal(inLines(<-conn.sent), inLines(want))
	})
}

// golden returns the bytes of a golden file, which holds them as hexadecimal text.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	data, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	is.NoErr(err)
	return data
}

// inLines returns bytes as a golden file holds them.
func inLines(data []byte) string {
	const perLine = 32
	var text strings.Builder
	for len(data) > 0 {
		n := min(len(data), perLine)
		text.WriteString(hex.EncodeToString(data[:n]) + "\n")
		data = data[n:]
	}
	return text.String()
}
