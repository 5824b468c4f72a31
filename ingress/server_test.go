package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/ingress"
)

// handlerFunc implements ingress.Handler.
type handlerFunc func(ctx context.Context, r *http.Request) *ingress.Response

func (f handlerFunc) Handle(ctx context.Context, r *http.Request) *ingress.Response { return f(ctx, r) }

// startServer starts a server and returns it with a connection to it.
func startServer(c *qt.C, h handlerFunc) (*ingress.Server, net.Conn) {
	s := ingress.New(ingress.Settings{
		Handler: h, Log: zerolog.Nop(),
		Limits: func() ingress.Limits {
			return ingress.Limits{HeaderBytes: 2048, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
		},
	})
	return s, serveOne(c, s)
}

// serveOne has a server serve until the end of the test, and returns a connection to it.
func serveOne(c *qt.C, s *ingress.Server) net.Conn {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	group.Go(func() error { return s.Serve(l) })
	conn, err := net.Dial("tcp4", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = conn.Close()
		s.Close()
		c.Check(group.Wait(), qt.IsNil)
	})
	return conn
}

// textResponse returns a 200 response.
func textResponse(s string) *ingress.Response { return ingress.NewResponse(http.StatusOK, nil, s) }

// readBody reads a response and returns its body.
func readBody(c *qt.C, r *bufio.Reader) string {
	response, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(data)
}

// chunkedBody is a body that is delivered in several reads.
type chunkedBody struct{ chunks [][]byte }

func (p *chunkedBody) Read(out []byte) (int, error) {
	if len(p.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(out, p.chunks[0])
	if p.chunks[0] = p.chunks[0][n:]; len(p.chunks[0]) == 0 {
		p.chunks = p.chunks[1:]
	}
	return n, nil
}

func (p *chunkedBody) Close() error { return nil }

// TestLongBody guards against corruption of a body whose parts are flushed while it is being copied.
func TestLongBody(t *testing.T) {
	for _, length := range []int64{-1, 40_000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			c := qt.New(t)
			want := bytes.Repeat([]byte("0123456789abcdef"), 2500)
			_, conn := startServer(c, func(context.Context, *http.Request) *ingress.Response {
				return &ingress.Response{Status: http.StatusOK, Header: http.Header{}, Length: length, Body: &chunkedBody{chunks: [][]byte{
					bytes.Clone(want[:100]), bytes.Clone(want[100:5000]), bytes.Clone(want[5000:]),
				}}}
			})
			fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			c.Check(readBody(c, bufio.NewReader(conn)) == string(want), qt.IsTrue)
		})
	}
}

// TestPipelining guards against a slow request that delays pipelined requests behind it, and against responses out of order.
func TestPipelining(t *testing.T) {
	c := qt.New(t)
	second := make(chan struct{})
	_, conn := startServer(c, func(_ context.Context, r *http.Request) *ingress.Response {
		if r.URL.Path == "/1" {
			<-second // the first handler returns after the second has run
			return textResponse("first")
		}
		close(second)
		return textResponse("second")
	})
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	r := bufio.NewReader(conn)
	c.Check(readBody(c, r), qt.Equals, "first")
	c.Check(readBody(c, r), qt.Equals, "second")
}

// TestUnsafeRequestWaits guards against a POST request that runs before the response to the pipelined request ahead of it.
func TestUnsafeRequestWaits(t *testing.T) {
	c := qt.New(t)
	isAnswered := make(chan struct{})
	_, conn := startServer(c, func(_ context.Context, r *http.Request) *ingress.Response {
		if r.Method == http.MethodPost {
			select {
			case <-isAnswered:
			default:
				return textResponse("too early")
			}
			data, _ := io.ReadAll(r.Body)
			return textResponse(string(data))
		}
		response := textResponse("get")
		response.Finish = func(error) { close(isAnswered) }
		return response
	})
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
	r := bufio.NewReader(conn)
	c.Check(readBody(c, r), qt.Equals, "get")
	c.Check(readBody(c, r), qt.Equals, "body")
}

