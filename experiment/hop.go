package experiment

import (
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// hop is one call of a chain at its source.
type hop struct {
	sim      *simulation
	send     *send
	node     *instance
	parent   *attempt
	position int
	priority request.Priority
	deadline request.Instant
	account  *budget.Account
	call     *call.Call
	attempts []*attempt
	// pathLevel is the lowest admission level that destinations further down the chain have reported.
	pathLevel request.Priority
	done      func(call.End)
	ended     bool
}

// newHop returns the call at a position of the chain. parent is nil at the first node.
func (s *simulation) newHop(c *send, node *instance, parent *attempt, position int) *hop {
	h := &hop{sim: s, send: c, node: node, parent: parent, position: position, pathLevel: request.PriorityCount}
	h.priority = c.request.priority
	h.deadline = c.deadline
	if !s.variant.priority {
		h.priority = request.Priority(s.random.IntN(int(request.PriorityCount)))
	}
	if !s.variant.deadline {
		h.deadline = s.clock.now.Add(c.request.chain.Timeout * time.Duration(1+s.variant.retries))
	}
	switch {
	case s.variant.retries > 0:
		a := budget.NewAccount(s.variant.retries)
		h.account = &a
	case parent != nil:
		h.account = &parent.account
	default:
		h.account = c.account
	}
	return h
}

func (h *hop) start() {
	h.call = call.New(h.plan(), call.Dependencies{
		Router:      h.router(),
		Account:     h.account,
		Limiter:     h.limiter(),
		NextAttempt: h.node.nextAttempt,
	})
	h.handle(call.Start{})
}

func (h *hop) router() call.Router {
	if h.sim.variant.isBaseline() {
		return repeatingRouter{h.node.table}
	}
	return h.node.table
}

func (h *hop) limiter() call.Limiter {
	if h.sim.variant.retries > 0 {
		return unlimitedRetries{}
	}
	return h.node.limiter
}

// repeatingRouter permits retries to an instance that already had an attempt.
type repeatingRouter struct{ table *route.Table }

// Pick chooses among all instances.
func (r repeatingRouter) Pick(now request.Instant, s request.ServiceID, p request.Priority, _ []request.InstanceID) (route.Choice, route.PickResult) {
	return r.table.Pick(now, s, p, nil)
}

// unlimitedRetries is a retry limiter without a limit.
type unlimitedRetries struct{}

// Allow permits every retry.
func (unlimitedRetries) Allow(request.Instant, request.ServiceID) bool { return true }

// RecordSuccess does nothing.
func (unlimitedRetries) RecordSuccess(request.Instant, request.ServiceID) {}

func (h *hop) handle(e call.Event) {
	for _, action := range h.call.Handle(h.sim.clock.now, e, nil) {
		switch action := action.(type) {
		case call.Send:
			h.transmit(action)
		case call.Withdraw:
			h.withdraw(h.find(action.Attempt))
		case call.Cancel:
			h.cancel(h.find(action.Attempt))
		case call.SetTimer:
			h.sim.clock.after(action.At.Sub(h.sim.clock.now), func() {
				if !h.ended {
					h.handle(call.Timer{})
				}
			})
		case call.End:
			h.ended = true
			h.done(action)
		}
	}
}

func (h *hop) find(id request.AttemptID) *attempt {
	for _, a := range h.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// connectTimeout is the time after which a source gives up an attempt to an unreachable instance.
const connectTimeout = 100 * time.Millisecond

func (h *hop) transmit(s call.Send) {
	to := h.sim.byID[s.Choice.Instance]
	a := &attempt{
		sim: h.sim, hop: h, instance: to, id: s.Attempt, priority: h.priority,
		remaining: s.Remaining, account: budget.NewAccount(s.Lent),
	}
	h.attempts = append(h.attempts, a)
	h.node.table.Begin(h.sim.clock.now, to.id)
	h.send.recordAttempt(h.position)
	if !h.sim.reachable(h.node.zone, to.zone) {
		h.sim.clock.after(connectTimeout, func() { h.handleBroken(a) })
		return
	}
	delay := h.sim.delay(h.node.zone, to.zone)
	a.remaining -= delay
	h.sim.clock.after(delay, a.arrive)
	if h.sim.variant.retries > 0 && !h.sim.variant.deadline {
		// Each hop waits for its own timeout and then retries.
		h.sim.clock.after(h.send.request.chain.Timeout, func() { h.handleBroken(a) })
	}
}

// closeAttempt closes an attempt at its source and reports whether it was open.
func (h *hop) closeAttempt(a *attempt) bool {
	if a.closed {
		return false
	}
	a.closed = true
	h.node.table.Done(a.instance.id)
	return true
}

func (h *hop) handleRefused(a *attempt, r request.Reason, retryAfter time.Duration) {
	if !h.closeAttempt(a) {
		return
	}
	h.recordLoad(a)
	// Refusals because of overload are not recorded in the route table. When they were, they blocked a
	// whole class as long as probes were refused, and 42% of the work was wasted at ten times the
	// load.
	if !h.sim.variant.isBaseline() && r == request.Draining {
		h.node.table.RecordRefusal(h.sim.clock.now, a.instance.id, a.priority, h.sim.clock.now.Add(retryAfter))
	}
	h.handle(call.Refused{Attempt: a.id, Reason: r, RetryAfter: retryAfter})
}

func (h *hop) handleFinished(a *attempt, o request.Outcome) {
	if !h.closeAttempt(a) {
		return
	}
	h.recordLoad(a)
	if h.sim.variant.isBaseline() && o == request.Failed {
		// The baselines retry after errors.
		h.handle(call.StreamLost{Attempt: a.id})
		return
	}
	parts := uint32(0)
	if o == request.Answered {
		parts = 1
		h.handle(call.Part{Attempt: a.id})
	}
	h.handle(call.Finished{Attempt: a.id, Parts: parts, Outcome: o, Returned: a.account.Held()})
}

func (h *hop) handleBroken(a *attempt) {
	if !h.closeAttempt(a) {
		return
	}
	if !a.instance.up || !h.sim.reachable(h.node.zone, a.instance.zone) {
		h.node.table.RecordFailure(h.sim.clock.now, a.instance.id)
	}
	h.handle(call.StreamLost{Attempt: a.id})
}

// recordLoad records the load and the admission level that a response reports.
func (h *hop) recordLoad(a *attempt) {
	l := a.instance.loadReport()
	h.node.table.RecordLoad(h.sim.clock.now, a.instance.id, l)
	h.pathLevel = min(h.pathLevel, a.pathLevel, l.Level)
	if h.parent == nil && h.sim.variant.earlyShed {
		h.node.table.RecordLevel(h.sim.clock.now, a.hop.plan().Service, h.send.request.chain.Operation, h.pathLevel)
	}
}

func (h *hop) withdraw(a *attempt) {
	if !h.sim.reachable(h.node.zone, a.instance.zone) {
		return
	}
	delay := h.sim.delay(h.node.zone, a.instance.zone)
	h.sim.clock.after(delay, func() {
		result := call.NoReply
		if a.instance.up {
			result = call.AlreadyStarted
			if a.instance.gate.withdraw(a) {
				result = call.Withdrawn
				a.markEnded()
			}
		}
		h.sim.clock.after(delay, func() { h.handle(call.WithdrawReply{Attempt: a.id, Result: result}) })
	})
}

func (h *hop) cancel(a *attempt) {
	h.closeAttempt(a)
	if !h.sim.variant.deadline || !h.sim.reachable(h.node.zone, a.instance.zone) {
		return
	}
	h.sim.clock.after(h.sim.delay(h.node.zone, a.instance.zone), func() {
		if a.instance.up && a.state != attemptEnded {
			a.instance.gate.cancel(a)
		}
	})
}
