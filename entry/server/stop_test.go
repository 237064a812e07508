package server_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/loader"
	"github.com/endiverun/endiverun/entry/messenger"
	"github.com/endiverun/endiverun/entry/server"
)

// newTLS returns the settings of a host that is its own authority.
func newTLS(t *testing.T) loader.TLS {
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
	certificate := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	key := string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}))
	return loader.TLS{Certificate: certificate, Key: key, Authority: certificate}
}

// stuckSocket is a socket that does not close.
type stuckSocket struct {
	net.PacketConn
	release chan struct{}
}

// Close waits until the test ends.
func (s stuckSocket) Close() error {
	<-s.release
	return s.PacketConn.Close()
}

// TestStopEndsInTime guards against a stop that outlasts its timeout because a task in the
// background does not end.
func TestStopEndsInTime(t *testing.T) {
	const stopTimeout = 4 * time.Second
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	listening := make(chan struct{})
	s := &server.Server{
		Log: io.Discard,
		Settings: loader.Settings{
			Name: "host-1", Region: "for", Zone: "for-a", ClientAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
			Platform: loader.Platform{Address: "127.0.0.1:1", Timeout: 100}, TLS: newTLS(t), LogLevel: "info",
			Limits: loader.Limits{
				MaxBody: 1 << 20, MaxConnections: 10, BalancingPolicy: "least-expected", StopTimeout: core.MillisecondsOf(stopTimeout),
			},
		},
		Network: server.Network{
			DialPlatform: func(string) (net.Conn, error) { return nil, errors.New("no platform") },
			ListenPeers: func(address string) (net.PacketConn, error) {
				defer close(listening)
				socket, err := messenger.ListenUDP(address)
				return stuckSocket{PacketConn: socket, release: release}, err
			},
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-listening
	stop()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(stopTimeout):
		t.Fatal("the stop outlasted its timeout")
	}
}
