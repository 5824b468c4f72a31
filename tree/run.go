package tree

import (
	"maps"
	"strings"
	"sync"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Run is a request that runs on the backend server beside the node.
type Run struct {
	Route    routing.RouteID
	Rank     routing.Rank // of the root
	Deadline request.Instant
	// IsRepeat is set if the request, or one above it, has reached a backend server before.
	IsRepeat bool
}

type openRun struct {
	Run
	cost  Cost
	count int // runs under the same identifier
	// hasFailedCalls is set if a call of the run did not succeed.
	hasFailedCalls bool
}

// Runs holds the runs in flight; it is safe for concurrent use.
type Runs struct {
	mu   sync.Mutex
	open map[string]*openRun
}

// NewRuns returns an empty Runs.
func NewRuns() *Runs { return &Runs{open: map[string]*openRun{}} }

// Begin records a run under the identifier of its request.
func (r *Runs) Begin(id string, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.open[id]; o != nil {
		o.count++
		return
	}
	r.open[id] = &openRun{Run: run, cost: Cost{}, count: 1}
}

// Parent returns the run that makes a call, and its identifier. A call's identifier is that of its parent, a dot and a
// suffix; a client could choose such an identifier too, so it counts only while the parent runs here.
func (r *Runs) Parent(id string) (Run, string, bool) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return Run{}, "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.open[id[:i]]
	if o == nil {
		return Run{}, "", false
	}
	return o.Run, id[:i], true
}

// AddCost adds what a call used to the run that made it.
func (r *Runs) AddCost(id string, c Cost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.open[id]; o != nil {
		o.cost.Add(c)
	}
}

// Fail records that a call of the run did not succeed.
func (r *Runs) Fail(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.open[id]; o != nil {
		o.hasFailedCalls = true
	}
}

// End removes a run and returns what its calls used, and whether one of them failed.
func (r *Runs) End(id string) (c Cost, hasFailedCalls bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.open[id]
	if o == nil {
		return Cost{}, false
	}
	if o.count--; o.count == 0 {
		delete(r.open, id)
	}
	return maps.Clone(o.cost), o.hasFailedCalls
}
