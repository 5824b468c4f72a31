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

// callerHandler serves callers: this node is the first node of their requests.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /session", n.openSession)
	mux.HandleFunc("DELETE /session", n.closeSession)
	mux.HandleFunc("POST /call/{service}/{operation}", n.serveCall)
	return n.boundInput(mux)
}

// openedSession is the response to POST /session.
type openedSession struct {
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
	if reason := n.closed(); reason != request.NoReason {
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
	// A caller that went away opens another session; this one expires.
	_ = json.NewEncoder(w).Encode(openedSession{
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

// intake is a call as the first node has checked it.
type intake struct {
	headers callerHeaders
	policy  template.Policy
	out     outgoing
}

func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	headers, err := parseCallerHeaders(r.Header)
	if err != nil {
		refuseMalformed(w, r, err)
		return
	}
	// A leaving node still answers for the effects that it has a record of.
	if reason := n.closed(); reason != request.NoReason && (reason != request.Draining || headers.ticket == "") {
		refuseEarly(w, r, reason)
		return
	}
	if !n.enter() {
		refuseEarly(w, r, request.LimitReached)
		return
	}
	defer n.exit()
	body, err := n.readBody(w, r)
	if err != nil {
		refuseBody(w, r, err)
		return
	}
	in, reason := n.receive(headers, request.ServiceID(r.PathValue("service")), request.Operation(r.PathValue("operation")), body)
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
	reply := n.newHTTPReply(w, in.out)
	began := n.clock.now()
	res := n.route(ctx, in, reply)
	n.metrics.finished(in.policy.Class, res, n.clock.now().Sub(began))
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
	reply.end(res)
}

// readBody reads the whole body within the bounds on its size and on the time that a slow caller may take.
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
	// The deadline would otherwise end a response that takes longer than it.
	return body, http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// boundInput sets the deadline for the body before the handler runs. Also a body that the handler does not read needs it,
// since the server reads the rest of the body after the response.
func (n *Node) boundInput(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(n.settings.Timeouts.Body)); err != nil {
			refuseMalformed(w, r, MalformedError.Wrap(err))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// receive gives a call its class, priority and deadline from the customer's template.
func (n *Node) receive(h callerHeaders, service request.ServiceID, op request.Operation, body []byte) (intake, request.Reason) {
	policy, reason := n.policy(h.customer, service, op)
	if reason != request.NoReason {
		return intake{}, reason
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
	return intake{headers: h, policy: policy, out: outgoing{
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

// route runs the call in the way that its idempotence asks for.
func (n *Node) route(ctx context.Context, in intake, r reply) result {
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

func (n *Node) runIdempotent(ctx context.Context, in intake, r reply) result {
	if res, refused := n.shed(in.out.plan); refused {
		return res
	}
	return n.runCall(ctx, in.out, n.account(in), r)
}

// shed refuses a call whose path would refuse it further down, before any work is done for it.
func (n *Node) shed(p call.Plan) (result, bool) {
	path, refused := n.routes.shed(n.clock.now(), p)
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

func (n *Node) runTicketed(ctx context.Context, in intake, r reply) result {
	ticket, err := session.ParseTicket(in.headers.ticket)
	if err != nil {
		return result{outcome: request.NotRun, reason: request.Malformed}
	}
	c := n.effectCall(in)
	if ticket.Instance != n.settings.Instance.Name {
		return n.forwardEffect(ctx, c, ticket, n.forwardMessage(ctx, in, c), r)
	}
	return n.runOwnTicket(ctx, c, ticket, in.headers.sequence, uint32(in.headers.attempt), r, false)
}

// runOwnTicket runs an effect under a ticket that names this instance.
func (n *Node) runOwnTicket(ctx context.Context, c effectCall, t session.Ticket, s request.Sequence, sent uint32, r reply, forwarded bool) result {
	c.sheds = true
	return n.runEffect(ctx, c, r, func(table *session.Sessions, w session.Waiter) session.Decision {
		return table.Begin(n.clock.now(), session.Send{
			Ticket:      t,
			Sequence:    s,
			Attempt:     uint16(min(sent, maxAttempt)),
			Fingerprint: c.out.plan.Fingerprint,
			Waiter:      w,
			Forwarded:   forwarded,
		})
	})
}

func (n *Node) runKeyed(ctx context.Context, in intake, r reply) result {
	c := n.effectCall(in)
	return n.runClaimed(ctx, c, session.Claim{
		Customer:  in.headers.customer,
		Key:       in.headers.key,
		FirstSend: in.headers.firstSend(),
		Deadline:  in.out.plan.Deadline,
	}, r)
}

func (n *Node) effectCall(in intake) effectCall {
	return effectCall{
		out:     in.out,
		account: n.account(in),
		limit:   in.out.plan.Deadline.Sub(n.clock.now()) + call.WithdrawWait,
	}
}

// account opens the account of extra attempts; a resend of the same request draws on the account of the first send.
func (n *Node) account(in intake) call.Account {
	n.requestsMu.Lock()
	defer n.requestsMu.Unlock()
	a := n.requests.Open(n.clock.now(), in.headers.customer, in.out.requestID, uint32(in.headers.attempt), uint32(in.policy.ExtraAttempts))
	return sharedAccount{mu: &n.requestsMu, account: a}
}

func (n *Node) forwardMessage(ctx context.Context, in intake, c effectCall) *peer.ForwardRequest {
	return &peer.ForwardRequest{
		Call: &peer.CallRequest{
			RequestId:      in.out.requestID[:],
			Customer:       string(in.out.customer),
			Service:        string(in.out.plan.Service),
			Operation:      string(in.out.plan.Operation),
			Priority:       uint32(in.out.plan.Priority),
			RemainingNs:    int64(c.limit - call.WithdrawWait),
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

// forwarded runs an effect that another node passed on.
func (n *Node) forwarded(ctx context.Context, m *peer.ForwardRequest, send sendFunc) error {
	r := &peerReply{send: send}
	ticket, err := session.ParseTicket(m.GetTicket())
	mc := m.GetCall()
	remaining := time.Duration(mc.GetRemainingNs())
	if err != nil || len(mc.GetRequestId()) != len(request.ID{}) || remaining > maxTimeout {
		r.end(result{outcome: request.NotRun, reason: request.Malformed})
		return nil
	}
	ctx, span := n.tracer.Start(trace.Extract(ctx, mc.GetTraceparent()), "forwarded request")
	defer span.End()
	headers := callerHeaders{customer: request.CustomerID(mc.GetCustomer()), requestID: request.ID(mc.GetRequestId()), contentType: mc.GetContentType()}
	in := intake{
		headers: headers,
		policy:  template.Policy{ExtraAttempts: uint8(min(mc.GetLentAttempts(), 255))},
		out: outgoing{
			plan: call.Plan{
				Service:     request.ServiceID(mc.GetService()),
				Operation:   request.Operation(mc.GetOperation()),
				Priority:    request.Priority(min(mc.GetPriority(), uint32(request.MaxPriority-1))),
				Fingerprint: request.Fingerprint(mc.GetFingerprint()),
				Deadline:    n.clock.now().Add(remaining),
			},
			requestID:   headers.requestID,
			customer:    headers.customer,
			body:        mc.GetBody(),
			contentType: headers.contentType,
		},
	}
	r.end(n.runOwnTicket(ctx, n.effectCall(in), ticket, request.Sequence(m.GetSequence()), m.GetSend(), r, true))
	return nil
}

// closed returns why the node takes no requests of callers, or NoReason.
func (n *Node) closed() request.Reason {
	switch {
	case n.leaving():
		return request.Draining
	case !n.joined.Load():
		return request.NoInstance
	}
	return request.NoReason
}

// earlyOutcome is the outcome of a request that is refused before its effect was looked up. Of an effect that may have been
// sent before, only the record says whether it ran.
func earlyOutcome(h http.Header) request.Outcome {
	isEffect := h.Get(headerTicket) != "" || h.Get(headerKey) != ""
	if h.Get(headerStep) != "" || isEffect && h.Get(headerAttempt) != "1" {
		return request.Unknown
	}
	return request.NotRun
}

func refuseEarly(w http.ResponseWriter, r *http.Request, reason request.Reason) {
	o := earlyOutcome(r.Header)
	writeRefusal(w, refusal{Outcome: o.String(), Reason: reason.String(), Remedy: reason.Remedy()}, statusOf(o, reason))
}

func refuseMalformed(w http.ResponseWriter, r *http.Request, err error) {
	writeRefusal(w, refusal{
		Outcome: earlyOutcome(r.Header).String(),
		Reason:  request.Malformed.String(),
		Remedy:  request.Malformed.Remedy(),
		Message: err.Error(),
	}, http.StatusBadRequest)
}

func refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	writeRefusal(w, refusal{
		Outcome: earlyOutcome(r.Header).String(),
		Reason:  request.Malformed.String(),
		Remedy:  request.Malformed.Remedy(),
		Message: "the body cannot be read: " + err.Error(),
	}, status)
}
