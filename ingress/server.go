package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// maxPipelined bounds the queue of pending responses of one connection.
	maxPipelined = 16
	// bufferBytes is the size in bytes of read and write buffers, enough for the headers of a typical request or response.
	bufferBytes = 4 << 10
	// lingerTimeout is how long a closing connection still reads input: closing a TCP connection with unread input resets it,
	// and the client may lose the last response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout closes connections of clients that do not read their response.
	writeTimeout = 30 * time.Second
	// acceptDelay is the delay after a failed accept, for example when no file descriptors are free.
	acceptDelay = 20 * time.Millisecond
)

// Limits bound the requests of clients. A BodyBytes or timeout of zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Response is the response to one request.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the size of the body in bytes, or -1 if unknown.
	Length int64
	// Finish, if not nil, is called with nil after the response has been written, or with the error that prevented it.
	Finish func(error)
}

// Handler handles requests. The context is cancelled when the client closes its connection; a nil response closes the
// connection without a response.
type Handler interface {
	Handle(ctx context.Context, r *http.Request) *Response
}

// Settings configure a Server; Limits is called for each request, so limits can change while the server runs.
type Settings struct {
	Handler Handler
	Limits  func() Limits
	Log     zerolog.Logger
}

// Server serves the connections of one listener.
type Server struct {
	settings   Settings
	isDraining atomic.Bool
	isStopped  atomic.Bool // whether no further requests are accepted
	group      errgroup.Group

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]struct{}
	isClosed    bool
	done        chan struct{}
}

// New returns a server; Serve starts it.
func New(s Settings) *Server {
	return &Server{settings: s, connections: map[*connection]struct{}{}, done: make(chan struct{})}
}

// Serve accepts connections until Close; it returns an error only if closing the listener fails.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closed := s.isClosed
	s.mu.Unlock()
	if closed {
		return l.Close()
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				<-s.done
				return nil
			}
			s.settings.Log.Warn().Err(err).Msg("cannot accept a connection of a client; trying again")
			time.Sleep(acceptDelay)
			continue
		}
		c := newConnection(s, conn)
		if !s.add(c) {
			_ = conn.Close()
			return nil
		}
		s.group.Go(func() error {
			defer s.remove(c)
			c.serve()
			return nil
		})
	}
}

// add registers a connection and reports whether the server is still open.
func (s *Server) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// Drain makes each connection close after the next response that leaves no other request pending; idle connections stay open.
func (s *Server) Drain() { s.isDraining.Store(true) }

// StopAccepting closes the listener and has open connections accept no further requests; they close after the last response, or by
// CloseIdle.
func (s *Server) StopAccepting() {
	s.isStopped.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// CloseIdle closes connections without pending requests.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.active.Load() == 0 {
			c.stop()
		}
	}
}

// Active returns the number of requests without a complete response.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.connections {
		n += int(c.active.Load())
	}
	return n
}

// Close closes the listener and all connections, and waits for their handlers.
func (s *Server) Close() {
	s.StopAccepting()
	s.mu.Lock()
	if !s.isClosed {
		close(s.done)
	}
	s.isClosed = true
	for c := range s.connections {
		c.stop()
	}
	s.mu.Unlock()
	_ = s.group.Wait()
}
