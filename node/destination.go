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

// destination admits attempts and runs them on the backend server beside the node.
type destination struct {
	node    *Node
	backend *backend
	health  *backendHealth

	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[request.AttemptID]chan admission.Action
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
			Slots: b.Slots,
			Ramp:  b.ColdStart,
		}, n.clock.now()),
		waiting: map[request.AttemptID]chan admission.Action{},
		running: map[request.AttemptID]context.CancelFunc{},
		drained: make(chan struct{}),
	}
	d.health = newBackendHealth(n)
	return d
}

// handle applies an event and carries out the actions that follow.
func (d *destination) handle(e admission.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.controller.Handle(d.node.clock.now(), e, d.actions[:0]))
}

// deliver hands actions to the attempts that they concern; the caller holds the lock.
func (d *destination) deliver(actions []admission.Action) {
	d.actions = actions
	for _, action := range actions {
		switch a := action.(type) {
		case admission.Dispatch:
			d.decide(a.Attempt, a)
		case admission.Refuse:
			d.decide(a.Attempt, a)
		case admission.Withdrawn:
			d.decide(a.Attempt, admission.Refuse{Attempt: a.Attempt, Reason: request.Withdrawn})
		case admission.Abort:
			if cancel, ok := d.running[a.Attempt]; ok {
				cancel()
			}
		case admission.Drained:
			close(d.drained)
		}
	}
}

func (d *destination) decide(a request.AttemptID, action admission.Action) {
	if decided, ok := d.waiting[a]; ok {
		decided <- action
		delete(d.waiting, a)
	}
}

// admit returns the decision on an attempt, after the wait in the queue if there is one.
func (d *destination) admit(ctx context.Context, arrive admission.Arrive, cancel context.CancelFunc) admission.Action {
	d.mu.Lock()
	verdict := d.controller.Admit(d.node.clock.now(), arrive)
	var decided chan admission.Action
	switch verdict.Decision {
	case admission.Queued:
		decided = make(chan admission.Action, 1)
		d.waiting[arrive.Attempt] = decided
		d.running[arrive.Attempt] = cancel
	case admission.Dispatched:
		d.running[arrive.Attempt] = cancel
	}
	if verdict.Pending {
		d.deliver(d.controller.Collect(d.actions[:0]))
	}
	d.mu.Unlock()
	switch verdict.Decision {
	case admission.Dispatched:
		return admission.Dispatch{Attempt: arrive.Attempt}
	case admission.Refused:
		return admission.Refuse{Attempt: arrive.Attempt, Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}
	}
	select {
	case action := <-decided:
		return action
	case <-ctx.Done():
		d.handle(admission.Cancel{Attempt: arrive.Attempt})
		return d.lateDecision(arrive.Attempt, decided)
	}
}

// lateDecision returns the decision that was taken before the cancellation, or a refusal.
func (d *destination) lateDecision(a request.AttemptID, decided chan admission.Action) admission.Action {
	select {
	case action := <-decided:
		return action
	default:
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, a)
		return admission.Refuse{Attempt: a, Reason: request.CallerGone}
	}
}

func (d *destination) forget(a request.AttemptID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, a)
}

// withdraw reports whether the attempt has not begun and will not begin.
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
	d.deliver(actions)
	return withdrawn
}

// call runs one attempt from its arrival to its end.
func (d *destination) call(ctx context.Context, m *peer.CallRequest, send sendFunc) error {
	arrived := d.node.clock.now()
	remaining := time.Duration(m.GetRemainingNs())
	if len(m.GetRequestId()) != len(request.ID{}) || m.GetAttempt() == nil || remaining > maxTimeout {
		return status.Error(codes.InvalidArgument, "the call needs a request ID of 16 bytes, an attempt and a remaining time of at most 60 s")
	}
	losses, err := member.FromLosses(m.GetLosses())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	d.node.mergeLosses(m, losses)
	ctx, span := d.node.tracer.Start(trace.Extract(ctx, m.GetTraceparent()), "serve "+m.GetService()+"/"+m.GetOperation())
	defer span.End()
	reason, retryAfter := d.refuseEarly(m)
	if reason == request.NoReason {
		// An effect that began is not aborted with its source: the record of the ticket waits for the outcome.
		ctx, cancel := context.WithTimeout(contextFor(ctx, m.GetIdempotent()), remaining)
		defer cancel()
		arrive := admission.Arrive{
			Attempt:     attemptID(m.GetAttempt()),
			Priority:    request.Priority(min(m.GetPriority(), uint32(request.MaxPriority-1))),
			Remaining:   remaining,
			Fingerprint: request.Fingerprint(m.GetFingerprint()),
			Suspect:     d.node.suspect(request.Fingerprint(m.GetFingerprint())),
		}
		switch action := d.admit(ctx, arrive, cancel).(type) {
		case admission.Dispatch:
			span.SetAttributes(attribute.Int64("queued_ns", int64(d.node.clock.now().Sub(arrived))))
			return d.run(ctx, m, arrive.Attempt, send)
		case admission.Refuse:
			if action.Reason == request.InProgress {
				// A copy of an attempt that is known here; a refusal would claim that the attempt does not run.
				return status.Error(codes.AlreadyExists, "the attempt has arrived before; its first copy has the response")
			}
			d.forget(arrive.Attempt)
			reason, retryAfter = action.Reason, action.RetryAfter
		}
	}
	span.SetAttributes(attribute.String("refused", reason.String()))
	d.node.metrics.refusals[reason].Inc(1)
	return send(&peer.CallResponse{Event: &peer.CallResponse_Refusal{Refusal: &peer.Refusal{
		Reason: uint32(reason), RetryAfterNs: int64(retryAfter), Load: d.load(pathLevel{}),
	}}})
}

