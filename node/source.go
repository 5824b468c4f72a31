package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
	"github.com/sapphiretack/sapphiretack/trace"
)

const (
	// eventBufferSize is the number of parts that an attempt may be ahead of the caller; further ones wait in gRPC's flow
	// control.
	eventBufferSize = 4
	// withdrawTimeout is the maximum wait for a withdraw reply; the call state machine waits no longer either.
	withdrawTimeout = call.WithdrawWait
)

// outgoingCall is a call that this node sends as its source.
type outgoingCall struct {
	plan        call.Plan
	requestID   request.ID
	customer    request.CustomerID
	body        []byte
	contentType string
	effect      string
	depth       uint32
}

// sink receives the parts of a response in order; an error means that the receiver has disconnected.
type sink interface {
	writePart(status int, contentType string, data []byte) error
}

// result is the result of a call.
type result struct {
	outcome    request.Outcome
	reason     request.Reason
	retryAfter time.Duration
	truncated  bool
	path       pathLevel
	attempts   int
}

// attemptEvent is an event of an attempt, with the part or load of the message that caused it.
type attemptEvent struct {
	event call.Event
	part  *peer.Part
	load  *peer.Load
}

// attempt is an attempt in flight.
type attempt struct {
	choice   route.Choice
	cancel   context.CancelFunc
	released bool // whether the route table no longer counts it as in flight
}

// callRunner is the driver of the state machine of one call: it translates the streams of the attempts into events and
// performs the resulting actions.
type callRunner struct {
	node         *Node
	ctx          context.Context
	out          outgoingCall
	sink         sink
	stateMachine *call.Call
	group        errgroup.Group
	events       chan attemptEvent
	finished     chan struct{}
	attempts     map[request.AttemptID]*attempt
	timer        *time.Timer
	actions      []call.Action
	result       result
	done         bool
}

// runCall runs a call and writes the parts of the response to the sink; it returns when the call has ended.
func (n *Node) runCall(ctx context.Context, out outgoingCall, account call.Account, s sink) result {
	ctx, span := n.tracer.Start(ctx, "call "+string(out.plan.Service)+"/"+string(out.plan.Operation))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	c := &callRunner{
		node:     n,
		ctx:      ctx,
		out:      out,
		sink:     s,
		events:   make(chan attemptEvent, eventBufferSize),
		finished: make(chan struct{}),
		attempts: map[request.AttemptID]*attempt{},
		timer:    time.NewTimer(maxTimeout),
	}
	c.stateMachine = call.New(out.plan, call.Dependencies{
		Router:      n.routes,
		Account:     account,
		Limiter:     n.retryLimiter,
		NextAttempt: n.nextAttempt,
	})
	c.loop()
	cancel()
	close(c.finished)
	c.timer.Stop()
	// The goroutines of the attempts return no errors; they send events instead.
	_ = c.group.Wait()
	c.releaseAttempts()
	c.result.attempts = len(c.attempts)
	span.SetAttributes(
		attribute.String("outcome", c.result.outcome.String()),
		attribute.String("reason", c.result.reason.String()),
		attribute.Int("attempts", c.result.attempts),
	)
	return c.result
}

func (c *callRunner) loop() {
	c.apply(call.Start{}, nil)
	callerGone := c.ctx.Done()
	for !c.done {
		select {
		case e := <-c.events:
			c.updateRoutes(e)
			c.apply(e.event, e.part)
		case <-c.timer.C:
			c.apply(call.Timer{}, nil)
		case <-callerGone:
			callerGone = nil
			c.apply(call.CallerGone{}, nil)
		}
	}
}

func (c *callRunner) apply(e call.Event, part *peer.Part) {
	c.actions = c.stateMachine.Handle(c.node.clock.now(), e, c.actions[:0])
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
		case call.ForwardPart:
			c.forwardPart(part)
		case call.SetTimer:
			c.timer.Reset(time.Duration(a.At.Sub(c.node.clock.now())))
		case call.End:
			c.end(a)
		case call.ReportCrash:
			c.node.metrics.crashes.Inc(1)
			c.node.recordCrash(c.out.plan.Service, a)
		case call.ReportLoss:
			c.node.recordLoss(c.out.plan.Service, a)
		}
	}
}

