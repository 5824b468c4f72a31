package node

import (
	"context"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
	"github.com/sapphiretack/sapphiretack/trace"
)

const (
	// eventBacklog lets an attempt hand over a few parts before the caller took the former ones; the rest waits in gRPC.
	eventBacklog = 4
	// withdrawTimeout is the longest wait for a withdraw reply; the call machine itself waits no longer.
	withdrawTimeout = call.WithdrawWait
)

// outgoing is a call that the node is the source of.
type outgoing struct {
	plan        call.Plan
	requestID   request.ID
	customer    request.CustomerID
	body        []byte
	contentType string
	effect      string
	depth       uint32
}

// sink receives the parts of a response in order; an error means that the receiver is gone.
type sink interface {
	part(status int, contentType string, data []byte) error
}

// result tells how a call ended.
type result struct {
	outcome    request.Outcome
	reason     request.Reason
	retryAfter time.Duration
	cut        bool
	path       pathLevel
	attempts   int
}

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

// attemptEvent is an event of one attempt, with the message that caused it.
type attemptEvent struct {
	event call.Event
	part  *peer.Part
	load  *peer.Load
}

// attempt is an attempt in flight.
type attempt struct {
	choice   route.Choice
	cancel   context.CancelFunc
	observed bool
}

// conversation runs the machine of one call: it turns the streams of its attempts into events and carries out the actions.
type conversation struct {
	node     *Node
	ctx      context.Context
	out      outgoing
	sink     sink
	machine  *call.Call
	group    errgroup.Group
	events   chan attemptEvent
	finished chan struct{}
	attempts map[request.AttemptID]*attempt
	timer    *time.Timer
	actions  []call.Action
	result   result
	done     bool
}

// converse sends a call and passes the parts of the response to the sink; it returns when the call has ended.
func (n *Node) converse(ctx context.Context, out outgoing, account call.Account, s sink) result {
	ctx, span := n.tracer.Start(ctx, "call "+string(out.plan.Service)+"/"+string(out.plan.Operation))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	c := &conversation{
		node:     n,
		ctx:      ctx,
		out:      out,
		sink:     s,
		events:   make(chan attemptEvent, eventBacklog),
		finished: make(chan struct{}),
		attempts: map[request.AttemptID]*attempt{},
		timer:    time.NewTimer(maxTimeout),
	}
	c.machine = call.New(out.plan, call.Dependencies{
		Router:      n.routes,
		Account:     account,
		Limiter:     n.ratio,
		NextAttempt: n.nextAttempt,
	})
	c.loop()
	cancel()
	close(c.finished)
	c.timer.Stop()
	// The goroutines of the attempts return no errors; they report events.
	_ = c.group.Wait()
	c.release()
	c.result.attempts = len(c.attempts)
	span.SetAttributes(
		attribute.String("outcome", c.result.outcome.String()),
		attribute.String("reason", c.result.reason.String()),
		attribute.Int("attempts", c.result.attempts),
	)
	return c.result
}

func (c *conversation) loop() {
	c.apply(call.Start{}, nil)
	gone := c.ctx.Done()
	for !c.done {
		select {
		case e := <-c.events:
			c.observe(e)
			c.apply(e.event, e.part)
		case <-c.timer.C:
			c.apply(call.Timer{}, nil)
		case <-gone:
			gone = nil
			c.apply(call.CallerGone{}, nil)
		}
	}
}

func (c *conversation) apply(e call.Event, part *peer.Part) {
	c.actions = c.machine.Handle(c.node.clock.now(), e, c.actions[:0])
	for _, action := range c.actions {
		switch a := action.(type) {
		case call.Send:
			c.send(a)
		case call.Withdraw:
			c.withdraw(a)
		case call.Cancel:
			if at, ok := c.attempts[a.Attempt]; ok {
				at.cancel()
			}
		case call.Pass:
			c.pass(part)
		case call.SetTimer:
			c.timer.Reset(time.Duration(a.At.Sub(c.node.clock.now())))
		case call.End:
			c.end(a)
		case call.ReportCrash:
			c.node.metrics.crashes.Inc(1)
			c.node.crashSeen(c.out.plan.Service, a)
		case call.ReportLoss:
			c.node.streamLost(c.out.plan.Service, a)
		}
	}
}

func (c *conversation) pass(part *peer.Part) {
	if c.done || part == nil {
		return
	}
	if err := c.sink.part(int(part.GetStatus()), part.GetContentType(), part.GetData()); err != nil {
		c.end(call.End{Outcome: request.Unknown, Reason: request.CallerGone, Cut: true})
	}
}

