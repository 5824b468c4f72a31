package node

import (
	"sync"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// routes is the route table with its lock, and the limiting service of each operation's path.
type routes struct {
	mu               sync.Mutex
	table            *route.Table
	limitingServices map[operationKey]request.ServiceID
}

type operationKey struct {
	service   request.ServiceID
	operation request.Operation
}

// maxLimitingServices is the maximum number of operations in limitingServices; the levels are in the route table.
const maxLimitingServices = 4096

// observePath records the level of an operation's path and its limiting service. It must be called with the lock held.
func (r *routes) observePath(now request.Instant, p call.Plan, path pathLevel) {
	r.table.RecordLevel(now, p.Service, p.Operation, path.level)
	key := operationKey{p.Service, p.Operation}
	if _, known := r.limitingServices[key]; known || len(r.limitingServices) < maxLimitingServices {
		r.limitingServices[key] = path.service
	}
}

// level returns the level of an operation's path and the service that limits it.
func (r *routes) level(now request.Instant, s request.ServiceID, op request.Operation) pathLevel {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.levelLocked(now, s, op)
}

func (r *routes) levelLocked(now request.Instant, s request.ServiceID, op request.Operation) pathLevel {
	limiting := r.limitingServices[operationKey{s, op}]
	if limiting == "" {
		limiting = s
	}
	return pathLevel{level: r.table.Level(now, s, op), service: limiting}
}

// shouldShed returns the level of the call's path, and whether the first node should refuse the call.
func (r *routes) shouldShed(now request.Instant, p call.Plan) (pathLevel, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.levelLocked(now, p.Service, p.Operation), r.table.Shed(now, p.Service, p.Operation, p.Priority)
}

// Pick implements call.Router.
func (r *routes) Pick(now request.Instant, s request.ServiceID, p request.Priority, excluded []request.InstanceID) (route.Choice, route.PickResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Pick(now, s, p, excluded)
}

func (r *routes) update(f func(*route.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.table)
}

// retryLimiter limits retries to a fraction of the successful calls of each service; it is a budget.Limiter with a lock.
type retryLimiter struct {
	mu      sync.Mutex
	limiter budget.Limiter
}

// Allow implements call.Limiter.
func (r *retryLimiter) Allow(now request.Instant, s request.ServiceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Allow(now, s)
}

// RecordSuccess implements call.Limiter.
func (r *retryLimiter) RecordSuccess(now request.Instant, s request.ServiceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.RecordSuccess(now, s)
}

// sharedAccount is a retry budget that several calls of one request share, with its lock.
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
func (a sharedAccount) Return(l *budget.Loan, unused uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Return(l, unused)
}
