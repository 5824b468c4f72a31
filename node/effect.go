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

// sessions is the session table with its lock, and the responses to the effects that run now.
type sessions struct {
	mu       sync.Mutex
	table    *session.Sessions
	answers  map[session.Effect]*answer
	nextWait session.Waiter
}

// begin decides about a send. The answer is set for sends that run or wait.
func (s *sessions) begin(decide func(*session.Sessions, session.Waiter) session.Decision, limit int) (session.Decision, session.Waiter, *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextWait++
	waiter := s.nextWait
	d := decide(s.table, waiter)
	if d.Verdict == session.Run {
		s.answers[d.Effect] = newAnswer(limit)
	}
	return d, waiter, s.answers[d.Effect]
}

func (s *sessions) finish(now request.Instant, e session.Effect, end session.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The waiting sends read the answer, so that the list of waiters is not needed.
	s.table.Finish(now, e, end)
	delete(s.answers, e)
}

func (s *sessions) leave(e session.Effect, w session.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Leave(e, w)
}

// effectCall is an effect that is about to be sent under a decision of the session table.
type effectCall struct {
	out     outgoing
	account call.Account
	limit   time.Duration // longest wait for the outcome
	sheds   bool          // this node is the first one and refuses what the path would refuse
}

// runEffect runs or joins an effect and sends its response to the reply.
func (n *Node) runEffect(ctx context.Context, c effectCall, r reply, decide func(*session.Sessions, session.Waiter) session.Decision) result {
	d, waiter, a := n.sessions.begin(decide, n.settings.Limits.PartBytes)
	switch d.Verdict {
	case session.Run:
		if res, refused := n.shedEffect(c, d.Effect, a); refused {
			return res
		}
		c.out.effect = d.Effect.String()
		n.startEffect(ctx, c, d.Effect, a)
	case session.Wait:
	case session.Replay:
		return n.replay(d, r)
	case session.Refuse, session.Forward:
		return result{outcome: d.Outcome, reason: d.Reason}
	}
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	res, err := a.copyTo(ctx, r)
	if err != nil {
		// The effect goes on without this caller.
		n.sessions.leave(d.Effect, waiter)
		return result{outcome: request.Unknown, reason: request.InProgress, cut: true}
	}
	return res
}

// shedEffect refuses a new effect if the node is leaving or the path would refuse it. Its sequence is free again, since nothing was sent.
func (n *Node) shedEffect(c effectCall, e session.Effect, a *answer) (result, bool) {
	if !c.sheds {
		return result{}, false
	}
	res, refused := result{outcome: request.NotRun, reason: request.Draining}, n.leaving()
	if !refused {
		res, refused = n.shed(c.out.plan)
	}
	if refused {
		n.sessions.finish(n.clock.now(), e, session.End{Outcome: res.outcome, Reason: res.reason})
		a.end(res)
	}
	return res, refused
}

func (n *Node) replay(d session.Decision, r reply) result {
	if d.Response == nil {
		return result{outcome: request.Unknown, reason: request.AnswerNotKept}
	}
	if err := r.part(d.Response.Status, d.Response.ContentType, d.Response.Body); err != nil {
		return result{outcome: request.Unknown, reason: request.CallerGone, cut: true}
	}
	return result{outcome: d.Outcome, reason: d.Reason}
}

// startEffect sends an effect under a ticket and records how it ended.
func (n *Node) startEffect(ctx context.Context, c effectCall, e session.Effect, a *answer) {
	n.startDetached(ctx, c, a, func(res result) {
		end := session.End{Outcome: res.outcome, Reason: res.reason}
		if res.outcome == request.Answered || res.outcome == request.Failed {
			end.Response = a.response()
		}
		n.sessions.finish(n.clock.now(), e, end)
	})
}

// startDetached sends an effect in a goroutine of the node, since it goes on when its caller goes away. The outcome is
// recorded before the answer ends, so that a resend after the answer meets the record.
func (n *Node) startDetached(ctx context.Context, c effectCall, a *answer, record func(result)) {
	ctx = context.WithoutCancel(ctx)
	n.inFlight.Go(func() error {
		res := n.runCall(ctx, c.out, c.account, a)
		record(res)
		a.end(res)
		return nil
	})
}

// forwardEffect passes a send to the incarnation that issued its ticket. A send that did not reach it is not run; whether
// an earlier send ran is known to the issuer only.
func (n *Node) forwardEffect(ctx context.Context, c effectCall, t session.Ticket, m *peer.ForwardRequest, r reply) result {
	lost := result{outcome: request.Unknown, reason: request.ConnectionLost}
	issuer, ok := n.findMember(t.Instance)
	if !ok || issuer.Incarnation != t.Incarnation || !issuer.reachable {
		return result{outcome: request.Unknown, reason: request.TicketUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	client, err := n.peers.client(issuer.Address)
	if err != nil {
		return lost
	}
	var d delivery
	stream, err := client.Forward(withDelivery(ctx, &d), m)
	if err != nil {
		return forwardLoss(&d, m, lost)
	}
	for parts := 0; ; {
		response, err := stream.Recv()
		if err != nil {
			lost.cut = parts > 0
			return forwardLoss(&d, m, lost)
		}
		if p := response.GetPart(); p != nil {
			parts++
			if err := r.part(int(p.GetStatus()), p.GetContentType(), p.GetData()); err != nil {
				return result{outcome: request.Unknown, reason: request.CallerGone, cut: true}
			}
			continue
		}
		e := response.GetEnd()
		return result{
			outcome:    request.Outcome(e.GetOutcome()),
			reason:     request.Reason(e.GetReason()),
			retryAfter: time.Duration(e.GetRetryAfterNs()),
			cut:        parts != int(e.GetParts()),
			path: pathLevel{
				level:   request.Priority(e.GetLoad().GetPathLevel()),
				service: request.ServiceID(e.GetLoad().GetPathService()),
			},
		}
	}
}

func forwardLoss(d *delivery, m *peer.ForwardRequest, lost result) result {
	if !d.sent.Load() && m.GetSend() == 1 {
		return result{outcome: request.NotRun, reason: request.NoInstance}
	}
	return lost
}

// openNested opens the numbering of nested effects under a non-idempotent execution, and returns the function that ends it.
func (n *Node) openNested(e *execution) (func(), error) {
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
		n.sessions.table.EndCall(effect)
	}, nil
}
