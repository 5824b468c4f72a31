package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// connection reads requests and writes their responses in order.
type connection struct {
	server *Server
	conn   net.Conn
	input  *meteredReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	active atomic.Int32

	writeMu sync.Mutex
	closing atomic.Bool // the last response has been written

	// mu orders the decision to close against the acceptance of a further request.
	mu      sync.Mutex
	isEnded bool
}

// exchange is one request and its response.
type exchange struct {
	request  *http.Request
	response chan *Response
	written  chan struct{}
	cancel   context.CancelFunc
	body     *requestBody // nil without a body
	close    bool
}

func newConnection(s *Server, conn net.Conn) *connection {
	c := &connection{server: s, conn: conn, input: &meteredReader{conn: conn}}
	c.reader = bufio.NewReaderSize(c.input, bufferSize)
	c.writer = bufio.NewWriterSize(conn, bufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// stop ends the connection from outside.
func (c *connection) stop() {
	c.cancel()
	_ = c.conn.Close()
}

func (c *connection) serve() {
	defer c.stop()
	var group errgroup.Group
	queue := make(chan *exchange, maxPipelined)
	group.Go(func() error {
		c.writeAll(queue)
		return nil
	})
	c.readAll(queue, &group)
	close(queue)
	_ = group.Wait()
}

// readAll reads requests until the input ends, then cancels what nobody waits for.
func (c *connection) readAll(queue chan<- *exchange, group *errgroup.Group) {
	var last *exchange
	for {
		e, err := c.read()
		if err != nil {
			c.refuse(err, queue)
			return
		}
		if !c.accept() {
			c.discard()
			return
		}
		closes := e.close
		if last != nil && (e.body != nil || !isSafeMethod(e.request.Method)) {
			// Only requests that may be repeated may overtake others on their connection.
			select {
			case <-last.written:
			case <-c.ctx.Done():
			}
		}
		last = e
		ctx, cancel := context.WithCancel(c.ctx)
		e.cancel = cancel
		select {
		case queue <- e:
		case <-c.ctx.Done():
			cancel()
			return
		}
		group.Go(func() error {
			e.response <- c.server.settings.Handler.Handle(ctx, e.request)
			return nil
		})
		if e.body != nil {
			select {
			case <-e.body.done:
			case <-c.ctx.Done():
				return
			}
		}
		if closes {
			c.awaitEnd()
			return
		}
	}
}

// accept counts a request that has been read, unless the response before it closes the connection.
func (c *connection) accept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnded {
		return false
	}
	c.active.Add(1)
	return true
}

// decideClose reports whether the connection ends with the response. A draining connection goes on while responses are
// owed to requests that were read behind this one.
func (c *connection) decideClose(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.close || e.body != nil && !e.body.isRead() || c.server.draining.Load() && c.active.Load() == 1 {
		c.isEnded = true
	}
	return c.isEnded
}

// awaitEnd notices a client that closes while its last request runs.
func (c *connection) awaitEnd() {
	_ = c.conn.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	if err == nil || c.closing.Load() {
		c.discard()
		return
	}
	c.cancel()
}

// discard reads what the client sent behind the last response, so that closing does not reset the connection.
func (c *connection) discard() {
	c.input.left = -1
	buffer := make([]byte, bufferSize)
	for {
		if _, err := c.reader.Read(buffer); err != nil {
			return
		}
	}
}

func isSafeMethod(m string) bool { return m == http.MethodGet || m == http.MethodHead }

// readError is a request that cannot be read, with the status that tells the client why.
type readError struct {
	status int
	err    error
}

func (e *readError) Error() string { return e.err.Error() }

var errHeaderTooLarge = errors.New("the header is larger than the limit")

func (c *connection) read() (*exchange, error) {
	limits := c.server.settings.Limits()
	c.input.left = -1
	if c.reader.Buffered() == 0 {
		_ = c.conn.SetReadDeadline(deadlineAfter(limits.IdleTimeout))
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
	}
	_ = c.conn.SetReadDeadline(deadlineAfter(limits.HeaderTimeout))
	c.input.left = int64(limits.HeaderBytes)
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.classify(err)
	}
	c.input.left = -1
	_ = c.conn.SetReadDeadline(time.Time{})
	e := &exchange{
		request: r, response: make(chan *Response, 1), written: make(chan struct{}),
		close: r.Close || !r.ProtoAtLeast(1, 1),
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return nil, &readError{http.StatusRequestEntityTooLarge, errors.New("the body is larger than the limit")}
	}
	if r.ContentLength != 0 {
		e.body = newRequestBody(c, r, limits.BodyBytes)
		r.Body = e.body
	}
	return e, nil
}

