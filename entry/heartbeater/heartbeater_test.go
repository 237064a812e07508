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

// TestHostsHearEachOther runs two hosts of which one is registered with the
// other, and sends bytes that are no heartbeat.
func TestHostsHearEachOther(t *testing.T) {
	is := is.New(t)
	one, two := socket(t), socket(t)
	a, b := host("host-1", one), host("host-2", two)
	ctx, stop := context.WithCancel(t.Context())
	faults := make(chan string, 8)
	rosters := map[string]*roster.Roster{}
	done := make(chan error, 2)
	for _, h := range []struct {
		self core.Host
		conn net.PacketConn
	}{{a, one}, {b, two}} {
		r := &roster.Roster{Self: h.self}
		rosters[string(h.self.Name)] = r
		beater := &heartbeater.Heartbeater{
			Roster: r,
			Self: func() roster.Heartbeat {
				return roster.Heartbeat{Host: h.self, Ready: true, Revisions: core.Revisions{Policy: 7}}
			},
			Listen:  func(string) (net.PacketConn, error) { return h.conn, nil },
			OnFault: func(from string, _ error) { faults <- from },
		}
		if h.self.Name == "host-1" {
			r.Register([]core.Host{b}, time.Now())
		}
		go func() { done <- beater.Run(ctx) }()
	}
	stray := socket(t)
	_, err := stray.WriteTo([]byte("hello"), two.LocalAddr())
	is.NoErr(err)
	is.Equal(<-faults, stray.LocalAddr().String())
	is.NoErr(stray.Close())
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		_, first := rosters["host-1"].Newer(core.Revisions{}, time.Now())
		_, second := rosters["host-2"].Newer(core.Revisions{}, time.Now())
		if first && second {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the hosts do not hear each other")
		}
	}
	stop()
	is.NoErr(<-done)
	is.NoErr(<-done)
}

// TestHeartbeatIsSmall keeps the size within the capacity plan's 130 bytes.
func TestHeartbeatIsSmall(t *testing.T) {
	is := is.New(t)
	conn := socket(t)
	defer func() { _ = conn.Close() }()
	beat := roster.Heartbeat{Host: host("frontend-slz-a-11", conn), Ready: true, Revisions: core.Revisions{
		Policy: 1 << 20, Upstreams: 1 << 30, Evacuations: 1 << 30, Hosts: 1 << 30,
	}, Reads: true, StoreAge: 1000}
	data, err := cbor.Marshal(beat)
	is.NoErr(err)
	is.True(len(data) <= 130)
}

// TestSnapshotKeepsWhatBinds checks the round trip of a copy of the store.
func TestSnapshotKeepsWhatBinds(t *testing.T) {
	is := is.New(t)
	snapshot := replicator.Snapshot{
		Policy: &replicator.Policy{Version: 9, Routes: []core.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Class: core.Upload, Timeout: time.Second, Homes: []core.RegionName{"for"},
			Parts: []core.Part{{Service: "s", Weight: 2}},
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
