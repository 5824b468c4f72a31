package soak

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// TestProxy guards against a proxy that disturbs connections without a fault or that does not apply its fault.
func TestProxy(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { defer conn.Close(); _, _ = io.Copy(conn, conn); return nil })
		}
	})
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	c.Assert(err, qt.IsNil)
	conn, err := net.Dial("tcp4", p.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	echo := func() error {
		if _, err := conn.Write([]byte("ping")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 4))
		return err
	}
	c.Check(echo(), qt.IsNil)
	for _, f := range []LinkFault{LinkOneWay, LinkSilent} {
		p.setFault(f)
		c.Assert(conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
		c.Check(echo(), qt.IsNotNil, qt.Commentf("%v", f))
		p.setFault(LinkHealthy)
		c.Assert(conn.SetReadDeadline(time.Time{}), qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 4)) // the data that was held back arrives
		c.Check(err, qt.IsNil, qt.Commentf("%v", f))
	}
	p.setFault(LinkReset)
	c.Check(echo(), qt.IsNotNil)
	c.Check(conn.Close(), qt.IsNil)
	c.Check(l.Close(), qt.IsNil)
	p.close()
	c.Check(group.Wait(), qt.IsNil)
}
