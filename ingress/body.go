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

var errBodyTooLarge = errors.New("the body is larger than the limit")

// requestBody passes the body of a request to its handler and tells the connection when the next request may be read.
type requestBody struct {
	connection *connection
	body       io.ReadCloser
	left       int64
	expects    bool // the client waits for 100 Continue
	done       chan struct{}
	once       sync.Once
	whole      atomic.Bool
	released   atomic.Bool
}

func newRequestBody(c *connection, r *http.Request, limit int64) *requestBody {
	if limit <= 0 {
		limit = 1 << 62
	}
	return &requestBody{
		connection: c, body: r.Body, left: limit, done: make(chan struct{}),
		expects: strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.released.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.expects {
		b.expects = false
		if err := b.connection.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.body.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.whole.Store(true)
		b.once.Do(func() { close(b.done) })
	}
	return n, err
}

// Close implements io.Closer; the rest of the body is not read, since it may be long.
func (b *requestBody) Close() error { return nil }

// release ends the wait for the body after the response; a body that was not read ends the connection.
func (b *requestBody) release() {
	if b.released.Swap(true) {
		return
	}
	if !b.whole.Load() {
		// Wakes a reader that waits for the rest.
		_ = b.connection.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	b.once.Do(func() { close(b.done) })
}

func (b *requestBody) isRead() bool { return b.whole.Load() }

func (c *connection) writeContinue() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}