func (c *conversation) end(e call.End) {
	if c.done {
		return
	}
	c.done = true
	c.result.outcome, c.result.reason = e.Outcome, e.Reason
	c.result.retryAfter, c.result.cut = e.RetryAfter, e.Cut
}

// observe updates the route table from the load that came with a message.
func (c *conversation) observe(e attemptEvent) {
	id, ok := eventAttempt(e.event)
	if !ok {
		return
	}
	at := c.attempts[id]
	if at == nil || at.observed {
		return
	}
	now := c.node.clock.now()
	c.node.routes.update(func(t *route.Table) {
		switch event := e.event.(type) {
		case call.Broken:
			t.Broken(now, at.choice.Instance)
		case call.Refused:
			if event.Reason.IsNotServing() {
				// Later calls avoid the instance instead of spending an attempt on the same refusal.
				t.Broken(now, at.choice.Instance)
				break
			}
			c.observeLoad(t, now, at, e)
		case call.Part, call.WithdrawReply:
			return
		default:
			c.observeLoad(t, now, at, e)
		}
		at.observed = true
		t.Done(at.choice.Instance)
	})
}

func (c *conversation) observeLoad(t *route.Table, now request.Instant, at *attempt, e attemptEvent) {
	if e.load == nil {
		return
	}
	t.Observe(now, at.choice.Instance, route.Load{
		InFlight: e.load.GetInFlight(),
		Queued:   e.load.GetQueued(),
		Limit:    e.load.GetLimit(),
		Level:    request.Priority(e.load.GetLevel()),
	})
	path := pathLevel{level: request.Priority(e.load.GetPathLevel()), service: request.ServiceID(e.load.GetPathService())}
	c.node.routes.observePath(now, c.out.plan, path)
	c.result.path = path
}

// release frees the places of attempts that ended without an event, because the call had ended before.
func (c *conversation) release() {
	c.node.routes.update(func(t *route.Table) {
		for _, at := range c.attempts {
			if !at.observed {
				t.Done(at.choice.Instance)
			}
		}
	})
}

func eventAttempt(e call.Event) (request.AttemptID, bool) {
	switch e := e.(type) {
	case call.Part:
		return e.Attempt, true
	case call.Refused:
		return e.Attempt, true
	case call.Finished:
		return e.Attempt, true
	case call.Broken:
		return e.Attempt, true
	case call.Crashed:
		return e.Attempt, true
	case call.WithdrawReply:
		return e.Attempt, true
	}
	return request.AttemptID{}, false
}

func (c *conversation) send(s call.Send) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.attempts[s.Attempt] = &attempt{choice: s.Choice, cancel: cancel}
	c.node.routes.update(func(t *route.Table) { t.Begin(c.node.clock.now(), s.Choice.Instance) })
	m := &peer.CallRequest{
		Attempt:                attemptMessage(s.Attempt),
		RequestId:              c.out.requestID[:],
		Customer:               string(c.out.customer),
		Service:                string(c.out.plan.Service),
		Operation:              string(c.out.plan.Operation),
		Priority:               uint32(c.out.plan.Priority),
		RemainingNs:            int64(s.Remaining),
		LentAttempts:           s.Lent,
		Idempotent:             c.out.plan.Idempotent,
		Fingerprint:            uint64(c.out.plan.Fingerprint),
		Body:                   c.out.body,
		ContentType:            c.out.contentType,
		Effect:                 c.out.effect,
		SourceInstance:         string(c.node.settings.Instance.Name),
		Depth:                  c.out.depth,
		DestinationIncarnation: uint64(s.Choice.Incarnation),
		Traceparent:            trace.Inject(ctx),
		Losses:                 member.LossesProto(c.node.losses(c.out.plan.Fingerprint)),
	}
	c.group.Go(func() error {
		defer cancel()
		c.receive(ctx, s, m)
		return nil
	})
}

// receive reads the stream of one attempt until it ends.
func (c *conversation) receive(ctx context.Context, s call.Send, m *peer.CallRequest) {
	var d delivery
	stream, err := c.open(withDelivery(ctx, &d), s.Choice.Address, m)
	if err != nil {
		c.report(lossEvent(s.Attempt, &d))
		return
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			c.report(lossEvent(s.Attempt, &d))
			return
		}
		e := responseEvent(s.Attempt, response)
		c.report(e)
		if e.part == nil {
			// Reads the end of the stream, so that gRPC frees it without a reset.
			_, _ = stream.Recv()
			return
		}
	}
}

// callStream is the stream of responses to one attempt.
type callStream interface {
	Recv() (*peer.CallResponse, error)
}

func (c *conversation) open(ctx context.Context, address string, m *peer.CallRequest) (callStream, error) {
	if address == c.node.address {
		return c.node.localStream(ctx, &c.group, m), nil
	}
	client, err := c.node.peers.client(address)
	if err != nil {
		return nil, err
	}
	return client.Call(ctx, m)
}

