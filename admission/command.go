package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// pendingAction is an action stored as a struct, because an interface value would need an allocation.
type pendingAction struct {
	kind       actionKind
	attempt    request.AttemptID
	reason     request.Reason
	retryAfter time.Duration
}

type actionKind uint8

const (
	actionDispatch actionKind = iota
	actionRefuse
	actionWithdrawn
	actionAlreadyStarted
	actionAbort
	actionDrained
)

func (p pendingAction) action() Action {
	switch p.kind {
	case actionDispatch:
		return Dispatch{Attempt: p.attempt}
	case actionWithdrawn:
		return Withdrawn{Attempt: p.attempt}
	case actionAlreadyStarted:
		return AlreadyStarted{Attempt: p.attempt}
	case actionAbort:
		return Abort{Attempt: p.attempt}
	case actionDrained:
		return Drained{}
	default:
		return Refuse{Attempt: p.attempt, Reason: p.reason, RetryAfter: p.retryAfter}
	}
}

// Handle processes one event and appends the resulting actions to out, including those pending from earlier calls of Admit and
// HandleFinish.
func (c *Controller) Handle(now request.Instant, e Event, out []Action) []Action {
	switch e := e.(type) {
	case Arrive:
		out = appendDecision(out, e.Attempt, c.Admit(now, e))
	case Withdraw:
		c.withdraw(now, e.Attempt)
	case Cancel:
		c.cancel(now, e.Attempt)
	case Finish:
		c.finish(now, e)
	case Tick:
		c.tick(now)
	case Drain:
		c.draining = true
		c.reportDrained()
	case BackendRestarted:
		c.restart(now)
	}
	return c.Collect(out)
}

func appendDecision(out []Action, a request.AttemptID, r Result) []Action {
	switch r.Decision {
	case Dispatched:
		return append(out, Dispatch{Attempt: a})
	case Refused:
		return append(out, Refuse{Attempt: a, Reason: r.Reason, RetryAfter: r.RetryAfter})
	default:
		return out
	}
}

// Collect appends the actions pending from earlier calls of Admit and HandleFinish to out.
func (c *Controller) Collect(out []Action) []Action {
	for _, p := range c.pending {
		out = append(out, p.action())
	}
	c.pending = c.pending[:0]
	return out
}

// withdraw confirms the withdrawal only of an attempt that has not started and can no longer start.
func (c *Controller) withdraw(now request.Instant, a request.AttemptID) {
	p := c.table.find(a)
	kind := actionAlreadyStarted
	switch {
	case p != 0 && c.table.at(p).state == stateQueued:
		c.withdrawQueued(now, p)
		kind = actionWithdrawn
	case p != 0 && c.table.at(p).state == stateTombstone:
		kind = actionWithdrawn
	case p == 0 && !c.history.isFull() && !c.history.mayHaveRun(a, now):
		c.history.addTombstone(&c.table, c.table.insert(a), now)
		kind = actionWithdrawn
	}
	c.pending = append(c.pending, pendingAction{kind: kind, attempt: a})
	c.reportDrained()
}

func (c *Controller) withdrawQueued(now request.Instant, p position) {
	c.queueOf(c.table.at(p)).remove(&c.table, p)
	c.history.addTombstone(&c.table, p, now)
}

func (c *Controller) cancel(now request.Instant, a request.AttemptID) {
	p := c.table.find(a)
	if p == 0 {
		return
	}
	switch c.table.at(p).state {
	case stateQueued:
		c.withdrawQueued(now, p)
		c.pending = append(c.pending, pendingAction{kind: actionWithdrawn, attempt: a})
	case stateRunning:
		c.pending = append(c.pending, pendingAction{kind: actionAbort, attempt: a})
	}
	c.reportDrained()
}

func (c *Controller) finish(now request.Instant, f Finish) {
	c.advance(now)
	p := c.table.find(f.Attempt)
	if p == 0 || c.table.at(p).state != stateRunning {
		return
	}
	total := now.Sub(c.table.at(p).since)
	c.limiter.observe(total, min(f.OwnTime, total))
	c.releaseSlot(now, p)
	c.dispatchQueued(now)
	c.reportDrained()
}

func (c *Controller) releaseSlot(now request.Instant, p position) {
	if c.table.at(p).suspect {
		c.suspectRunning = false
	}
	c.running--
	c.history.addFinished(&c.table, p, now)
}

