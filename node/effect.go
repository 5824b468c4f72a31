package node

import (
	"context"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// sessions is the session table with its lock, and the buffered responses of running effects.
type sessions struct {
	mu         sync.Mutex
	table      *session.Sessions
	responses  map[session.Effect]*responseBuffer
	lastWaiter session.Waiter
}

// begin returns the decision on a send. The response buffer is not nil for sends that run or wait.
func (s *sessions) begin(decide func(*session.Sessions, session.Waiter) session.Decision, limit int) (session.Decision, session.Waiter, *responseBuffer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWaiter++
	waiter := s.lastWaiter
	d := decide(s.table, waiter)
	if d.Action == session.Run {
		s.responses[d.Effect] = newResponseBuffer(limit)
	}
	return d, waiter, s.responses[d.Effect]
}

func (s *sessions) finish(now request.Instant, e session.Effect, end session.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Waiting sends read the response buffer, so the returned list of waiters is not used.
	s.table.Finish(now, e, end)
	delete(s.responses, e)
}

func (s *sessions) removeWaiter(e session.Effect, w session.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RemoveWaiter(e, w)
}

// effectCall is a call with an effect, which needs a decision of the session table or a claim before it is sent.
type effectCall struct {
	out     outgoingCall
	account call.Account
	maxWait time.Duration // maximum wait for the outcome
	canShed bool          // set on the first node, which may shed the call early
}

// runEffect starts an effect, waits for one in progress or replays its response, as decide requires.
func (n *Node) runEffect(ctx context.Context, c effectCall, r responseWriter, decide func(*session.Sessions, session.Waiter) session.Decision) result {
	d, waiter, buffer := n.sessions.begin(decide, n.settings.Limits.PartBytes)
	switch d.Action {
	case session.Run:
		if res, refused := n.shedEffect(c, d.Effect, buffer); refused {
			return res
		}
		c.out.effect = d.Effect.String()
		n.startEffect(ctx, c, d.Effect, buffer)
	case session.Wait:
	case session.Replay:
		return n.replay(d, r)
	case session.Refuse, session.Forward:
		return result{outcome: d.Outcome, reason: d.Reason}
	}
	ctx, cancel := context.WithTimeout(ctx, c.maxWait)
	defer cancel()
	res, err := buffer.copyTo(ctx, r)
	if err != nil {
		// The effect continues without this caller.
		n.sessions.removeWaiter(d.Effect, waiter)
		return result{outcome: request.Unknown, reason: request.InProgress, truncated: true}
	}
	return res
}

// shedEffect refuses a new effect if the node is leaving or its path would refuse it. The caller may use the sequence number
// again, because nothing was sent.
func (n *Node) shedEffect(c effectCall, e session.Effect, buffer *responseBuffer) (result, bool) {
	if !c.canShed {
		return result{}, false
	}
	res, refused := result{outcome: request.NotRun, reason: request.Draining}, n.leaving()
	if !refused {
		res, refused = n.shed(c.out.plan)
	}
	if refused {
		n.sessions.finish(n.clock.now(), e, session.Completion{Outcome: res.outcome, Reason: res.reason})
		buffer.end(res)
	}
	return res, refused
}

func (n *Node) replay(d session.Decision, r responseWriter) result {
	if d.Response == nil {
		return result{outcome: request.Unknown, reason: request.ResponseNotKept}
	}
	if err := r.writePart(d.Response.Status, d.Response.ContentType, d.Response.Body); err != nil {
		return result{outcome: request.Unknown, reason: request.CallerGone, truncated: true}
	}
	return result{outcome: d.Outcome, reason: d.Reason}
}

// startEffect runs an effect under a ticket and records its outcome and response.
func (n *Node) startEffect(ctx context.Context, c effectCall, e session.Effect, buffer *responseBuffer) {
	n.startDetached(ctx, c, buffer, func(res result) {
		end := session.Completion{Outcome: res.outcome, Reason: res.reason}
		if res.outcome == request.Answered || res.outcome == request.Failed {
			end.Response = buffer.response()
		}
		n.sessions.finish(n.clock.now(), e, end)
	})
}

// startDetached runs an effect in its own goroutine, because it continues after its caller disconnects. The outcome is
// recorded before the response ends, so that a resend after the response finds the record.
func (n *Node) startDetached(ctx context.Context, c effectCall, buffer *responseBuffer, record func(result)) {
	ctx = context.WithoutCancel(ctx)
	n.inFlight.Go(func() error {
		res := n.runCall(ctx, c.out, c.account, buffer)
		record(res)
		buffer.end(res)
		return nil
	})
}

// forwardEffect forwards a send to the incarnation that issued its ticket. A send that did not reach the issuer has not
// run; only the issuer knows whether an earlier send has run.
func (n *Node) forwardEffect(ctx context.Context, c effectCall, t session.Ticket, m *peer.ForwardRequest, r responseWriter) result {
	lost := result{outcome: request.Unknown, reason: request.ConnectionLost}
	issuer, ok := n.findMember(t.Instance)
	if !ok || issuer.Incarnation != t.Incarnation || !issuer.reachable {
		return result{outcome: request.Unknown, reason: request.TicketUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, c.maxWait)
	defer cancel()
	client, err := n.peers.client(issuer.Address)
	if err != nil {
		return lost
	}
	var d sendTracker
	stream, err := client.Forward(withSendTracker(ctx, &d), m)
	if err != nil {
		return forwardLoss(&d, m, lost)
	}
	for parts := 0; ; {
		response, err := stream.Recv()
		if err != nil {
			lost.truncated = parts > 0
			return forwardLoss(&d, m, lost)
		}
		if p := response.GetPart(); p != nil {
			parts++
			if err := r.writePart(int(p.GetStatus()), p.GetContentType(), p.GetData()); err != nil {
				return result{outcome: request.Unknown, reason: request.CallerGone, truncated: true}
			}
			continue
		}
		e := response.GetEnd()
		return result{
			outcome:    request.Outcome(e.GetOutcome()),
			reason:     request.Reason(e.GetReason()),
			retryAfter: time.Duration(e.GetRetryAfterNs()),
			truncated:  parts != int(e.GetParts()),
			path: pathLevel{
				level:   request.Priority(e.GetLoad().GetPathLevel()),
				service: request.ServiceID(e.GetLoad().GetPathService()),
			},
		}
	}
}

func forwardLoss(d *sendTracker, m *peer.ForwardRequest, lost result) result {
	if !d.sent.Load() && m.GetSend() == 1 {
		return result{outcome: request.NotRun, reason: request.NoInstance}
	}
	return lost
}

// openNestedCalls starts the numbering of nested effects under a non-idempotent execution, and returns the function that
// ends it.
func (n *Node) openNestedCalls(e *execution) (func(), error) {
	if e.idempotent || e.effect == "" {
		return func() {}, nil
	}
	effect, err := session.ParseEffect(e.effect)
	if err != nil {
		return nil, err
	}
	n.sessions.mu.Lock()
	defer n.sessions.mu.Unlock()
	n.sessions.table.OpenCall(effect)
	return func() {
		n.sessions.mu.Lock()
		defer n.sessions.mu.Unlock()
		n.sessions.table.CloseCall(effect)
	}, nil
}