// TestClientDisconnects guards against a handler that is not cancelled when the client closes its connection.
func TestClientDisconnects(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan struct{})
	began := make(chan struct{})
	_, conn := startServer(c, func(ctx context.Context, _ *http.Request) *ingress.Response {
		close(began)
		<-ctx.Done()
		close(cancelled)
		return nil
	})
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	c.Assert(conn.Close(), qt.IsNil)
	<-cancelled
}

// TestClientLeavesPipeline guards against handlers that go on after their client has left, because so many requests are pending on the connection,
// or one that has to wait for an earlier one, that its end is not read.
func TestClientLeavesPipeline(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, sent := range map[string]string{
		"one more than fits":      strings.Repeat(get, 17),
		"some more than fit":      strings.Repeat(get, 24),
		"one waits for the first": get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var group errgroup.Group
			began, ended := make(chan struct{}, 100), make(chan struct{}, 100)
			_, conn := startServer(c, func(ctx context.Context, _ *http.Request) *ingress.Response {
				began <- struct{}{}
				<-ctx.Done()
				ended <- struct{}{}
				return nil
			})
			_, err := io.WriteString(conn, sent)
			c.Assert(err, qt.IsNil)
			<-began
			group.Go(func() error { time.Sleep(20 * time.Millisecond); return conn.Close() })
			<-ended
			c.Check(group.Wait(), qt.IsNil)
		})
	}
}

// TestClientLeavesLongRequest guards against a handler that goes on after its client has left, because the request has outlasted the idle timeout, and
// against a connection that stays open for good after such a request.
func TestClientLeavesLongRequest(t *testing.T) {
	for name, isLeaving := range map[string]bool{"client leaves": true, "client stays": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const idleTimeout = 50 * time.Millisecond
			ended := make(chan struct{})
			s := ingress.New(ingress.Settings{
				Handler: handlerFunc(func(ctx context.Context, _ *http.Request) *ingress.Response {
					if isLeaving {
						<-ctx.Done()
						close(ended)
						return nil
					}
					time.Sleep(4 * idleTimeout)
					return textResponse("late")
				}),
				Log: zerolog.Nop(), Limits: func() ingress.Limits { return ingress.Limits{IdleTimeout: idleTimeout} },
			})
			conn := serveOne(c, s)
			fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			if isLeaving {
				time.Sleep(4 * idleTimeout)
				c.Assert(conn.Close(), qt.IsNil)
				<-ended
				return
			}
			r := bufio.NewReader(conn)
			c.Check(readBody(c, r), qt.Equals, "late")
			_, err := r.ReadByte()
			c.Check(err, qt.Equals, io.EOF)
		})
	}
}

// TestIdleTimeout guards against a connection that closes earlier after a response than the idle timeout tells, because the request took part of it.
func TestIdleTimeout(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const idleTimeout = 2 * time.Second
	s := ingress.New(ingress.Settings{
		Handler: handlerFunc(func(context.Context, *http.Request) *ingress.Response {
			time.Sleep(idleTimeout * 3 / 4)
			return textResponse("ok")
		}),
		Log: zerolog.Nop(), Limits: func() ingress.Limits { return ingress.Limits{IdleTimeout: idleTimeout} },
	})
	conn := serveOne(c, s)
	r := bufio.NewReader(conn)
	for range 2 {
		_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert(readBody(c, r), qt.Equals, "ok")
		time.Sleep(idleTimeout * 3 / 8)
	}
}

// TestDrain guards against a draining connection that closes before all pipelined requests have their responses.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	began := make(chan struct{}, 2)
	s, conn := startServer(c, func(context.Context, *http.Request) *ingress.Response {
		began <- struct{}{}
		<-release
		return textResponse("ok")
	})
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	<-began
	s.Drain()
	close(release)
	r := bufio.NewReader(conn)
	first, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	c.Check(first.Close, qt.IsFalse)
	_, _ = io.Copy(io.Discard, first.Body)
	second, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	c.Check(second.Close, qt.IsTrue)
}

