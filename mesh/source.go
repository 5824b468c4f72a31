package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/ingress"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

const (
	// maxRefusals is the number of gates that may refuse a request before it is refused to the client.
	maxRefusals = 4
	// defaultTimeout is the timeout of requests that do not specify one.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is the delay after which clients of a node without a configuration should resend.
	startRetryAfter = 300 * time.Millisecond
	// clientResendShare tells resends by clients from new requests: the timeout of a resend is less than this share of the
	// longest timeout seen on its route.
	clientResendShare = 0.9
)

// outboundRequest is the state of one request received by the outbound listener, from its arrival to its response.
type outboundRequest struct {
	attempt
	route          *routing.Route
	parent         string // id of the running request that makes this call, or empty
	arrived        request.Instant
	timeout        time.Duration
	isClientResend bool
	bufferedBody   *bytes.Reader // the buffered body, or nil if it cannot be sent again

	excluded        []netip.Addr
	refusals        int
	backendAttempts int // attempts that reached, or may have reached, a backend server
	// mayHaveRun is set after an attempt that cannot be proven not to have run.
	mayHaveRun    bool
	retryAfter    time.Duration // when the client should resend if the request is refused, or 0 to choose a time
	denial        retryDenial   // why an attempt that may have run was not retried
	errorResponse *responded    // error response of an earlier attempt, returned if its retry fails
}

// Handle implements ingress.Handler.
func (n *Node) Handle(ctx context.Context, r *http.Request) *ingress.Response {
	arrived := n.now()
	c := n.configuration.Load()
	if c == nil {
		return n.refuse(&outboundRequest{attempt: attempt{id: n.headers.ReadRequest(r.Header).ID}}, "no_configuration", startRetryAfter)
	}
	route, ok := c.Match(r.Host, routedPath(r))
	if !ok {
		n.log.Info().Str("event", "no_route").Str("host", r.Host).Str("path", r.URL.Path).Int64("config_version", int64(c.Version)).
			Msg("no route matches the request")
		return ingress.NewResponse(http.StatusNotFound, nil, "no route has this host and path\n")
	}
	if err := setTarget(&url.URL{}, r.RequestURI); err != nil {
		n.log.Info().Str("event", "bad_target").Str("host", r.Host).Err(err).Msg("request target cannot be forwarded unchanged; refused with status 400")
		return ingress.NewResponse(http.StatusBadRequest, nil, err.Error()+"\n")
	}
	req := n.newOutboundRequest(r, c, route, arrived)
	if req.parent == "" {
		if refused := n.admitRoot(req); refused != nil {
			return refused
		}
	}
	ctx, cancelTimeout := context.WithTimeout(ctx, req.deadline.Sub(n.now()))
	stopAbort := context.AfterFunc(n.aborted, cancelTimeout)
	cancel := func() {
		stopAbort()
		cancelTimeout()
	}
	body, beginning, err := bufferBody(r)
	if err != nil {
		cancel()
		n.logEnd(req, "unreadable", http.StatusBadRequest, err)
		return ingress.NewResponse(http.StatusBadRequest, nil, "the body cannot be read\n")
	}
	req.body, req.length = body, r.ContentLength
	req.bufferedBody, _ = body.(*bytes.Reader)
	req.content = request.HTTPFingerprintOf(req.method, req.host, req.target, beginning)
	response := n.runAttempts(ctx, req)
	finish := response.Finish
	response.Finish = func(err error) {
		cancel()
		if finish != nil {
			finish(err)
		}
	}
	return response
}

// routedPath returns the path by which the route is chosen, as the client sent it: an encoded slash is part of a name and separates none.
func routedPath(r *http.Request) string {
	if path, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return r.URL.EscapedPath() // of a target with scheme and host
}

