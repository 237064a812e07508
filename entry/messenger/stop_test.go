package messenger_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/messenger"
)

// newCertificate returns a self-signed certificate and its key as PEM texts.
func newCertificate(t *testing.T) (certificate, key string) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{messenger.ServerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	is.NoErr(err)
	encoded, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	certificate = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	key = string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}))
	return certificate, key
}

// newPair returns two messengers in different regions.
func newPair(t *testing.T) (from, to *messenger.Messenger) {
	t.Helper()
	is := is.New(t)
	certificate, key := newCertificate(t)
	server, client, err := messenger.TLSConfigs(certificate, key, certificate)
	is.NoErr(err)
	socket, err := messenger.ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	newMessenger := func(name core.HostName, region core.RegionName, address string) *messenger.Messenger {
		self := core.Host{
			Name: name, Incarnation: 1, Zone: core.Zone{Name: core.ZoneName(region + "-1"), Region: region},
			ClientAddress: "127.0.0.1:1", PeerAddress: address,
		}
		return &messenger.Messenger{Self: self, ServerTLS: server, ClientTLS: client, MaxBody: core.Mebibyte}
	}
	from = newMessenger("from", "a", "127.0.0.1:0")
	to = newMessenger("to", "b", socket.LocalAddr().String())
	to.ListenSocket = func(string) (net.PacketConn, error) { return socket, nil }
	return from, to
}

// start runs a messenger until the returned function is called.
func start(t *testing.T, m *messenger.Messenger) (stop func()) {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	t.Cleanup(func() {
		stop()
		is.NoErr(<-done)
	})
	go func() { done <- m.Run(ctx) }()
	return stop
}

// send sends a call again until it arrives, and returns its reply.
func send(from, to *messenger.Messenger) (messenger.Reply, error) {
	call := messenger.Call{Kind: messenger.CallQueryAttempt, ToIncarnation: to.Self.Incarnation, Attempt: "from.1.1"}
	for {
		reply, err := from.Call(to.Self, call, time.Now().Add(time.Minute))
		var callError *messenger.CallError
		if !errors.As(err, &callError) || callError.MayHaveArrived {
			return reply, err
		}
	}
}

// TestStopDeliversReplies guards against a stop that cuts the reply to a call of another host,
// because the call had been handled but its reply not been sent.
func TestStopDeliversReplies(t *testing.T) {
	is := is.New(t)
	from, to := newPair(t)
	handled := make(chan struct{})
	body := make([]byte, 64*core.Kibibyte)
	to.Handle = func(context.Context, messenger.Call) messenger.Reply {
		close(handled)
		return messenger.Reply{RunState: core.Answered, Response: &core.Response{Status: 200, Body: body}}
	}
	to.ReserveBandwidth = func(core.RegionName, core.Bytes) bool {
		time.Sleep(5 * time.Millisecond)
		return true
	}
	stop := start(t, to)
	go func() {
		<-handled
		for to.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		stop()
	}()
	reply, err := send(from, to)
	is.NoErr(err)
	is.Equal(len(reply.Response.Body), len(body))
}

// TestStopAwaitsNoHandshake guards against a stop that waits for the connections that the host is
// opening, up to the timeout of a handshake, since their peers are silent.
func TestStopAwaitsNoHandshake(t *testing.T) {
	is := is.New(t)
	_, to := newPair(t)
	silent, err := messenger.ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- to.Run(ctx) }()
	to.Send(silent.LocalAddr().String(), nil)
	_, _, err = silent.ReadFrom(make([]byte, 2000)) // The handshake has begun.
	is.NoErr(err)
	start := time.Now()
	stop()
	is.NoErr(<-done)
	is.True(time.Since(start) < time.Second) // A handshake may take 2 s.
}

// slowSocket is a socket that takes a time to close.
type slowSocket struct {
	net.PacketConn
	delay time.Duration
}

// Close closes the socket.
func (s slowSocket) Close() error {
	time.Sleep(s.delay)
	return s.PacketConn.Close()
}

// TestStopClosesConnectionsTogether guards against a stop that closes one connection after the
// other, and takes as long as all of them together.
func TestStopClosesConnectionsTogether(t *testing.T) {
	const (
		peers = 10
		delay = 300 * time.Millisecond
	)
	is := is.New(t)
	from, to := newPair(t)
	socket, err := messenger.ListenUDP("0.0.0.0:0")
	is.NoErr(err)
	to.ListenSocket = func(string) (net.PacketConn, error) { return socket, nil }
	to.Handle = func(context.Context, messenger.Call) messenger.Reply { return messenger.Reply{RunState: core.NotRun} }
	start(t, to)
	from.OpenSocket = func(address string) (net.PacketConn, error) {
		socket, err := messenger.OpenUDP(address)
		return slowSocket{PacketConn: socket, delay: delay}, err
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- from.Run(ctx) }()
	address, err := netip.ParseAddrPort(socket.LocalAddr().String())
	is.NoErr(err)
	for n := range peers {
		target := &messenger.Messenger{Self: to.Self}
		target.Self.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + n)}), address.Port()).String()
		_, err := send(from, target)
		is.NoErr(err)
	}
	stopped := time.Now()
	stop()
	is.NoErr(<-done)
	is.True(time.Since(stopped) < peers*delay)
}

// cutCall sends a request until it has started to arrive, and returns the error with which it ends.
func cutCall(t *testing.T, from, to *messenger.Messenger, hasStarted func() bool) *messenger.CallError {
	t.Helper()
	call := messenger.Call{
		Kind: messenger.CallForwardHome, From: from.Self, ToIncarnation: to.Self.Incarnation, Attempt: "from.1.2",
		Request: &messenger.Request{ID: "r", Service: "order", Method: "POST", Path: "/", Body: make([]byte, 8*core.Kibibyte)},
	}
	for {
		_, err := from.Call(to.Self, call, time.Now().Add(time.Minute))
		var callError *messenger.CallError
		if !errors.As(err, &callError) {
			t.Fatalf("the call was not cut: %v", err)
		}
		if hasStarted() {
			return callError
		}
	}
}

// TestStopTellsWhichCallsWereHandled guards against a request that did not run and whose client is
// told that its outcome is unknown, since the host that ended had not read it.
func TestStopTellsWhichCallsWereHandled(t *testing.T) {
	t.Run("not read", func(t *testing.T) {
		is := is.New(t)
		from, to := newPair(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		done := make(chan error, 1)
		go func() { done <- to.Run(ctx) }()
		hasStarted := false
		from.ReserveBandwidth = func(core.RegionName, core.Bytes) bool {
			hasStarted = true
			stop()
			is.NoErr(<-done)
			return true
		}
		is.True(!cutCall(t, from, to, func() bool { return hasStarted }).MayHaveArrived)
	})
	t.Run("handled", func(t *testing.T) {
		is := is.New(t)
		from, to := newPair(t)
		release := make(chan struct{})
		var isHandled atomic.Bool
		stop := func() {}
		to.Handle = func(context.Context, messenger.Call) messenger.Reply {
			isHandled.Store(true)
			stop()
			<-release
			return messenger.Reply{RunState: core.NotRun}
		}
		stop = start(t, to)
		t.Cleanup(func() { close(release) })
		is.True(cutCall(t, from, to, isHandled.Load).MayHaveArrived)
	})
}
