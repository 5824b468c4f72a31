package exchange

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/zeebo/errs"
)

// Error is the class of errors for responses that are not in the protocol.
var Error = errs.Class("exchange")

// Transport is an http.RoundTripper for HTTP/1.1 that returns an error for a response whose head is malformed, and whose response bodies
// return an error if their connection is reset.
type Transport struct {
	transport *http.Transport
}

// New returns a Transport with the settings of t, which the caller must not use any more.
func New(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConnection(c), nil
	}
	config := t.TLSClientConfig
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure, err := handshake(ctx, c, address, config)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return newConnection(secure), nil
	}
	return &Transport{t}
}

// handshake performs the TLS handshake with the server at the address.
func handshake(ctx context.Context, c net.Conn, address string, config *tls.Config) (net.Conn, error) {
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config = config.Clone()
		config.ServerName = host
	}
	secure := tls.Client(c, config)
	return secure, secure.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := httptrace.ClientTrace{GotConn: beginResponse}
	return t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &trace)))
}

// beginResponse tells a connection that it is about to be used for a request.
func beginResponse(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*connection); ok {
		c.begin()
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