// lossEvent is the event of a stream without an end. A message that was never handed to the transport cannot have been
// run, so its loss is a refusal.
func lossEvent(a request.AttemptID, d *delivery) attemptEvent {
	if !d.sent.Load() {
		return attemptEvent{event: call.Refused{Attempt: a, Reason: request.NoInstance}}
	}
	return attemptEvent{event: call.Broken{Attempt: a}}
}

func responseEvent(a request.AttemptID, m *peer.CallResponse) attemptEvent {
	switch e := m.GetEvent().(type) {
	case *peer.CallResponse_Part:
		return attemptEvent{event: call.Part{Attempt: a, Index: e.Part.GetIndex()}, part: e.Part}
	case *peer.CallResponse_Refusal:
		return attemptEvent{event: call.Refused{
			Attempt:    a,
			Reason:     request.Reason(e.Refusal.GetReason()),
			RetryAfter: time.Duration(e.Refusal.GetRetryAfterNs()),
		}, load: e.Refusal.GetLoad()}
	case *peer.CallResponse_End:
		if e.End.GetCrashed() {
			return attemptEvent{event: call.Crashed{
				Attempt:     a,
				Incarnation: request.Incarnation(e.End.GetLoad().GetServerIncarnation()),
				Returned:    e.End.GetReturnedAttempts(),
			}, load: e.End.GetLoad()}
		}
		return attemptEvent{event: call.Finished{
			Attempt:  a,
			Parts:    e.End.GetParts(),
			Outcome:  request.Outcome(e.End.GetOutcome()),
			Reason:   request.Reason(e.End.GetReason()),
			Returned: e.End.GetReturnedAttempts(),
		}, load: e.End.GetLoad()}
	}
	return attemptEvent{event: call.Broken{Attempt: a}}
}

// report hands an event to the loop, unless the call has ended.
func (c *conversation) report(e attemptEvent) {
	select {
	case c.events <- e:
	case <-c.finished:
	}
}

func (c *conversation) withdraw(w call.Withdraw) {
	c.group.Go(func() error {
		// The caller may be gone, and its context with it, but the reply decides on the outcome.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), withdrawTimeout)
		defer cancel()
		e := call.WithdrawReply{Attempt: w.Attempt, Result: c.node.withdraw(ctx, w.Attempt, w.Choice)}
		select {
		case c.events <- attemptEvent{event: e}:
		case <-c.finished:
		}
		return nil
	})
}

// withdraw asks a destination to withdraw an attempt.
func (n *Node) withdraw(ctx context.Context, a request.AttemptID, choice route.Choice) call.WithdrawResult {
	m := &peer.WithdrawRequest{Attempt: attemptMessage(a), DestinationIncarnation: uint64(choice.Incarnation)}
	withdrawn, err := n.sendWithdraw(ctx, choice.Address, m)
	switch {
	case err != nil:
		return call.NoReply
	case withdrawn:
		return call.Withdrawn
	}
	return call.AlreadyStarted
}

func (n *Node) sendWithdraw(ctx context.Context, address string, m *peer.WithdrawRequest) (bool, error) {
	if address == n.address {
		return n.destination.withdraw(attemptID(m.GetAttempt())), nil
	}
	client, err := n.peers.client(address)
	if err != nil {
		return false, err
	}
	response, err := client.Withdraw(ctx, m)
	return response.GetWithdrawn(), err
}

// localStream runs an attempt on the own backend server without a connection.
func (n *Node) localStream(ctx context.Context, group *errgroup.Group, m *peer.CallRequest) callStream {
	s := &localStream{ctx: ctx, messages: make(chan *peer.CallResponse)}
	if d, ok := ctx.Value(deliveryKey{}).(*delivery); ok {
		d.sent.Store(true)
	}
	group.Go(func() error {
		defer close(s.messages)
		return n.destination.call(ctx, m, s.send)
	})
	return s
}

// localStream connects the source and the destination of one node.
type localStream struct {
	ctx      context.Context
	messages chan *peer.CallResponse
}

func (s *localStream) send(m *peer.CallResponse) error {
	if p := m.GetPart(); p != nil {
		// The destination reuses its buffer after send; a gRPC stream encodes the data before.
		p.Data = append([]byte(nil), p.GetData()...)
	}
	select {
	case s.messages <- m:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// Recv returns the next message, or io.EOF after the last.
func (s *localStream) Recv() (*peer.CallResponse, error) {
	m, ok := <-s.messages
	if !ok {
		return nil, io.EOF
	}
	return m, nil
}
