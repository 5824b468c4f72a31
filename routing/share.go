package routing

import (
	"sync"
	"sync/atomic"

	"github.com/sapphiretack/sapphiretack/request"
)

// Shares divides the requests of split routes among their services in proportion to the weights.
//
// It uses smooth weighted round robin: after any number of requests, each part is within one request of its share, where
// random choice would be off by several percent over a few hundred requests.
type Shares struct {
	mu     sync.Mutex
	routes map[shareKey][]int
}

type shareKey struct {
	route   RouteID
	version Version
}

// NewShares returns an empty Shares.
func NewShares() *Shares { return &Shares{routes: map[shareKey][]int{}} }

// Pick returns the service for the next request of the route.
func (s *Shares) Pick(v Version, r *Route) request.ServiceID {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := shareKey{r.ID, v}
	current := s.routes[key]
	if current == nil {
		s.forget(r.ID, v)
		current = make([]int, len(r.Services))
		s.routes[key] = current
	}
	total, best := 0, 0
	for i, part := range r.Services {
		current[i] += part.Weight
		total += part.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return r.Services[best].Service
}

// forget removes the state of older versions of a route.
func (s *Shares) forget(r RouteID, v Version) {
	for key := range s.routes {
		if key.route == r && key.version < v {
			delete(s.routes, key)
		}
	}
}

// Holder keeps the newest configuration of a process.
type Holder struct{ current atomic.Pointer[Configuration] }

// Load returns the configuration in force, or nil before the first one is known.
func (h *Holder) Load() *Configuration { return h.current.Load() }

// Version returns the version in force, or 0 before the first one is known.
func (h *Holder) Version() Version {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Offer puts the configuration into force if it is newer than the present one, and reports whether it did.
func (h *Holder) Offer(c *Configuration) bool {
	for {
		current := h.current.Load()
		if current != nil && c.Version <= current.Version {
			return false
		}
		if h.current.CompareAndSwap(current, c) {
			return true
		}
	}
}
