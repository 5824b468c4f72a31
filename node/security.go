package node

import (
	"context"
	"crypto/tls"
	stdlog "log"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"github.com/sapphiretack/sapphiretack/credential"
	"github.com/sapphiretack/sapphiretack/settings"
)

// reloadInterval is the time between two checks for changed certificate files; a check reads the content of changed files
// only.
const reloadInterval = 10 * time.Second

// tlsCredentials holds the credentials of the listeners; nil means plain TCP.
type tlsCredentials struct {
	peer, caller, operator *credential.Credential

	// lastRefusalLogged is the time of the last logged refusal as a request.Instant in nanoseconds; 0 means never.
	lastRefusalLogged atomic.Int64
}

// namedCredential is a credential with the name of its listener, as in the tls settings.
type namedCredential struct {
	listener   string
	credential *credential.Credential
}

// newTLSCredentials loads the certificate files that are set in t.
func newTLSCredentials(t settings.TLS) (*tlsCredentials, error) {
	s := &tlsCredentials{}
	for _, want := range []struct {
		part       string
		files      settings.TLSFiles
		role       credential.Role
		credential **credential.Credential
	}{
		{"peer", t.Peer, credential.Peer, &s.peer},
		{"caller", t.Caller, credential.Server, &s.caller},
		{"operator", t.Operator, credential.Server, &s.operator},
	} {
		if !want.files.Enabled() {
			continue
		}
		c, err := credential.New(credential.Files(want.files), want.role, credential.Dependencies{})
		if err != nil {
			return nil, Error.New("tls.%s: %w", want.part, err)
		}
		*want.credential = c
	}
	return s, nil
}

// enabled returns the credentials of the listeners that use TLS.
func (s *tlsCredentials) enabled() []namedCredential {
	var list []namedCredential
	for _, c := range []namedCredential{{"peer", s.peer}, {"caller", s.caller}, {"operator", s.operator}} {
		if c.credential != nil {
			list = append(list, c)
		}
	}
	return list
}

// watchCertificates reloads changed certificate files until the context ends.
func (n *Node) watchCertificates(ctx context.Context) error {
	for _, c := range n.tlsCredentials.enabled() {
		n.log.Info().Str("listener", c.listener).Time("not_after", c.credential.NotAfter()).Msg("TLS enabled")
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.reloadCertificates()
		case <-ctx.Done():
			return nil
		}
	}
}

// reloadCertificates reloads changed files for new handshakes. It is not safe for concurrent use.
func (n *Node) reloadCertificates() {
	for _, c := range n.tlsCredentials.enabled() {
		changed, err := c.credential.Reload()
		if err != nil {
			n.log.Error().Str("listener", c.listener).Err(err).Time("not_after", c.credential.NotAfter()).Msg("cannot load TLS files; keeping the previous certificate")
		}
		if changed {
			n.log.Info().Str("listener", c.listener).Time("not_after", c.credential.NotAfter()).Msg("TLS files reloaded")
		}
	}
}

// peerCredentials returns the transport credentials for connections to a peer address.
func (n *Node) peerCredentials(address string) credentials.TransportCredentials {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	config := n.tlsCredentials.peer.PeerConfig(host, func() []string { return n.instancesAt(address) })
	verify := config.VerifyConnection
	config.VerifyConnection = func(s tls.ConnectionState) error {
		err := verify(s)
		if err != nil {
			n.logRefusal(err)
		}
		return err
	}
	return credentials.NewTLS(config)
}

// logRefusal logs at most one refused peer per reload interval, because wrong files make all connections fail every few
// seconds.
func (n *Node) logRefusal(err error) {
	now, last := int64(n.clock.now()), n.tlsCredentials.lastRefusalLogged.Load()
	if last != 0 && now-last < int64(reloadInterval) || !n.tlsCredentials.lastRefusalLogged.CompareAndSwap(last, now) {
		return
	}
	n.log.Warn().Err(err).Msg("peer refused because its certificate is not accepted; not logging further refusals for 10 s")
}

// instancesAt returns the names of the instances that advertise an address; it returns none for a seed that has not
// responded yet.
func (n *Node) instancesAt(address string) []string {
	var names []string
	for _, m := range n.membership.members() {
		if m.Address == address {
			names = append(names, string(m.Instance))
		}
	}
	return names
}

// serverLog returns the error log for an HTTP server.
func (n *Node) serverLog() *stdlog.Logger { return stdlog.New(serverLog{n.log}, "", 0) }

// serverLog logs failed TLS handshakes at level debug, because any client can cause them, and other messages at level
// error.
type serverLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	message := strings.TrimSpace(string(line))
	event := l.log.Error()
	if strings.Contains(message, "TLS handshake error") {
		event = l.log.Debug()
	}
	event.Msg(message)
	return len(line), nil
}
