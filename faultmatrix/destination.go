package faultmatrix

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
	"github.com/sapphiretack/sapphiretack/session"
)

// leaveGracePeriod is the time after its announcement in which a leaving node still accepts new
// attempts (design 4.14).
const leaveGracePeriod = 3 * time.Second

// servedAttempt is an attempt at its destination.
type servedAttempt struct {
	stream      *stream
	message     message
	account     budget.Account
	pathLevel   request.Priority
	execution   *execution
	nested      *sourceCall
	nestedSends uint16
	parts       uint32
}

// handleAttempt decides on an attempt that has arrived from its source.
func (n *node) handleAttempt(st *stream, m message) {
	sim := n.sim
	m.arrived = sim.now
	s := &servedAttempt{stream: st, message: m, account: budget.NewAccount(m.lent), pathLevel: request.PriorityCount}
	n.quarantine.Merge(sim.now, []quarantine.Record{{Fingerprint: m.request.fingerprint, Service: services[n.depth], Losses: m.losses}})
	known, _ := n.quarantine.Record(sim.now, m.request.fingerprint)
	known.Count = max(known.Count, m.crashes)
	switch state := known.State(); {
	case state == quarantine.Quarantined:
		n.refuse(s, request.Quarantined, 0)
	case !n.backend.up || !n.ready:
		n.refuse(s, request.NoInstance, 100*time.Millisecond)
	default:
		n.served[st.id] = s
		n.admissionEvent(admission.Arrive{
			Attempt:     st.id,
			Priority:    n.sim.priorityForAdmission(m.priority),
			Remaining:   m.remaining,
			Fingerprint: m.request.fingerprint,
			Suspect:     state == quarantine.Suspect,
		})
		n.reachQueuedStep(s)
	}
}

// priorityForAdmission replaces the priority by a random one if the order of shedding is weakened.
func (sim *Simulation) priorityForAdmission(p request.Priority) request.Priority {
	if sim.options.Weakened == SheddingOrder {
		return request.Priority(sim.random.IntN(int(request.PriorityCount)))
	}
	return p
}

func (n *node) reachQueuedStep(s *servedAttempt) {
	if n.served[s.stream.id] == nil || s.execution != nil {
		return
	}
	n.sim.checker.recordDecision(n, s.message.priority, true)
	n.sim.reachStep(Queued, s.message.request, s.message.depth, s.stream.source, n)
}

// admissionEvent passes an event to the admission controller and carries out the resulting actions.
func (n *node) admissionEvent(e admission.Event) {
	for _, a := range n.admission.Handle(n.sim.now, e, nil) {
		n.admissionAction(a)
	}
}

func (n *node) admissionAction(a admission.Action) {
	switch a := a.(type) {
	case admission.Dispatch:
		if s := n.served[a.Attempt]; s != nil {
			n.dispatch(s)
		}
	case admission.Refuse:
		if s := n.served[a.Attempt]; s != nil {
			delete(n.served, a.Attempt)
			n.refuse(s, a.Reason, a.RetryAfter)
		}
	case admission.Withdrawn:
		delete(n.served, a.Attempt)
		n.replyWithdraw(a.Attempt, call.Withdrawn)
	case admission.AlreadyStarted:
		n.replyWithdraw(a.Attempt, call.AlreadyStarted)
	case admission.Abort:
		if s := n.served[a.Attempt]; s != nil {
			n.abort(s)
		}
	}
}

func (n *node) refuse(s *servedAttempt, reason request.Reason, retryAfter time.Duration) {
	if reason == request.Overloaded || reason == request.QueueFull {
		n.sim.checker.recordDecision(n, s.message.priority, false)
	}
	n.respond(s, call.Refused{Attempt: s.stream.id, Reason: reason, RetryAfter: retryAfter})
}

