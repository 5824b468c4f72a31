package node

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// peerIdleTimeout closes connections to peers outside the route table's subset that were used only for a while. Gossip
	// contacts about 0.35 new peers per second, so one minute keeps about 37 connections open for gossip, including those to
	// peers in the node's zone.
	peerIdleTimeout = time.Minute
	// keepaliveInterval is the idle time after which a connection is pinged, to detect a peer that hangs or was cut off
	// without closing its connections.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	reconnectDelay    = 50 * time.Millisecond
	reconnectMaximum  = 2 * time.Second
	connectTimeout    = time.Second
)

// peers holds one gRPC connection for each peer address.
type peers struct {
	// credentials returns the transport credentials for an address.
	credentials func(address string) credentials.TransportCredentials
	controlSent atomic.Uint64 // bytes

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

func newPeers() *peers {
	return &peers{
		credentials: func(string) credentials.TransportCredentials { return insecure.NewCredentials() },
		connections: map[string]*grpc.ClientConn{},
	}
}

// client returns a client for an address; the connection is established on first use.
func (p *peers) client(address string) (peer.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.connections[address]; ok {
		return peer.NewPeerClient(c), nil
	}
	// The passthrough scheme disables name resolution: peers have IP addresses only.
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.credentials(address)),
		grpc.WithDisableRetry(), // the request's retry budget decides on retries
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(peerIdleTimeout),
		grpc.WithStatsHandler(statsHandler{controlBytes: &p.controlSent}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMaximum},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessage), grpc.MaxCallSendMsgSize(maxPeerMessage)),
	)
	if err != nil {
		return nil, Error.New("peer address %q: %v; advertise an IP address and port", address, err)
	}
	p.connections[address] = c
	return peer.NewPeerClient(c), nil
}

// closeExcept closes the connections to all addresses that are not in keep.
func (p *peers) closeExcept(keep map[string]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.connections {
		if _, ok := keep[address]; !ok {
			_ = c.Close()
			delete(p.connections, address)
		}
	}
}

// controlBytes returns the number of bytes sent in control messages since the start, without protocol headers.
func (p *peers) controlBytes() uint64 { return p.controlSent.Load() }

func (p *peers) close() {
	p.closeExcept(nil)
}

func attemptProto(a request.AttemptID) *peer.AttemptID {
	return &peer.AttemptID{Source: uint64(a.Source), Number: a.Number}
}

func attemptID(a *peer.AttemptID) request.AttemptID {
	return request.AttemptID{Source: request.Incarnation(a.GetSource()), Number: a.GetNumber()}
}