func (c *connection) classify(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return &readError{http.StatusRequestHeaderFieldsTooLarge, err}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &readError{http.StatusRequestTimeout, err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return err
	}
	return &readError{http.StatusBadRequest, err}
}

// refuse answers a request that cannot be read; other errors end the connection.
func (c *connection) refuse(err error, queue chan<- *exchange) {
	var refused *readError
	if !errors.As(err, &refused) {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || c.active.Load() == 0 {
			c.cancel()
		}
		return
	}
	c.server.settings.Log.Info().Int("status", refused.status).Err(refused.err).Msg("request cannot be read")
	if !c.accept() {
		return
	}
	e := &exchange{request: &http.Request{Method: http.MethodGet}, response: make(chan *Response, 1), written: make(chan struct{}), close: true}
	e.cancel = func() {}
	e.response <- NewResponse(refused.status, nil, refused.err.Error()+"\n")
	select {
	case queue <- e:
		c.discard()
	case <-c.ctx.Done():
	}
}

// NewResponse returns a response with a short text.
func NewResponse(status int, h http.Header, text string) *Response {
	if h == nil {
		h = http.Header{}
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &Response{Status: status, Header: h, Body: io.NopCloser(strings.NewReader(text)), Length: int64(len(text))}
}

// writeAll writes the responses in the order of the requests.
func (c *connection) writeAll(queue <-chan *exchange) {
	isBroken := false
	for e := range queue {
		response := <-e.response
		if isBroken || response == nil || c.ctx.Err() != nil {
			finish(response, errors.New("the client closed the connection"))
			if !isBroken {
				c.cancel()
			}
			isBroken = true
		} else if err := c.write(e, response); err != nil {
			finish(response, err)
			isBroken = true
			c.stop()
		} else {
			finish(response, nil)
			isBroken = c.closing.Load()
		}
		e.cancel()
		if e.body != nil {
			e.body.release()
		}
		close(e.written)
		c.active.Add(-1)
	}
}

func finish(r *Response, err error) {
	if r == nil {
		return
	}
	if r.Body != nil {
		_ = r.Body.Close()
	}
	if r.Finish != nil {
		r.Finish(err)
	}
}

// linger ends the output and leaves the client some time to read it.
func (c *connection) linger() {
	c.closing.Store(true)
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (c *connection) write(e *exchange, r *Response) error {
	closes := c.decideClose(e)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	out := http.Response{
		StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Request: e.request,
		Header: r.Header, Body: r.Body, ContentLength: r.Length, Close: closes,
	}
	if r.Length < 0 && e.request.ProtoAtLeast(1, 1) {
		out.TransferEncoding = []string{"chunked"}
	}
	if r.Body != nil {
		out.Body = &flushingBody{ReadCloser: r.Body, connection: c, left: r.Length}
	}
	// Without the wrapper io.Copy would read into the buffer of the writer, which flushingBody empties meanwhile.
	if err := out.Write(struct{ io.Writer }{c.writer}); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if closes {
		c.linger()
	}
	return nil
}

// flushingBody sends what was written so far before it waits for more, so that parts reach the client as they arrive.
type flushingBody struct {
	io.ReadCloser
	connection *connection
	left       int64 // -1 if the length is not known
	isStarted  bool
}

func (b *flushingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.isStarted {
		_ = b.connection.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := b.connection.writer.Flush(); err != nil {
			return 0, err
		}
	}
	b.isStarted = true
	n, err := b.ReadCloser.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	return n, err
}

func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// meteredReader bounds the bytes of a header.
type meteredReader struct {
	conn net.Conn
	left int64 // -1 means unbounded
}

func (m *meteredReader) Read(p []byte) (int, error) {
	if m.left == 0 {
		return 0, errHeaderTooLarge
	}
	if m.left > 0 && int64(len(p)) > m.left {
		p = p[:m.left]
	}
	n, err := m.conn.Read(p)
	if m.left > 0 {
		m.left -= int64(n)
	}
	return n, err
}
