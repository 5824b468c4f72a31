package node_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/sapphiretack/sapphiretack/credential"
	"github.com/sapphiretack/sapphiretack/operator"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/settings"
	"github.com/sapphiretack/sapphiretack/standin"
)

var loopback = net.IPv4(127, 0, 0, 1)

// certificates issues the certificates of a fleet into a temporary directory.
type certificates struct {
	t         testing.TB
	dir       string
	bundle    []byte // PEM of all authorities so far
	authority *standin.Authority
}

func newCertificates(t testing.TB) *certificates {
	c := &certificates{t: t, dir: t.TempDir()}
	c.renewAuthority()
	c.issue("client")
	return c
}

// renewAuthority adds an authority, which issues all further certificates.
func (c *certificates) renewAuthority() {
	var err error
	c.authority, err = standin.NewAuthority("fleet", time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
	qt.Assert(c.t, err, qt.IsNil)
	c.bundle = append(c.bundle, c.authority.PEM()...)
	c.write("authorities.pem", c.bundle)
}

// issue writes the certificate of an instance. Peers that do not know the instance yet verify the address in it.
func (c *certificates) issue(name string, addresses ...net.IP) {
	pair, err := c.authority.Issue(standin.CertificateRequest{
		Name: name, DNSNames: []string{name}, IPAddresses: addresses,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	})
	qt.Assert(c.t, err, qt.IsNil)
	c.write(name+".pem", pair.Certificate)
	c.write(name+".key", pair.Key)
}

func (c *certificates) path(name string) string { return filepath.Join(c.dir, name) }

func (c *certificates) write(name string, data []byte) {
	qt.Assert(c.t, os.WriteFile(c.path(name), data, 0o600), qt.IsNil)
}

// files issues a certificate for an instance and returns its TLS settings; callers need no client certificate.
func (c *certificates) files(name string) settings.TLS {
	c.issue(name, loopback)
	f := settings.TLSFiles{Certificate: c.path(name + ".pem"), Key: c.path(name + ".key"), Authorities: c.path("authorities.pem")}
	caller := f
	caller.Authorities = ""
	return settings.TLS{Peer: f, Caller: caller, Operator: f}
}

// client returns the TLS configuration of an operator with a certificate.
func (c *certificates) client() *tls.Config {
	files := credential.Files{Certificate: c.path("client.pem"), Key: c.path("client.key"), Authorities: c.path("authorities.pem")}
	operator, err := credential.New(files, credential.Client, credential.Dependencies{})
	qt.Assert(c.t, err, qt.IsNil)
	return operator.ClientConfig()
}

func (c *certificates) transport() *http.Transport {
	return &http.Transport{TLSClientConfig: c.client(), ForceAttemptHTTP2: true}
}

// TestFleetTLS guards against calls, operator requests or gossip that work over plain TCP but fail over TLS.
func TestFleetTLS(t *testing.T) {
	t.Parallel()
	runFleetScripts(t, func(t *testing.T) *certificates { return newCertificates(t) })
}

const streamTemplate = `{"operations": [
	{"service": "registry", "operation": "stream", "class": "bulk", "idempotent": true, "timeout_ms": 30000, "extra_attempts": 0}
], "parameters": [{"name": "rate_per_second", "default": 1000, "min": 1, "max": 10000}]}`

// TestCertificateReloadKeepsCalls guards against a certificate reload that interrupts a call in progress, and against nodes
// that keep using the old files.
func TestCertificateReloadKeepsCalls(t *testing.T) {
	t.Parallel()
	c := newCertificates(t)
	f := newFleet(t, c)
	defer f.close()
	f.addInstance("registry-1", "registry", "a")
	f.addInstance("transfers-1", "transfers", "a")
	f.startInstances([]string{"registry-1", "transfers-1"})
	f.commit("registry-1", "templates", "club", "1", streamTemplate)
	f.commit("registry-1", "customers", "club-17", "2", `{"template": "club", "parameters": {}}`)
	caller := f.instances["transfers-1"].settings.Listeners.Caller
	r, err := http.NewRequest(http.MethodPost, f.url(caller)+"/call/registry/stream", nil)
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Sapphiretack-Customer", "club-17")
	response, err := f.client.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len("begin")))
	qt.Assert(t, err, qt.IsNil)

	previous := serial(t, caller.String(), c.client())
	c.renewAuthority()
	f.reload()
	for name := range f.instances {
		c.issue(name, loopback)
	}
	f.reload()
	c.issue("client")
	qt.Check(t, serial(t, caller.String(), c.client()), qt.Not(qt.Equals), previous)
	// The certificate of the new instance does not contain its address, but it exchanges gossip in both directions.
	f.client = &http.Client{Transport: c.transport()}
	f.addInstance("registry-2", "registry", "a")
	c.issue("registry-2")
	f.instances["registry-2"].settings.TLS.Operator = f.instances["registry-1"].settings.TLS.Operator
	f.startInstances([]string{"registry-2"})

	for _, in := range f.instances {
		close(in.backend.release)
	}
	rest, err := io.ReadAll(response.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(rest), qt.Equals, " end")
	qt.Check(t, response.Trailer.Get("Sapphiretack-Outcome"), qt.Equals, "answered")
}

