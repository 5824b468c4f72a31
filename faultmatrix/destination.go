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

// leavingLimit is the time after the announcement for which a leaving node still takes new work (design 4.14).
const leavingLimit = 3 * time.Second

// served is an attempt at its destination.
type served struct {
	stream    *stream
	message   message
	account   budget.Account
	pathLevel request.Priority
	run       *execution
	nested    *sourceCall
	sends     uint16 // of the nested call
	parts     uint32
}

// arrive takes an attempt that a source sent.
func (n *node) arrive(st *stream, m message) {
	w := n.world
	m.arrived = w.now
	s := &served{stream: st, message: m, account: budget.NewAccount(m.lent), pathLevel: request.MaxPriority}
	n.quarantine.Merge(w.now, []quarantine.Record{{Fingerprint: m.request.fingerprint, Service: services[n.depth], Losses: m.losses}})
	known, _ := n.quarantine.Record(w.now, m.request.fingerprint)
	known.Count = max(known.Count, m.crashes)
	switch state := known.State(); {
	case state == quarantine.Quarantined:
		n.refuse(s, request.Quarantined, 0)
	case !n.backend.up || !n.ready:
		n.refuse(s, request.NoInstance, 100*time.Millisecond)
	default:
		n.served[st.id] = s
		n.admit(admission.Arrive{
			Attempt:     st.id,
			Priority:    n.world.priorityForAdmission(m.priority),
			Remaining:   m.remaining,
			Fingerprint: m.request.fingerprint,
			Suspect:     state == quarantine.Suspect,
		})
		n.noteQueued(s)
	}
}

// priorityForAdmission hides the class if the order of shedding is weakened.
func (w *World) priorityForAdmission(p request.Priority) request.Priority {
	if w.options.Weakened == SheddingOrder {
		return request.Priority(w.random.IntN(int(request.MaxPriority)))
	}
	return p
}

func (n *node) noteQueued(s *served) {
	if n.served[s.stream.id] == nil || s.run != nil {
		return
	}
	n.world.record.decided(n, s.message.priority, true)
	n.world.reached(Queued, s.message.request, s.message.depth, s.stream.source, n)
}

// admit hands an event to the controller and carries out what follows.
func (n *node) admit(e admission.Event) {
	for _, a := range n.admission.Handle(n.world.now, e, nil) {
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
		n.withdrawn(a.Attempt, call.Withdrawn)
	case admission.AlreadyStarted:
		n.withdrawn(a.Attempt, call.AlreadyStarted)
	case admission.Abort:
		if s := n.served[a.Attempt]; s != nil {
			n.abort(s)
		}
	}
}

func (n *node) refuse(s *served, reason request.Reason, retryAfter time.Duration) {
	if reason == request.Overloaded || reason == request.QueueFull {
		n.world.record.decided(n, s.message.priority, false)
	}
	n.respond(s, call.Refused{Attempt: s.stream.id, Reason: reason, RetryAfter: retryAfter})
}

// respond sends an event of the attempt to its source, with the load of this instance.
func (n *node) respond(s *served, e call.Event) {
	l := n.admission.Load()
	r := report{
		load:      route.Load{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Limit: uint32(l.Limit), Level: l.Level},
		pathLevel: min(l.Level, s.pathLevel),
	}
	if n.staleLoad != nil {
		r.load, r.pathLevel = *n.staleLoad, n.staleLoad.Level
	}
	st := s.stream
	st.send(n, st.source, func() { st.source.attemptEvent(st, e, &r) })
}

// withdraw answers for attempts that were sent to this process only.
func (n *node) withdraw(a call.Withdraw, reply func(call.WithdrawResult)) {
	if a.Choice.Incarnation != n.incarnation {
		reply(call.NoReply)
		return
	}
	n.withdrawals[a.Attempt] = reply
	n.admit(admission.Withdraw{Attempt: a.Attempt})
}

func (n *node) withdrawn(id request.AttemptID, r call.WithdrawResult) {
	if reply := n.withdrawals[id]; reply != nil {
		delete(n.withdrawals, id)
		reply(r)
	}
}

// cancelled tells that the source of an attempt is gone.
func (n *node) cancelled(id request.AttemptID) {
	if n.served[id] != nil {
		n.admit(admission.Cancel{Attempt: id})
	}
}

func (n *node) dispatch(s *served) {
	m := &s.message
	n.world.record.decided(n, m.priority, true)
	if !m.idempotent {
		n.sessions.OpenCall(m.effect)
	}
	n.backend.begin(s)
}

// abort stops an attempt at the backend server.
func (n *node) abort(s *served) {
	s.run.stopped = true
	n.release(s, admission.Aborted)
	n.respond(s, call.Finished{Attempt: s.stream.id, Parts: s.parts, Reason: request.DeadlineExceeded, Returned: s.account.Held()})
}

// release frees what an attempt holds, and stops the nested call that it waits for.
func (n *node) release(s *served, status admission.Status) {
	delete(n.served, s.stream.id)
	if !s.message.idempotent {
		n.sessions.EndCall(s.message.effect)
	}
	if s.nested != nil && !s.nested.ended {
		s.nested.conn.gone = true
		s.nested.handle(call.CallerGone{})
	}
	if status != admission.Crashed {
		n.admit(admission.Finish{Attempt: s.stream.id, OwnTime: s.run.ownTime(n.world.now), Status: status})
	}
}

