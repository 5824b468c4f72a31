package tree

import (
	"maps"
	"strings"
	"sync"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Execution is a request in progress on the node's local backend server.
type Execution struct {
	Route    routing.RouteID
	Rank     routing.Rank // of the root request
	Deadline request.Instant
	// IsRetry is set if the request or one of its ancestors may have reached a backend server before.
	IsRetry bool
}

type activeExecution struct {
	Execution
	cost  Cost
	count int // concurrent executions with the same identifier
	// hasFailedCalls is set if a nested call of the execution failed.
	hasFailedCalls bool
}

// Executions tracks the executions in progress; it is safe for concurrent use.
type Executions struct {
	mu     sync.Mutex
	active map[string]*activeExecution
}

// NewExecutions returns an empty Executions.
func NewExecutions() *Executions { return &Executions{active: map[string]*activeExecution{}} }

// Begin registers an execution under its request identifier. If one with this identifier is in progress, it keeps the properties
// of that one, and both share their cost.
func (r *Executions) Begin(id string, execution Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.active[id]; a != nil {
		a.count++
		return
	}
	r.active[id] = &activeExecution{Execution: execution, cost: Cost{}, count: 1}
}

// Parent returns the execution that made the call with the given identifier, and the identifier of that execution. The
// identifier of a call is that of its parent, a dot and a suffix. Since clients can send such identifiers too, it is accepted
// only while the parent is in progress on this node.
func (r *Executions) Parent(id string) (Execution, string, bool) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 {
		return Execution{}, "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[id[:i]]
	if a == nil {
		return Execution{}, "", false
	}
	return a.Execution, id[:i], true
}

// AddCost adds the cost of a nested call to the execution that made it.
func (r *Executions) AddCost(id string, c Cost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.active[id]; a != nil {
		a.cost.Add(c)
	}
}

// FailCall records that a nested call of the execution failed.
func (r *Executions) FailCall(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.active[id]; a != nil {
		a.hasFailedCalls = true
	}
}

// End removes an execution and returns the cost of its nested calls and whether any of them failed.
func (r *Executions) End(id string) (c Cost, hasFailedCalls bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[id]
	if a == nil {
		return Cost{}, false
	}
	if a.count--; a.count == 0 {
		delete(r.active, id)
	}
	return maps.Clone(a.cost), a.hasFailedCalls
}
