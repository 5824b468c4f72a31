package node

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/trace"
)

// sendFunc sends one message to the source of an attempt.
type sendFunc func(*peer.CallResponse) error

// destination is the driver of the admission controller: it admits attempts and runs them on the backend server beside the node.
type destination struct {
	node    *Node
	backend *backend
	health  *backendHealth

	mu         sync.Mutex
	controller *admission.Controller
	decisions  map[request.AttemptID]chan admission.Action
	running    map[request.AttemptID]context.CancelFunc
	drained    chan struct{}
	actions    []admission.Action
}

func newDestination(n *Node) *destination {
	b := n.settings.Backend
	d := &destination{
		node:    n,
		backend: newBackend(n.backendURL, b.Connections),
		controller: admission.New(admission.Settings{
			Slots:  b.Slots,
			WarmUp: b.ColdStart,
		}, n.clock.now()),
		decisions: map[request.AttemptID]chan admission.Action{},
		running:   map[request.AttemptID]context.CancelFunc{},
		drained:   make(chan struct{}),
	}
	d.health = newBackendHealth(n)
	return d
}

// handle passes an event to the admission controller and performs the resulting actions.
func (d *destination) handle(e admission.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyActions(d.controller.Handle(d.node.clock.now(), e, d.actions[:0]))
}

// applyActions delivers actions to their attempts. It must be called with the lock held.
func (d *destination) applyActions(actions []admission.Action) {
	d.actions = actions
	for _, action := range actions {
		switch a := action.(type) {
		case admission.Dispatch:
			d.resolve(a.Attempt, a)
		case admission.Refuse:
			d.resolve(a.Attempt, a)
		case admission.Withdrawn:
			d.resolve(a.Attempt, admission.Refuse{Attempt: a.Attempt, Reason: request.Withdrawn})
		case admission.Abort:
			if cancel, ok := d.running[a.Attempt]; ok {
				cancel()
			}
		case admission.Drained:
			close(d.drained)
		}
	}
}

func (d *destination) resolve(a request.AttemptID, action admission.Action) {
	if decided, ok := d.decisions[a]; ok {
		decided <- action
		delete(d.decisions, a)
	}
}

// admit returns the admission decision for an attempt, after waiting in the queue if it was queued.
func (d *destination) admit(ctx context.Context, arrive admission.Arrive, cancel context.CancelFunc) admission.Action {
	d.mu.Lock()
	result := d.controller.Admit(d.node.clock.now(), arrive)
	var decided chan admission.Action
	switch result.Decision {
	case admission.Queued:
		decided = make(chan admission.Action, 1)
		d.decisions[arrive.Attempt] = decided
		d.running[arrive.Attempt] = cancel
	case admission.Dispatched:
		d.running[arrive.Attempt] = cancel
	}
	if result.Pending {
		d.applyActions(d.controller.Collect(d.actions[:0]))
	}
	d.mu.Unlock()
	switch result.Decision {
	case admission.Dispatched:
		return admission.Dispatch{Attempt: arrive.Attempt}
	case admission.Refused:
		return admission.Refuse{Attempt: arrive.Attempt, Reason: result.Reason, RetryAfter: result.RetryAfter}
	}
	select {
	case action := <-decided:
		return action
	case <-ctx.Done():
		d.handle(admission.Cancel{Attempt: arrive.Attempt})
		return d.lateDecision(arrive.Attempt, decided)
	}
}

// lateDecision returns the decision if it was made before the cancellation, else a refusal.
func (d *destination) lateDecision(a request.AttemptID, decided chan admission.Action) admission.Action {
	select {
	case action := <-decided:
		return action
	default:
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.decisions, a)
		return admission.Refuse{Attempt: a, Reason: request.CallerGone}
	}
}

func (d *destination) removeRunning(a request.AttemptID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, a)
}

// withdraw cancels a queued attempt and reports whether it has not run and will not run.
func (d *destination) withdraw(a request.AttemptID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions := d.controller.Handle(d.node.clock.now(), admission.Withdraw{Attempt: a}, d.actions[:0])
	withdrawn := false
	for _, action := range actions {
		if w, ok := action.(admission.Withdrawn); ok && w.Attempt == a {
			withdrawn = true
		}
	}
	d.applyActions(actions)
	return withdrawn
}

