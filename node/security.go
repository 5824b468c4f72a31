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

// reloadInterval is the time between two checks whether the files of certificates changed; a check without a change reads
// no content.
const reloadInterval = 10 * time.Second

// security holds the credentials of the listeners; nil stands for plain TCP.
type security struct {
	peer, caller, operator *credential.Credential

	// refusalLogged is when a refused peer was last logged, in nanoseconds of request.Instant; 0 means never.
	refusalLogged atomic.Int64
}

// namedCredential is the credential of one part of the section tls.
type namedCredential struct {
	part       string
	credential *credential.Credential
}

// newSecurity reads the files that the settings name.
func newSecurity(t settings.TLS) (*security, error) {
	s := &security{}
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

// inUse returns the credentials that the settings name.
func (s *security) inUse() []namedCredential {
	var list []namedCredential
	for _, c := range []namedCredential{{"peer", s.peer}, {"caller", s.caller}, {"operator", s.operator}} {
		if c.credential != nil {
			list = append(list, c)
		}
	}
	return list
}

// watchSecurity reloads changed files until the context ends.
func (n *Node) watchSecurity(ctx context.Context) error {
	for _, c := range n.security.inUse() {
		n.log.Info().Str("listener", c.part).Time("not_after", c.credential.NotAfter()).Msg("TLS is in use")
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.reloadSecurity()
		case <-ctx.Done():
			return nil
		}
	}
}

// reloadSecurity takes changed files into use for the handshakes that follow. One goroutine at a time calls it.
func (n *Node) reloadSecurity() {
	for _, c := range n.security.inUse() {
		changed, err := c.credential.Check()
		if err != nil {
			n.log.Error().Str("listener", c.part).Err(err).Time("not_after", c.credential.NotAfter()).Msg("TLS files are bad; the former certificate stays in use")
		}
		if changed {
			n.log.Info().Str("listener", c.part).Time("not_after", c.credential.NotAfter()).Msg("TLS files reloaded")
		}
	}
}

// peerCredentials returns the credentials for connections to one peer address.
func (n *Node) peerCredentials(address string) credentials.TransportCredentials {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	config := n.security.peer.PeerConfig(host, func() []string { return n.instancesAt(address) })
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

// logRefusal logs one refused peer per reload interval: with wrong files, all connections fail every few seconds.
func (n *Node) logRefusal(err error) {
	now, last := int64(n.clock.now()), n.security.refusalLogged.Load()
	if last != 0 && now-last < int64(reloadInterval) || !n.security.refusalLogged.CompareAndSwap(last, now) {
		return
	}
	n.log.Warn().Err(err).Msg("peer refused; further ones in the next 10 s are not logged")
}

// instancesAt returns the names of the instances that advertise an address; a seed is not known until it has answered.
func (n *Node) instancesAt(address string) []string {
	var names []string
	for _, m := range n.members.list() {
		if m.Address == address {
			names = append(names, string(m.Instance))
		}
	}
	return names
}

// serverLog returns the log of an HTTP server.
func (n *Node) serverLog() *stdlog.Logger { return stdlog.New(serverLog{n.log}, "", 0) }

// serverLog writes failed handshakes at level debug, since any client can cause them, and all else at level error.
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
