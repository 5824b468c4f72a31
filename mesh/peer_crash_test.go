package mesh_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
)

// crashingPeer is a node that ends together with its backend server under each attempt, and is back with another one after a time.
type crashingPeer struct {
	mu    sync.Mutex
	runs  int
	entry fleet.Entry
	back  time.Time
}

// serveAttempts ends each connection at which an attempt arrives.
func (p *crashingPeer) serveAttempts(l net.Listener, pause time.Duration) error {
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.runs++
		p.back = time.Now().Add(pause)
		p.entry.Incarnation++
		p.entry.Instance += "+"
		p.entry.Sequence = 0
		panic(http.ErrAbortHandler)
	})}
	return server.Serve(l)
}

// gossip tells a node of the peer once, unless it is down.
func (p *crashingPeer) gossip(conn net.Conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.back) {
		return nil
	}
	p.entry.Sequence++
	data, err := fleet.Encode(fleet.Message{Entries: []fleet.Entry{p.entry}})
	if err == nil {
		_, err = conn.Write(data)
	}
	return err
}

// TestCrashWithNode guards against a request that ends one backend server after another together with their nodes, so that no node beside them
// can tell of the crash.
func TestCrashWithNode(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.logOnFailure(t)
	m := d.start("transfers", "a", time.Millisecond)
	var peers []*crashingPeer
	done := make(chan struct{})
	for i := range 6 {
		address := netip.AddrFrom4([4]byte{127, 1, d.network, byte(100 + i)})
		p := &crashingPeer{entry: fleet.Entry{
			Address: address, Zone: "a", Service: "registry", Instance: request.InstanceID(fmt.Sprintf("i-%d", i)), Incarnation: 1,
			Health: fleet.Serving, Limit: 10, ServiceTime: time.Millisecond, ConfigurationVersion: 1,
		}}
		peers = append(peers, p)
		l, err := net.Listen("tcp4", netip.AddrPortFrom(address, d.ports["inbound"]).String())
		d.c.Assert(err, qt.IsNil)
		d.c.Cleanup(func() { _ = l.Close() })
		conn, err := net.Dial("udp4", m.settings.Gossip.String())
		d.c.Assert(err, qt.IsNil)
		d.c.Cleanup(func() { _ = conn.Close() })
		d.group.Go(func() error { _ = p.serveAttempts(l, 150*time.Millisecond); return nil })
		d.group.Go(func() error {
			for {
				select {
				case <-done:
					return nil
				case <-time.After(20 * time.Millisecond):
				}
				_ = p.gossip(conn) // lost like any datagram
			}
		})
	}
	d.c.Cleanup(func() { close(done) })
	d.eventually("the node knows all others", func() bool { return m.node.UsableInstances() == 1+len(peers) })
	for i := range 12 {
		d.get(m, crashPath, fmt.Sprint("crash", i))
		d.eventually("all are back", func() bool { return m.node.UsableInstances() == 1+len(peers) })
		time.Sleep(400 * time.Millisecond)
	}
	runs := 0
	for _, p := range peers {
		p.mu.Lock()
		runs += p.runs
		p.mu.Unlock()
	}
	d.c.Check(runs <= maxCrashRuns, qt.IsTrue, qt.Commentf("%d backend servers ran it", runs))
}
