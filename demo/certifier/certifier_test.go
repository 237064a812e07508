package certifier_test

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/tracker"
	"github.com/endiverun/endiverun/demo/certifier"
	"github.com/endiverun/endiverun/entry/messenger"
)

// startMessenger runs the messenger of a host on a loopback address, with a
// certificate of the given authority.
func startMessenger(t *testing.T, authority *certifier.Authority, name core.HostName, calls chan<- messenger.Call) *messenger.Messenger {
	t.Helper()
	is := is.New(t)
	certificate, key, err := authority.Issue(string(name), time.Now())
	is.NoErr(err)
	server, client, err := messenger.TLSConfigs(certificate, key, authority.Certificate)
	is.NoErr(err)
	socket, err := messenger.ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	m := &messenger.Messenger{
		Self: core.Host{
			Name: name, Incarnation: 7, Zone: core.Zone{Name: "a-1", Region: "a"}, PeerAddress: socket.LocalAddr().String(),
		},
		ServerTLS: server, ClientTLS: client, MaxBody: core.Mebibyte,
		ListenSocket: func(string) (net.PacketConn, error) { return socket, nil },
		OnRecords:    func([]tracker.Record) {},
		Handle: func(_ context.Context, call messenger.Call) messenger.Reply {
			calls <- call
			return messenger.Reply{RunState: core.Answered, Response: &core.Response{Status: 200, Body: []byte("yes")}}
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		is.NoErr(<-done)
	})
	return m
}

// TestCallBetweenHosts checks that two hosts with certificates of one authority
// can call each other, and that a call to an earlier incarnation is not run.
func TestCallBetweenHosts(t *testing.T) {
	is := is.New(t)
	authority, err := certifier.New(time.Now())
	is.NoErr(err)
	calls := make(chan messenger.Call, 10)
	first, second := startMessenger(t, authority, "h1", calls), startMessenger(t, authority, "h2", calls)
	call := messenger.Call{Kind: messenger.CallPing, ToIncarnation: 7}
	reply, err := first.Call(second.Self, call, time.Now().Add(5*time.Second))
	is.NoErr(err)
	is.Equal(string(reply.Response.Body), "yes")
	is.Equal((<-calls).From.Name, core.HostName("h1"))

	call.ToIncarnation = 6
	reply, err = first.Call(second.Self, call, time.Now().Add(5*time.Second))
	is.NoErr(err)
	is.Equal(reply.RunState, core.NotRun) // addressed to an earlier incarnation
}

// TestUntrustedPeers checks that a peer without a certificate of the host's authority
// gets no response and that none of its calls is handled. One such peer has a
// certificate of another authority, the other has none at all.
func TestUntrustedPeers(t *testing.T) {
	is := is.New(t)
	authority, err := certifier.New(time.Now())
	is.NoErr(err)
	calls := make(chan messenger.Call, 10)
	target := startMessenger(t, authority, "h1", calls)

	otherAuthority, err := certifier.New(time.Now())
	is.NoErr(err)
	untrusted := startMessenger(t, otherAuthority, "h2", calls)
	_, err = untrusted.Call(target.Self, messenger.Call{Kind: messenger.CallPing}, time.Now().Add(2*time.Second))
	is.True(err != nil)

	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"endiverun/1"}}
	conn, err := quic.DialAddr(ctx, target.Self.PeerAddress, config, &quic.Config{EnableDatagrams: true})
	if err == nil {
		_, err = conn.AcceptStream(ctx)
	}
	is.True(err != nil)
	is.Equal(len(calls), 0)
}
