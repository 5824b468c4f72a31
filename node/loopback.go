package node

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/trace"
)

// maxDepth is the maximum depth of nested calls; the design expects up to 22 hops, and a deeper call graph has a cycle.
const maxDepth = 64

// loopbackHandler serves the backend server beside the node; this node is the source of its nested calls.
func (n *Node) loopbackHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{service}/{operation}", n.serveNested)
	return n.withBodyDeadline(mux)
}

func (n *Node) serveNested(w http.ResponseWriter, r *http.Request) {
	parent, ok := n.executions.find(r.Header.Get(headerCall))
	if !ok {
		refuseMalformed(w, r, MalformedError.New("header %s names no running request; copy it from the request that is being served", headerCall))
		return
	}
	body, err := n.readBody(w, r)
	if err != nil {
		refuseUnreadableBody(w, r, err)
		return
	}
	timeout, err := parseNumber(r.Header, headerTimeout, uint64(maxTimeout/time.Millisecond))
	if err != nil {
		refuseMalformed(w, r, err)
		return
	}
	position, err := parseNumber(r.Header, headerStep, 1<<32)
	if err != nil {
		refuseMalformed(w, r, err)
		return
	}
	out, reason := n.nestedCall(parent, r, body, time.Duration(timeout)*time.Millisecond)
	if reason != request.NoReason {
		refuseEarly(w, r, reason)
		return
	}
	traceparent := r.Header.Get(trace.Header)
	if traceparent == "" {
		traceparent = parent.traceparent
	}
	ctx := trace.Extract(r.Context(), traceparent)
	rw := n.newHTTPResponseWriter(w, out)
	parent.beginNested(n.clock.now())
	res := n.runNested(ctx, parent, out, request.Sequence(position), rw)
	parent.endNested(n.clock.now(), res.path)
	rw.end(res)
}

// nestedCall takes the priority, deadline and identity from the parent, so that a backend server cannot raise them.
func (n *Node) nestedCall(parent *execution, r *http.Request, body []byte, timeout time.Duration) (outgoingCall, request.Reason) {
	service := request.ServiceID(r.PathValue("service"))
	op := request.Operation(r.PathValue("operation"))
	if parent.depth >= maxDepth {
		return outgoingCall{}, request.LimitReached
	}
	policy, reason := n.policy(parent.customer, service, op)
	if reason != request.NoReason {
		return outgoingCall{}, reason
	}
	now := n.clock.now()
	deadline := min(parent.deadline, now.Add(policy.Timeout))
	if timeout > 0 {
		deadline = min(deadline, now.Add(timeout))
	}
	return outgoingCall{
		plan: call.Plan{
			Service:     service,
			Operation:   op,
			Priority:    parent.priority,
			Fingerprint: request.FingerprintOf(parent.customer, service, op, body),
			Deadline:    deadline,
			Idempotent:  policy.Idempotent,
		},
		requestID:   parent.requestID,
		customer:    parent.customer,
		body:        body,
		contentType: r.Header.Get(headerContentType),
		depth:       parent.depth + 1,
	}, request.NoReason
}

func (n *Node) runNested(ctx context.Context, parent *execution, out outgoingCall, position request.Sequence, r responseWriter) result {
	account := sharedAccount{mu: &parent.mu, account: &parent.account}
	if out.plan.Idempotent {
		// The request's retry budget also limits retries by the backend server itself.
		if parent.markSent(nestedKey{position, out.plan.Fingerprint}) && !account.Spend() {
			return result{outcome: request.Unknown, reason: request.RetriesExhausted}
		}
		return n.runCall(ctx, out, account, r)
	}
	if parent.idempotent || parent.effect == "" {
		return result{outcome: request.NotRun, reason: request.NestedEffect}
	}
	effect, err := session.ParseEffect(parent.effect)
	if err != nil || position == 0 {
		return result{outcome: request.NotRun, reason: request.Malformed}
	}
	c := effectCall{out: out, account: account, maxWait: out.plan.Deadline.Sub(n.clock.now()) + call.WithdrawWait}
	return n.runEffect(ctx, c, r, func(table *session.Sessions, w session.Waiter) session.Decision {
		return table.BeginNested(session.NestedSend{
			Parent:      effect,
			Position:    position,
			Fingerprint: out.plan.Fingerprint,
			Waiter:      w,
		})
	})
}
