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
	// maxPipelined bounds the requests of one connection that run at once.
	maxPipelined = 16
	// bufferSize holds the headers of a usual request or response.
	bufferSize = 4 << 10
	// lingerTimeout lets the client read the last response before the connection closes; closing with unread input resets it.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds how long a client may leave a response unread.
	writeTimeout = 30 * time.Second
	// acceptDelay is the pause after a failed accept, for example without free descriptors.
	acceptDelay = 20 * time.Millisecond
)

// Limits bound what a client may send; they may change while the server runs.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Response is the answer to one request.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the number of bytes of the body, or -1 if it is not known.
	Length int64
	// Finish is called when the response has been written, or with the error that prevented it.
	Finish func(error)
}

// Handler answers one request; the context ends when the client closes its connection.
type Handler interface {
	Handle(ctx context.Context, r *http.Request) *Response
}

// Settings configure a Server.
type Settings struct {
	Handler Handler
	Limits  func() Limits
	Log     zerolog.Logger
}

// Server serves one listener.
type Server struct {
	settings Settings
	draining atomic.Bool
	group    errgroup.Group

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]struct{}
	isClosed    bool
	done        chan struct{}
}

// New returns a server that has not started.
func New(s Settings) *Server {
	return &Server{settings: s, connections: map[*connection]struct{}{}, done: make(chan struct{})}
}

// Serve accepts connections until Close; the error is that of the listener.
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
			s.settings.Log.Warn().Err(err).Msg("cannot accept a connection")
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

// Drain announces the end of each connection with its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// StopAccepting refuses new connections; those that are open go on.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// CloseIdle closes the connections that wait for a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.active.Load() == 0 {
			c.stop()
		}
	}
}

// Active returns the number of requests that have not been answered.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.connections {
		n += int(c.active.Load())
	}
	return n
}

// Close ends the listener and all connections.
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
