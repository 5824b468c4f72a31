package faultmatrix

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// RequestKind is the operation of a request of the fake callers.
type RequestKind uint8

// The kinds: an essential effect with a nested effect, a standard read, a bulk read, and the effect
// with an idempotency key in place of a ticket.
const (
	Arrival RequestKind = iota
	Lookup
	Archive
	KeyedArrival
)

var kindNames = [...]string{"record-arrival", "look-up", "fetch-archive", "record-arrival-by-key"}

// String returns the name of the operation.
func (k RequestKind) String() string { return kindNames[k] }

func (k RequestKind) isEffect() bool { return k == Arrival || k == KeyedArrival }

// isIdempotent reports whether the call at a depth may be retried. The last call of an arrival is a
// read of the registry.
func (k RequestKind) isIdempotent(depth int) bool { return !k.isEffect() || depth == len(services)-1 }

// class returns the class that the template gives to the operation.
func (k RequestKind) class() request.Class {
	switch k {
	case Lookup:
		return request.Standard
	case Archive:
		return request.Bulk
	}
	return request.Essential
}

// Parameters of the fake callers.
const (
	maxSends          = 4
	callerTimeout     = 1300 * time.Millisecond
	connectRetryDelay = 10 * time.Millisecond
	minResendDelay    = 50 * time.Millisecond
)