// serveAttempt admits one attempt, runs it and sends its response or a refusal.
func (d *destination) serveAttempt(ctx context.Context, m *peer.CallRequest, send sendFunc) error {
	arrived := d.node.clock.now()
	remaining := time.Duration(m.GetRemainingNs())
	if len(m.GetRequestId()) != len(request.ID{}) || m.GetAttempt() == nil || remaining > maxTimeout {
		return status.Error(codes.InvalidArgument, "the call needs a request ID of 16 bytes, an attempt and a remaining time of at most 60 s")
	}
	losses, err := member.LossesFromProto(m.GetLosses())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	d.node.mergeLosses(m, losses)
	ctx, span := d.node.tracer.Start(trace.Extract(ctx, m.GetTraceparent()), "serve "+m.GetService()+"/"+m.GetOperation())
	defer span.End()
	reason, retryAfter := d.earlyRefusal(m)
	if reason == request.NoReason {
		// A running effect is not aborted when its source disconnects: the session table waits for the outcome.
		ctx, cancel := context.WithTimeout(attemptContext(ctx, m.GetIdempotent()), remaining)
		defer cancel()
		arrive := admission.Arrive{
			Attempt:     attemptID(m.GetAttempt()),
			Priority:    request.Priority(min(m.GetPriority(), uint32(request.PriorityCount-1))),
			Remaining:   remaining,
			Fingerprint: request.Fingerprint(m.GetFingerprint()),
			Suspect:     d.node.isSuspect(request.Fingerprint(m.GetFingerprint())),
		}
		switch action := d.admit(ctx, arrive, cancel).(type) {
		case admission.Dispatch:
			span.SetAttributes(attribute.Int64("queued_ns", int64(d.node.clock.now().Sub(arrived))))
			return d.runAttempt(ctx, m, arrive.Attempt, send)
		case admission.Refuse:
			if action.Reason == request.InProgress {
				// A duplicate of an attempt that has arrived before. A refusal would state that the attempt has not run.
				return status.Error(codes.AlreadyExists, "the attempt has arrived before; its first copy has the response")
			}
			d.removeRunning(arrive.Attempt)
			reason, retryAfter = action.Reason, action.RetryAfter
		}
	}
	span.SetAttributes(attribute.String("refused", reason.String()))
	d.node.metrics.attemptsRefused[reason].Inc(1)
	return send(&peer.CallResponse{Event: &peer.CallResponse_Refusal{Refusal: &peer.Refusal{
		Reason: uint32(reason), RetryAfterNs: int64(retryAfter), Load: d.load(pathLevel{}),
	}}})
}

// mergeLosses merges the stream losses that a source sent with an attempt, if the attempt is for this service.
func (n *Node) mergeLosses(m *peer.CallRequest, losses []quarantine.Loss) {
	if len(losses) == 0 || m.GetService() != string(n.settings.Instance.Service) {
		return
	}
	// Not gossiped from here: the source spreads these losses itself.
	n.mergeQuarantineRecords([]quarantine.Record{{
		Fingerprint: request.Fingerprint(m.GetFingerprint()),
		Service:     n.settings.Instance.Service,
		Losses:      losses,
	}})
}

