package main

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// proxy stands for the network in front of an upstream. While it is silent, open connections stay open and pass nothing, and new ones are
// not established.
type proxy struct {
	listener *net.TCPListener
	target   atomic.Pointer[string]
	epoch    atomic.Int64 // connections of an earlier epoch stay silent for good
	isSilent atomic.Bool
	fillers  []net.Conn
}

const backlog = 512

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener.(*net.TCPListener)}
	p.target.Store(&target)
	go func() {
		for {
			for p.isSilent.Load() {
				time.Sleep(time.Millisecond)
			}
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// setBacklog changes how many connections the kernel establishes that are not yet accepted.
func (p *proxy) setBacklog(n int) {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// silence makes the upstream fall silent: the kernel drops the opening packets of further connections, since its queue is full.
func (p *proxy) silence() {
	p.isSilent.Store(true)
	p.epoch.Add(1)
	p.setBacklog(0)
	for range 4 {
		if conn, err := net.DialTimeout("tcp4", p.listener.Addr().String(), 50*time.Millisecond); err == nil {
			p.fillers = append(p.fillers, conn)
		}
	}
}

// forward passes new connections on to another upstream at the same address.
func (p *proxy) forward(target string) {
	for _, conn := range p.fillers {
		_ = conn.Close()
	}
	p.epoch.Add(1)
	p.target.Store(&target)
	p.setBacklog(backlog)
	p.isSilent.Store(false)
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	epoch := p.epoch.Load()
	server, err := net.Dial("tcp4", *p.target.Load())
	if err != nil {
		return
	}
	defer server.Close()
	pass := func(to, from net.Conn, isReply bool) {
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			if p.epoch.Load() != epoch {
				if isReply {
					return // the caller sees neither the reply nor the end of the connection
				}
				if err != nil {
					_ = client.Close()
					return
				}
				continue
			}
			if err != nil {
				_ = to.Close()
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	var group sync.WaitGroup
	group.Go(func() { pass(server, client, false) })
	group.Go(func() { pass(client, server, true) })
	group.Wait()
}