// dispatchQueued dispatches queued attempts while slots are free.
func (c *Controller) dispatchQueued(now request.Instant) {
	for c.running < c.limiter.limitAt(now) {
		q := c.nextQueue()
		p := q.first()
		if p == 0 {
			return
		}
		if c.refuseIfLate(now, q, p) {
			continue
		}
		q.remove(&c.table, p)
		c.start(now, p)
		c.pending = append(c.pending, pendingAction{kind: actionDispatch, attempt: c.table.at(p).attempt})
	}
}

// nextQueue returns the queue whose first entry is the most important one that may start.
func (c *Controller) nextQueue() *queue {
	s, w := c.suspects.first(), c.waiting.first()
	if s == 0 || c.suspectRunning {
		return &c.waiting
	}
	if w == 0 || c.table.at(s).priority < c.table.at(w).priority {
		return &c.suspects
	}
	return &c.waiting
}

// refuseIfLate refuses a queued entry whose deadline has passed, or that is not protected and has less time left than the
// service time. It reports whether it refused the entry.
func (c *Controller) refuseIfLate(now request.Instant, q *queue, p position) bool {
	e := c.table.at(p)
	remaining := e.deadline.Sub(now)
	if remaining <= 0 {
		c.refuseQueued(now, q, p, request.DeadlineExceeded)
		return true
	}
	if remaining >= c.limiter.serviceTime || c.isProtected(now, e.priority) {
		return false
	}
	priority := e.priority
	c.refuseQueued(now, q, p, request.DeadlineTooShort)
	c.recordLoadRefusal(now, priority)
	c.levels.deadlineRefused = true
	return true
}

func (c *Controller) tick(now request.Instant) {
	c.advance(now)
	c.history.expire(&c.table, now)
	c.refuseLate(now, &c.waiting)
	c.refuseLate(now, &c.suspects)
	c.dispatchQueued(now)
	c.reportDrained()
}

func (c *Controller) refuseLate(now request.Instant, q *queue) {
	if q.length == 0 {
		return
	}
	for i := range q.buckets {
		for p := q.buckets[i].head; p != 0; {
			next := c.table.at(p).next
			c.refuseIfLate(now, q, p)
			p = next
		}
	}
}

// advance ends the control interval when its time has passed or a surge is detected, and the overflow when essential
// attempts are no longer protected.
func (c *Controller) advance(now request.Instant) {
	elapsed := now.Sub(c.levels.start)
	if elapsed >= c.settings.Interval || c.isSurge(now, elapsed) {
		c.endInterval(now, elapsed)
	}
	if c.overflow && !c.isProtected(now, 0) {
		c.evictExcess(now)
	}
}

// isSurge reports whether admitted arrivals far exceed the capacity. The interval
// then ends early to lower the level, because until then upstream services
// spend work on requests that are refused here.
func (c *Controller) isSurge(now request.Instant, elapsed time.Duration) bool {
	if !c.levels.loadRefused || elapsed < c.settings.Interval/surgeDivisor || c.waiting.length < c.settings.QueueLimit {
		return false
	}
	return c.levels.belowLevel >= surgeSamples && float64(c.levels.belowLevel) > surgeFactor*c.limiter.serviceRate(now)*elapsed.Seconds()
}

func (c *Controller) endInterval(now request.Instant, elapsed time.Duration) {
	c.limiter.endInterval(elapsed, c.levels.deadlineRefused)
	capacity := c.limiter.serviceRate(now) * elapsed.Seconds()
	room := queueTargetShare*float64(c.settings.QueueLimit) - float64(c.queued())
	c.levels.endInterval(now, capacity, room)
	c.dispatchQueued(now)
}

// evictExcess ends an overflow and evicts the entries above the queue limit.
func (c *Controller) evictExcess(now request.Instant) {
	c.overflow = false
	for _, q := range []*queue{&c.waiting, &c.suspects} {
		for q.length > c.settings.QueueLimit {
			c.evict(now, q)
		}
	}
}

// restart releases the slots of the running attempts, which the restarted backend server has lost, and begins a new warm-up.
func (c *Controller) restart(now request.Instant) {
	for i := range c.table.entries {
		if c.table.entries[i].state == stateRunning {
			c.releaseSlot(now, position(i))
		}
	}
	c.limiter.restart(now)
	c.dispatchQueued(now)
	c.reportDrained()
}

func (c *Controller) reportDrained() {
	if c.draining && !c.drained && c.running == 0 && c.queued() == 0 {
		c.drained = true
		c.pending = append(c.pending, pendingAction{kind: actionDrained})
	}
}

// HandleFinish applies a Finish without the allocation of an Event and reports whether actions wait for Collect.
func (c *Controller) HandleFinish(now request.Instant, f Finish) (pending bool) {
	c.finish(now, f)
	return len(c.pending) > 0
}
