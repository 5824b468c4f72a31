package tree

import (
	"maps"
	"strings"
	"sync"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Run is a request in progress on the node's local backend server.
type Run struct {
	Route    routing.RouteID
	Rank     routing.Rank // of the root request
	Deadline request.Instant
	// IsRepeat is set if the request or one of its ancestors may have reached a backend server before.
	IsRepeat bool
}

type activeRun struct {
	Run
	cost  Cost
	count int // concurrent runs with the same identifier
	// hasFailedCalls is set if a nested call of the run failed.
	hasFailedCalls bool
}

// Runs tracks the runs in progress; it is safe for concurrent use.
type Runs struct {
	mu     sync.Mutex
	active map[string]*activeRun
}

// NewRuns returns a Runs without runs in progress.
func NewRuns() *Runs { return &Runs{active: map[string]*activeRun{}} }

// Begin registers a run under its request identifier.
func (r *Runs) Begin(id string, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.active[id]; o != nil {
		o.count++
		return
	}
	r.active[id] = &activeRun{Run: run, cost: Cost{}, count: 1}
}

// Parent returns the run that made the call with the given identifier, and the identifier of that run. The identifier of a call
// is that of its parent, a dot and a suffix. Since clients can send such identifiers too, it is accepted only while the parent
// is in progress on this node.
func (r *Runs) Parent(id string) (Run, string, bool) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return Run{}, "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.active[id[:i]]
	if o == nil {
		return Run{}, "", false
	}
	return o.Run, id[:i], true
}

// AddCost adds the cost of a nested call to the run that made it.
func (r *Runs) AddCost(id string, c Cost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.active[id]; o != nil {
		o.cost.Add(c)
	}
}

// Fail records that a nested call of the run failed.
func (r *Runs) Fail(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.active[id]; o != nil {
		o.hasFailedCalls = true
	}
}

// End removes a run and returns the cost of its nested calls and whether any of them failed.
func (r *Runs) End(id string) (c Cost, hasFailedCalls bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.active[id]
	if o == nil {
		return Cost{}, false
	}
	if o.count--; o.count == 0 {
		delete(r.active, id)
	}
	return maps.Clone(o.cost), o.hasFailedCalls
}
