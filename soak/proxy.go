package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// LinkFault is a fault that a proxy applies to its connections.
type LinkFault uint8

// The link faults.
const (
	LinkHealthy LinkFault = iota
	LinkSlow              // each chunk of data is delayed
	LinkReset             // open and new connections are reset
	LinkOneWay            // data from the server is held back
	LinkSilent            // data is held back in both directions
	linkFaultCount
)

var linkFaultNames = [...]string{"sound", "slow", "reset", "cut", "silent"}

// String returns the name of the fault as it appears in journals.
func (f LinkFault) String() string { return linkFaultNames[f] }

const (
	// linkDelay is the delay of each chunk on a slow link.
	linkDelay = 150 * time.Millisecond
	// linkPollInterval is how often a connection whose data is held back checks for the end of the fault.
	linkPollInterval = 10 * time.Millisecond
	// proxyBufferSize is the size of the copy buffer in bytes, and thus of the largest chunk.
	proxyBufferSize = 16 << 10
)

// proxy forwards TCP connections to a server and injects link faults.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu     sync.Mutex
	fault  LinkFault
	conns  map[net.Conn]struct{}
	closed bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	p.group.Go(func() error { p.accept(); return nil })
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() error { p.forward(client); return nil })
	}
}

// setFault changes the fault; LinkReset also resets the open connections.
func (p *proxy) setFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == LinkReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// track registers a connection so that reset and close reach it; it returns false if the proxy is closed.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

func (p *proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) forward(client net.Conn) {
	if !p.track(client) {
		_ = client.Close()
		return
	}
	defer p.untrack(client)
	if p.currentFault() == LinkReset {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	if !p.track(server) {
		_ = server.Close()
		return
	}
	defer p.untrack(server)
	var both errgroup.Group
	both.Go(func() error { return p.copy(server, client, false) })
	both.Go(func() error { return p.copy(client, server, true) })
	_ = both.Wait() // either side may close the connection at any time
}

func (p *proxy) copy(to, from net.Conn, isResponse bool) error {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.awaitPass(isResponse) {
				return io.ErrClosedPipe
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// awaitPass waits until a chunk may be forwarded and returns false if the proxy is closed. Data that is held back arrives late
// rather than never, as TCP would retransmit it.
func (p *proxy) awaitPass(isResponse bool) bool {
	if p.currentFault() == LinkSlow {
		time.Sleep(linkDelay)
	}
	for {
		p.mu.Lock()
		f, closed := p.fault, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case f == LinkSilent, f == LinkOneWay && isResponse:
			time.Sleep(linkPollInterval)
		default:
			return true
		}
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.group.Wait()
}
