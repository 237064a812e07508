package heartbeater_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
	"github.com/endiverun/endiverun/core/roster"
	"github.com/endiverun/endiverun/entry/heartbeater"
)

// socket opens a UDP socket on a free port.
func socket(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func host(name string, conn net.PacketConn) core.Host {
	return core.Host{
		Name: core.HostName(name), Incarnation: 1790000000000, Zone: core.Zone{Name: "for-a", Region: "for"},
		ClientAddress: "10.128.100.100:8548", PeerAddress: conn.LocalAddr().String(),
	}
}

// TestHostsHearEachOther runs two hosts, of which only the first has the other in its
// roster. The second must learn of the first from its heartbeat. A datagram that is not
// a heartbeat must be reported and must not stop the exchange.
func TestHostsHearEachOther(t *testing.T) {
	is := is.New(t)
	conn1, conn2 := socket(t), socket(t)
	host1, host2 := host("host-1", conn1), host("host-2", conn2)
	ctx, cancel := context.WithCancel(t.Context())
	invalidSenders := make(chan string, 8)
	rosters := map[string]*roster.Roster{}
	done := make(chan error, 2)
	for _, h := range []struct {
		self core.Host
		conn net.PacketConn
	}{{host1, conn1}, {host2, conn2}} {
		r := &roster.Roster{Self: h.self}
		rosters[string(h.self.Name)] = r
		sender := &heartbeater.Heartbeater{
			Roster: r,
			NewHeartbeat: func() roster.Heartbeat {
				return roster.Heartbeat{Host: h.self, Ready: true, Revisions: core.Revisions{Policy: 7}}
			},
			Listen:  func(string) (net.PacketConn, error) { return h.conn, nil },
			OnError: func(from string, _ error) { invalidSenders <- from },
		}
		if h.self.Name == "host-1" {
			r.SetRegistrations([]core.Host{host2}, time.Now())
		}
		go func() { done <- sender.Run(ctx) }()
	}
	stray := socket(t)
	_, err := stray.WriteTo([]byte("hello"), conn2.LocalAddr())
	is.NoErr(err)
	is.Equal(<-invalidSenders, stray.LocalAddr().String())
	is.NoErr(stray.Close())
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		_, first := rosters["host-1"].PeerWithNewerCopy(core.Revisions{}, time.Now())
		_, second := rosters["host-2"].PeerWithNewerCopy(core.Revisions{}, time.Now())
		if first && second {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the hosts do not hear each other")
		}
	}
	cancel()
	is.NoErr(<-done)
	is.NoErr(<-done)
}

// TestHeartbeatIsSmall checks that a heartbeat is no larger than the 130 bytes that the
// capacity plan assumes.
func TestHeartbeatIsSmall(t *testing.T) {
	is := is.New(t)
	conn := socket(t)
	defer func() { _ = conn.Close() }()
	heartbeat := roster.Heartbeat{Host: host("frontend-slz-a-11", conn), Ready: true, Revisions: core.Revisions{
		Policy: 1 << 20, Upstreams: 1 << 30, Evacuations: 1 << 30, Hosts: 1 << 30,
	}, ReadsStore: true, StoreAge: 1000}
	data, err := cbor.Marshal(heartbeat)
	is.NoErr(err)
	is.True(len(data) <= 130)
}

// TestSnapshotRoundTrip checks that encoding and decoding keeps the contents of a
// snapshot.
func TestSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	snapshot := replicator.Snapshot{
		Policy: &replicator.Policy{Version: 9, Routes: []core.Route{{
			Name: "r", Hostname: "h", Prefix: "/p/", Class: core.Upload, Timeout: time.Second, HomeRegions: []core.RegionName{"for"},
			WeightedServices: []core.WeightedService{{Service: "s", Weight: 2}},
		}}},
		Upstreams: &replicator.Upstreams{Revision: 5, List: []core.Upstream{{
			Name: "u", Service: "s", Zone: "for-a", Address: "a", Slots: 4, Draining: true, Incarnation: 77,
		}}},
		Evacuations: &replicator.Evacuations{Revision: 6, Zones: []core.ZoneName{"nat-a"}},
		Hosts:       &replicator.Hosts{Revision: 7, List: []core.Host{{Name: "h", ClientAddress: "c"}}},
	}
	data, err := heartbeater.EncodeSnapshot(snapshot)
	is.NoErr(err)
	var decoded replicator.Snapshot
	is.NoErr(cbor.Unmarshal(data, &decoded))
	is.Equal(decoded, snapshot)
}
