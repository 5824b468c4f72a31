package node

import (
	"sync"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// routes is the route table with its lock, and the service that limits each operation.
type routes struct {
	mu       sync.Mutex
	table    *route.Table
	limiting map[operationKey]request.ServiceID
}

type operationKey struct {
	service   request.ServiceID
	operation request.Operation
}

// maxLimiting bounds the operations whose limiting service is known; the level itself is kept by the route table.
const maxLimiting = 4096

// observePath records the level of an operation's path; the caller holds the lock.
func (r *routes) observePath(now request.Instant, p call.Plan, path pathLevel) {
	r.table.ObserveLevel(now, p.Service, p.Operation, path.level)
	key := operationKey{p.Service, p.Operation}
	if _, known := r.limiting[key]; known || len(r.limiting) < maxLimiting {
		r.limiting[key] = path.service
	}
}

// level returns the level of an operation's path and the service that limits it.
func (r *routes) level(now request.Instant, s request.ServiceID, op request.Operation) pathLevel {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lockedLevel(now, s, op)
}

func (r *routes) lockedLevel(now request.Instant, s request.ServiceID, op request.Operation) pathLevel {
	limiting := r.limiting[operationKey{s, op}]
	if limiting == "" {
		limiting = s
	}
	return pathLevel{level: r.table.Level(now, s, op), service: limiting}
}

// shed reports whether the first node refuses the call, and the level of its path.
func (r *routes) shed(now request.Instant, p call.Plan) (pathLevel, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lockedLevel(now, p.Service, p.Operation), r.table.Shed(now, p.Service, p.Operation, p.Priority)
}

// Pick implements call.Router.
func (r *routes) Pick(now request.Instant, s request.ServiceID, p request.Priority, excluded []request.InstanceID) (route.Choice, route.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Pick(now, s, p, excluded)
}

func (r *routes) update(f func(*route.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.table)
}

// ratio is the retry ratio with its lock.
type ratio struct {
	mu    sync.Mutex
	ratio budget.Ratio
}

// Allow implements call.Limiter.
func (r *ratio) Allow(now request.Instant, s request.ServiceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ratio.Allow(now, s)
}

// Succeeded implements call.Limiter.
func (r *ratio) Succeeded(now request.Instant, s request.ServiceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio.Succeeded(now, s)
}

// sharedAccount is an account that several calls of one request draw on.
type sharedAccount struct {
	mu      sync.Locker
	account *budget.Account
}

// Held implements call.Account.
func (a sharedAccount) Held() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Held()
}

// Spend implements call.Account.
func (a sharedAccount) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Spend()
}

// Lend implements call.Account.
func (a sharedAccount) Lend() budget.Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Lend()
}

// Return implements call.Account.
func (a sharedAccount) Return(l *budget.Loan, left uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Return(l, left)
}
