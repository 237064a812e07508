package messenger_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
	"github.com/endiverun/endiverun/entry/messenger"
)

// record returns a valid record of a host.
func record(name core.HostName) tracker.Record {
	return tracker.Record{
		Host: core.Host{
			Name: name, Zone: core.Zone{Name: "a-1", Region: "a"},
			ClientAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
		},
		Capacities: []tracker.ServiceCapacity{{Service: "s", FreeSlots: 1, TotalSlots: 2}},
	}
}

// TestRecordsFitDatagrams guards against datagrams above the size limit, which QUIC
// does not send, and against records that are lost when they are divided over several
// datagrams.
func TestRecordsFitDatagrams(t *testing.T) {
	is := is.New(t)
	var records []tracker.Record
	for range 50 {
		records = append(records, record("h"))
	}
	datagrams, err := messenger.EncodeRecords(records)
	is.NoErr(err)
	total := 0
	for _, datagram := range datagrams {
		is.True(len(datagram) <= 1100)
		decoded, err := messenger.DecodeRecords(datagram)
		is.NoErr(err)
		total += len(decoded)
	}
	is.Equal(total, len(records))
}

// FuzzDecodeCall guards against decoding a forwarding call without its request, which
// would crash the host that processes it.
func FuzzDecodeCall(f *testing.F) {
	data, _ := cbor.Marshal(messenger.Call{Kind: messenger.CallQueryAttempt, Attempt: "a.1.1"})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		call, err := messenger.DecodeCall(data)
		if err == nil && call.Kind == messenger.CallForward && call.Request == nil {
			t.Fatal("a call without its request was accepted")
		}
	})
}

// FuzzDecodeRecords guards against accepting records with an invalid host name.
func FuzzDecodeRecords(f *testing.F) {
	data, _ := cbor.Marshal([]tracker.Record{record("h")})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := messenger.DecodeRecords(data)
		for _, r := range records {
			if err == nil && !core.IsValidName(string(r.Host.Name)) {
				t.Fatalf("host %q was accepted", r.Host.Name)
			}
		}
	})
}
