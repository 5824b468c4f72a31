package node

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/request"
)

// execution is a request that is running on the backend server. In nested calls the backend server refers to it by its
// token, so it can raise neither the priority nor the retry budget of the request.
type execution struct {
	token       string
	requestID   request.ID
	customer    request.CustomerID
	service     request.ServiceID
	operation   request.Operation
	contentType string
	traceparent string
	priority    request.Priority
	deadline    request.Instant
	idempotent  bool
	effect      string
	depth       uint32

	mu          sync.Mutex
	account     budget.Account
	nested      int             // nested calls in flight
	nestedSince request.Instant // when nested last rose from 0 to 1
	nestedTime  time.Duration   // total time with a nested call in flight
	path        pathLevel
	sent        map[nestedKey]struct{} // idempotent nested calls
}

// nestedKey identifies a nested call within its execution. Calls without a step differ only in their fingerprint.
type nestedKey struct {
	position    request.Sequence
	fingerprint request.Fingerprint
}

// markSent records an idempotent nested call and reports whether the same call was sent before.
func (e *execution) markSent(k nestedKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, sent := e.sent[k]; sent {
		return true
	}
	if e.sent == nil {
		e.sent = map[nestedKey]struct{}{}
	}
	e.sent[k] = struct{}{}
	return false
}

// pathLevel is the lowest admission level on a path, and the service that reported it.
type pathLevel struct {
	level   request.Priority
	service request.ServiceID
}

// beginNested records the start of a nested call.
func (e *execution) beginNested(now request.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.nested == 0 {
		e.nestedSince = now
	}
	e.nested++
}

// endNested records the end of a nested call and the level that its path reported.
func (e *execution) endNested(now request.Instant, path pathLevel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nested--
	if e.nested == 0 {
		e.nestedTime += now.Sub(e.nestedSince)
	}
	if path.service != "" && (e.path.service == "" || path.level < e.path.level) {
		e.path = path
	}
}

// executions holds the requests that are running on the backend server, by token.
type executions struct {
	mu      sync.Mutex
	byToken map[string]*execution
}

func newExecutions() *executions { return &executions{byToken: map[string]*execution{}} }

// add assigns an unguessable random token to the execution and adds it.
func (x *executions) add(e *execution) {
	var token [16]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(token[:])
	e.token = hex.EncodeToString(token[:])
	x.mu.Lock()
	defer x.mu.Unlock()
	x.byToken[e.token] = e
}

func (x *executions) remove(e *execution) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.byToken, e.token)
}

func (x *executions) find(token string) (*execution, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.byToken[token]
	return e, ok
}

func (x *executions) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.byToken)
}
