package mesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// dialTimeout bounds a new connection between two machines; a machine without power does not answer.
	dialTimeout = 500 * time.Millisecond
	// silenceTimeout ends a connection on which sent data is not acknowledged, as behind a partition.
	silenceTimeout = 2 * time.Second
	// peerConnections bounds the idle connections to one other node.
	peerConnections = 128
	// drainTime bounds the wait for the body of a refusal, which is sent with its header.
	drainTime = 100 * time.Millisecond
	// smallBody is the size up to which a response is read whole before it is passed on, so that a truncated one can be
	// requested again.
	smallBody = 32 << 10
	// replayableBody is the size up to which the body of a request is kept for another attempt.
	replayableBody = 32 << 10
)

// keepAlive finds connections that have gone silent while nothing is sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dialer returns the dialer of all connections that the node opens.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

func newPeerTransport() *http.Transport {
	return &http.Transport{
		DialContext:            Dialer().DialContext,
		MaxIdleConnsPerHost:    peerConnections,
		IdleConnTimeout:        idleTimeout / 2,
		DisableCompression:     true,
		MaxResponseHeaderBytes: request.MaxResponseHeader,
	}
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// ownPrefix begins the headers that nodes send to each other.
const ownPrefix = "Sapphiretack-"

// passedHeaders returns the headers that are passed on from one connection to another.
func passedHeaders(h http.Header) http.Header { return removeHop(h.Clone()) }

// removeHop deletes the headers that are not passed on and returns the same map.
func removeHop(h http.Header) http.Header {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
	return h
}

// onceBody hides that a body can be read again, which would allow net/http to send a request twice.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// sendOnce returns a request that net/http sends over one connection only.
func sendOnce(ctx context.Context, a attempt, host string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+host+"/", nil)
	if err != nil {
		return nil, err
	}
	r.URL.Opaque = a.target
	r.Host = a.host
	r.Header = a.header
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	if a.body != nil {
		r.Body, r.ContentLength = io.NopCloser(a.body), a.length
	} else {
		r.Body = onceBody{strings.NewReader("")}
	}
	return r, nil
}
