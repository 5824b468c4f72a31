package faultmatrix

import (
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
	"github.com/sapphiretack/sapphiretack/session"
)

// message is what a source sends with an attempt. The field request gives the operation and the
// fingerprint, and identifies the request to the checker.
type message struct {
	call       uint64
	request    *callerRequest
	depth      int
	idempotent bool
	effect     session.Effect
	priority   request.Priority
	remaining  time.Duration
	lent       uint32
	crashes    int
	losses     []quarantine.Loss
	arrived    request.Instant
}

// part is a part of a response. Its content is the id of the request.
type part struct {
	request request.ID
	index   uint32
}

// loadReport is the load that a destination reports at the end of an attempt.
type loadReport struct {
	load      route.Load
	pathLevel request.Priority
}

// conn receives the response to a call for a caller, a forwarding node or a backend server.
type conn struct {
	part func(part)
	end  func(call.End)
	// gone is set when the receiver has closed the connection.
	gone bool
}

// sourceCall is a call at its source.
type sourceCall struct {
	id       uint64
	node     *node
	call     *call.Call
	message  message
	conn     *conn
	streams  map[request.AttemptID]*stream
	timerSeq int
	ended    bool
	onEnd    func(call.End)
}

// startCall starts a call whose response goes to c.
func (n *node) startCall(m message, account call.Account, c *conn, onEnd func(call.End)) *sourceCall {
	sim := n.sim
	sim.lastCall++
	m.call = sim.lastCall
	s := &sourceCall{id: m.call, node: n, message: m, conn: c, streams: make(map[request.AttemptID]*stream), onEnd: onEnd}
	plan := call.Plan{
		Service:     services[m.depth],
		Operation:   request.Operation(m.request.kind.String()),
		Priority:    m.priority,
		Fingerprint: m.request.fingerprint,
		Deadline:    sim.now.Add(m.remaining),
		Idempotent:  m.idempotent,
	}
	s.call = call.New(plan, call.Dependencies{
		Router:      n.table,
		Account:     account,
		Limiter:     &n.limiter,
		NextAttempt: n.nextAttempt,
	})
	n.activeCalls++
	sim.reachStep(Routing, m.request, m.depth, n, nil)
	s.handle(call.Start{})
	return s
}

func (n *node) nextAttempt() request.AttemptID {
	n.lastAttempt++
	return request.AttemptID{Source: n.incarnation, Number: n.lastAttempt}
}

func (s *sourceCall) handle(e call.Event) {
	for _, a := range s.call.Handle(s.node.sim.now, e, nil) {
		if s.node.dead {
			return
		}
		s.perform(a)
	}
}

func (s *sourceCall) perform(a call.Action) {
	n := s.node
	switch a := a.(type) {
	case call.Send:
		s.send(a)
	case call.Withdraw:
		s.withdraw(a)
	case call.Cancel:
		s.streams[a.Attempt].close()
	case call.ForwardPart:
		s.conn.part(s.streams[a.Attempt].parts[a.Index])
	case call.SetTimer:
		s.timerSeq++
		timer := s.timerSeq
		n.after(a.At.Sub(n.sim.now), func() {
			if timer == s.timerSeq && !s.ended {
				s.handle(call.Timer{})
			}
		})
	case call.ReportCrash:
		n.reportCrash(a.Fingerprint, s.message.depth, quarantine.Crash{Instance: a.Instance, Incarnation: a.Incarnation})
	case call.ReportLoss:
		n.reportLoss(a.Fingerprint, s.message.depth, quarantine.Loss{Instance: a.Instance, Incarnation: a.Incarnation})
	case call.End:
		s.end(a)
	}
}

func (s *sourceCall) end(e call.End) {
	n := s.node
	s.ended = true
	n.activeCalls--
	if e.Truncated && n.sim.options.Weakened == WholeResponse {
		e = call.End{Outcome: request.Answered}
	}
	n.sim.checker.recordCallOutcome(s, e.Outcome)
	if s.onEnd != nil {
		s.onEnd(e)
	}
	if s.message.depth == 0 {
		n.sim.reachStep(ResponseToCaller, s.message.request, 0, n, nil)
	}
	n.receive(func() { s.conn.end(e) })
}

func (s *sourceCall) send(a call.Send) {
	n, sim := s.node, s.node.sim
	m := s.message
	m.remaining, m.lent = a.Remaining, a.Lent
	if r, ok := n.quarantine.Record(sim.now, m.request.fingerprint); ok {
		m.crashes, m.losses = r.Count, r.Losses
	}
	dest := sim.current(a.Choice.Instance)
	st := &stream{id: a.Attempt, source: n, dest: dest, parts: make(map[uint32]part)}
	sim.streams = append(sim.streams, st)
	s.streams[a.Attempt] = st
	n.calls[a.Attempt] = s
	n.table.Begin(sim.now, a.Choice.Instance)
	sim.checker.recordAttempt(m.request.id, m.depth)
	sim.reachStep(Dispatch, m.request, m.depth, n, dest)
	if !n.dead {
		st.send(n, dest, func() { dest.handleAttempt(st, m) })
	}
}

// withdrawTimeout is the time after which a withdrawal without a reply counts as failed.
const withdrawTimeout = 600 * time.Millisecond

func (s *sourceCall) withdraw(a call.Withdraw) {
	n, sim := s.node, s.node.sim
	reply := func(r call.WithdrawResult) { s.handle(call.WithdrawReply{Attempt: a.Attempt, Result: r}) }
	if sim.options.Weakened == TruthfulNotRun {
		n.after(crossZoneDelay, func() { reply(call.Withdrawn) })
		return
	}
	replied := false
	replyOnce := func(r call.WithdrawResult) {
		if !replied {
			replied = true
			reply(r)
		}
	}
	n.after(withdrawTimeout, func() { replyOnce(call.NoReply) })
	dest := sim.current(a.Choice.Instance)
	sim.deliver(n, dest, func() {
		dest.withdraw(a, func(r call.WithdrawResult) {
			sim.deliver(dest, n, func() { replyOnce(r) })
		})
	})
}

// attemptEvent passes an event of an attempt to its call and updates the route table with what it says
// about the instance.
func (n *node) attemptEvent(st *stream, e call.Event, r *loadReport) {
	s := n.calls[st.id]
	if s == nil {
		return
	}
	n.updateTable(s, st.dest.id, e, r)
	if _, isPart := e.(call.Part); !isPart {
		n.table.Done(st.dest.id)
		delete(n.calls, st.id)
	}
	s.handle(e)
}

func (n *node) updateTable(s *sourceCall, dest request.InstanceID, e call.Event, r *loadReport) {
	now := n.sim.now
	if r != nil {
		n.table.RecordLoad(now, dest, r.load)
		n.table.RecordLevel(now, services[s.message.depth], request.Operation(s.message.request.kind.String()), r.pathLevel)
	}
	switch e := e.(type) {
	case call.StreamLost:
		n.table.RecordFailure(now, dest)
	case call.Crashed:
		n.table.RecordRefusal(now, dest, 0, now.Add(time.Second))
	case call.Refused:
		switch e.Reason {
		case request.Draining, request.NoInstance:
			n.table.RecordRefusal(now, dest, 0, now.Add(time.Second))
		case request.Overloaded, request.QueueFull:
			n.table.RecordRefusal(now, dest, s.message.priority, now.Add(e.RetryAfter))
		}
	}
}