// attemptContext returns the context, without its cancellation if the call is not idempotent.
func attemptContext(ctx context.Context, idempotent bool) context.Context {
	if idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// earlyRefusal returns the reason to refuse an attempt before admission, or NoReason.
func (d *destination) earlyRefusal(m *peer.CallRequest) (request.Reason, time.Duration) {
	own := d.node.incarnation
	if want := request.Incarnation(m.GetDestinationIncarnation()); want != 0 && want != own {
		return request.NoInstance, 0
	}
	if m.GetService() != string(d.node.settings.Instance.Service) || !d.node.hasConfiguration.Load() {
		return request.NoInstance, 0
	}
	if retryAfter, up := d.health.state(); !up {
		return request.BackendCrashed, retryAfter
	}
	if d.node.quarantineState(request.Fingerprint(m.GetFingerprint())) == quarantine.Quarantined {
		return request.Quarantined, 0
	}
	return request.NoReason, 0
}

// runAttempt dispatches an admitted attempt to the backend server and streams the response to the source.
func (d *destination) runAttempt(ctx context.Context, m *peer.CallRequest, a request.AttemptID, send sendFunc) error {
	started := d.node.clock.now()
	e := d.newExecution(ctx, m)
	d.node.executions.add(e)
	defer d.node.executions.remove(e)
	closeNested, err := d.node.openNestedCalls(e)
	if err != nil {
		d.finishAttempt(a, e, started, dispatchResult{outcome: request.NotRun, reason: request.Malformed})
		return status.Error(codes.InvalidArgument, err.Error())
	}
	defer closeNested()
	backendIncarnation := d.health.incarnation()
	dispatchCtx, span := d.node.tracer.Start(ctx, "backend "+m.GetOperation())
	result := d.backend.dispatch(dispatchCtx, e, m.GetBody(), func(index, code int, contentType string, data []byte) error {
		err := send(partMessage(index, code, contentType, data))
		if !e.idempotent {
			// An effect runs to completion even if its source has disconnected: aborting it could leave it half done.
			return nil
		}
		return err
	})
	span.SetAttributes(attribute.String("outcome", result.outcome.String()))
	span.End()
	if result.reason == request.BackendCrashed && result.outcome == request.Unknown && !d.health.refusesConnections() {
		result.reason = request.ConnectionLost
	}
	crashed := result.reason == request.BackendCrashed
	if crashed {
		d.handleBackendCrash(ctx, m, backendIncarnation, result.outcome)
	}
	d.finishAttempt(a, e, started, result)
	d.node.metrics.attemptsServed[result.outcome].Inc(1)
	if result.outcome == request.NotRun {
		return send(&peer.CallResponse{Event: &peer.CallResponse_Refusal{Refusal: &peer.Refusal{
			Reason: uint32(result.reason), Load: d.load(pathLevel{}),
		}}})
	}
	e.mu.Lock()
	returned, path := e.account.Held(), e.path
	e.mu.Unlock()
	load := d.load(path)
	// After a crash the load names the incarnation of the backend server that crashed, so that each crash counts once.
	load.ServerIncarnation = uint64(backendIncarnation)
	return send(&peer.CallResponse{Event: &peer.CallResponse_End{End: &peer.End{
		Parts:            uint32(result.parts),
		ReturnedAttempts: returned,
		Outcome:          uint32(result.outcome),
		Reason:           uint32(result.reason),
		Load:             load,
		Crashed:          crashed,
	}}})
}

func (d *destination) newExecution(ctx context.Context, m *peer.CallRequest) *execution {
	deadline, _ := ctx.Deadline()
	return &execution{
		requestID:   request.ID(m.GetRequestId()),
		customer:    request.CustomerID(m.GetCustomer()),
		service:     request.ServiceID(m.GetService()),
		operation:   request.Operation(m.GetOperation()),
		contentType: m.GetContentType(),
		priority:    request.Priority(m.GetPriority()),
		deadline:    d.node.clock.instantOf(deadline),
		idempotent:  m.GetIdempotent(),
		effect:      m.GetEffect(),
		depth:       m.GetDepth(),
		account:     budget.NewAccount(m.GetLentAttempts()),
		traceparent: trace.Inject(ctx),
	}
}

// finishAttempt frees the slot and reports the backend server's own time, which excludes nested calls, to the controller.
func (d *destination) finishAttempt(a request.AttemptID, e *execution, started request.Instant, result dispatchResult) {
	e.mu.Lock()
	nested := e.nestedTime
	e.mu.Unlock()
	own := max(0, d.node.clock.now().Sub(started)-nested)
	d.node.metrics.ownTime.Update(int64(own))
	d.handle(admission.Finish{Attempt: a, OwnTime: own, Status: finishStatus(result)})
	d.removeRunning(a)
}

func finishStatus(r dispatchResult) admission.Status {
	switch {
	case r.reason == request.BackendCrashed:
		return admission.Crashed
	case r.outcome == request.Answered:
		return admission.Completed
	case r.outcome == request.Failed:
		return admission.Errored
	}
	return admission.Aborted
}

// handleBackendCrash counts the crash against the request that was in flight. It notifies the other instances of the
// service before it responds to the source, so that the count is known wherever a resend arrives.
func (d *destination) handleBackendCrash(ctx context.Context, m *peer.CallRequest, incarnation request.Incarnation, outcome request.Outcome) {
	if d.health.markDown(incarnation) {
		d.node.log.Warn().Uint64("backend_run", uint64(incarnation)).Msg("backend server closed its connections; refusing attempts until it accepts connections again")
	}
	if outcome == request.NotRun {
		return // the backend server did not receive the request
	}
	d.node.announceCrash(ctx, request.Fingerprint(m.GetFingerprint()), quarantine.Crash{
		Instance:    d.node.settings.Instance.Name,
		Incarnation: incarnation,
	})
}

// load returns the load report that goes with each response; path is the lowest admission level of the nested calls.
func (d *destination) load(path pathLevel) *peer.Load {
	d.mu.Lock()
	l := d.controller.Load()
	d.mu.Unlock()
	if path.service == "" || l.Level <= path.level {
		path = pathLevel{level: l.Level, service: d.node.settings.Instance.Service}
	}
	return &peer.Load{
		Level:       uint32(l.Level),
		PathLevel:   uint32(path.level),
		PathService: string(path.service),
		InFlight:    uint32(l.InFlight),
		Queued:      uint32(l.Queued),
		Limit:       uint32(l.Limit),
	}
}

func partMessage(index, code int, contentType string, data []byte) *peer.CallResponse {
	return &peer.CallResponse{Event: &peer.CallResponse_Part{Part: &peer.Part{
		Index: uint32(index), Data: data, Status: uint32(code), ContentType: contentType,
	}}}
}
