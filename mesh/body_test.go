package mesh

import (
	"bytes"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// lockedBuffer is a buffer that the server writes and the test reads concurrently.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestBodyOutlivesAttempt guards against a panic in net/http when an attempt ends while the transport is blocked reading the
// rest of its body. The panic would close the connection to the other node and fail what was sent on it.
func TestBodyOutlivesAttempt(t *testing.T) {
	c := qt.New(t)
	var log lockedBuffer
	var group errgroup.Group
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex()
		body := &attemptBody{source: r.Body}
		defer body.stop(controller)
		group.Go(func() error {
			_, err := io.ReadAll(body)
			if err == nil {
				return fmt.Errorf("the body ended although part of it was never sent")
			}
			return nil
		})
		for !body.isReading.Load() {
			time.Sleep(time.Millisecond)
		}
		w.WriteHeader(http.StatusBadGateway)
	}))
	server.Config.ErrorLog = stdlog.New(&log, "", 0)
	server.Start()
	c.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil) // bounds a hanging test
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"))
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Check(string(answer), qt.Contains, "502 Bad Gateway")
	c.Check(group.Wait(), qt.IsNil)
	c.Check(conn.Close(), qt.IsNil)
	c.Check(log.text(), qt.Equals, "")
}
