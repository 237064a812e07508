package messenger_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/hex"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/tracker"
	"github.com/endiverun/endiverun/entry/messenger"
)

var (
	// fullHost is a host with every field set.
	fullHost = core.Host{
		Name: "host-1", Incarnation: 1790000000001, Zone: core.Zone{Name: "for-a", Region: "for"},
		ClientAddress: "10.0.0.1:8548", PeerAddress: "10.0.0.2:7540", Capacity: 320,
	}
	// fullSpare is spare capacity with every field set.
	fullSpare = tracker.ServiceCapacity{Service: "desk", FreeSlots: 2, TotalSlots: 6, BestServiceTime: 40 * time.Millisecond}
	// fullTicket is a ticket with every field set.
	fullTicket = core.Ticket{
		Number: 7,
		Author: "ana",
		Reason: "a reason",
		Services: []core.Service{{
			Name: "desk", Repeatable: true, Deadline: 2100, ProgressTimeout: 310, MaxBody: 4096,
			OrganisationWeights: map[core.Organisation]core.Weight{"guild": 2.5},
		}},
		Zones: []core.Zone{{Name: "for-a", Region: "for"}},
		Upstreams: []core.Upstream{{
			Name: "desk-1", Service: "desk", Zone: "for-a", Address: "10.0.0.9:8080", Slots: 6, Draining: true, Incarnation: 1700000000002,
		}},
		Links:      []core.LinkCap{{Link: core.Link{From: "for", To: "nat"}, Cap: 8_000_000, Slots: 3}},
		Blocks:     []core.AddressBlock{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Zone: "for-b"}},
		Objectives: &core.Objectives{Latency: 1.5, Headroom: 3.5, Drain: 4.5},
		Remove: core.Removal{
			Services:  []core.ServiceName{"order"},
			Zones:     []core.ZoneName{"slz-a"},
			Upstreams: []core.UpstreamName{"order-1"},
			Links:     []core.Link{{From: "slz", To: "for"}},
			Blocks:    []netip.Prefix{netip.MustParsePrefix("10.2.0.0/16")},
		},
	}
	// fullCall is a call with every field set.
	fullCall = messenger.Call{
		Kind: messenger.CallForwardHome, From: fullHost, ToIncarnation: 1790000000003, Attempt: "host-1.mubbs7i9.5",
		Request: &messenger.Request{
			ID: "9c41d07be2a35f68", Service: "desk", Organisation: "guild", ClientZone: "for-b", Method: "PUT", Path: "/desk/1?a=b",
			Headers: []core.Header{{Name: "Accept", Value: "text/plain"}}, Body: []byte("the body"), Key: "key-1", Ordinal: 2,
			Traceparent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		},
		FromTicket: 9, RemainingTime: 1500 * time.Millisecond,
	}
	// fullReply is a reply with every field set.
	fullReply = messenger.Reply{
		RunState:   core.Answered,
		Response:   &core.Response{Status: 201, Headers: []core.Header{{Name: "Etag", Value: "e-1"}}, Body: []byte("the answer")},
		Refusal:    &core.Refusal{Kind: core.RefusalOverload, Detail: "a detail", RetryAfter: 1200 * time.Millisecond},
		Capacities: []tracker.ServiceCapacity{fullSpare},
		Attempted:  true,
		Tickets:    []core.Ticket{fullTicket},
		Snapshot:   &core.Ticket{Number: 6, Author: "eva"},
	}
	// fullRecords holds a record with every field set.
	fullRecords = []tracker.Record{{
		Host: fullHost, Phase: core.PhaseLeaving, Sequence: 21, TicketNumber: 7, Capacities: []tracker.ServiceCapacity{fullSpare},
		FormerInFlight: []balancer.FormerUpstream{{Upstream: "desk-2", InFlight: 4}}, UnixSeconds: 1790000123,
	}}
)