func (c *callRunner) forwardPart(part *peer.Part) {
	if c.done || part == nil {
		return
	}
	if err := c.sink.writePart(int(part.GetStatus()), part.GetContentType(), part.GetData()); err != nil {
		c.end(call.End{Outcome: request.Unknown, Reason: request.CallerGone, Truncated: true})
	}
}

func (c *callRunner) end(e call.End) {
	if c.done {
		return
	}
	c.done = true
	c.result.outcome, c.result.reason = e.Outcome, e.Reason
	c.result.retryAfter, c.result.truncated = e.RetryAfter, e.Truncated
}

// updateRoutes updates the route table when an attempt ends, from its event and the load report.
func (c *callRunner) updateRoutes(e attemptEvent) {
	id, ok := eventAttempt(e.event)
	if !ok {
		return
	}
	at := c.attempts[id]
	if at == nil || at.released {
		return
	}
	now := c.node.clock.now()
	c.node.routes.update(func(t *route.Table) {
		switch event := e.event.(type) {
		case call.StreamLost:
			t.RecordFailure(now, at.choice.Instance)
		case call.Refused:
			if event.Reason.IsNotServing() {
				// Later calls avoid the instance, so that they do not spend an attempt on the same refusal.
				t.RecordFailure(now, at.choice.Instance)
				break
			}
			c.observeLoad(t, now, at, e)
		case call.Part, call.WithdrawReply:
			return
		default:
			c.observeLoad(t, now, at, e)
		}
		at.released = true
		t.Done(at.choice.Instance)
	})
}

func (c *callRunner) observeLoad(t *route.Table, now request.Instant, at *attempt, e attemptEvent) {
	if e.load == nil {
		return
	}
	t.RecordLoad(now, at.choice.Instance, route.Load{
		InFlight: e.load.GetInFlight(),
		Queued:   e.load.GetQueued(),
		Limit:    e.load.GetLimit(),
		Level:    request.Priority(e.load.GetLevel()),
	})
	path := pathLevel{level: request.Priority(e.load.GetPathLevel()), service: request.ServiceID(e.load.GetPathService())}
	c.node.routes.observePath(now, c.out.plan, path)
	c.result.path = path
}

// releaseAttempts decrements the in-flight counts for attempts that were still running when the call ended.
func (c *callRunner) releaseAttempts() {
	c.node.routes.update(func(t *route.Table) {
		for _, at := range c.attempts {
			if !at.released {
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
	case call.StreamLost:
		return e.Attempt, true
	case call.Crashed:
		return e.Attempt, true
	case call.WithdrawReply:
		return e.Attempt, true
	}
	return request.AttemptID{}, false
}

func (c *callRunner) send(s call.Send) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.attempts[s.Attempt] = &attempt{choice: s.Choice, cancel: cancel}
	c.node.routes.update(func(t *route.Table) { t.Begin(c.node.clock.now(), s.Choice.Instance) })
	m := &peer.CallRequest{
		Attempt:                attemptProto(s.Attempt),
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
		c.readResponses(ctx, s, m)
		return nil
	})
}

// readResponses sends the request of an attempt and reads its stream of responses until it ends.
func (c *callRunner) readResponses(ctx context.Context, s call.Send, m *peer.CallRequest) {
	var d sendTracker
	stream, err := c.openStream(withSendTracker(ctx, &d), s.Choice.Address, m)
	if err != nil {
		c.sendEvent(lossEvent(s.Attempt, &d))
		return
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			c.sendEvent(lossEvent(s.Attempt, &d))
			return
		}
		e := responseEvent(s.Attempt, response)
		c.sendEvent(e)
		if e.part == nil {
			// Reads io.EOF, so that gRPC closes the stream without a reset.
			_, _ = stream.Recv()
			return
		}
	}
}

// sendEvent passes an event to the loop, unless the call has ended.
func (c *callRunner) sendEvent(e attemptEvent) {
	select {
	case c.events <- e:
	case <-c.finished:
	}
}

func (c *callRunner) withdraw(w call.Withdraw) {
	c.group.Go(func() error {
		// The outcome depends on the reply, so the withdrawal continues after the caller disconnects and its context ends.
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

// withdraw asks the destination to withdraw an attempt.
func (n *Node) withdraw(ctx context.Context, a request.AttemptID, choice route.Choice) call.WithdrawResult {
	m := &peer.WithdrawRequest{Attempt: attemptProto(a), DestinationIncarnation: uint64(choice.Incarnation)}
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
