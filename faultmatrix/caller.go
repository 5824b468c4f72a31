package faultmatrix

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// Kind is an operation of the fake callers.
type Kind uint8

// The kinds: an essential effect with a nested effect, a standard read a bulk read, and the effect with an idempotency key in place of a ticket.
const (
	Arrival Kind = iota
	Lookup
	Archive
	KeyedArrival
)

var kindNames = [...]string{"record-arrival", "look-up", "fetch-archive", "record-arrival-by-key"}

// String returns the name of the operation.
func (k Kind) String() string { return kindNames[k] }

func (k Kind) isEffect() bool { return k == Arrival || k == KeyedArrival }

// isIdempotent reports whether the call at a depth may be repeated; an arrival ends with a read of the registry.
func (k Kind) isIdempotent(depth int) bool { return !k.isEffect() || depth == len(services)-1 }

// class is what the template gives to the operation.
func (k Kind) class() request.Class {
	switch k {
	case Lookup:
		return request.Standard
	case Archive:
		return request.Bulk
	}
	return request.Essential
}

// The behaviour of the fake callers.
const (
	maxSends      = 4
	callerTimeout = 1300 * time.Millisecond
	connectRetry  = 10 * time.Millisecond
	minResendWait = 50 * time.Millisecond
)

// callerRequest is one request of a fake caller with all its sends.
type callerRequest struct {
	world       *World
	id          request.ID
	kind        Kind
	fingerprint request.Fingerprint
	subject     bool
	crashing    bool
	impatient   bool // resends at once and gives up its connection early

	ticket session.Ticket
	effect session.Effect
	first  int // index of the node that it connects to
	sends  uint32
	tries  int
	conn   *callerConn

	done    bool
	outcome request.Outcome
	reason  request.Reason
}

// callerConn is one connection of a caller.
type callerConn struct {
	conn
	request *callerRequest
	node    *node
	call    *sourceCall
	parts   []part
	began   request.Instant
	closed  bool
}

func (w *World) scheduleCallers() {
	if w.options.Load > 0 {
		w.after(callersAt, w.background)
	}
	if w.options.Quiet {
		return
	}
	w.after(subjectAt, func() {
		q := w.newRequest(w.options.Subject)
		q.subject, q.crashing = true, w.fault.includes(CrashingRequest)
		q.first = w.subjectNode()
		q.connect()
	})
	w.after(subjectAt, func() { w.startOperator("change", 200, w.subjectNode()) })
	if w.fault.has(Restart) {
		w.after(subjectAt+restartLag, w.nodes[w.subjectNode()].replace)
	}
	if w.fault.has(Queued) {
		w.after(subjectAt-burstLead, w.burst)
	}
}

// restartLag is the time from the start of the configuration change to the end of the node that it was sent to, in the column of the restart.
const restartLag = 20 * time.Millisecond

// The burst of bulk requests fills the slots and the queues of the racedesk instances just before the subject arrives.
const burstLead = 2 * time.Millisecond

func (w *World) burst() {
	for range 3 * w.options.Slots * len(instances[0]) {
		q := w.newRequest(Archive)
		q.first = w.subjectNode()
		q.connect()
	}
}

// subjectNode is the index of transfers-1, in the zone without a racedesk instance.
func (w *World) subjectNode() int { return len(instances[0]) }

// backgroundTime leaves the tables filled until a fault and a departure are over.
const backgroundTime = 5500 * time.Millisecond

func (w *World) background() {
	w.randomRequest(false)
	if w.now < request.Instant(callersAt+cmp.Or(w.options.Duration, backgroundTime)) {
		w.after(time.Second/time.Duration(w.options.Load), w.background)
	}
}

func (w *World) randomRequest(impatient bool) {
	kinds := [...]Kind{Arrival, Lookup, Lookup, Archive, Archive}
	k := kinds[w.random.IntN(len(kinds))]
	if w.options.Essential {
		k = Arrival
	}
	q := w.newRequest(k)
	q.first = w.random.IntN(len(w.nodes))
	q.impatient = impatient
	q.connect()
}

func (w *World) newRequest(k Kind) *callerRequest {
	q := &callerRequest{world: w, id: request.NewID(w.random), kind: k, fingerprint: request.Fingerprint(w.random.Uint64())}
	w.requests = append(w.requests, q)
	return q
}

