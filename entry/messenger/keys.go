package messenger

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/endiverun/endiverun/core"
)

// protocol is negotiated between hosts; its number changes with the messages.
const protocol = "endiverun/1"

// ServerName is the DNS name that every host's certificate carries.
const ServerName = "endiverun"

// Keys builds both sides of mutual TLS from PEM text.
func Keys(certificate, key, authority string) (server, client *tls.Config, err error) {
	pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
	if err != nil {
		return nil, nil, core.ErrPeer.Wrap(err, "certificate and key")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(authority)) {
		return nil, nil, core.ErrPeer.New("the authority holds no certificate")
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ServerName:   ServerName,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
	return server, client, nil
}
