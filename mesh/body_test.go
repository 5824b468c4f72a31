package mesh

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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
		body := &attemptBody{source: r.Body, controller: controller}
		body.begin()
		defer body.stop()
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

// TestUnreadBody guards against a panic in net/http on the next attempt of a connection, because the handler of an earlier one, which was refused
// or answered early, has not read its body. It can end the process.
func TestUnreadBody(t *testing.T) {
	for name, hasBegun := range map[string]bool{"refused": false, "answered early": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var log lockedBuffer
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body := &attemptBody{source: r.Body, controller: http.NewResponseController(w)}
				defer body.stop()
				if hasBegun {
					body.begin()
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			server.Config.ErrorLog = stdlog.New(&log, "", 0)
			server.Start()
			c.Cleanup(server.Close)
			var clients errgroup.Group
			for range 20 {
				clients.Go(func() error {
					conn, err := net.Dial("tcp", server.Listener.Addr().String())
					if err != nil {
						return err
					}
					defer conn.Close()
					_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // bounds a hanging test
					reader := bufio.NewReader(conn)
					for range 50 {
						message := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 30_000, strings.Repeat("0", 30_000))
						if _, err := io.WriteString(conn, message); err != nil {
							return err
						}
						response, err := http.ReadResponse(reader, nil)
						if err != nil {
							return err
						}
						_, _ = io.Copy(io.Discard, response.Body)
						if response.StatusCode != http.StatusServiceUnavailable {
							return fmt.Errorf("status %d", response.StatusCode)
						}
					}
					return nil
				})
			}
			c.Check(clients.Wait(), qt.IsNil)
			c.Check(log.text(), qt.Equals, "")
		})
	}
}