// connect sends the request to the first node that accepts the connection, the usual one before others.
func (q *callerRequest) connect() {
	w := q.world
	n := w.nodes[(q.first+q.tries)%len(w.nodes)]
	w.after(callerDelay, func() {
		if n.dead {
			q.tries++
			w.after(connectRetry, q.connect)
			return
		}
		q.send(n)
	})
}

func (q *callerRequest) send(n *node) {
	w := q.world
	q.sends++
	c := &callerConn{request: q, node: n, began: w.now}
	c.conn = conn{part: c.receivePart, end: c.receiveEnd}
	q.conn = c
	w.conns = append(w.conns, c)
	w.after(q.patience(), func() { c.giveUp() })
	step := Connect
	if q.sends > 1 {
		step = CallerResend
	}
	n.receive(func() {
		w.reached(step, q, 0, n, nil)
		n.receive(func() { n.openTicket(q) })
		w.reached(AdmissionAtFirstNode, q, 0, n, nil)
		n.receive(func() { n.callerArrives(q, q.sends, c, false) })
	})
}

// patience is the time after which the caller gives up its connection. In the column of the resend, the caller loses its first connection
// while the request runs.
func (q *callerRequest) patience() time.Duration {
	w := q.world
	switch {
	case q.subject && q.sends == 1 && w.fault.has(CallerResend):
		return 2*callerDelay + serviceTime
	case q.impatient:
		return callerTimeout / 4
	}
	return callerTimeout
}

// openTicket opens a session for an effect that has none.
func (n *node) openTicket(q *callerRequest) {
	if q.kind != Arrival || q.ticket != (session.Ticket{}) {
		return
	}
	caller := netip.AddrFrom4([4]byte(q.id[:4]))
	t, err := n.sessions.Open(n.world.now, caller)
	if err == nil {
		q.ticket = t
	}
}

// giveUp closes a connection without an answer and sends the request again.
func (c *callerConn) giveUp() {
	if c.closed {
		return
	}
	c.close()
	c.request.resend(0)
}

func (c *callerConn) close() {
	c.closed = true
	c.gone = true
	n := c.node
	n.world.after(callerDelay, func() {
		n.receive(func() {
			if c.call != nil && !c.call.ended && !c.request.kind.isEffect() {
				c.call.handle(call.CallerGone{})
			}
		})
	})
}

// lost tells the caller that its connection broke.
func (c *callerConn) lost() {
	c.node.world.after(callerDelay, c.giveUp)
}

func (c *callerConn) receivePart(p part) {
	c.node.world.after(callerDelay, func() {
		if !c.closed {
			c.parts = append(c.parts, p)
		}
	})
}

func (c *callerConn) receiveEnd(e call.End) {
	c.node.world.after(callerDelay, func() {
		if !c.closed {
			c.closed = true
			c.request.ended(c, e)
		}
	})
}

// ended decides what the caller does after an outcome.
func (q *callerRequest) ended(c *callerConn, e call.End) {
	q.outcome, q.reason = e.Outcome, e.Reason
	if e.Cut {
		q.resend(0)
		return
	}
	q.world.record.toldCaller(q, e.Outcome)
	switch {
	case e.Outcome == request.Answered:
		q.world.record.checkAnswer(q, c.parts)
		q.done = true
	case e.Outcome == request.NotRun || e.Outcome == request.Unknown && !q.kind.isEffect():
		q.resend(max(e.RetryAfter, minResendWait))
	default:
		q.done = true
		q.again()
	}
}

// again sends the content that crashes backend servers once more, as a new request.
func (q *callerRequest) again() {
	w := q.world
	if !q.crashing || w.crashResends >= maxSends {
		return
	}
	w.crashResends++
	next := w.newRequest(q.kind)
	next.crashing, next.fingerprint, next.first = true, q.fingerprint, q.first
	w.after(minResendWait, next.connect)
}

func (q *callerRequest) resend(wait time.Duration) {
	if q.done || q.sends >= maxSends {
		q.done = true
		q.again()
		return
	}
	if q.impatient {
		wait = 0
	}
	q.world.after(wait, q.connect)
}
