package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// RawRequest is a request to a server that responds with bytes of its own.
type RawRequest struct {
	ID   string
	Body io.Reader
}

// ServeRaw calls respond for the first request on each connection of a listener until the listener is closed, and closes the connection after
// that.
func ServeRaw(l net.Listener, group *errgroup.Group, respond func(c *net.TCPConn, r RawRequest)) {
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil // the listener is closed
			}
			group.Go(func() error {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return nil // a connection on which nothing was sent
				}
				if tcp, ok := conn.(*net.TCPConn); ok {
					respond(tcp, RawRequest{r.Header.Get("X-Request-Id"), r.Body})
				}
				return nil
			})
		}
	})
}

// RawServer is a server on a loopback address that sends the same response to each request.
type RawServer struct {
	listener net.Listener
	group    errgroup.Group
}

// StartRawServer starts a RawServer; the error is that of its listener.
func StartRawServer(response string) (*RawServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l}
	ServeRaw(l, &s.group, func(c *net.TCPConn, r RawRequest) { r.Respond(c, response) })
	return s, nil
}

// Address returns the address of the server, with its port.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits until its connections have ended.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	_ = s.group.Wait() // the connections return no error
}

// Respond reads the body of the request and sends a response.
func (r RawRequest) Respond(c *net.TCPConn, response string) {
	_ = c.SetDeadline(time.Now().Add(endlessTimeout))
	_, _ = io.Copy(io.Discard, r.Body) // a connection that is closed with bytes unread is reset
	_, _ = io.WriteString(c, response)
}

// OddResponses returns responses to the request with the given id whose status or fields are not in the protocol, by what is odd. They look like
// those of the given instance otherwise, and have the body.
func OddResponses(instance, id, body string) map[string]string {
	fields := "X-Request-Id: " + id + "\r\nX-Response-Seal: " + ApplicationSeal(instance) + "\r\nX-Instance-Id: " + instance + "\r\n"
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	chunked := strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	return map[string]string{
		"status 000":            "HTTP/1.1 000 Odd\r\n" + fields + length + "\r\n" + body,
		"status 000, refusal":   "HTTP/1.1 000 Odd\r\nX-Not-Executed: 1\r\n" + fields + length + "\r\n" + body,
		"status 099":            "HTTP/1.1 099 Odd\r\n" + fields + length + "\r\n" + body,
		"status with a sign":    "HTTP/1.1 +20 Odd\r\n" + fields + length + "\r\n" + body,
		"status 600":            "HTTP/1.1 600 Odd\r\n" + fields + length + "\r\n" + body,
		"status 101":            "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: odd\r\n" + fields + length + "\r\n" + body,
		"blank in a name":       "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + fields + length + "\r\n" + body,
		"blank before a colon":  "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" + fields + length + "\r\n" + body,
		"control byte in name":  "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + fields + length + "\r\n" + body,
		"length with a blank":   "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + fields + "\r\n" + body,
		"encoding with a blank": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + fields + "\r\n" + chunked,
		"chunks of HTTP/1.0":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n" + chunked,
		"version 2.0":           "HTTP/2.0 200 OK\r\n" + fields + length + "\r\n" + body,
	}
}

// blockTime is how long a server that ends early reads nothing, so that the other side waits in a write.
const blockTime = 100 * time.Millisecond

// EndEarly sends a response without a length, with a part of its body, and resets the connection while the other side is still sending the
// body of its request.
func EndEarly(c *net.TCPConn, head string, r RawRequest) {
	_ = c.SetDeadline(time.Now().Add(endlessTimeout))
	_, _ = io.WriteString(c, strings.TrimSuffix(head, "\r\n")+"\r\n\r\npart of a body")
	time.Sleep(blockTime)
	_ = c.SetLinger(0)
}
