package faultmatrix

import (
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// handleSend handles a send of a caller at its first node, or a forwarded one at the node that issued
// its ticket.
func (n *node) handleSend(q *callerRequest, attempt uint32, c *callerConn, forwarded bool) {
	policy, err := n.replica.Policy(customerName, services[0], request.Operation(q.kind.String()))
	if err != nil || !n.ready {
		// Without the configuration, the node executes nothing and does not ask its session whether an
		// earlier send was executed.
		c.end(n.notReadyEnd(q))
		return
	}
	m := message{
		request:    q,
		priority:   request.PriorityOf(policy.Class, q.id),
		idempotent: policy.Idempotent,
		remaining:  policy.Timeout,
	}
	switch q.kind {
	case Arrival:
		n.handleEffect(m, attempt, c, forwarded)
		return
	case KeyedArrival:
		n.handleKeyedEffect(m, attempt, c)
		return
	}
	if n.admission.Draining() {
		c.end(call.End{Outcome: request.NotRun, Reason: request.Draining})
		return
	}
	if n.isShed(&m) {
		c.end(call.End{Outcome: request.NotRun, Reason: request.EarlyShed, RetryAfter: sheddingWindow})
		return
	}
	c.call = n.startCall(m, n.openAccount(q, attempt), &c.conn, nil)
}

// notReadyEnd returns the outcome at a node that is not ready: not_run, or unknown for an effect that
// was sent before and may have run.
func (n *node) notReadyEnd(q *callerRequest) call.End {
	e := call.End{Outcome: request.NotRun, Reason: request.NoInstance, RetryAfter: sheddingWindow}
	if q.kind.isEffect() && q.sends > 1 {
		e.Outcome = request.Unknown
	}
	return e
}

func (n *node) isShed(m *message) bool {
	return n.table.Shed(n.sim.now, services[0], request.Operation(m.request.kind.String()), m.priority)
}

// handleEffect asks the session first, because only the session knows whether an earlier send was
// executed.
func (n *node) handleEffect(m message, attempt uint32, c *callerConn, forwarded bool) {
	sim, q := n.sim, m.request
	n.lastWaiter++
	send := session.Send{
		Ticket:      q.ticket,
		Sequence:    1,
		Attempt:     uint16(attempt),
		Fingerprint: q.fingerprint,
		Waiter:      n.lastWaiter,
		Forwarded:   forwarded,
	}
	d := n.sessions.Begin(sim.now, send)
	if sim.options.Weakened == AtMostOnce {
		d.Action, d.Effect = session.Run, session.KeyEffect("weakened", q.id.String())
	}
	switch d.Action {
	case session.Run:
		m.effect, q.effect = d.Effect, d.Effect
		n.runEffect(m, attempt, c)
	case session.Wait:
		n.waiters[n.lastWaiter] = &c.conn
	case session.Replay:
		replay(d, &c.conn)
	case session.Forward:
		n.forward(q, attempt, c)
	default:
		c.end(call.End{Outcome: d.Outcome, Reason: d.Reason})
	}
}

func (n *node) runEffect(m message, attempt uint32, c *callerConn) {
	finish := func(e call.End) { n.finishEffect(&m, e) }
	switch {
	case n.admission.Draining():
		e := call.End{Outcome: request.NotRun, Reason: request.Draining}
		finish(e)
		c.end(e)
	case n.isShed(&m):
		e := call.End{Outcome: request.NotRun, Reason: request.EarlyShed, RetryAfter: sheddingWindow}
		finish(e)
		c.end(e)
	default:
		c.call = n.startCall(m, n.openAccount(m.request, attempt), &c.conn, finish)
	}
}

// finishEffect stores the response in the session and passes it to the sends that wait for it.
func (n *node) finishEffect(m *message, e call.End) {
	end := session.Completion{Outcome: e.Outcome, Reason: e.Reason}
	if e.Outcome == request.Answered || e.Outcome == request.Failed {
		end.Response = &session.Response{Body: m.request.id[:]}
	}
	ended := n.sessions.Finish(n.sim.now, m.effect, end)
	for _, waiter := range ended.Waiters {
		c := n.waiters[waiter]
		delete(n.waiters, waiter)
		if ended.Decision.Action == session.Replay {
			replay(ended.Decision, c)
		} else {
			c.end(call.End{Outcome: ended.Decision.Outcome, Reason: ended.Decision.Reason})
		}
	}
}

// replay sends a stored response.
func replay(d session.Decision, c *conn) {
	if d.Outcome == request.Answered {
		for i := range uint32(partCount) {
			c.part(part{request: request.ID(d.Response.Body), index: i})
		}
	}
	c.end(call.End{Outcome: d.Outcome, Reason: d.Reason})
}

// openAccount returns the retry budget account of a request at its first node.
func (n *node) openAccount(q *callerRequest, attempt uint32) call.Account {
	sim := n.sim
	key := accountKey{node: n, id: q.id}
	before := -1
	if a := sim.accounts[key]; a != nil {
		before = int(a.Held())
	}
	a := n.requests.Open(sim.now, "customer", q.id, attempt, extraAttempts)
	sim.accounts[key] = a
	sim.checker.recordAccount(q.id, a, before)
	return a
}

// forwardTimeout is the time after which the node that issued a ticket counts as unreachable.
const forwardTimeout = time.Second

// forward passes a send to the node that issued its ticket. The response is returned in one piece, not
// part by part.
func (n *node) forward(q *callerRequest, attempt uint32, c *callerConn) {
	sim := n.sim
	unknown := call.End{Outcome: request.Unknown, Reason: request.TicketUnknown}
	issuer := sim.current(q.ticket.Instance)
	if issuer.dead {
		n.after(crossZoneDelay, func() { c.end(unknown) })
		return
	}
	replied := false
	reply := func(parts []part, e call.End) {
		if replied {
			return
		}
		replied = true
		for _, p := range parts {
			c.part(p)
		}
		c.end(e)
	}
	n.after(forwardTimeout, func() {
		reply(nil, call.End{Outcome: request.Unknown, Reason: request.ConnectionLost})
	})
	var parts []part
	f := &callerConn{request: q, node: issuer, began: sim.now}
	f.conn = conn{
		part: func(p part) { parts = append(parts, p) },
		end:  func(e call.End) { sim.deliver(issuer, n, func() { reply(parts, e) }) },
	}
	sim.deliver(n, issuer, func() { issuer.handleSend(q, attempt, f, true) })
}