// TestMessageFormat compares the messages between hosts with golden files.
func TestMessageFormat(t *testing.T) {
	tests := []struct {
		name  string
		value any
	}{
		{"call", fullCall},
		{"call-forward", messenger.Call{Kind: messenger.CallForward, Attempt: "a", Request: &messenger.Request{ID: "r"}}},
		{"call-ask", messenger.Call{Kind: messenger.CallQueryAttempt, Attempt: "a"}},
		{"call-tickets", messenger.Call{Kind: messenger.CallFetchTickets, FromTicket: 9}},
		{"call-ping", messenger.Call{Kind: messenger.CallPing}},
		{"reply", fullReply},
		{"reply-not-run", messenger.Reply{RunState: core.NotRun}},
		{"reply-unknown", messenger.Reply{RunState: core.RunUnknown}},
		{"records", fullRecords},
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
			is.Equal(hexLines(encoded), hexLines(data))
		})
	}
}

// TestCallsAreAccepted checks that a host decodes the golden file of each kind of call.
func TestCallsAreAccepted(t *testing.T) {
	kinds := map[string]messenger.CallKind{
		"call": messenger.CallForwardHome, "call-forward": messenger.CallForward, "call-ask": messenger.CallQueryAttempt,
		"call-tickets": messenger.CallFetchTickets, "call-ping": messenger.CallPing,
	}
	for name, want := range kinds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call, err := messenger.DecodeCall(golden(t, name+".hex"))
			is.NoErr(err)
			is.Equal(call.Kind, want)
		})
	}
}

// TestRecordsFormat compares encoded records with the golden file and checks that it is
// decoded.
func TestRecordsFormat(t *testing.T) {
	is := is.New(t)
	data := golden(t, "records.hex")
	datagrams, err := messenger.EncodeRecords(fullRecords)
	is.NoErr(err)
	is.Equal(len(datagrams), 1)
	is.Equal(hexLines(datagrams[0]), hexLines(data))
	records, err := messenger.DecodeRecords(data)
	is.NoErr(err)
	is.Equal(records, fullRecords)
}

// TestRequestFormat checks which fields of a request are sent between hosts.
func TestRequestFormat(t *testing.T) {
	is := is.New(t)
	deadline := time.Unix(1790000123, 0)
	sent := fullCall.Request
	request, err := sent.ToCore(deadline)
	is.NoErr(err)
	is.Equal(request, core.Request{
		ID: sent.ID, Service: sent.Service, Organisation: sent.Organisation, ClientZone: sent.ClientZone, Method: sent.Method,
		Path: sent.Path, Headers: sent.Headers, Body: sent.Body, Key: core.IdempotencyKey{Text: "key-1"}, Ordinal: sent.Ordinal,
		Traceparent: sent.Traceparent, Deadline: deadline,
	})
	is.Equal(messenger.NewRequest(request, sent.Traceparent), sent)
}

// golden returns the bytes of a golden file, which contains them as hexadecimal text.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join("testdata", name))
	is.NoErr(err)
	data, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	is.NoErr(err)
	return data
}

// hexLines formats bytes like a golden file.
func hexLines(data []byte) string {
	const perLine = 32
	var text strings.Builder
	for len(data) > 0 {
		n := min(len(data), perLine)
		text.WriteString(hex.EncodeToString(data[:n]) + "\n")
		data = data[n:]
	}
	return text.String()
}

// tlsConfigs returns the server and client configurations of mutual TLS for one self-signed
// certificate.
func tlsConfigs(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	is := is.New(t)
	public, private, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"endiverun"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(nil, template, template, public, private)
	is.NoErr(err)
	key, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	text := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}))
	server, client, err = messenger.TLSConfigs(text, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})), text)
	is.NoErr(err)
	return server, client
}

// listenUDP opens a UDP socket on a free port.
func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := messenger.ListenUDP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// withLength returns a message preceded by its length.
func withLength(data []byte) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(data))), data...)
}

// TestProtocolFormat checks the protocol and server names used to set up a connection.
func TestProtocolFormat(t *testing.T) {
	is := is.New(t)
	server, client := tlsConfigs(t)
	is.Equal(server.NextProtos, []string{"endiverun/1"})
	is.Equal(client.NextProtos, []string{"endiverun/1"})
	is.Equal(client.ServerName, "endiverun")
}