// newOutboundRequest builds the state of a request. A call made by a running request inherits its rank, deadline and retry
// state.
func (n *Node) newOutboundRequest(r *http.Request, c *routing.Configuration, route *routing.Route, arrived request.Instant) *outboundRequest {
	info := n.headers.ReadRequest(r.Header)
	timeout := info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
		n.metrics.withoutDeadline.Inc(1)
	}
	req := &outboundRequest{
		attempt: attempt{
			id: info.ID, method: r.Method, target: r.RequestURI, host: r.Host, header: forwardedHeaders(r.Header),
			route: route.ID, rank: route.Rank, isIdempotent: route.IsIdempotent,
			service: n.splitter.Pick(c.Version, route),
		},
		route: route, arrived: arrived, timeout: timeout,
	}
	n.headers.WriteCaller(req.header, *n.service.Load())
	req.deadline = arrived.Add(timeout)
	if route.Timeout > 0 && route.Timeout < timeout {
		req.deadline = arrived.Add(route.Timeout)
	}
	if execution, parent, ok := n.executions.Parent(req.id); ok {
		req.parent, req.isCall, req.rank, req.isRetry = parent, true, execution.Rank, execution.IsRetry
		req.deadline = min(req.deadline, execution.Deadline)
	}
	return req
}

// admitRoot decides whether a new request is admitted, and returns nil if it is.
func (n *Node) admitRoot(req *outboundRequest) *ingress.Response {
	req.isClientResend = n.rates.countRequest(req.route.ID, req.timeout)
	n.plannerMu.Lock()
	ok := n.planner.Admit(req.route.ID)
	n.plannerMu.Unlock()
	if ok {
		return nil
	}
	return n.refuse(req, "overload", 0)
}

// chooseTarget chooses the instance for the next attempt.
func (n *Node) chooseTarget(req *outboundRequest) (placement.Target, bool) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if req.isCall {
		return n.planner.PlaceCall(req.service, req.excluded)
	}
	return n.planner.PlaceRequest(req.route.ID, req.service, req.excluded)
}

// runAttempts sends the request to one instance after another until one responds or no further attempt is allowed.
func (n *Node) runAttempts(ctx context.Context, req *outboundRequest) *ingress.Response {
	if req.isRetry {
		n.chargeRepeat(req.service)
	}
	for {
		state, remaining := n.quarantineState(req.content)
		if state == quarantine.Quarantined {
			req.retryAfter = remaining
			return n.failRequest(ctx, req, gate.Quarantined.String(), nil)
		}
		req.crashes = n.crashesAbout(req.content)
		t, ok := n.chooseTarget(req)
		if !ok {
			return n.failRequest(ctx, req, "no_instance", nil)
		}
		if req.bufferedBody != nil {
			_, _ = req.bufferedBody.Seek(0, io.SeekStart) // cannot fail for a bytes.Reader
		}
		began := n.now()
		switch o := n.send(ctx, req.attempt, t).(type) {
		case responded:
			n.metrics.countArrival(req)
			n.noteDeparture(t, o)
			if n.mayRetryFailure(req, o) {
				req.errorResponse = &o
				req.backendAttempts++
				req.excluded = append(req.excluded, t.Address)
				req.isRetry = true
				n.logAttempt(req, t, "repeat", "backend server failed", began)
				continue
			}
			n.discardErrorResponse(req)
			return n.respond(req, t, o)
		case notRun:
			n.recordRefusal(req, t, o)
			n.logAttempt(req, t, "not_run", o.reason.String(), began)
			req.excluded = append(req.excluded, t.Address)
			req.refusals++
			if o.reason == gate.Quarantined {
				req.retryAfter = o.wait
			}
			if !n.mayRetryNotRun(ctx, req, o) {
				return n.failRequest(ctx, req, o.reason.String(), nil)
			}
		case broken:
			n.logAttempt(req, t, "broken", o.err.Error(), began)
			n.metrics.countArrival(req)
			req.backendAttempts++
			req.mayHaveRun = true
			n.mergeCrashes(o.crashes)
			req.excluded = append(req.excluded, t.Address)
			if req.denial = n.denyRetry(ctx, req); req.denial != "" {
				return n.failRequest(ctx, req, "broken", o.err)
			}
			req.isRetry = true
		}
	}
}

