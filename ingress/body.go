package ingress

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// errBodyTooLarge is returned by reads of a body beyond the limit.
var errBodyTooLarge = errors.New("the body is larger than the limit")

// requestBody is the request body that a handler reads; it signals the connection when the next request can be read.
type requestBody struct {
	connection      *connection
	body            io.ReadCloser
	remaining       int64         // bytes up to the limit
	expectsContinue bool          // whether the client waits for 100 Continue
	done            chan struct{} // closed by the end of the body or by release
	once            sync.Once
	reachedEOF      atomic.Bool // whether the end of the body has been read
	isReleased      atomic.Bool
	readMu          sync.Mutex // held while the reader of the connection is in use for the body
}

func newRequestBody(c *connection, r *http.Request, limit int64) *requestBody {
	if limit <= 0 {
		limit = 1 << 62
	}
	return &requestBody{
		connection: c, body: r.Body, remaining: limit, done: make(chan struct{}),
		expectsContinue: strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if b.isReleased.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.connection.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.reachedEOF.Store(true)
		b.once.Do(func() { close(b.done) })
	}
	return n, err
}

// Close implements io.Closer. It does not read the rest of the body, which may be long.
func (b *requestBody) Close() error { return nil }

// release ends reading of the body after the response has been written. A body that was not read to its end closes the
// connection.
func (b *requestBody) release() {
	if b.isReleased.Swap(true) {
		return
	}
	if !b.reachedEOF.Load() {
		// Unblock a handler that is still reading.
		_ = b.connection.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	b.once.Do(func() { close(b.done) })
}

// awaitRead waits until nothing reads the released body; there are no reads after that.
func (b *requestBody) awaitRead() {
	b.readMu.Lock()
	defer b.readMu.Unlock()
}

// isComplete reports whether the body has been read to its end.
func (b *requestBody) isComplete() bool { return b.reachedEOF.Load() }

// writeContinue sends the interim response 100 Continue.
func (c *connection) writeContinue() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}
