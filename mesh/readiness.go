package mesh

import (
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/routing"
)

// maxStartDelay is how long a starting node waits for other nodes before it reports itself ready.
const maxStartDelay = time.Second

// readiness decides when a starting node has learned enough from other nodes to accept requests of clients: a store that has come back from
// a copy has an older configuration than they have. It is safe for concurrent use.
type readiness struct {
	mu        sync.Mutex
	isReady   bool
	hasRead   bool            // whether the addresses of other nodes have been read
	hasOthers bool            // whether there are any
	announced routing.Version // the latest version that another node has announced
}

// readAddresses records how many other nodes are registered.
func (r *readiness) readAddresses(others int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasRead, r.hasOthers = true, others > 0
}

// hear records the version of the configuration that another node uses.
func (r *readiness) hear(v routing.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announced = max(r.announced, v)
}

// check reports whether the node is ready, with the time since its start and the version that it uses, or 0. Once ready, it stays so.
func (r *readiness) check(elapsed time.Duration, version routing.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isCurrent := r.hasRead && (!r.hasOthers || r.announced > 0 && version >= r.announced)
	r.isReady = r.isReady || version > 0 && (isCurrent || elapsed > maxStartDelay)
	return r.isReady
}
