package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Admit decides about an arriving attempt; it does not allocate unless a table has to grow.
func (c *Controller) Admit(now request.Instant, a Arrive) Result {
	c.advance(now)
	r := c.decide(now, a)
	if r.Decision == Queued {
		c.dispatchQueued(now)
	}
	r.Pending = len(c.pending) > 0
	return r
}

func (c *Controller) decide(now request.Instant, a Arrive) Result {
	a.Priority = min(a.Priority, request.PriorityCount-1)
	if p := c.table.find(a.Attempt); p != 0 {
		return c.refuseDuplicate(p)
	}
	if c.draining {
		return Result{Reason: request.Draining}
	}
	c.levels.count(a.Priority)
	if a.Remaining <= 0 {
		return Result{Reason: request.DeadlineExceeded}
	}
	if c.isAboveLevel(now, a.Priority) {
		return c.refuseForLoad(now, a, request.Overloaded)
	}
	if a.Remaining < c.limiter.serviceTime {
		c.levels.deadlineRefused = true
		return Result{Reason: request.DeadlineTooShort, RetryAfter: c.retryAfter(a.Attempt)}
	}
	if c.canStart(now, a.Suspect) {
		c.start(now, c.insert(now, a))
		return Result{Decision: Dispatched}
	}
	if a.Remaining < c.expectedWait(now, a.Priority)+c.limiter.serviceTime && !c.isProtected(now, a.Priority) {
		c.levels.deadlineRefused = true
		return c.refuseForLoad(now, a, request.DeadlineTooShort)
	}
	return c.enqueue(now, a)
}

// refuseDuplicate refuses an attempt that has arrived before. Only a tombstone
// proves that the attempt has not run and will not run.
func (c *Controller) refuseDuplicate(p position) Result {
	if c.table.at(p).state == stateTombstone {
		return Result{Reason: request.Withdrawn}
	}
	return Result{Reason: request.InProgress}
}

func (c *Controller) isAboveLevel(now request.Instant, p request.Priority) bool {
	if p.Class() == request.Bulk && c.isBulkRefused(now) {
		return true
	}
	return p >= c.effectiveLevel() && !c.isProtected(now, p)
}

// effectiveLevel returns the level that arrivals are checked against. While the
// queue is less than half full, the level of the previous interval applies if
// it is higher: sources learn of a lower level with a delay, and the attempts
// that they sent in the meantime have already cost work upstream.
func (c *Controller) effectiveLevel() request.Priority {
	if c.queued() < c.settings.QueueLimit/2 {
		return max(c.levels.current, c.levels.previous)
	}
	return c.levels.current
}

func (c *Controller) refuseForLoad(now request.Instant, a Arrive, r request.Reason) Result {
	c.recordLoadRefusal(now, a.Priority)
	return Result{Reason: r, RetryAfter: c.retryAfter(a.Attempt)}
}

func (c *Controller) recordLoadRefusal(now request.Instant, p request.Priority) {
	c.levels.loadRefused = true
	if p.Class() == request.Essential {
		c.refuseBulk(now)
	}
}

// refuseBulk refuses queued bulk attempts now and arriving ones for one control interval.
func (c *Controller) refuseBulk(now request.Instant) {
	c.bulkRefusedAt = now
	for _, q := range []*queue{&c.waiting, &c.suspects} {
		for p := q.last(); p != 0 && c.table.at(p).priority.Class() == request.Bulk; p = q.last() {
			c.refuseQueued(now, q, p, request.Overloaded)
		}
	}
}

func (c *Controller) retryAfter(a request.AttemptID) time.Duration {
	return c.levels.retryAfter(a, c.settings.Interval)
}

func (c *Controller) insert(now request.Instant, a Arrive) position {
	if a.Priority.Class() == request.Bulk {
		c.bulkAdmittedAt = now
	}
	p := c.table.insert(a.Attempt)
	e := c.table.at(p)
	e.priority, e.suspect, e.deadline = a.Priority, a.Suspect, now.Add(a.Remaining)
	return p
}

// canStart reports whether an arrival can be dispatched without overtaking queued attempts.
func (c *Controller) canStart(now request.Instant, suspect bool) bool {
	if suspect && c.suspectRunning {
		return false
	}
	return c.running < c.limiter.limitAt(now) && c.waiting.length == 0
}

func (c *Controller) start(now request.Instant, p position) {
	e := c.table.at(p)
	e.state, e.since = stateRunning, now
	if e.suspect {
		c.suspectRunning = true
	}
	if e.priority.Class() == request.Bulk {
		c.bulkAdmittedAt = now
	}
	c.running++
	c.limiter.peak = max(c.limiter.peak, c.running)
}

func (c *Controller) queueOf(e *entry) *queue {
	if e.suspect {
		return &c.suspects
	}
	return &c.waiting
}

// enqueue adds an arrival to its queue. If the queue is full, the least
// important entry, possibly the arrival itself, is evicted.
func (c *Controller) enqueue(now request.Instant, a Arrive) Result {
	q := &c.waiting
	if a.Suspect {
		q = &c.suspects
	}
	if q.length < c.settings.QueueLimit {
		c.addToQueue(q, c.insert(now, a))
		return Result{Decision: Queued}
	}
	victim := c.table.at(q.last())
	if a.Priority >= victim.priority {
		return c.enqueueLowest(now, q, a)
	}
	if !c.isProtected(now, victim.priority) {
		c.evict(now, q)
	} else if !c.beginOverflow(now) {
		c.evict(now, q)
	}
	c.addToQueue(q, c.insert(now, a))
	return Result{Decision: Queued}
}

// enqueueLowest handles an arrival that is not more important than the least important entry of a full queue.
func (c *Controller) enqueueLowest(now request.Instant, q *queue, a Arrive) Result {
	if c.isProtected(now, a.Priority) && c.beginOverflow(now) {
		c.addToQueue(q, c.insert(now, a))
		return Result{Decision: Queued}
	}
	return c.refuseForLoad(now, a, request.QueueFull)
}

func (c *Controller) addToQueue(q *queue, p position) {
	c.table.at(p).state = stateQueued
	q.push(&c.table, p)
}

// beginOverflow lets the queue exceed its limit and refuses bulk attempts, so
// that the protection of essential attempts ends within one interval. It
// returns false if the overflow limit is reached too.
func (c *Controller) beginOverflow(now request.Instant) bool {
	c.overflow = true
	c.levels.loadRefused = true
	c.refuseBulk(now)
	return c.queued() < c.settings.OverflowLimit
}

func (c *Controller) evict(now request.Instant, q *queue) {
	p := q.last()
	priority := c.table.at(p).priority
	c.refuseQueued(now, q, p, request.QueueFull)
	c.recordLoadRefusal(now, priority)
}

// refuseQueued removes a queued entry and refuses it.
func (c *Controller) refuseQueued(now request.Instant, q *queue, p position, r request.Reason) {
	q.remove(&c.table, p)
	a := c.table.at(p).attempt
	c.table.remove(p)
	c.pending = append(c.pending, pendingAction{kind: actionRefuse, attempt: a, reason: r, retryAfter: c.retryAfter(a)})
}
