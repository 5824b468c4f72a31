package exchange

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// connection is a connection on which one request at a time is sent. It checks the heads of responses as they are read, and tells a reset
// from the end of the stream: the kernel reports a reset only once, to the read or to the write that is first, and the other one finds the
// stream ended.
type connection struct {
	net.Conn
	mu   sync.Mutex // guards head and err
	head head
	err  error // of the head; all later reads return it, since a buffered reader drops an error behind part of a line
	// hasFailed is set once a write has failed, and writes counts those in progress.
	hasFailed atomic.Bool
	writes    atomic.Int32
}

func newConnection(c net.Conn) *connection { return &connection{Conn: c} }

// begin prepares the connection for the response to the next request.
func (c *connection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{}
}

// Read implements io.Reader; the error is of class Error if the response is not in the protocol.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if c.err == nil {
		c.err = c.head.check(p[:n])
	}
	headErr := c.err
	c.mu.Unlock()
	if headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) && c.isReset() {
		err = &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET),
		}
	}
	return n, err
}

// Write implements io.Writer.
func (c *connection) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.hasFailed.Store(true)
	}
	c.writes.Add(-1)
	return n, err
}

// isReset reports whether the connection whose stream has ended was reset, or may have been.
func (c *connection) isReset() bool {
	isWriting := c.writes.Load() > 0 // read first: a write that fails records that before it ends
	if c.hasFailed.Load() {
		return true
	}
	isClosed, err := isSocketClosed(c.Conn)
	if err != nil {
		return isWriting
	}
	return isClosed
}

// tcpClose is the state TCP_CLOSE of Linux, in which a connection is that has been reset or has timed out. After the end of a stream a connection
// is in another state until this side closes it as well.
const tcpClose = 7

// isSocketClosed reports whether the kernel has closed the socket of a connection that this process has not closed.
func isSocketClosed(c net.Conn) (bool, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	return info.State == tcpClose, nil
}
