package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// connection is a client connection: it reads requests and writes their responses in the same order.
type connection struct {
	server *Server
	conn   net.Conn
	input  *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	active atomic.Int32 // requests without a complete response
	opened time.Time
	// lastResponse is when the last response was complete, as a time.Duration since opened.
	lastResponse atomic.Int64

	writeMu     sync.Mutex
	isLingering atomic.Bool // whether the last response has been written

	// mu serializes the decision to close with the acceptance of another request.
	mu      sync.Mutex
	isFinal bool // no further request is accepted
}

// exchange is a request and its response.
type exchange struct {
	request    *http.Request
	response   chan *Response // buffered, so that the handler never blocks on it
	written    chan struct{}  // closed after the response was written or dropped
	cancel     context.CancelFunc
	body       *requestBody // nil if the request has no body
	closeAfter bool         // the connection closes after the response
}

func newConnection(s *Server, conn net.Conn) *connection {
	c := &connection{server: s, conn: conn, input: &limitedReader{conn: conn}, opened: time.Now()}
	c.reader = bufio.NewReaderSize(c.input, bufferBytes)
	c.writer = bufio.NewWriterSize(conn, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// stop cancels the handlers and closes the connection.
func (c *connection) stop() {
	c.cancel()
	_ = c.conn.Close()
}

// serve handles the connection until it is closed.
func (c *connection) serve() {
	defer c.stop()
	var group errgroup.Group
	queue := make(chan *exchange, maxPipelined)
	group.Go(func() error {
		c.writeLoop(queue)
		return nil
	})
	c.readLoop(queue, &group)
	close(queue)
	_ = group.Wait()
}

// readLoop reads requests and starts their handlers until the input ends or the connection is to be closed.
func (c *connection) readLoop(queue chan<- *exchange, group *errgroup.Group) {
	var previous *exchange
	for {
		e, err := c.readRequest()
		if err != nil {
			c.reject(err, queue)
			return
		}
		if !c.accept() {
			c.discardInput()
			return
		}
		closeAfter := e.closeAfter
		if previous != nil && (e.body != nil || !isSafeMethod(e.request.Method)) {
			// Only GET and HEAD requests without a body may run concurrently with earlier requests on their connection.
			c.watchDuring(func() {
				select {
				case <-previous.written:
				case <-c.ctx.Done():
				}
			})
		}
		previous = e
		ctx, cancel := context.WithCancel(c.ctx)
		e.cancel = cancel
		if !c.enqueue(queue, e) {
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
			if !e.body.isComplete() {
				// The response was written before the end of the body, which the handler may still be reading, and closes the connection.
				e.body.awaitRead()
				c.discardInput()
				return
			}
		}
		if closeAfter {
			c.awaitClientClose()
			return
		}
	}
}

// enqueue adds a request to those that await their responses, waiting for room. It returns false if the connection has ended.
func (c *connection) enqueue(queue chan<- *exchange, e *exchange) bool {
	select {
	case queue <- e:
		return true
	default:
	}
	isQueued := false
	c.watchDuring(func() {
		select {
		case queue <- e:
			isQueued = true
		case <-c.ctx.Done():
		}
	})
	return isQueued
}

// watchDuring calls wait, and cancels the handlers if the connection ends meanwhile. It reads ahead as much as fits into the buffer of the reader: an
// end that is behind more input than that is not seen.
func (c *connection) watchDuring(wait func()) {
	_ = c.conn.SetReadDeadline(time.Time{})
	var watch errgroup.Group
	watch.Go(func() error {
		for n := c.reader.Buffered() + 1; n <= c.reader.Size(); n = c.reader.Buffered() + 1 {
			if _, err := c.reader.Peek(n); err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					c.cancel()
				}
				break
			}
		}
		return nil
	})
	wait()
	_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // ends the watch
	_ = watch.Wait()                            // returns no error
	_ = c.conn.SetReadDeadline(time.Time{})
}

// accept counts a request that has been read. It returns false if an earlier response closes the connection, or if the server has stopped
// accepting requests.
func (c *connection) accept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFinal || c.server.isStopped.Load() {
		return false
	}
	c.active.Add(1)
	return true
}

// decideClose decides whether the connection closes after the response. While the server drains, the connection stays open
// until all requests that were already read have their responses.
func (c *connection) decideClose(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.closeAfter || e.body != nil && !e.body.isComplete() || c.server.isDraining.Load() && c.active.Load() == 1 {
		c.isFinal = true
	}
	return c.isFinal
}

// awaitClientClose cancels the handlers if the client closes the connection while its last request runs.
func (c *connection) awaitClientClose() {
	_ = c.conn.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	if err == nil || c.isLingering.Load() {
		c.discardInput()
		return
	}
	c.cancel()
}

// discardInput reads and drops further input, so that closing does not reset the connection before the client has the last
// response.
func (c *connection) discardInput() {
	c.input.remaining = -1
	buffer := make([]byte, bufferBytes)
	for {
		if _, err := c.reader.Read(buffer); err != nil {
			return
		}
	}
}

func isSafeMethod(m string) bool { return m == http.MethodGet || m == http.MethodHead }

// readError is an error in reading a request, with the response status for the client.
type readError struct {
	status int
	err    error
}

func (e *readError) Error() string { return e.err.Error() }

// errHeaderTooLarge is returned by reads of a header beyond the limit.
var errHeaderTooLarge = errors.New("the header is larger than the limit")

