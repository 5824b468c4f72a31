package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/template"
	"github.com/sapphiretack/sapphiretack/trace"
)

// callerHandler serves callers; this node is the first node on the path of their requests.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /session", n.openSession)
	mux.HandleFunc("DELETE /session", n.closeSession)
	mux.HandleFunc("POST /call/{service}/{operation}", n.serveCall)
	return n.withBodyDeadline(mux)
}

// sessionResponse is the response to POST /session.
type sessionResponse struct {
	Ticket   string `json:"ticket"`
	Instance string `json:"instance"`
	Window   int    `json:"window"`
}

func (n *Node) openSession(w http.ResponseWriter, r *http.Request) {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		refuseMalformed(w, r, MalformedError.New("remote address %q: %v; connect by IP", r.RemoteAddr, err))
		return
	}
	if reason := n.unavailableReason(); reason != request.NoReason {
		refuseEarly(w, r, reason)
		return
	}
	n.sessions.mu.Lock()
	ticket, err := n.sessions.table.Open(n.clock.now(), address.Addr())
	n.sessions.mu.Unlock()
	if err != nil {
		refuseEarly(w, r, request.LimitReached)
		return
	}
	w.Header().Set(headerContentType, "application/json")
	w.WriteHeader(http.StatusCreated)
	// If the caller disconnected, it opens a new session and this one expires.
	_ = json.NewEncoder(w).Encode(sessionResponse{
		Ticket:   ticket.String(),
		Instance: string(n.settings.Instance.Name),
		Window:   session.Window,
	})
}