// hasUnbufferedBody reports whether the request has an unbuffered body, which cannot be sent again.
func (req *outboundRequest) hasUnbufferedBody() bool {
	return req.body != nil && req.bufferedBody == nil
}

// recordRefusal updates the fleet table with what a refusal reveals about the instance, ahead of gossip.
func (n *Node) recordRefusal(req *outboundRequest, t placement.Target, o notRun) {
	if o.isBackendRefusal {
		n.metrics.countArrival(req)
		req.backendAttempts++
	}
	var health fleet.Health
	switch o.reason {
	case gate.Leaving:
		health = fleet.Leaving
	case gate.Down, gate.UnknownServer:
		health = fleet.Down
	default:
		return
	}
	if t.IsSelf {
		return
	}
	n.fleetMu.Lock()
	n.fleet.SetHealth(n.now(), t.Address, health)
	n.fleetMu.Unlock()
}

// mayRetryNotRun reports whether to send a request whose attempt did not run to another instance.
func (n *Node) mayRetryNotRun(ctx context.Context, req *outboundRequest, o notRun) bool {
	if ctx.Err() != nil || req.refusals >= maxRefusals || req.hasUnbufferedBody() || o.reason == gate.Quarantined {
		return false
	}
	if !o.isBackendRefusal {
		return true
	}
	return req.backendAttempts < req.route.MaxAttempts && n.takeRetry(req.service)
}

// retryDenial is the reason not to retry an attempt that may have run; the empty value allows the retry.
type retryDenial string

const (
	deniedClientGone     retryDenial = "client_gone"
	deniedNotIdempotent  retryDenial = "not_repeatable"
	deniedMaxAttempts    retryDenial = "max_attempts"
	deniedUnbufferedBody retryDenial = "body_not_kept"
	deniedNestedRetry    retryDenial = "part_of_a_repeat"
	deniedRetryBudget    retryDenial = "retry_budget"
	deniedSuspect        retryDenial = "may_crash_servers"
)

// denyRetry decides whether to retry an attempt that may have run, and charges an allowed retry to the retry budget.
func (n *Node) denyRetry(ctx context.Context, req *outboundRequest) retryDenial {
	switch {
	case ctx.Err() != nil:
		return deniedClientGone
	case !req.isIdempotent:
		return deniedNotIdempotent
	case req.backendAttempts >= req.route.MaxAttempts:
		return deniedMaxAttempts
	case req.hasUnbufferedBody():
		return deniedUnbufferedBody
	case req.isRetry:
		return deniedNestedRetry
	case n.isSuspect(req.content):
		return deniedSuspect
	case !n.takeRetry(req.service):
		return deniedRetryBudget
	}
	return ""
}

// mayRetryFailure reports whether to retry after an error response that the backend server itself caused, and charges the
// retry to the retry budget.
func (n *Node) mayRetryFailure(req *outboundRequest, o responded) bool {
	if !o.isOwnFailure || o.status == http.StatusGatewayTimeout || req.errorResponse != nil || !req.isIdempotent || o.length < 0 || o.length > maxBufferedResponseBytes {
		return false
	}
	if req.backendAttempts+1 >= req.route.MaxAttempts || req.isRetry || req.hasUnbufferedBody() {
		return false
	}
	// A retry runs all nested calls again, so it needs about as much time as has already passed.
	return req.deadline.Sub(n.now()) > n.now().Sub(req.arrived) && n.takeRetry(req.service)
}