// readRequest reads the next request, waiting for it up to the idle timeout after the last response.
func (c *connection) readRequest() (*exchange, error) {
	limits := c.server.settings.Limits()
	c.input.remaining = -1
	for wait := limits.IdleTimeout; c.reader.Buffered() == 0; {
		_ = c.conn.SetReadDeadline(deadlineAfter(wait))
		if _, err := c.reader.Peek(1); err != nil {
			if wait = c.untilIdle(limits.IdleTimeout); wait > 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.isLingering.Load() {
				continue
			}
			return nil, err
		}
	}
	_ = c.conn.SetReadDeadline(deadlineAfter(limits.HeaderTimeout))
	c.input.remaining = int64(limits.HeaderBytes)
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.classifyReadError(err)
	}
	c.input.remaining = -1
	_ = c.conn.SetReadDeadline(time.Time{})
	e := &exchange{
		request: r, response: make(chan *Response, 1), written: make(chan struct{}),
		closeAfter: r.Close || !r.ProtoAtLeast(1, 1),
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

// untilIdle returns the minimum time until the connection has been idle for the given time. It is not idle while a request has no response, and its
// client may leave meanwhile.
func (c *connection) untilIdle(idle time.Duration) time.Duration {
	if c.active.Load() > 0 {
		return idle
	}
	return idle - (time.Since(c.opened) - time.Duration(c.lastResponse.Load()))
}

// classifyReadError returns a readError with a status if the client can still be told, and err itself if the connection is
// lost.
func (c *connection) classifyReadError(err error) error {
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

// reject queues an error response for a request that cannot be read. After other errors it cancels the handlers, unless the
// idle timeout expired while requests were still running.
func (c *connection) reject(err error, queue chan<- *exchange) {
	var readErr *readError
	if !errors.As(err, &readErr) {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || c.active.Load() == 0 {
			c.cancel()
		}
		return
	}
	c.server.settings.Log.Info().Int("status", readErr.status).Err(readErr.err).Msg("cannot read the request of a client; sending the error status and closing the connection")
	if !c.accept() {
		return
	}
	e := &exchange{request: &http.Request{Method: http.MethodGet}, response: make(chan *Response, 1), written: make(chan struct{}), closeAfter: true}
	e.cancel = func() {}
	e.response <- NewResponse(readErr.status, nil, readErr.err.Error()+"\n")
	select {
	case queue <- e:
		c.discardInput()
	case <-c.ctx.Done():
	}
}

// NewResponse returns a plain-text response; it sets Content-Type in h, which may be nil.
func NewResponse(status int, h http.Header, text string) *Response {
	if h == nil {
		h = http.Header{}
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &Response{Status: status, Header: h, Body: io.NopCloser(strings.NewReader(text)), Length: int64(len(text))}
}

// writeLoop writes the responses in the order of the requests.
func (c *connection) writeLoop(queue <-chan *exchange) {
	isBroken := false
	for e := range queue {
		response := <-e.response
		if isBroken || response == nil || c.ctx.Err() != nil {
			finish(response, errors.New("connection closed before the response was written"))
			if !isBroken {
				c.cancel()
			}
			isBroken = true
		} else if err := c.writeResponse(e, response); err != nil {
			finish(response, err)
			isBroken = true
			c.stop()
		} else {
			finish(response, nil)
			isBroken = c.isLingering.Load()
		}
		e.cancel()
		if e.body != nil {
			e.body.release()
		}
		close(e.written)
		c.lastResponse.Store(int64(time.Since(c.opened)))
		c.active.Add(-1)
	}
}

// finish closes the body of a response and calls its Finish function; r may be nil.
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

// closeWrite closes the write side and bounds how long the connection still reads.
func (c *connection) closeWrite() {
	c.isLingering.Store(true)
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// writeResponse writes a response, and starts to close the connection if it is the last one.
func (c *connection) writeResponse(e *exchange, r *Response) error {
	closeAfter := c.decideClose(e)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	out := http.Response{
		StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Request: e.request,
		Header: r.Header, Body: r.Body, ContentLength: r.Length, Close: closeAfter,
	}
	if r.Length < 0 && e.request.ProtoAtLeast(1, 1) {
		out.TransferEncoding = []string{"chunked"}
	}
	if r.Body != nil {
		out.Body = &flushingBody{ReadCloser: r.Body, connection: c, remaining: r.Length}
	}
	// The wrapper hides ReadFrom of bufio.Writer: it would read into the buffer that flushingBody flushes in the meantime.
	if err := out.Write(struct{ io.Writer }{c.writer}); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if closeAfter {
		c.closeWrite()
	}
	return nil
}

// flushingBody flushes the data written so far before each read, so that parts reach the client as they arrive.
type flushingBody struct {
	io.ReadCloser
	connection *connection
	remaining  int64 // remaining bytes, or -1 if the length is unknown
	isStarted  bool
}

func (b *flushingBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
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
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	return n, err
}

// deadlineAfter returns the time after d, or no deadline if d is not positive.
func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// limitedReader limits the number of bytes read for a header.
type limitedReader struct {
	conn      net.Conn
	remaining int64 // remaining bytes, or -1 for no limit
}

func (m *limitedReader) Read(p []byte) (int, error) {
	if m.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if m.remaining > 0 && int64(len(p)) > m.remaining {
		p = p[:m.remaining]
	}
	n, err := m.conn.Read(p)
	if m.remaining > 0 {
		m.remaining -= int64(n)
	}
	return n, err
}
