package faultmatrix

import (
	"fmt"
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// Violation is a property that did not hold at some time.
type Violation struct {
	Property Property
	At       request.Instant
	Text     string
}

// String returns the violation with its property and time.
func (v Violation) String() string {
	return fmt.Sprintf("%v at %v: %s", v.Property, time.Duration(v.At), v.Text)
}

// checker records what the backend servers, the callers and the network observe, and checks the
// properties against it.
type checker struct {
	sim        *Simulation
	violations []Violation

	// Number of executions at the backend servers, by call and by effect.
	callRuns   map[uint64]int
	effectRuns map[session.Effect]int
	// Calls that ended with not_run.
	notRun map[uint64]bool

	attempts map[request.ID]*[len(services)]int
	// maxAttempts is the bound on the attempts at each depth of a chain: one for each send of the
	// caller, and the extra attempts of each account that was opened. A send that spends an extra
	// attempt adds nothing.
	maxAttempts map[request.ID]int

	crashes map[request.Fingerprint]int
	summary Summary
}

// Summary counts the last outcome of each request, and the attempts at all depths. A request without
// an outcome counts as unknown.
type Summary struct {
	Requests, Answered      int
	Effects, UnknownEffects int
	Attempts                int
	// ByClass counts the requests and the answered requests of each class.
	ByClass [request.ClassCount]struct{ Requests, Answered int }
}

// decision is one admission decision of a destination.
type decision struct {
	at       request.Instant
	class    request.Class
	admitted bool
}

// maxCrashes is the number of backend servers that requests with one fingerprint may crash (design
// 4.6).
const maxCrashes = 2

// sheddingWindow is the time within which a destination must not refuse essential work and admit bulk
// work, which is P2 (design 4.14).
const sheddingWindow = 250 * time.Millisecond

func newChecker(sim *Simulation) checker {
	return checker{
		sim:         sim,
		callRuns:    make(map[uint64]int),
		effectRuns:  make(map[session.Effect]int),
		notRun:      make(map[uint64]bool),
		attempts:    make(map[request.ID]*[len(services)]int),
		maxAttempts: make(map[request.ID]int),
		crashes:     make(map[request.Fingerprint]int),
	}
}

func (c *checker) addViolation(p Property, format string, args ...any) {
	c.violations = append(c.violations, Violation{Property: p, At: c.sim.now, Text: fmt.Sprintf(format, args...)})
}

// recordExecution records that a backend server starts to execute an attempt.
func (c *checker) recordExecution(n *node, m *message) {
	c.callRuns[m.call]++
	if c.notRun[m.call] {
		c.addViolation(TruthfulNotRun, "%s executes call %d of %s after the call ended with not_run", n.id, m.call, m.request.id)
	}
	if !m.idempotent {
		c.effectRuns[m.effect]++
		if c.effectRuns[m.effect] > 1 {
			c.addViolation(AtMostOnce, "%s executes effect %s at depth %d, execution number %d", n.id, m.effect, m.depth, c.effectRuns[m.effect])
		}
	}
	if n.leavingAt != 0 && m.arrived.Sub(n.leavingAt) > leaveGracePeriod {
		c.addViolation(LeavingGetsNoWork, "%s executes an attempt that arrived %v after it announced to leave", n.id, m.arrived.Sub(n.leavingAt))
	}
}

// recordCallOutcome records the outcome that the source of a call reports to its caller.
func (c *checker) recordCallOutcome(s *sourceCall, o request.Outcome) {
	if o != request.NotRun {
		return
	}
	c.notRun[s.id] = true
	if n := c.callRuns[s.id]; n > 0 {
		c.addViolation(TruthfulNotRun, "call %d of %s ends with not_run after %d executions", s.id, s.message.request.id, n)
	}
}

// checkEffectOutcome checks the outcome of an effect against all its executions, whichever send caused
// them.
func (c *checker) checkEffectOutcome(q *callerRequest, o request.Outcome) {
	if o == request.NotRun && q.kind.isEffect() && c.effectRuns[q.effect] > 0 {
		c.addViolation(TruthfulNotRun, "effect %s ends with not_run after it was executed", q.effect)
	}
}

// recordAccount records that a send of a request opened an account or found the existing one.
// heldBefore is the number of extra attempts that the existing account held, or -1 for a new one.
func (c *checker) recordAccount(id request.ID, a *budget.Account, heldBefore int) {
	switch {
	case heldBefore < 0:
		c.maxAttempts[id] += 1 + int(a.Held())
	case heldBefore == 0:
		c.maxAttempts[id]++
	}
}

// recordAttempt counts an attempt at a depth of the chain of a request.
func (c *checker) recordAttempt(id request.ID, depth int) {
	counts := c.attempts[id]
	if counts == nil {
		counts = new([len(services)]int)
		c.attempts[id] = counts
	}
	counts[depth]++
	c.summary.Attempts++
	if counts[depth] > c.maxAttempts[id] {
		c.addViolation(BoundedRetries, "request %s has %d attempts at depth %d, at most %d are allowed", id, counts[depth], depth, c.maxAttempts[id])
	}
}

// recordDecision records an admission decision of a destination. Of the refusals, only those because
// of overload are recorded.
func (c *checker) recordDecision(n *node, p request.Priority, admitted bool) {
	n.decisions = append(n.decisions, decision{at: c.sim.now, class: p.Class(), admitted: admitted})
}

// finish runs the checks that need the whole run, and computes the summary.
func (c *checker) finish() {
	for _, n := range c.sim.processes {
		c.checkSheddingOrder(n.id, n.decisions)
	}
	c.checkOperators()
	for f, n := range c.crashes {
		if n > maxCrashes {
			c.addViolation(CrashLimit, "fingerprint %d crashed %d backend servers", f, n)
		}
	}
	c.summarize()
}

// checkSheddingOrder looks for a bulk attempt admitted within sheddingWindow of an essential attempt
// refused because of overload.
func (c *checker) checkSheddingOrder(id request.InstanceID, decisions []decision) {
	lastBulk, lastRefused := request.Instant(-1<<62), request.Instant(-1<<62)
	for _, d := range decisions {
		switch {
		case d.class == request.Bulk && d.admitted:
			lastBulk = d.at
		case d.class == request.Essential && !d.admitted:
			lastRefused = d.at
		default:
			continue
		}
		if lastBulk-lastRefused < request.Instant(sheddingWindow) && lastRefused-lastBulk < request.Instant(sheddingWindow) {
			c.addViolation(SheddingOrder, "%s admits bulk work at %v and refuses essential work at %v", id, time.Duration(lastBulk), time.Duration(lastRefused))
			return
		}
	}
}

// summarize counts the outcomes that the callers received.
func (c *checker) summarize() {
	s := &c.summary
	for _, q := range c.sim.requests {
		class := &s.ByClass[q.kind.class()]
		s.Requests++
		class.Requests++
		if q.outcome == request.Answered {
			s.Answered++
			class.Answered++
		}
		if q.kind.isEffect() {
			s.Effects++
			if q.outcome == request.Unknown {
				s.UnknownEffects++
			}
		}
	}
}

// checkAnswer checks that the caller received each part of the response to its own request exactly
// once and in order.
func (c *checker) checkAnswer(q *callerRequest, parts []part) {
	if len(parts) != partCount {
		c.addViolation(WholeResponse, "request %s is answered with %d of %d parts", q.id, len(parts), partCount)
		return
	}
	for i, p := range parts {
		if p.request != q.id || p.index != uint32(i) {
			c.addViolation(WholeResponse, "request %s receives part %d of %s as part %d", q.id, p.index, p.request, i)
			return
		}
	}
}