// TestReplyFrames sends the golden call and records to a host and checks the frames of
// its reply.
func TestReplyFrames(t *testing.T) {
	is := is.New(t)
	server, client := tlsConfigs(t)
	listener := listenUDP(t)
	received := make(chan []tracker.Record, 1)
	calls := make(chan messenger.Call, 1)
	m := &messenger.Messenger{
		Self: core.Host{Name: "host-2", Incarnation: fullCall.ToIncarnation}, ServerTLS: server, ClientTLS: client, MaxBody: core.Mebibyte,
		ListenSocket: func(string) (net.PacketConn, error) { return listener, nil },
		OnRecords:    func(records []tracker.Record) { received <- records },
		Handle: func(_ context.Context, call messenger.Call) messenger.Reply {
			calls <- call
			time.Sleep(600 * time.Millisecond) // longer than the interval between running frames
			return fullReply
		},
	}
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	conn, err := quic.DialAddr(ctx, listener.LocalAddr().String(), client, &quic.Config{EnableDatagrams: true})
	is.NoErr(err)
	is.NoErr(conn.SendDatagram(golden(t, "records.hex")))
	is.Equal(<-received, fullRecords)
	stream, err := conn.OpenStreamSync(ctx)
	is.NoErr(err)
	_, err = stream.Write(withLength(golden(t, "call.hex")))
	is.NoErr(err)
	is.NoErr(stream.Close())
	is.Equal(<-calls, fullCall)
	frames, err := io.ReadAll(stream)
	is.NoErr(err)
	is.Equal(frames[0], byte(1)) // accepted
	rest := bytes.TrimLeft(frames[1:], "\x02")
	is.True(len(rest) < len(frames)-1) // running
	is.Equal(hexLines(rest), hexLines(append([]byte{3}, withLength(golden(t, "reply.hex"))...)))
	is.NoErr(conn.CloseWithError(0, ""))
	stop()
	is.NoErr(<-done)
}

// TestCallerFrames makes a host call a server that replies with golden frames, and
// checks what the host sent.
func TestCallerFrames(t *testing.T) {
	is := is.New(t)
	server, client := tlsConfigs(t)
	transport := &quic.Transport{Conn: listenUDP(t)}
	listener, err := transport.Listen(server, &quic.Config{EnableDatagrams: true})
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	sent := make(chan []byte, 1)
	go func() {
		conn, err := listener.Accept(t.Context())
		if err != nil {
			return
		}
		stream, err := conn.AcceptStream(t.Context())
		if err != nil {
			return
		}
		data, _ := io.ReadAll(stream)
		sent <- data
		_, _ = stream.Write(append([]byte{1, 2, 2, 3}, withLength(golden(t, "reply.hex"))...))
		_ = stream.Close()
	}()
	from := fullHost
	from.PeerAddress = "127.0.0.1:0"
	m := &messenger.Messenger{Self: from, ClientTLS: client, MaxBody: core.Mebibyte}
	to := core.Host{Name: "host-2", PeerAddress: transport.Conn.LocalAddr().String()}
	reply, err := m.Call(to, fullCall, time.Now().Add(10*time.Second))
	is.NoErr(err)
	is.Equal(reply, fullReply)
	data := <-sent
	length, n := binary.Uvarint(data)
	is.Equal(int(length), len(data)-n)
	call, err := messenger.DecodeCall(data[n:])
	is.NoErr(err)
	is.True(call.RemainingTime > 0 && call.RemainingTime <= 10*time.Second)
	call.RemainingTime, call.From.PeerAddress = fullCall.RemainingTime, fullHost.PeerAddress // they differ between runs
	is.Equal(call, fullCall)
	encoded, err := cbor.Marshal(call)
	is.NoErr(err)
	is.Equal(hexLines(encoded), hexLines(golden(t, "call.hex")))
}