func (n *Node) closeSession(w http.ResponseWriter, r *http.Request) {
	ticket, err := session.ParseTicket(r.Header.Get(headerTicket))
	if err != nil {
		refuseMalformed(w, r, err)
		return
	}
	n.sessions.mu.Lock()
	closed := n.sessions.table.Close(ticket)
	n.sessions.mu.Unlock()
	if !closed {
		http.Error(w, "effects run under the ticket; close the session when they have ended", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// incomingCall is a validated call from a caller, with its policy.
type incomingCall struct {
	headers callerHeaders
	policy  template.Policy
	out     outgoingCall
}

func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	headers, err := parseCallerHeaders(r.Header)
	if err != nil {
		refuseMalformed(w, r, err)
		return
	}
	// A leaving node still returns the outcomes of the effects that its session table holds.
	if reason := n.unavailableReason(); reason != request.NoReason && (reason != request.Draining || headers.ticket == "") {
		refuseEarly(w, r, reason)
		return
	}
	if !n.beginRequest() {
		refuseEarly(w, r, request.LimitReached)
		return
	}
	defer n.endRequest()
	body, err := n.readBody(w, r)
	if err != nil {
		refuseUnreadableBody(w, r, err)
		return
	}
	in, reason := n.newIncomingCall(headers, request.ServiceID(r.PathValue("service")), request.Operation(r.PathValue("operation")), body)
	if reason != request.NoReason {
		refuseEarly(w, r, reason)
		return
	}
	ctx, span := n.tracer.Start(trace.Extract(r.Context(), headers.traceparent), "request",
		oteltrace.WithAttributes(
			attribute.String("request_id", in.out.requestID.String()),
			attribute.String("customer", string(headers.customer)),
			attribute.String("class", in.policy.Class.String()),
			attribute.Int("priority", int(in.out.plan.Priority)),
		))
	defer span.End()
	rw := n.newHTTPResponseWriter(w, in.out)
	started := n.clock.now()
	res := n.runRequest(ctx, in, rw)
	n.metrics.recordRequest(in.policy.Class, res, n.clock.now().Sub(started))
	span.SetAttributes(attribute.String("outcome", res.outcome.String()), attribute.String("reason", res.reason.String()))
	n.log.Debug().
		Str("request_id", in.out.requestID.String()).
		Str("customer", string(headers.customer)).
		Str("service", string(in.out.plan.Service)).
		Str("zone", string(n.settings.Instance.Zone)).
		Str("trace_id", span.SpanContext().TraceID().String()).
		Str("outcome", res.outcome.String()).
		Str("reason", res.reason.String()).
		Msg("request ended")
	rw.end(res)
}

// readBody reads the complete body, limited to limits.body_bytes and by the read deadline that withBodyDeadline set.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := int64(n.settings.Limits.BodyBytes)
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, err
	}
	// Clears the read deadline; it would abort a response that takes longer.
	return body, http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// withBodyDeadline sets the read deadline for the body before the handler runs. The deadline also applies to a body that
// the handler does not read, because the server reads the rest of the body after the response.
func (n *Node) withBodyDeadline(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(n.settings.Timeouts.Body)); err != nil {
			refuseMalformed(w, r, MalformedError.Wrap(err))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// newIncomingCall applies the policy of the customer's template: class, priority, timeout and extra attempts. A call above
// the customer's rate gets a lower priority.
func (n *Node) newIncomingCall(h callerHeaders, service request.ServiceID, op request.Operation, body []byte) (incomingCall, request.Reason) {
	policy, reason := n.policy(h.customer, service, op)
	if reason != request.NoReason {
		return incomingCall{}, reason
	}
	id := h.requestID
	if id.IsZero() {
		id = n.newRequestID()
	}
	timeout := policy.Timeout
	if h.timeout > 0 {
		timeout = min(timeout, h.timeout)
	}
	now := n.clock.now()
	priority := request.PriorityOf(policy.Class, id)
	if !n.rates.allow(now, h.customer, policy.RatePerSecond) {
		priority = priority.Demote()
	}
	return incomingCall{headers: h, policy: policy, out: outgoingCall{
		plan: call.Plan{
			Service:     service,
			Operation:   op,
			Priority:    priority,
			Fingerprint: request.FingerprintOf(h.customer, service, op, body),
			Deadline:    now.Add(timeout),
			Idempotent:  policy.Idempotent,
		},
		requestID:   id,
		customer:    h.customer,
		body:        body,
		contentType: h.contentType,
	}}, request.NoReason
}

// runRequest runs an idempotent call directly, and other calls under their ticket or idempotency key.
func (n *Node) runRequest(ctx context.Context, in incomingCall, r responseWriter) result {
	switch {
	case in.policy.Idempotent:
		return n.runIdempotent(ctx, in, r)
	case in.headers.ticket != "":
		return n.runTicketed(ctx, in, r)
	case in.headers.key != "":
		return n.runKeyed(ctx, in, r)
	}
	return result{outcome: request.NotRun, reason: request.Malformed}
}

func (n *Node) runIdempotent(ctx context.Context, in incomingCall, r responseWriter) result {
	if res, refused := n.shed(in.out.plan); refused {
		return res
	}
	return n.runCall(ctx, in.out, n.account(in), r)
}

// shed refuses a call that a service further along its path would refuse, before any work is spent on it.
func (n *Node) shed(p call.Plan) (result, bool) {
	path, refused := n.routes.shouldShed(n.clock.now(), p)
	if !refused {
		return result{}, false
	}
	return result{
		outcome:    request.NotRun,
		reason:     request.EarlyShed,
		retryAfter: n.retryDelay(),
		path:       path,
	}, true
}

func (n *Node) runTicketed(ctx context.Context, in incomingCall, r responseWriter) result {
	ticket, err := session.ParseTicket(in.headers.ticket)
	if err != nil {
		return result{outcome: request.NotRun, reason: request.Malformed}
	}
	c := n.newEffectCall(in)
	if ticket.Instance != n.settings.Instance.Name {
		return n.forwardEffect(ctx, c, ticket, n.newForwardRequest(ctx, in, c), r)
	}
	return n.runLocalTicket(ctx, c, ticket, in.headers.sequence, uint32(in.headers.attempt), r, false)
}

// runLocalTicket runs an effect under a ticket that names this instance; the session table refuses a ticket that an earlier
// incarnation issued.
func (n *Node) runLocalTicket(ctx context.Context, c effectCall, t session.Ticket, s request.Sequence, attempt uint32, r responseWriter, forwarded bool) result {
	c.canShed = true
	return n.runEffect(ctx, c, r, func(table *session.Sessions, w session.Waiter) session.Decision {
		return table.Begin(n.clock.now(), session.Send{
			Ticket:      t,
			Sequence:    s,
			Attempt:     uint16(min(attempt, maxAttempt)),
			Fingerprint: c.out.plan.Fingerprint,
			Waiter:      w,
			Forwarded:   forwarded,
		})
	})
}

func (n *Node) runKeyed(ctx context.Context, in incomingCall, r responseWriter) result {
	c := n.newEffectCall(in)
	return n.runClaimed(ctx, c, session.Claim{
		Customer:  in.headers.customer,
		Key:       in.headers.key,
		FirstSend: in.headers.firstSend(),
		Deadline:  in.out.plan.Deadline,
	}, r)
}

func (n *Node) newEffectCall(in incomingCall) effectCall {
	return effectCall{
		out:     in.out,
		account: n.account(in),
		maxWait: in.out.plan.Deadline.Sub(n.clock.now()) + call.WithdrawWait,
	}
}

// account returns the retry budget of the request; resends of a request share the budget of the first send.
func (n *Node) account(in incomingCall) call.Account {
	n.retryBudgetsMu.Lock()
	defer n.retryBudgetsMu.Unlock()
	a := n.retryBudgets.Open(n.clock.now(), in.headers.customer, in.out.requestID, uint32(in.headers.attempt), uint32(in.policy.ExtraAttempts))
	return sharedAccount{mu: &n.retryBudgetsMu, account: a}
}

func (n *Node) newForwardRequest(ctx context.Context, in incomingCall, c effectCall) *peer.ForwardRequest {
	return &peer.ForwardRequest{
		Call: &peer.CallRequest{
			RequestId:      in.out.requestID[:],
			Customer:       string(in.out.customer),
			Service:        string(in.out.plan.Service),
			Operation:      string(in.out.plan.Operation),
			Priority:       uint32(in.out.plan.Priority),
			RemainingNs:    int64(c.maxWait - call.WithdrawWait),
			Fingerprint:    uint64(in.out.plan.Fingerprint),
			Body:           in.out.body,
			ContentType:    in.out.contentType,
			SourceInstance: string(n.settings.Instance.Name),
			Traceparent:    trace.Inject(ctx),
			LentAttempts:   uint32(in.policy.ExtraAttempts),
		},
		Ticket:   in.headers.ticket,
		Sequence: uint64(in.headers.sequence),
		Send:     uint32(in.headers.attempt),
	}
}

// serveForward runs an effect that another node forwarded.
func (n *Node) serveForward(ctx context.Context, m *peer.ForwardRequest, send sendFunc) error {
	r := &peerResponseWriter{send: send}
	ticket, err := session.ParseTicket(m.GetTicket())
	callRequest := m.GetCall()
	remaining := time.Duration(callRequest.GetRemainingNs())
	if err != nil || len(callRequest.GetRequestId()) != len(request.ID{}) || remaining > maxTimeout {
		r.end(result{outcome: request.NotRun, reason: request.Malformed})
		return nil
	}
	ctx, span := n.tracer.Start(trace.Extract(ctx, callRequest.GetTraceparent()), "forwarded request")
	defer span.End()
	headers := callerHeaders{customer: request.CustomerID(callRequest.GetCustomer()), requestID: request.ID(callRequest.GetRequestId()), contentType: callRequest.GetContentType()}
	in := incomingCall{
		headers: headers,
		policy:  template.Policy{ExtraAttempts: uint8(min(callRequest.GetLentAttempts(), 255))},
		out: outgoingCall{
			plan: call.Plan{
				Service:     request.ServiceID(callRequest.GetService()),
				Operation:   request.Operation(callRequest.GetOperation()),
				Priority:    request.Priority(min(callRequest.GetPriority(), uint32(request.PriorityCount-1))),
				Fingerprint: request.Fingerprint(callRequest.GetFingerprint()),
				Deadline:    n.clock.now().Add(remaining),
			},
			requestID:   headers.requestID,
			customer:    headers.customer,
			body:        callRequest.GetBody(),
			contentType: headers.contentType,
		},
	}
	r.end(n.runLocalTicket(ctx, n.newEffectCall(in), ticket, request.Sequence(m.GetSequence()), m.GetSend(), r, true))
	return nil
}

// unavailableReason returns the reason why the node does not accept requests from callers, or NoReason.
func (n *Node) unavailableReason() request.Reason {
	switch {
	case n.leaving():
		return request.Draining
	case !n.hasConfiguration.Load():
		return request.NoInstance
	}
	return request.NoReason
}

// earlyOutcome returns the outcome of a request that is refused before its effect was looked up. For an effect that may
// have been sent before, only the session table or the claim knows whether it ran, so the outcome is Unknown.
func earlyOutcome(h http.Header) request.Outcome {
	isEffect := h.Get(headerTicket) != "" || h.Get(headerKey) != ""
	if h.Get(headerStep) != "" || isEffect && h.Get(headerAttempt) != "1" {
		return request.Unknown
	}
	return request.NotRun
}

func refuseEarly(w http.ResponseWriter, r *http.Request, reason request.Reason) {
	o := earlyOutcome(r.Header)
	writeErrorResponse(w, errorResponse{Outcome: o.String(), Reason: reason.String(), Remedy: reason.Remedy()}, statusOf(o, reason))
}

func refuseMalformed(w http.ResponseWriter, r *http.Request, err error) {
	writeErrorResponse(w, errorResponse{
		Outcome: earlyOutcome(r.Header).String(),
		Reason:  request.Malformed.String(),
		Remedy:  request.Malformed.Remedy(),
		Message: err.Error(),
	}, http.StatusBadRequest)
}

func refuseUnreadableBody(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	writeErrorResponse(w, errorResponse{
		Outcome: earlyOutcome(r.Header).String(),
		Reason:  request.Malformed.String(),
		Remedy:  request.Malformed.Remedy(),
		Message: "the body cannot be read: " + err.Error(),
	}, status)
}