// takeRetry takes one retry from the budget of the service, if there is one left.
func (n *Node) takeRetry(s request.ServiceID) bool {
	n.retryBudgetMu.Lock()
	defer n.retryBudgetMu.Unlock()
	ok := n.retryBudget.Allow(n.now(), s)
	if ok {
		n.metrics.retries.Inc(1)
	} else {
		n.metrics.retriesDenied.Inc(1)
	}
	return ok
}

// chargeRepeat charges the retry budget of a service for a call of a run that is itself a repeat.
func (n *Node) chargeRepeat(s request.ServiceID) {
	n.retryBudgetMu.Lock()
	defer n.retryBudgetMu.Unlock()
	n.retryBudget.Charge(n.now(), s)
}

// discardErrorResponse discards the saved error response of an earlier attempt.
func (n *Node) discardErrorResponse(req *outboundRequest) {
	if req.errorResponse != nil {
		_ = req.errorResponse.body.Close()
		req.errorResponse = nil
	}
}

// respond returns a response of the backend server to the client.
func (n *Node) respond(req *outboundRequest, t placement.Target, o responded) *ingress.Response {
	n.recordCost(req, o)
	if o.status < http.StatusInternalServerError {
		n.retryBudgetMu.Lock()
		n.retryBudget.RecordSuccess(n.now(), req.service)
		n.retryBudgetMu.Unlock()
	} else if req.parent != "" {
		n.executions.FailCall(req.parent)
	}
	n.metrics.countRequest(req, o.status, n.now())
	n.logResponse(req, t, o.status)
	return &ingress.Response{Status: o.status, Header: o.header, Body: o.body, Length: o.length, Finish: func(err error) {
		if err != nil {
			n.logEnd(req, "client_gone", o.status, err)
		}
	}}
}

// recordCost adds the cost of a call to the running request that made it, and the cost of a successful call tree to its
// route. A failed tree may have skipped calls and would underestimate the cost.
func (n *Node) recordCost(req *outboundRequest, o responded) {
	if req.parent != "" {
		n.executions.AddCost(req.parent, o.cost)
		return
	}
	if o.status >= http.StatusMultipleChoices {
		return
	}
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	n.costs.Observe(req.route.ID, o.cost)
}

// failRequest ends a request for which no further attempt is possible or allowed: with the error response of an earlier
// attempt if there is one, with 503 if it did not run, and with 502 or 504 if it may have run.
func (n *Node) failRequest(ctx context.Context, req *outboundRequest, reason string, err error) *ingress.Response {
	if req.parent != "" {
		n.executions.FailCall(req.parent)
	}
	if req.errorResponse != nil {
		o := *req.errorResponse
		n.metrics.countRequest(req, o.status, n.now())
		n.logEnd(req, "failed", o.status, err)
		return &ingress.Response{Status: o.status, Header: o.header, Body: o.body, Length: o.length}
	}
	if !req.mayHaveRun {
		return n.refuse(req, reason, req.retryAfter)
	}
	status := http.StatusBadGateway
	switch {
	case n.aborted.Err() != nil:
		reason = "stopping"
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = "client_gone"
		}
	}
	n.metrics.countRequest(req, status, n.now())
	n.logEnd(req, reason, status, err)
	return ingress.NewResponse(status, nil, "the request may have run: "+reason+"\n")
}

// refuse responds that the request has not run and when to resend it; a zero delay chooses one within the client's remaining
// time.
func (n *Node) refuse(req *outboundRequest, reason string, after time.Duration) *ingress.Response {
	h := http.Header{}
	if after == 0 {
		remaining := req.timeout - n.now().Sub(req.arrived)
		n.plannerMu.Lock()
		after = placement.RetryAfter(remaining, n.rng)
		n.plannerMu.Unlock()
	}
	n.headers.WriteRetryAfter(h, after)
	n.metrics.countRequest(req, http.StatusServiceUnavailable, n.now())
	n.logRefusal(req, reason, after)
	return ingress.NewResponse(http.StatusServiceUnavailable, h, "the request has not run: "+reason+"\n")
}
