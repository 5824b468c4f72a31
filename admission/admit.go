package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Admit applies an arrival; it allocates nothing once its tables have grown to the load.
func (c *Controller) Admit(now request.Instant, a Arrive) Verdict {
	c.advance(now)
	v := c.decide(now, a)
	if v.Decision == Queued {
		c.fill(now)
	}
	v.Pending = len(c.pending) > 0
	return v
}

func (c *Controller) decide(now request.Instant, a Arrive) Verdict {
	a.Priority = min(a.Priority, request.MaxPriority-1)
	if p := c.table.find(a.Attempt); p != 0 {
		return c.refuseKnown(p)
	}
	if c.draining {
		return Verdict{Reason: request.Draining}
	}
	c.level.count(a.Priority)
	if a.Remaining <= 0 {
		return Verdict{Reason: request.DeadlineExceeded}
	}
	if c.isAboveLevel(now, a.Priority) {
		return c.refuseForLoad(now, a, request.Overloaded)
	}
	if a.Remaining < c.limit.total {
		c.level.starved = true
		return Verdict{Reason: request.DeadlineTooShort, RetryAfter: c.retryAfter(a.Attempt)}
	}
	if c.canStart(now, a.Suspect) {
		c.start(now, c.insert(now, a))
		return Verdict{Decision: Dispatched}
	}
	if a.Remaining < c.expectedWait(now, a.Priority)+c.limit.total && !c.isProtected(now, a.Priority) {
		c.level.starved = true
		return c.refuseForLoad(now, a, request.DeadlineTooShort)
	}
	return c.enqueue(now, a)
}

// refuseKnown answers a second arrival of one attempt. Only a tombstone proves
// that the attempt does not run.
func (c *Controller) refuseKnown(p position) Verdict {
	if c.table.at(p).state == stateTombstone {
		return Verdict{Reason: request.Withdrawn}
	}
	return Verdict{Reason: request.InProgress}
}

func (c *Controller) isAboveLevel(now request.Instant, p request.Priority) bool {
	if p.Class() == request.Bulk && c.isBulkClosed(now) {
		return true
	}
	return p >= c.enforcedLevel() && !c.isProtected(now, p)
}

// enforcedLevel is the level of the interval before while that is higher and
// the queue has room: sources take some time to learn of a lower level, and
// what they sent in that time has cost work upstream.
func (c *Controller) enforcedLevel() request.Priority {
	if c.queued() < c.settings.QueueLimit/2 {
		return max(c.level.level, c.level.previous)
	}
	return c.level.level
}

func (c *Controller) refuseForLoad(now request.Instant, a Arrive, r request.Reason) Verdict {
	c.noteLoadRefusal(now, a.Priority)
	return Verdict{Reason: r, RetryAfter: c.retryAfter(a.Attempt)}
}

func (c *Controller) noteLoadRefusal(now request.Instant, p request.Priority) {
	c.level.pressed = true
	if p.Class() == request.Essential {
		c.closeBulk(now)
	}
}

// closeBulk refuses bulk attempts for one interval, and those that wait at once.
func (c *Controller) closeBulk(now request.Instant) {
	c.bulkClosed = now
	for _, q := range []*queue{&c.waiting, &c.suspects} {
		for p := q.last(); p != 0 && c.table.at(p).priority.Class() == request.Bulk; p = q.last() {
			c.drop(now, q, p, request.Overloaded)
		}
	}
}

func (c *Controller) retryAfter(a request.AttemptID) time.Duration {
	return c.level.retryAfter(a, c.settings.Interval)
}

func (c *Controller) insert(now request.Instant, a Arrive) position {
	if a.Priority.Class() == request.Bulk {
		c.bulkAdmitted = now
	}
	p := c.table.insert(a.Attempt)
	e := c.table.at(p)
	e.priority, e.suspect, e.deadline = a.Priority, a.Suspect, now.Add(a.Remaining)
	return p
}

// canStart reports whether an arrival can be dispatched without overtaking.
func (c *Controller) canStart(now request.Instant, suspect bool) bool {
	if suspect && c.suspectRunning {
		return false
	}
	return c.running < c.limit.at(now) && c.waiting.length == 0
}

func (c *Controller) start(now request.Instant, p position) {
	e := c.table.at(p)
	e.state, e.since = stateRunning, now
	if e.suspect {
		c.suspectRunning = true
	}
	if e.priority.Class() == request.Bulk {
		c.bulkAdmitted = now
	}
	c.running++
	c.limit.peak = max(c.limit.peak, c.running)
}

func (c *Controller) queueOf(e *entry) *queue {
	if e.suspect {
		return &c.suspects
	}
	return &c.waiting
}

// enqueue adds an arrival to its queue and evicts the least important entry
// of a full queue, which can be the arrival itself.
func (c *Controller) enqueue(now request.Instant, a Arrive) Verdict {
	q := &c.waiting
	if a.Suspect {
		q = &c.suspects
	}
	if q.length < c.settings.QueueLimit {
		c.hold(q, c.insert(now, a))
		return Verdict{Decision: Queued}
	}
	victim := c.table.at(q.last())
	if a.Priority >= victim.priority {
		return c.enqueueLast(now, q, a)
	}
	if !c.isProtected(now, victim.priority) {
		c.evict(now, q)
	} else if !c.beginOverflow(now) {
		c.evict(now, q)
	}
	c.hold(q, c.insert(now, a))
	return Verdict{Decision: Queued}
}

// enqueueLast handles an arrival that is less important than each entry of a full queue.
func (c *Controller) enqueueLast(now request.Instant, q *queue, a Arrive) Verdict {
	if c.isProtected(now, a.Priority) && c.beginOverflow(now) {
		c.hold(q, c.insert(now, a))
		return Verdict{Decision: Queued}
	}
	return c.refuseForLoad(now, a, request.QueueFull)
}

func (c *Controller) hold(q *queue, p position) {
	c.table.at(p).state = stateQueued
	q.push(&c.table, p)
}

// beginOverflow closes bulk, so that the protection of essential attempts
// ends within one interval. It returns false if the overflow is full.
func (c *Controller) beginOverflow(now request.Instant) bool {
	c.overflow = true
	c.level.pressed = true
	c.closeBulk(now)
	return c.queued() < c.settings.OverflowLimit
}

func (c *Controller) evict(now request.Instant, q *queue) {
	p := q.last()
	priority := c.table.at(p).priority
	c.drop(now, q, p, request.QueueFull)
	c.noteLoadRefusal(now, priority)
}

// drop removes a queued entry and refuses it.
func (c *Controller) drop(now request.Instant, q *queue, p position, r request.Reason) {
	q.remove(&c.table, p)
	a := c.table.at(p).attempt
	c.table.remove(p)
	c.pending = append(c.pending, effect{kind: effectRefuse, attempt: a, reason: r, retryAfter: c.retryAfter(a)})
}
