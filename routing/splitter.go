package routing

import (
	"sync"
	"sync/atomic"

	"github.com/sapphiretack/sapphiretack/request"
)

// Splitter splits the requests of routes among their services in proportion to the weights; it is safe for concurrent use.
//
// It uses smooth weighted round robin, which keeps each service within one request of its exact share at any time. Random
// selection would deviate by several percent over a few hundred requests.
type Splitter struct {
	mu     sync.Mutex
	routes map[splitKey][]int
}

type splitKey struct {
	route   RouteID
	version Version
}

// NewSplitter returns a Splitter without state for any route.
func NewSplitter() *Splitter { return &Splitter{routes: map[splitKey][]int{}} }

// Pick returns the service for the next request of the route, which belongs to version v of the configuration.
func (s *Splitter) Pick(v Version, r *Route) request.ServiceID {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := splitKey{r.ID, v}
	current := s.routes[key]
	if current == nil {
		s.dropOlder(r.ID, v)
		current = make([]int, len(r.Services))
		s.routes[key] = current
	}
	total, best := 0, 0
	for i, weighted := range r.Services {
		current[i] += weighted.Weight
		total += weighted.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return r.Services[best].Service
}

// dropOlder removes the state of a route for configurations before the given version.
func (s *Splitter) dropOlder(r RouteID, v Version) {
	for key := range s.routes {
		if key.route == r && key.version < v {
			delete(s.routes, key)
		}
	}
}

// Holder stores the newest configuration of a process; it is safe for concurrent use.
type Holder struct{ current atomic.Pointer[Configuration] }

// Load returns the current configuration, or nil before the first one is stored.
func (h *Holder) Load() *Configuration { return h.current.Load() }

// Version returns the version of the current configuration, or 0 before the first one is stored.
func (h *Holder) Version() Version {
	if c := h.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// StoreIfNewer stores the configuration if it is newer than the current one, and reports whether it did.
func (h *Holder) StoreIfNewer(c *Configuration) bool {
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