// respond sends an event of the attempt to its source, with the load of this instance.
func (n *node) respond(s *servedAttempt, e call.Event) {
	l := n.admission.Load()
	r := loadReport{
		load:      route.Load{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Limit: uint32(l.Limit), Level: l.Level},
		pathLevel: min(l.Level, s.pathLevel),
	}
	if n.staleLoad != nil {
		r.load, r.pathLevel = *n.staleLoad, n.staleLoad.Level
	}
	st := s.stream
	st.send(n, st.source, func() { st.source.attemptEvent(st, e, &r) })
}

// withdraw withdraws an attempt. Only attempts sent to this incarnation are withdrawn.
func (n *node) withdraw(a call.Withdraw, reply func(call.WithdrawResult)) {
	if a.Choice.Incarnation != n.incarnation {
		reply(call.NoReply)
		return
	}
	n.withdrawals[a.Attempt] = reply
	n.admissionEvent(admission.Withdraw{Attempt: a.Attempt})
}

func (n *node) replyWithdraw(id request.AttemptID, r call.WithdrawResult) {
	if reply := n.withdrawals[id]; reply != nil {
		delete(n.withdrawals, id)
		reply(r)
	}
}

// cancelAttempt cancels an attempt whose stream was lost or closed by the source.
func (n *node) cancelAttempt(id request.AttemptID) {
	if n.served[id] != nil {
		n.admissionEvent(admission.Cancel{Attempt: id})
	}
}

func (n *node) dispatch(s *servedAttempt) {
	m := &s.message
	n.sim.checker.recordDecision(n, m.priority, true)
	if !m.idempotent {
		n.sessions.OpenCall(m.effect)
	}
	n.backend.execute(s)
}

// abort stops the execution of an attempt that was cancelled.
func (n *node) abort(s *servedAttempt) {
	s.execution.stopped = true
	n.release(s, admission.Aborted)
	n.respond(s, call.Finished{Attempt: s.stream.id, Parts: s.parts, Reason: request.DeadlineExceeded, Returned: s.account.Held()})
}

// release frees what an attempt holds and cancels its nested call.
func (n *node) release(s *servedAttempt, status admission.Status) {
	delete(n.served, s.stream.id)
	if !s.message.idempotent {
		n.sessions.CloseCall(s.message.effect)
	}
	if s.nested != nil && !s.nested.ended {
		s.nested.conn.gone = true
		s.nested.handle(call.CallerGone{})
	}
	if status != admission.Crashed {
		n.admissionEvent(admission.Finish{Attempt: s.stream.id, OwnTime: s.execution.ownTime(n.sim.now), Status: status})
	}
}

// sendPart passes a part of the response to the source.
func (n *node) sendPart(s *servedAttempt) {
	p := part{request: s.message.request.id, index: s.parts}
	s.parts++
	st := s.stream
	st.send(n, st.source, func() {
		st.parts[p.index] = p
		st.source.attemptEvent(st, call.Part{Attempt: st.id, Index: p.index}, nil)
	})
}

// finishAttempt ends an attempt that the backend server has answered.
func (n *node) finishAttempt(s *servedAttempt, o request.Outcome) {
	if s.stream.closed && n.served[s.stream.id] == nil {
		return
	}
	n.release(s, admission.Completed)
	n.respond(s, call.Finished{Attempt: s.stream.id, Parts: s.parts, Outcome: o, Returned: s.account.Held()})
}

// handleBackendCrash reports the crash to the sources of all running attempts. Queued attempts wait
// for the restart.
func (n *node) handleBackendCrash() {
	for _, s := range n.runningAttempts() {
		// The node counts the crash itself too, since a source that has lost its stream cannot. The
		// incarnation in the crash prevents counting it twice.
		n.reportCrash(s.message.request.fingerprint, n.depth, quarantine.Crash{Instance: n.id, Incarnation: n.backend.lastCrashed})
		n.release(s, admission.Crashed)
		n.respond(s, call.Crashed{Attempt: s.stream.id, Incarnation: n.backend.lastCrashed, Returned: s.account.Held()})
	}
}

