package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// LinkFault is what a proxy does to the connections through it.
type LinkFault uint8

// The faults of a link.
const (
	LinkSound  LinkFault = iota
	LinkSlow             // each piece is late
	LinkReset            // connections are reset
	LinkCut              // what the server sends does not arrive
	LinkSilent           // nothing arrives in either direction
	linkFaults
)

var linkFaultNames = [...]string{"sound", "slow", "reset", "cut", "silent"}

// String returns the name of the fault.
func (f LinkFault) String() string { return linkFaultNames[f] }

const (
	// linkDelay is how late pieces are on a slow link.
	linkDelay = 150 * time.Millisecond
	// linkCheck is the time between two looks at a link through which nothing passes.
	linkCheck = 10 * time.Millisecond
	// proxyPiece is the size of the pieces in which a proxy copies.
	proxyPiece = 16 << 10
)

// proxy forwards connections to a server and spoils them.
type proxy struct {
	listener net.Listener
	to       string
	group    errgroup.Group

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]struct{}
	done  bool
}

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]struct{}{}}
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

// set changes the fault; a reset ends the connections that are open.
func (p *proxy) set(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == LinkReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) present() LinkFault {
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

// keep remembers a connection and reports whether the proxy is still open.
func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.done {
		p.conns[c] = struct{}{}
	}
	return !p.done
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) forward(client net.Conn) {
	if !p.keep(client) {
		_ = client.Close()
		return
	}
	defer p.drop(client)
	if p.present() == LinkReset {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp4", p.to, time.Second)
	if err != nil {
		reset(client)
		return
	}
	if !p.keep(server) {
		_ = server.Close()
		return
	}
	defer p.drop(server)
	var both errgroup.Group
	both.Go(func() error { return p.copy(server, client, false) })
	both.Go(func() error { return p.copy(client, server, true) })
	_ = both.Wait() // either side may end the connection at any time
}

func (p *proxy) copy(to, from net.Conn, isAnswer bool) error {
	defer to.Close()
	defer from.Close()
	piece := make([]byte, proxyPiece)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			if !p.pass(isAnswer) {
				return io.ErrClosedPipe
			}
			if _, err := to.Write(piece[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// pass waits until a piece may go on and reports whether the proxy is still open. What a cut holds back arrives late, as on a
// network that sends it again.
func (p *proxy) pass(isAnswer bool) bool {
	if p.present() == LinkSlow {
		time.Sleep(linkDelay)
	}
	for {
		p.mu.Lock()
		f, done := p.fault, p.done
		p.mu.Unlock()
		switch {
		case done:
			return false
		case f == LinkSilent, f == LinkCut && isAnswer:
			time.Sleep(linkCheck)
		default:
			return true
		}
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.done = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.group.Wait()
}