// mergeLosses adds the losses that a source sent with an attempt to this service.
func (n *Node) mergeLosses(m *peer.CallRequest, losses []quarantine.Loss) {
	if len(losses) == 0 || m.GetService() != string(n.settings.Instance.Service) {
		return
	}
	// The source passes the losses on by gossip.
	n.mergeCrashes([]quarantine.Record{{
		Fingerprint: request.Fingerprint(m.GetFingerprint()),
		Service:     n.settings.Instance.Service,
		Losses:      losses,
	}})
}

// contextFor keeps the values of the context, and its cancellation only for idempotent calls.
func contextFor(ctx context.Context, idempotent bool) context.Context {
	if idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// refuseEarly returns the reason to refuse an attempt before admission, or NoReason.
func (d *destination) refuseEarly(m *peer.CallRequest) (request.Reason, time.Duration) {
	own := d.node.incarnation
	if want := request.Incarnation(m.GetDestinationIncarnation()); want != 0 && want != own {
		return request.NoInstance, 0
	}
	if m.GetService() != string(d.node.settings.Instance.Service) || !d.node.joined.Load() {
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

// run dispatches an admitted attempt and streams the response.
func (d *destination) run(ctx context.Context, m *peer.CallRequest, a request.AttemptID, send sendFunc) error {
	began := d.node.clock.now()
	e := d.newExecution(ctx, m)
	d.node.executions.add(e)
	defer d.node.executions.remove(e)
	closeNested, err := d.node.openNested(e)
	if err != nil {
		d.finish(a, e, began, dispatchResult{outcome: request.NotRun, reason: request.Malformed})
		return status.Error(codes.InvalidArgument, err.Error())
	}
	defer closeNested()
	backendRun := d.health.run()
	dispatchCtx, span := d.node.tracer.Start(ctx, "backend "+m.GetOperation())
	result := d.backend.dispatch(dispatchCtx, e, m.GetBody(), func(index, code int, contentType string, data []byte) error {
		err := send(partMessage(index, code, contentType, data))
		if !e.idempotent {
			// An effect runs to its end although its source is gone: an interrupted one may be half done.
			return nil
		}
		return err
	})
	span.SetAttributes(attribute.String("outcome", result.outcome.String()))
	span.End()
	if result.reason == request.BackendCrashed && result.outcome == request.Unknown && !d.health.confirmCrash() {
		result.reason = request.ConnectionLost
	}
	crashed := result.reason == request.BackendCrashed
	if crashed {
		d.backendCrashed(ctx, m, backendRun, result.outcome)
	}
	d.finish(a, e, began, result)
	d.node.metrics.served[result.outcome].Inc(1)
	if result.outcome == request.NotRun {
		return send(&peer.CallResponse{Event: &peer.CallResponse_Refusal{Refusal: &peer.Refusal{
			Reason: uint32(result.reason), Load: d.load(pathLevel{}),
		}}})
	}
	e.mu.Lock()
	returned, path := e.account.Held(), e.path
	e.mu.Unlock()
	load := d.load(path)
	// After a crash the load names the run of the backend server that crashed, so that each crash counts once.
	load.ServerIncarnation = uint64(backendRun)
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
		deadline:    d.node.clock.at(deadline),
		idempotent:  m.GetIdempotent(),
		effect:      m.GetEffect(),
		depth:       m.GetDepth(),
		account:     budget.NewAccount(m.GetLentAttempts()),
		traceparent: trace.Inject(ctx),
	}
}

// finish frees the slot and tells the controller how long the backend server itself worked.
func (d *destination) finish(a request.AttemptID, e *execution, began request.Instant, result dispatchResult) {
	e.mu.Lock()
	nested := e.nestedTime
	e.mu.Unlock()
	own := max(0, d.node.clock.now().Sub(began)-nested)
	d.node.metrics.ownTime.Update(int64(own))
	d.handle(admission.Finish{Attempt: a, OwnTime: own, Status: finishStatus(result)})
	d.forget(a)
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

// backendCrashed counts the crash against the request that was in flight, and tells the instances of the service before
// the source hears of it, so that a resend meets the count wherever it arrives.
func (d *destination) backendCrashed(ctx context.Context, m *peer.CallRequest, run request.Incarnation, outcome request.Outcome) {
	if d.health.crashed(run) {
		d.node.log.Warn().Uint64("backend_run", uint64(run)).Msg("backend server closed its connections; waiting until it accepts calls again")
	}
	if outcome == request.NotRun {
		return // the request never reached the backend server
	}
	d.node.reportCrash(ctx, request.Fingerprint(m.GetFingerprint()), quarantine.Crash{
		Instance:    d.node.settings.Instance.Name,
		Incarnation: run,
	})
}

// load returns what sources learn with each response; path is the lowest level of the nested calls.
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
