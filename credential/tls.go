package credential

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
	"time"
)

// NotAfter returns the expiry time of the certificate of this side, or the zero time if there is no certificate.
func (c *Credential) NotAfter() time.Time {
	if s := c.current.Load(); s.certificate != nil {
		return s.certificate.Leaf.NotAfter
	}
	return time.Time{}
}

// ServerConfig returns a configuration for listeners; each handshake uses the files as last loaded. The protocols are offered by
// ALPN in order of preference. If there are authorities, clients must present a certificate.
func (c *Credential) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			s := c.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Time:         c.deps.Now,
				Certificates: []tls.Certificate{*s.certificate},
				// A resumed session would not be verified against authorities that have changed since.
				SessionTicketsDisabled: true,
			}
			if s.authorities != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = s.authorities
			}
			return config, nil
		},
	}
}

// ClientConfig returns a configuration for a client with the standard verification of the server's host name. It uses the
// authorities as loaded at the time of the call; later reloads change only the client certificate.
func (c *Credential) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		Time:                 c.deps.Now,
		RootCAs:              c.current.Load().authorities,
		GetClientCertificate: c.clientCertificate,
	}
}

// PeerConfig returns a configuration for connections to one peer; each handshake uses the files as last loaded. The peer's
// certificate must be valid for host, an IP address, or for one of the names. The function names is called only if the
// certificate is not valid for host.
func (c *Credential) PeerConfig(host string, names func() []string) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		Time:                 c.deps.Now,
		ServerName:           host,
		GetClientCertificate: c.clientCertificate,
		// VerifyConnection replaces the standard verification, which supports only one name and fixed authorities.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return c.verifyPeer(s.PeerCertificates, host, names)
		},
	}
}

func (c *Credential) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	if s := c.current.Load(); s.certificate != nil {
		return s.certificate, nil
	}
	// An empty certificate means that the client does not present one.
	return &tls.Certificate{}, nil
}

func (c *Credential) verifyPeer(chain []*x509.Certificate, host string, names func() []string) error {
	if len(chain) == 0 {
		return Untrusted.New("the peer at %s presented no certificate; set tls.peer there", host)
	}
	if err := c.current.Load().verify(chain, x509.ExtKeyUsageServerAuth, c.deps.Now()); err != nil {
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
