// Package certifier makes the keys for mutual TLS between entry hosts.
//
// # Usage
//
//	authority, err := certifier.New(now)
//	certificate, key, err := authority.Issue("nl-south-a-1", now)
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/endiverun/endiverun/entry/messenger"
)

// validity is how long the keys hold.
const validity = 30 * 24 * time.Hour

// serialBits is the length of serial numbers.
const serialBits = 120

// Authority signs certificates.
type Authority struct {
	// Certificate is the authority's own certificate as PEM text.
	Certificate string

	parsed *x509.Certificate
	key    *ecdsa.PrivateKey
}

// New makes an authority with a fresh key.
func New(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("endiverun authority", now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{Certificate: encode("CERTIFICATE", der), parsed: parsed, key: key}, nil
}

// Issue returns a certificate and its key for a host, as PEM text.
func (a *Authority) Issue(host string, now time.Time) (certificate, key string, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template, err := newTemplate(host, now)
	if err != nil {
		return "", "", err
	}
	template.DNSNames = []string{messenger.ServerName, host}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.parsed, private.Public(), a.key)
	if err != nil {
		return "", "", err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", "", err
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", encoded), nil
}

func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}, nil
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