// callerRequest is one request of a fake caller with all its sends.
type callerRequest struct {
	sim         *Simulation
	id          request.ID
	kind        RequestKind
	fingerprint request.Fingerprint
	subject     bool
	crashing    bool
	aggressive  bool // resends at once and closes its connection early

	ticket    session.Ticket
	effect    session.Effect
	firstNode int // index of the node that it connects to first
	sends     uint32
	tries     int
	conn      *callerConn

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

func (sim *Simulation) scheduleCallers() {
	if sim.options.RequestsPerSecond > 0 {
		sim.after(callersStart, sim.sendBackground)
	}
	if sim.options.BackgroundOnly {
		return
	}
	sim.after(subjectStart, func() {
		q := sim.newRequest(sim.options.Subject)
		q.subject, q.crashing = true, sim.trigger.includes(CrashingRequest)
		q.firstNode = sim.subjectNodeIndex()
		q.connect()
	})
	sim.after(subjectStart, func() { sim.startOperator("change", 200, sim.subjectNodeIndex()) })
	if sim.trigger.isAt(Restart) {
		sim.after(subjectStart+restartFaultDelay, sim.nodes[sim.subjectNodeIndex()].replace)
	}
	if sim.trigger.isAt(Queued) {
		sim.after(subjectStart-burstLeadTime, sim.sendBurst)
	}
}

// restartFaultDelay is the time from the start of the configuration change to the end of the process
// that it was sent to, if the faults begin at the Restart step.
const restartFaultDelay = 20 * time.Millisecond

// burstLeadTime is the time between a burst of bulk requests and the subject. The burst fills the
// slots and queues of the racedesk instances.
const burstLeadTime = 2 * time.Millisecond

func (sim *Simulation) sendBurst() {
	for range 3 * sim.options.Slots * len(instances[0]) {
		q := sim.newRequest(Archive)
		q.firstNode = sim.subjectNodeIndex()
		q.connect()
	}
}

// subjectNodeIndex returns the index of transfers-1, in the zone without a racedesk instance.
func (sim *Simulation) subjectNodeIndex() int { return len(instances[0]) }

// backgroundDuration lasts until a fault and the leaving of a node are over, so that the tables stay
// filled.
const backgroundDuration = 5500 * time.Millisecond

func (sim *Simulation) sendBackground() {
	sim.randomRequest(false)
	if sim.now < request.Instant(callersStart+cmp.Or(sim.options.Duration, backgroundDuration)) {
		sim.after(time.Second/time.Duration(sim.options.RequestsPerSecond), sim.sendBackground)
	}
}

func (sim *Simulation) randomRequest(aggressive bool) {
	kinds := [...]RequestKind{Arrival, Lookup, Lookup, Archive, Archive}
	k := kinds[sim.random.IntN(len(kinds))]
	if sim.options.EssentialOnly {
		k = Arrival
	}
	q := sim.newRequest(k)
	q.firstNode = sim.random.IntN(len(sim.nodes))
	q.aggressive = aggressive
	q.connect()
}

func (sim *Simulation) newRequest(k RequestKind) *callerRequest {
	q := &callerRequest{sim: sim, id: request.NewID(sim.random), kind: k, fingerprint: request.Fingerprint(sim.random.Uint64())}
	sim.requests = append(sim.requests, q)
	return q
}

// connect sends the request to the first node that accepts the connection, starting with firstNode.
func (q *callerRequest) connect() {
	sim := q.sim
	n := sim.nodes[(q.firstNode+q.tries)%len(sim.nodes)]
	sim.after(callerDelay, func() {
		if n.dead {
			q.tries++
			sim.after(connectRetryDelay, q.connect)
			return
		}
		q.send(n)
	})
}

func (q *callerRequest) send(n *node) {
	sim := q.sim
	q.sends++
	c := &callerConn{request: q, node: n, began: sim.now}
	c.conn = conn{part: c.receivePart, end: c.receiveEnd}
	q.conn = c
	sim.callerConns = append(sim.callerConns, c)
	sim.after(q.connTimeout(), func() { c.abandon() })
	step := Connect
	if q.sends > 1 {
		step = CallerResend
	}
	n.receive(func() {
		sim.reachStep(step, q, 0, n, nil)
		n.receive(func() { n.openTicket(q) })
		sim.reachStep(AdmissionAtFirstNode, q, 0, n, nil)
		n.receive(func() { n.handleSend(q, q.sends, c, false) })
	})
}

// connTimeout returns the time after which the caller closes its connection. If the faults begin at
// the CallerResend step, the subject loses its first connection while the request runs.
func (q *callerRequest) connTimeout() time.Duration {
	sim := q.sim
	switch {
	case q.subject && q.sends == 1 && sim.trigger.isAt(CallerResend):
		return 2*callerDelay + serviceTime
	case q.aggressive:
		return callerTimeout / 4
	}
	return callerTimeout
}

// openTicket opens a session for an effect that has no ticket.
func (n *node) openTicket(q *callerRequest) {
	if q.kind != Arrival || q.ticket != (session.Ticket{}) {
		return
	}
	caller := netip.AddrFrom4([4]byte(q.id[:4]))
	t, err := n.sessions.Open(n.sim.now, caller)
	if err == nil {
		q.ticket = t
	}
}

// abandon closes a connection without a complete response and resends the request.
func (c *callerConn) abandon() {
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
	n.sim.after(callerDelay, func() {
		n.receive(func() {
			if c.call != nil && !c.call.ended && !c.request.kind.isEffect() {
				c.call.handle(call.CallerGone{})
			}
		})
	})
}

// breakConn breaks the connection. The caller detects this after callerDelay and resends the request.
func (c *callerConn) breakConn() {
	c.node.sim.after(callerDelay, c.abandon)
}

func (c *callerConn) receivePart(p part) {
	c.node.sim.after(callerDelay, func() {
		if !c.closed {
			c.parts = append(c.parts, p)
		}
	})
}

func (c *callerConn) receiveEnd(e call.End) {
	c.node.sim.after(callerDelay, func() {
		if !c.closed {
			c.closed = true
			c.request.handleEnd(c, e)
		}
	})
}

// handleEnd decides what the caller does after an outcome.
func (q *callerRequest) handleEnd(c *callerConn, e call.End) {
	q.outcome, q.reason = e.Outcome, e.Reason
	if e.Truncated {
		q.resend(0)
		return
	}
	q.sim.checker.checkEffectOutcome(q, e.Outcome)
	switch {
	case e.Outcome == request.Answered:
		q.sim.checker.checkAnswer(q, c.parts)
		q.done = true
	case e.Outcome == request.NotRun || e.Outcome == request.Unknown && !q.kind.isEffect():
		q.resend(max(e.RetryAfter, minResendDelay))
	default:
		q.done = true
		q.repeatCrash()
	}
}

// repeatCrash sends a new request with the fingerprint of one that crashes backend servers.
func (q *callerRequest) repeatCrash() {
	sim := q.sim
	if !q.crashing || sim.crashRepeats >= maxSends {
		return
	}
	sim.crashRepeats++
	next := sim.newRequest(q.kind)
	next.crashing, next.fingerprint, next.firstNode = true, q.fingerprint, q.firstNode
	sim.after(minResendDelay, next.connect)
}

func (q *callerRequest) resend(wait time.Duration) {
	if q.done || q.sends >= maxSends {
		q.done = true
		q.repeatCrash()
		return
	}
	if q.aggressive {
		wait = 0
	}
	q.sim.after(wait, q.connect)
}