// TestRefusedPeerIsLogged guards against a node that cannot join because of its certificate authorities and does not log it.
func TestRefusedPeerIsLogged(t *testing.T) {
	t.Parallel()
	f := newFleet(t, newCertificates(t))
	defer f.close()
	f.addInstance("registry-1", "registry", "a")
	f.startInstances([]string{"registry-1"})
	var refused atomic.Bool
	f.log = zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
		if strings.HasPrefix(message, "peer refused") {
			refused.Store(true)
		}
	}))
	f.certificates = newCertificates(t)
	f.addInstance("registry-2", "registry", "a")
	f.startNode(f.instances["registry-2"])
	f.waitUntil("the refusal is logged", refused.Load)
}

func (f *fleet) reload() {
	for _, in := range f.instances {
		in.node.ReloadCertificates()
	}
}

// serial returns the serial number of the certificate that a listener presents.
func serial(t *testing.T, address string, config *tls.Config) string {
	connection, err := tls.Dial("tcp", address, config)
	qt.Assert(t, err, qt.IsNil)
	defer connection.Close()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestUnauthenticatedClientsAreRefused guards against a client without TLS or without a certificate that is served or keeps
// a connection open.
func TestUnauthenticatedClientsAreRefused(t *testing.T) {
	t.Parallel()
	c := newCertificates(t)
	f := newFleet(t, c)
	defer f.close()
	f.inputTimeout = 300 * time.Millisecond
	f.addInstance("registry-1", "registry", "a")
	f.startInstances([]string{"registry-1"})
	l := f.instances["registry-1"].settings.Listeners
	bare := c.client()
	bare.GetClientCertificate = nil
	for _, address := range []string{l.Caller.String(), l.Peer.String(), l.Operator.String()} {
		qt.Check(t, exchangeRaw(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"), qt.Matches, "(HTTP/1.0 400 Bad Request.*)?")
		// A client that sends nothing is disconnected after the header timeout.
		qt.Check(t, exchangeRaw(t, address, ""), qt.Equals, "")
	}
	for _, test := range []credentials.TransportCredentials{insecure.NewCredentials(), credentials.NewTLS(bare)} {
		connection, err := grpc.NewClient("passthrough:///"+l.Peer.String(), grpc.WithTransportCredentials(test))
		qt.Assert(t, err, qt.IsNil)
		_, err = peer.NewPeerClient(connection).Gossip(context.Background(), &peer.GossipRequest{})
		qt.Check(t, status.Code(err), qt.Equals, codes.Unavailable)
		qt.Check(t, connection.Close(), qt.IsNil)
	}
	addresses := []string{l.Operator.String()}
	_, err := operator.NewTLSClient(addresses, &http.Client{Transport: &http.Transport{TLSClientConfig: bare}}).Status(context.Background())
	qt.Check(t, err, qt.IsNotNil)
	_, err = operator.NewClient(addresses, http.DefaultClient).Status(context.Background())
	qt.Check(t, err, qt.ErrorMatches, ".*authorities if it uses TLS")
	_, err = operator.NewTLSClient(addresses, f.client).Status(context.Background())
	qt.Check(t, err, qt.IsNil)
}

// exchangeRaw sends data and returns the first line of the response; it fails unless the listener closes the connection.
func exchangeRaw(t *testing.T, address, data string) string {
	connection, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer connection.Close()
	qt.Assert(t, connection.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
	_, err = io.WriteString(connection, data)
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(connection)
	line, _, _ := reader.ReadLine()
	_, err = io.Copy(io.Discard, reader)
	qt.Check(t, os.IsTimeout(err), qt.IsFalse)
	return string(line)
}
