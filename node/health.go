package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// healthInterval is the time between two checks of a backend server that is down.
	healthInterval = 200 * time.Millisecond
	healthTimeout  = time.Second
	// An exiting process may close its connections some milliseconds before its listener.
	crashChecks     = 3
	crashCheckDelay = 5 * time.Millisecond
)

// backendHealth knows whether the backend server accepts calls, and which run of it this is. It trusts what the node
// sees of its own connections; the health endpoint serves only to find that a server accepts connections again, since
// what it reports lags or misleads.
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
		client:  &http.Client{Timeout: healthTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: request.MaxResponseHeader}},
		url:     n.backendURL.JoinPath(n.settings.Backend.HealthPath).String(),
		current: n.incarnation,
	}
}

// state reports whether the backend server accepts calls, and when to ask again if not.
func (h *backendHealth) state() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return healthInterval, h.up
}

// run returns the identity of the present run of the backend server.
func (h *backendHealth) run() request.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// confirmCrash reports whether the backend server refuses connections. A server that goes on accepting them closed one
// connection only, which is no crash.
func (h *backendHealth) confirmCrash() bool {
	for range crashChecks {
		connection, err := net.DialTimeout("tcp", h.node.backendURL.Host, healthTimeout)
		if err != nil {
			return true
		}
		_ = connection.Close()
		time.Sleep(crashCheckDelay)
	}
	return false
}

// crashed notes that a run of the backend server ended, and reports whether this was news.
func (h *backendHealth) crashed(run request.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if run != h.current || !h.up {
		return false
	}
	h.up = false
	h.current++
	return true
}

// watch checks a backend server that is down until the context ends.
func (h *backendHealth) watch(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
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
	h.node.destination.handle(admission.Restarted{})
	h.mu.Lock()
	h.up = true
	run := h.current
	h.mu.Unlock()
	h.node.log.Info().Uint64("backend_run", uint64(run)).Msg("backend server accepts calls")
}
