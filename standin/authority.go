package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"sync/atomic"
	"time"
)

// Authority is a certificate authority for tests; its key exists in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// CertificateRequest describes a certificate to issue.
type CertificateRequest struct {
	Name        string // common name
	DNSNames    []string
	IPAddresses []net.IP
	Uses        []x509.ExtKeyUsage // empty allows any use
	NotBefore   time.Time
	NotAfter    time.Time
}

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// lastSerial is the last serial number issued; it is shared, so that serial numbers differ within the process.
var lastSerial atomic.Int64

// NewAuthority returns an authority with a new key and a self-signed certificate for the given period.
func NewAuthority(name string, notBefore, notAfter time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate(CertificateRequest{Name: name, NotBefore: notBefore, NotAfter: notAfter})
	template.IsCA, template.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, err
}

func newTemplate(r CertificateRequest) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(lastSerial.Add(1)),
		Subject:      pkix.Name{CommonName: r.Name},
		DNSNames:     r.DNSNames,
		IPAddresses:  r.IPAddresses,
		ExtKeyUsage:  r.Uses,
		NotBefore:    r.NotBefore,
		NotAfter:     r.NotAfter,
	}
}

// PEM returns the PEM-encoded certificate of the authority.
func (a *Authority) PEM() []byte { return certificatePEM(a.certificate.Raw) }

// Issue returns a certificate that the authority signs for a new key.
func (a *Authority) Issue(r CertificateRequest) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, newTemplate(r), a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		Certificate: certificatePEM(der),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func certificatePEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
