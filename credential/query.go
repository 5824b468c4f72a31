package credential

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
	"time"
)

// NotAfter returns until when the own certificate is valid; it is zero without a certificate.
func (c *Credential) NotAfter() time.Time {
	if m := c.current.Load(); m.certificate != nil {
		return m.certificate.Leaf.NotAfter
	}
	return time.Time{}
}

// ServerConfig returns a configuration for listeners; each handshake uses the content that is current then. The protocols
// are those of ALPN, in the order of preference. With authorities, a client must present a certificate.
func (c *Credential) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Time:         c.d.Now,
				Certificates: []tls.Certificate{*m.certificate},
				// A resumed session would skip the check against authorities that changed meanwhile.
				SessionTicketsDisabled: true,
			}
			if m.authorities != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = m.authorities
			}
			return config, nil
		},
	}
}

// ClientConfig returns a configuration for a client that checks the host that it connects to in the usual way. It holds
// the authorities that are current now.
func (c *Credential) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		Time:                 c.d.Now,
		RootCAs:              c.current.Load().authorities,
		GetClientCertificate: c.clientCertificate,
	}
}

// PeerConfig returns a configuration for connections to one peer. Each handshake uses the content that is current then. The
// certificate of the peer must hold the host, an IP address, or one of the names, which are asked for only when it does
// not hold the host.
func (c *Credential) PeerConfig(host string, names func() []string) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		Time:                 c.d.Now,
		ServerName:           host,
		GetClientCertificate: c.clientCertificate,
		// VerifyConnection replaces the usual check, which knows only one name and authorities that do not change.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return c.verifyPeer(s.PeerCertificates, host, names)
		},
	}
}

func (c *Credential) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	if m := c.current.Load(); m.certificate != nil {
		return m.certificate, nil
	}
	// An empty certificate tells the server that there is none.
	return &tls.Certificate{}, nil
}

func (c *Credential) verifyPeer(chain []*x509.Certificate, host string, names func() []string) error {
	if len(chain) == 0 {
		return Untrusted.New("the peer at %s presented no certificate; set tls.peer there", host)
	}
	if err := c.current.Load().verify(chain, x509.ExtKeyUsageServerAuth, c.d.Now()); err != nil {
		return Untrusted.New("the authorities in %s do not accept the certificate of the peer at %s: %v; have it issued by one of them", c.files.Authorities, host, err)
	}
	leaf := chain[0]
	if leaf.VerifyHostname(host) == nil {
		return nil
	}
	expected := names()
	for _, name := range expected {
		if leaf.VerifyHostname(name) == nil {
			return nil
		}
	}
	return WrongName.New("the certificate of the peer at %s is for %v and %v, not for the address or an instance known there (%s); have it issued for the instance name and the peer address", host, leaf.DNSNames, leaf.IPAddresses, strings.Join(expected, ", "))
}
