package messenger

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/endiverun/endiverun/core"
)

// protocol is the ALPN protocol name. Its number changes with the format of the
// messages.
const protocol = "endiverun/1"

// ServerName is the DNS name in every host's certificate.
const ServerName = "endiverun"

// TLSConfigs returns the server and client configurations of mutual TLS from PEM texts.
func TLSConfigs(certificate, key, authority string) (server, client *tls.Config, err error) {
	keyPair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
	if err != nil {
		return nil, nil, core.ErrPeer.Wrap(err, "certificate and key")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(authority)) {
		return nil, nil, core.ErrPeer.New("the authority contains no PEM certificate")
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{keyPair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{keyPair},
		RootCAs:      roots,
		ServerName:   ServerName,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
	return server, client, nil
}