func (n *node) reportCrash(f request.Fingerprint, depth int, c quarantine.Crash) {
	if n.sim.options.Weakened == CrashLimit {
		return
	}
	if r, changed := n.quarantine.ReportCrash(n.sim.now, f, services[depth], c); changed {
		n.memberEvent(member.CrashObserved{Record: r})
	}
}

// reportLoss records that the stream to a node was lost before the attempt ended. Unlike a crash, a
// loss causes no notices to other nodes.
func (n *node) reportLoss(f request.Fingerprint, depth int, l quarantine.Loss) {
	if n.sim.options.Weakened == CrashLimit {
		return
	}
	if r, changed := n.quarantine.ReportLoss(n.sim.now, f, services[depth], l); changed {
		n.memberEvent(member.CrashesMerged{Records: []quarantine.Record{r}})
	}
}

// runningAttempts returns the attempts at the backend server in the order of their start.
func (n *node) runningAttempts() []*servedAttempt {
	var out []*servedAttempt
	for _, s := range n.served {
		if s.execution != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *servedAttempt) int { return int(a.execution.seq) - int(b.execution.seq) })
	return out
}

// callNested makes the call of an attempt to the next service and passes its end to done.
func (n *node) callNested(s *servedAttempt, done func(call.End)) {
	m := message{
		request:    s.message.request,
		depth:      s.message.depth + 1,
		priority:   s.message.priority,
		idempotent: s.message.request.kind.isIdempotent(s.message.depth + 1),
		remaining:  s.message.arrived.Add(s.message.remaining).Sub(n.sim.now),
	}
	c := &conn{part: func(part) {}, end: done}
	s.nestedSends++
	if s.nestedSends > 1 && !s.account.Spend() {
		// Like a resend of a caller, a resend of the backend server spends an extra attempt.
		done(call.End{Outcome: request.Unknown, Reason: request.RetriesExhausted})
		return
	}
	if m.idempotent {
		s.nested = n.startCall(m, &s.account, c, nil)
		return
	}
	d := n.sessions.BeginNested(session.NestedSend{Parent: s.message.effect, Position: 1, Attempt: s.nestedSends})
	if n.sim.options.Weakened == AtMostOnce {
		d.Action, d.Effect = session.Run, s.message.effect.Nested(1)
	}
	if d.Action != session.Run {
		done(call.End{Outcome: d.Outcome, Reason: d.Reason})
		return
	}
	m.effect = d.Effect
	s.nested = n.startCall(m, &s.account, c, func(e call.End) {
		n.sessions.Finish(n.sim.now, d.Effect, session.Completion{Outcome: e.Outcome, Reason: e.Reason})
	})
}

// leave starts a graceful stop.
func (n *node) leave() {
	if n.leavingAt != 0 {
		return
	}
	n.leavingAt = n.sim.now
	if n.sim.options.Weakened == GracefulStop {
		n.after(0, n.stop)
	}
	if n.sim.options.Weakened == LeavingGetsNoWork {
		return
	}
	var sources []request.InstanceID
	for _, m := range n.members {
		sources = append(sources, m.Instance)
	}
	n.memberEvent(member.Leave{Sources: sources})
	n.after(leaveGracePeriod, func() { n.admissionEvent(admission.Drain{}) })
}

// stopWhenIdle ends a draining process one second after its last call and attempt have ended.
func (n *node) stopWhenIdle() {
	if n.admission.Draining() && len(n.served) == 0 && n.activeCalls == 0 && !n.stopping {
		n.stopping = true
		n.after(time.Second, n.stop)
	}
}

// stop ends the process and reports the attempts and calls that it interrupts.
func (n *node) stop() {
	if n.dead {
		return
	}
	if count := len(n.runningAttempts()) + n.activeCalls; count > 0 {
		n.sim.checker.addViolation(GracefulStop, "stopping %s interrupts %d attempts or calls", n.id, count)
	}
	n.kill()
}