// sendPart passes a part of the response on to the source.
func (n *node) sendPart(s *served) {
	p := part{request: s.message.request.id, index: s.parts}
	s.parts++
	st := s.stream
	st.send(n, st.source, func() {
		st.parts[p.index] = p
		st.source.attemptEvent(st, call.Part{Attempt: st.id, Index: p.index}, nil)
	})
}

// finished ends an attempt that the backend server has answered.
func (n *node) finished(s *served, o request.Outcome) {
	if s.stream.closed && n.served[s.stream.id] == nil {
		return
	}
	n.release(s, admission.Completed)
	n.respond(s, call.Finished{Attempt: s.stream.id, Parts: s.parts, Outcome: o, Returned: s.account.Held()})
}

// backendCrashed tells the sources of all running attempts; what is queued waits for the restart.
func (n *node) backendCrashed() {
	for _, s := range n.running() {
		// The node counts the crash as well, since a source that has lost the stream cannot. The identity of the crash keeps it from counting twice.
		n.countCrash(s.message.request.fingerprint, n.depth, quarantine.Crash{Instance: n.id, Incarnation: n.backend.crashed})
		n.release(s, admission.Crashed)
		n.respond(s, call.Crashed{Attempt: s.stream.id, Incarnation: n.backend.crashed, Returned: s.account.Held()})
	}
}

func (n *node) countCrash(f request.Fingerprint, depth int, c quarantine.Crash) {
	if n.world.options.Weakened == CrashLimit {
		return
	}
	if r, changed := n.quarantine.Report(n.world.now, f, services[depth], c); changed {
		n.memberEvent(member.CrashObserved{Record: r})
	}
}

// countLoss records that the stream to a node was lost without an end. It is no reason for notices.
func (n *node) countLoss(f request.Fingerprint, depth int, l quarantine.Loss) {
	if n.world.options.Weakened == CrashLimit {
		return
	}
	if r, changed := n.quarantine.ReportLoss(n.world.now, f, services[depth], l); changed {
		n.memberEvent(member.CrashesMerged{Records: []quarantine.Record{r}})
	}
}

// running returns the attempts at the backend server in a fixed order.
func (n *node) running() []*served {
	var out []*served
	for _, s := range n.served {
		if s.run != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *served) int { return int(a.run.number) - int(b.run.number) })
	return out
}

// nested runs the call that an attempt makes to the next service, and hands its end to done.
func (n *node) nested(s *served, done func(call.End)) {
	m := message{
		request:    s.message.request,
		depth:      s.message.depth + 1,
		priority:   s.message.priority,
		idempotent: s.message.request.kind.isIdempotent(s.message.depth + 1),
		remaining:  s.message.arrived.Add(s.message.remaining).Sub(n.world.now),
	}
	c := &conn{part: func(part) {}, end: done}
	s.sends++
	if s.sends > 1 && !s.account.Spend() {
		// A resend of the backend server draws on the account, as a resend of a caller does.
		done(call.End{Outcome: request.Unknown, Reason: request.RetriesExhausted})
		return
	}
	if m.idempotent {
		s.nested = n.startCall(m, &s.account, c, nil)
		return
	}
	d := n.sessions.BeginNested(session.NestedSend{Parent: s.message.effect, Position: 1, Attempt: s.sends})
	if n.world.options.Weakened == AtMostOnce {
		d.Verdict, d.Effect = session.Run, s.message.effect.Nested(1)
	}
	if d.Verdict != session.Run {
		done(call.End{Outcome: d.Outcome, Reason: d.Reason})
		return
	}
	m.effect = d.Effect
	s.nested = n.startCall(m, &s.account, c, func(e call.End) {
		n.sessions.Finish(n.world.now, d.Effect, session.End{Outcome: e.Outcome, Reason: e.Reason})
	})
}

// leave begins a planned stop.
func (n *node) leave() {
	if n.leavingAt != 0 {
		return
	}
	n.leavingAt = n.world.now
	if n.world.options.Weakened == GracefulStop {
		n.after(0, n.stop)
	}
	if n.world.options.Weakened == LeavingGetsNoWork {
		return
	}
	var sources []request.InstanceID
	for _, m := range n.members {
		sources = append(sources, m.Instance)
	}
	n.memberEvent(member.Leave{Sources: sources})
	n.after(leavingLimit, func() { n.admit(admission.Drain{}) })
}

// stopWhenIdle ends a leaving process that has nothing left to do.
func (n *node) stopWhenIdle() {
	if n.admission.Draining() && len(n.served) == 0 && n.active == 0 && !n.stopping {
		n.stopping = true
		n.after(time.Second, n.stop)
	}
}

// stop ends the process and notes what it interrupts.
func (n *node) stop() {
	if n.dead {
		return
	}
	if count := len(n.running()) + n.active; count > 0 {
		n.world.record.violate(GracefulStop, "the stop of %s interrupts %d attempts or calls", n.id, count)
	}
	n.kill()
}
