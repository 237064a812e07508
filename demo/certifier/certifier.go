// Package certifier issues the certificates and private keys for mutual TLS
// between entry hosts.
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

// validity is the lifetime of the certificates.
const validity = 30 * 24 * time.Hour

// serialBits is the size of the random serial numbers.
const serialBits = 120

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	// Certificate is the authority's certificate in PEM.
	Certificate string

	caCertificate *x509.Certificate
	key           *ecdsa.PrivateKey
}

// New returns an authority with a new key.
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
	caCertificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{Certificate: encodePEM("CERTIFICATE", der), caCertificate: caCertificate, key: key}, nil
}

// Issue returns a new certificate and private key for a host, both in PEM. The
// certificate serves for both ends of a connection.
func (a *Authority) Issue(host string, now time.Time) (certificate, key string, err error) {
	hostKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
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
	der, err := x509.CreateCertificate(rand.Reader, template, a.caCertificate, hostKey.Public(), a.key)
	if err != nil {
		return "", "", err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(hostKey)
	if err != nil {
		return "", "", err
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), nil
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

func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
