package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// healthCheckInterval is the time between two health checks of a backend server that is down.
	healthCheckInterval = 200 * time.Millisecond
	healthCheckTimeout  = time.Second
	// A crash is checked several times, because an exiting process may close its connections some milliseconds before its
	// listener.
	crashCheckCount = 3
	crashCheckDelay = 5 * time.Millisecond
)

// backendHealth tracks whether the backend server accepts connections, and its incarnation. It relies on the node's own
// connections. The health endpoint is used only to detect that a server accepts connections again, because the status
// that it reports can be outdated or wrong.
type backendHealth struct {
	node   *Node
	client *http.Client
	url    string

	mu      sync.Mutex
	up      bool
	current request.Incarnation
}

func newBackendHealth(n *Node) *backendHealth {
	return &backendHealth{
		node:    n,
		client:  newHealthClient(),
		url:     n.backendURL.JoinPath(n.settings.Backend.HealthPath).String(),
		current: n.incarnation,
	}
}

func newHealthClient() *http.Client {
	return &http.Client{
		Timeout: healthCheckTimeout, Transport: exchange.New(&http.Transport{MaxResponseHeaderBytes: request.MaxResponseHeaderBytes}),
	}
}

// state reports whether the backend server accepts connections, and the delay before a retry if it does not.
func (h *backendHealth) state() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return healthCheckInterval, h.up
}

// incarnation returns the current incarnation of the backend server.
func (h *backendHealth) incarnation() request.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// refusesConnections reports whether the backend server refuses new connections. A server that still accepts them has only
// closed one connection, which is not a crash.
func (h *backendHealth) refusesConnections() bool {
	for range crashCheckCount {
		connection, err := net.DialTimeout("tcp", h.node.backendURL.Host, healthCheckTimeout)
		if err != nil {
			return true
		}
		_ = connection.Close()
		time.Sleep(crashCheckDelay)
	}
	return false
}

// markDown records that an incarnation of the backend server ended, and reports whether it was up until now.
func (h *backendHealth) markDown(incarnation request.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if incarnation != h.current || !h.up {
		return false
	}
	h.up = false
	h.current++
	return true
}

// watch checks the backend server at each interval while it is down, until the context ends.
func (h *backendHealth) watch(ctx context.Context) error {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		if _, up := h.state(); !up {
			h.check(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *backendHealth) check(ctx context.Context) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return
	}
	response, err := h.client.Do(r)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	h.node.destination.handle(admission.BackendRestarted{})
	h.mu.Lock()
	h.up = true
	incarnation := h.current
	h.mu.Unlock()
	h.node.log.Info().Uint64("backend_run", uint64(incarnation)).Msg("backend server accepts connections; accepting attempts")
}
