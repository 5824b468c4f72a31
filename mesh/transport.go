package mesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// dialTimeout bounds establishing a connection to another machine, which gets no reply if that machine is powered off.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout closes a connection on which sent data stays unacknowledged, for example in a network partition.
	unackedTimeout = 2 * time.Second
	// maxIdlePeerConnections is the maximum number of idle connections to one other node.
	maxIdlePeerConnections = 128
	// bodyDrainTimeout bounds reading the body of a refusal, which is sent together with its header.
	bodyDrainTimeout = 100 * time.Millisecond
	// maxBufferedResponseBytes is the size in bytes up to which a response is buffered before it is forwarded, so that a
	// truncated one can be retried.
	maxBufferedResponseBytes = 32 << 10
	// maxBufferedRequestBytes is the size in bytes up to which a request body is buffered for further attempts.
	maxBufferedRequestBytes = 32 << 10
)

// keepAlive detects dead connections on which nothing is being sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dialer returns the dialer for connections to other machines.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}

func newPeerTransport() *exchange.Transport {
	return exchange.New(&http.Transport{
		DialContext:            Dialer().DialContext,
		MaxIdleConnsPerHost:    maxIdlePeerConnections,
		IdleConnTimeout:        idleTimeout / 2,
		DisableCompression:     true,
		MaxResponseHeaderBytes: request.MaxResponseHeaderBytes,
	})
}

// hopByHopHeaders are the headers that apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// nodeHeaderPrefix is the prefix of the headers that nodes send to each other.
const nodeHeaderPrefix = "Sapphiretack-"

// forwardedHeaders returns a copy of the headers that are forwarded.
func forwardedHeaders(h http.Header) http.Header { return removeHopByHop(h.Clone()) }

// removeHopByHop deletes the hop-by-hop headers and those between nodes from h and returns h.
func removeHopByHop(h http.Header) http.Header {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, nodeHeaderPrefix) {
			delete(h, name)
		}
	}
	return h
}

// oneShotBody is the empty body of a request without a body. It is set because net/http may itself retry a request whose Body
// is nil.
type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

// setTarget makes net/http send the target as it is; the error is of class Error if it cannot. net/url takes an opaque target that begins with
// two slashes for a host and a path.
func setTarget(u *url.URL, target string) error {
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return nil
	}
	u.RawPath, u.RawQuery, u.ForceQuery = target, "", strings.HasSuffix(target, "?")
	if path, query, ok := strings.Cut(target, "?"); ok {
		u.RawPath, u.RawQuery, u.ForceQuery = path, query, query == ""
	}
	var err error
	if u.Path, err = url.PathUnescape(u.RawPath); err != nil {
		return Error.Wrap(err)
	}
	if u.RequestURI() != target {
		return Error.New("the path %.100q has characters that a path cannot have", target)
	}
	return nil
}

// newOneShotRequest returns a request that net/http never retries on another connection.
func newOneShotRequest(ctx context.Context, a attempt, host string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+host+"/", nil)
	if err != nil {
		return nil, err
	}
	if err := setTarget(r.URL, a.target); err != nil {
		return nil, err
	}
	r.Host = a.host
	r.Header = a.header
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	if a.body != nil {
		r.Body, r.ContentLength = io.NopCloser(a.body), a.length
	} else {
		r.Body = oneShotBody{strings.NewReader("")}
	}
	return r, nil
}
