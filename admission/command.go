package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// effect is an action without an interface value, so that it can be kept without an allocation.
type effect struct {
	kind       effectKind
	attempt    request.AttemptID
	reason     request.Reason
	retryAfter time.Duration
}

type effectKind uint8

const (
	effectDispatch effectKind = iota
	effectRefuse
	effectWithdrawn
	effectAlreadyStarted
	effectAbort
	effectDrained
)

func (e effect) action() Action {
	switch e.kind {
	case effectDispatch:
		return Dispatch{Attempt: e.attempt}
	case effectWithdrawn:
		return Withdrawn{Attempt: e.attempt}
	case effectAlreadyStarted:
		return AlreadyStarted{Attempt: e.attempt}
	case effectAbort:
		return Abort{Attempt: e.attempt}
	case effectDrained:
		return Drained{}
	default:
		return Refuse{Attempt: e.attempt, Reason: e.reason, RetryAfter: e.retryAfter}
	}
}

// Handle applies an event and appends the resulting actions to out, including those of former calls of Admit.
func (c *Controller) Handle(now request.Instant, e Event, out []Action) []Action {
	switch e := e.(type) {
	case Arrive:
		out = appendVerdict(out, e.Attempt, c.Admit(now, e))
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
	case Restarted:
		c.restart(now)
	}
	return c.Collect(out)
}

func appendVerdict(out []Action, a request.AttemptID, v Verdict) []Action {
	switch v.Decision {
	case Dispatched:
		return append(out, Dispatch{Attempt: a})
	case Refused:
		return append(out, Refuse{Attempt: a, Reason: v.Reason, RetryAfter: v.RetryAfter})
	default:
		return out
	}
}

// Collect appends the actions that Admit left pending to out.
func (c *Controller) Collect(out []Action) []Action {
	for _, e := range c.pending {
		out = append(out, e.action())
	}
	c.pending = c.pending[:0]
	return out
}

// withdraw answers truthfully: only an attempt that has not begun and cannot begin is withdrawn.
func (c *Controller) withdraw(now request.Instant, a request.AttemptID) {
	p := c.table.find(a)
	kind := effectAlreadyStarted
	switch {
	case p != 0 && c.table.at(p).state == stateQueued:
		c.removeQueued(now, p)
		kind = effectWithdrawn
	case p != 0 && c.table.at(p).state == stateTombstone:
		kind = effectWithdrawn
	case p == 0 && !c.memory.isFull() && !c.memory.mayHaveRun(a, now):
		c.memory.bury(&c.table, c.table.insert(a), now)
		kind = effectWithdrawn
	}
	c.pending = append(c.pending, effect{kind: kind, attempt: a})
	c.reportDrained()
}

func (c *Controller) removeQueued(now request.Instant, p position) {
	c.queueOf(c.table.at(p)).remove(&c.table, p)
	c.memory.bury(&c.table, p, now)
}

func (c *Controller) cancel(now request.Instant, a request.AttemptID) {
	p := c.table.find(a)
	if p == 0 {
		return
	}
	switch c.table.at(p).state {
	case stateQueued:
		c.removeQueued(now, p)
		c.pending = append(c.pending, effect{kind: effectWithdrawn, attempt: a})
	case stateRunning:
		c.pending = append(c.pending, effect{kind: effectAbort, attempt: a})
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
	c.limit.observe(total, min(f.OwnTime, total))
	c.release(now, p)
	c.fill(now)
	c.reportDrained()
}

func (c *Controller) release(now request.Instant, p position) {
	if c.table.at(p).suspect {
		c.suspectRunning = false
	}
	c.running--
	c.memory.finish(&c.table, p, now)
}

// fill dispatches queued attempts to free slots.
func (c *Controller) fill(now request.Instant) {
	for c.running < c.limit.at(now) {
		q := c.nextQueue()
		p := q.first()
		if p == 0 {
			return
		}
		if c.dropDead(now, q, p) {
			continue
		}
		q.remove(&c.table, p)
		c.start(now, p)
		c.pending = append(c.pending, effect{kind: effectDispatch, attempt: c.table.at(p).attempt})
	}
}

// nextQueue returns the queue with the most important entry that may run.
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

// dropDead refuses an entry that can no longer complete within its deadline.
func (c *Controller) dropDead(now request.Instant, q *queue, p position) bool {
	e := c.table.at(p)
	remaining := e.deadline.Sub(now)
	if remaining <= 0 {
		c.drop(now, q, p, request.DeadlineExceeded)
		return true
	}
	if remaining >= c.limit.total || c.isProtected(now, e.priority) {
		return false
	}
	priority := e.priority
	c.drop(now, q, p, request.DeadlineTooShort)
	c.noteLoadRefusal(now, priority)
	c.level.starved = true
	return true
}

func (c *Controller) tick(now request.Instant) {
	c.advance(now)
	c.memory.sweep(&c.table, now)
	c.dropAllDead(now, &c.waiting)
	c.dropAllDead(now, &c.suspects)
	c.fill(now)
	c.reportDrained()
}

func (c *Controller) dropAllDead(now request.Instant, q *queue) {
	if q.length == 0 {
		return
	}
	for i := range q.buckets {
		for p := q.buckets[i].head; p != 0; {
			next := c.table.at(p).next
			c.dropDead(now, q, p)
			p = next
		}
	}
}

// advance ends the control interval if it is over, and the overflow if its protection is over.
func (c *Controller) advance(now request.Instant) {
	elapsed := now.Sub(c.level.start)
	if elapsed >= c.settings.Interval || c.isFlooded(now, elapsed) {
		c.endInterval(now, elapsed)
	}
	if c.overflow && !c.isProtected(now, 0) {
		c.trim(now)
	}
}

// isFlooded reports whether a surge has begun within the interval. The level
// then falls at once, since services upstream work in vain until it does.
func (c *Controller) isFlooded(now request.Instant, elapsed time.Duration) bool {
	if !c.level.pressed || elapsed < c.settings.Interval/floodDivisor || c.waiting.length < c.settings.QueueLimit {
		return false
	}
	return c.level.below >= floodSamples && float64(c.level.below) > floodFactor*c.limit.perSecond(now)*elapsed.Seconds()
}

func (c *Controller) endInterval(now request.Instant, elapsed time.Duration) {
	c.limit.endInterval(elapsed, c.level.starved)
	capacity := c.limit.perSecond(now) * elapsed.Seconds()
	room := queueTargetShare*float64(c.settings.QueueLimit) - float64(c.queued())
	c.level.endInterval(now, capacity, room)
	c.fill(now)
}

// trim evicts what exceeds the queue limit after an overflow.
func (c *Controller) trim(now request.Instant) {
	c.overflow = false
	for _, q := range []*queue{&c.waiting, &c.suspects} {
		for q.length > c.settings.QueueLimit {
			c.evict(now, q)
		}
	}
}

// restart forgets the running attempts, which the backend server lost, and begins a ramp.
func (c *Controller) restart(now request.Instant) {
	for i := range c.table.entries {
		if c.table.entries[i].state == stateRunning {
			c.release(now, position(i))
		}
	}
	c.limit.restart(now)
	c.fill(now)
	c.reportDrained()
}

func (c *Controller) reportDrained() {
	if c.draining && !c.drained && c.running == 0 && c.queued() == 0 {
		c.drained = true
		c.pending = append(c.pending, effect{kind: effectDrained})
	}
}

// Done applies a Finish without an interface value and reports whether actions wait for Collect.
func (c *Controller) Done(now request.Instant, f Finish) (pending bool) {
	c.finish(now, f)
	return len(c.pending) > 0
}