// TestTruncatedBody guards against a truncated response that the client takes for a complete one.
func TestTruncatedBody(t *testing.T) {
	c := qt.New(t)
	_, conn := startServer(c, func(context.Context, *http.Request) *ingress.Response {
		body := io.NopCloser(io.MultiReader(strings.NewReader("part"), &failingReader{}))
		return &ingress.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: body}
	})
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	c.Check(err, qt.IsNotNil)
}

// failingReader is a reader that always fails.
type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("the connection was reset") }

// TestInvalidRequests guards against invalid requests that get no response, or one with the wrong status.
func TestInvalidRequests(t *testing.T) {
	for _, test := range []struct {
		name, request string
		status        int
	}{
		{"malformed", "GET / HTTP/1.1\r\nbad header\r\n\r\n", http.StatusBadRequest},
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, conn := startServer(c, func(context.Context, *http.Request) *ingress.Response { return textResponse("not reached") })
			fmt.Fprint(conn, test.request)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.status)
		})
	}
}

// TestContinue guards against a server that does not send 100 Continue, for which the client waits before it sends its body.
func TestContinue(t *testing.T) {
	c := qt.New(t)
	_, conn := startServer(c, func(_ context.Context, r *http.Request) *ingress.Response {
		data, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		return textResponse(string(data))
	})
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Check(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	_, _ = r.ReadString('\n')
	fmt.Fprint(conn, "ok")
	c.Check(readBody(c, r), qt.Equals, "ok")
}

// TestStopAccepting guards against a stopping server that accepts new connections, or aborts a request in flight.
func TestStopAccepting(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	began := make(chan struct{})
	s, conn := startServer(c, func(context.Context, *http.Request) *ingress.Response {
		close(began)
		<-release
		return textResponse("ok")
	})
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	s.Drain()
	s.StopAccepting()
	_, err := net.Dial("tcp4", conn.RemoteAddr().String())
	c.Check(err, qt.IsNotNil)
	close(release)
	c.Check(readBody(c, bufio.NewReader(conn)), qt.Equals, "ok")
}

// TestPipelineEndsAfterStop guards against a client that keeps its connection busy with pipelined requests and has some of them accepted
// until the process ends, when they are cut without a response.
func TestPipelineEndsAfterStop(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	began := make(chan string, 8)
	s, conn := startServer(c, func(_ context.Context, r *http.Request) *ingress.Response {
		began <- r.URL.Path
		<-release
		return textResponse("ok")
	})
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(<-began, qt.Equals, "/1")
	s.Drain()
	fmt.Fprint(conn, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(<-began, qt.Equals, "/2") // a draining server still serves
	s.StopAccepting()
	fmt.Fprint(conn, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond) // for the server to read the request
	close(release)
	r := bufio.NewReader(conn)
	for range 2 {
		c.Check(readBody(c, r), qt.Equals, "ok")
	}
	_, err := r.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	c.Check(began, qt.HasLen, 0)
}

// TestResponseBeforeEndOfBody guards against a process that ends because two goroutines read a connection at the same time: a backend server
// responded before it had read a chunked body, which is still being passed on to it.
func TestResponseBeforeEndOfBody(t *testing.T) {
	c := qt.New(t)
	var passing errgroup.Group
	_, conn := startServer(c, func(_ context.Context, r *http.Request) *ingress.Response {
		passed := make(chan struct{})
		passing.Go(func() error {
			buffer := make([]byte, 32<<10)
			for i := 0; ; i++ {
				_, err := r.Body.Read(buffer)
				if i == 0 {
					close(passed)
				}
				if err != nil {
					return nil // the body is released
				}
			}
		})
		<-passed
		return ingress.NewResponse(http.StatusRequestEntityTooLarge, nil, "too large")
	})
	address := conn.RemoteAddr().String()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 3000, strings.Repeat("0", 3000))
	var clients errgroup.Group
	for range 200 {
		clients.Go(func() error {
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				return err
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // only stops a hanging test
			if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
				return err
			}
			for range 30 {
				if _, err := io.WriteString(conn, chunk); err != nil {
					return err
				}
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, response.Body)
			c.Check(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
			return err
		})
	}
	c.Check(clients.Wait(), qt.IsNil)
	c.Check(passing.Wait(), qt.IsNil)
}
