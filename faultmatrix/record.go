package faultmatrix

import (
	"fmt"
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// Violation is a property that did not hold.
type Violation struct {
	Property Property
	At       request.Instant
	Text     string
}

// String returns the violation with its property and time.
func (v Violation) String() string {
	return fmt.Sprintf("%v at %v: %s", v.Property, time.Duration(v.At), v.Text)
}

// record is what the backend servers, the callers and the network saw; the properties are checked against it.
type record struct {
	world      *World
	violations []Violation

	// Executions at the backend servers, by call and by effect.
	byCall   map[uint64]int
	byEffect map[session.Effect]int
	// Calls whose caller was told that they were not run.
	notRun map[uint64]bool

	attempts map[request.ID]*[len(services)]int
	// allowed is the largest number of attempts at each depth of a chain: one for each send that the caller made, and the extra attempts of
	// each account that was opened. A send that spends an extra attempt adds nothing.
	allowed map[request.ID]int

	crashes map[request.Fingerprint]int
	summary Summary
}

// Summary counts what callers were told last, and the attempts at all depths. A caller that was told nothing counts as unknown.
type Summary struct {
	Requests, Answered      int
	Effects, UnknownEffects int
	Attempts                int
	// ByClass counts requests and answers for each class.
	ByClass [request.ClassCount]struct{ Requests, Answered int }
}

// decision is one verdict of a destination.
type decision struct {
	at       request.Instant
	class    request.Class
	admitted bool
}

// maxCrashes is the number of backend servers that one fingerprint may take down (design 4.6).
const maxCrashes = 2

// controlInterval is the interval within which P2 holds (design 4.14).
const controlInterval = 250 * time.Millisecond

func newRecord(w *World) record {
	return record{
		world:    w,
		byCall:   make(map[uint64]int),
		byEffect: make(map[session.Effect]int),
		notRun:   make(map[uint64]bool),
		attempts: make(map[request.ID]*[len(services)]int),
		allowed:  make(map[request.ID]int),
		crashes:  make(map[request.Fingerprint]int),
	}
}

func (r *record) violate(p Property, format string, args ...any) {
	r.violations = append(r.violations, Violation{Property: p, At: r.world.now, Text: fmt.Sprintf(format, args...)})
}

// executed notes that a backend server begins to run an attempt.
func (r *record) executed(n *node, m *message) {
	r.byCall[m.call]++
	if r.notRun[m.call] {
		r.violate(TruthfulNotRun, "%s runs call %d of %s after its caller was told not_run", n.id, m.call, m.request.id)
	}
	if !m.idempotent {
		r.byEffect[m.effect]++
		if r.byEffect[m.effect] > 1 {
			r.violate(AtMostOnce, "%s runs effect %s of depth %d for the %d. time", n.id, m.effect, m.depth, r.byEffect[m.effect])
		}
	}
	if n.leavingAt != 0 && m.arrived.Sub(n.leavingAt) > leavingLimit {
		r.violate(LeavingGetsNoWork, "%s runs work that arrived %v after it announced to leave", n.id, m.arrived.Sub(n.leavingAt))
	}
}

// told notes what the source of a call tells its caller.
func (r *record) told(c *sourceCall, o request.Outcome) {
	if o != request.NotRun {
		return
	}
	r.notRun[c.id] = true
	if n := r.byCall[c.id]; n > 0 {
		r.violate(TruthfulNotRun, "call %d of %s ends not_run and has run %d times", c.id, c.message.request.id, n)
	}
}

// toldCaller checks the outcome of an effect against every execution of it, whichever send caused it.
func (r *record) toldCaller(q *callerRequest, o request.Outcome) {
	if o == request.NotRun && q.kind.isEffect() && r.byEffect[q.effect] > 0 {
		r.violate(TruthfulNotRun, "effect %s is told not_run and has run", q.effect)
	}
}

// opened notes that a send of a request opened or found an account.
func (r *record) opened(id request.ID, a *budget.Account, heldBefore int) {
	switch {
	case heldBefore < 0:
		r.allowed[id] += 1 + int(a.Held())
	case heldBefore == 0:
		r.allowed[id]++
	}
}

// attempted counts an attempt at a depth of a request.
func (r *record) attempted(id request.ID, depth int) {
	counts := r.attempts[id]
	if counts == nil {
		counts = new([len(services)]int)
		r.attempts[id] = counts
	}
	counts[depth]++
	r.summary.Attempts++
	if counts[depth] > r.allowed[id] {
		r.violate(BoundedRetries, "request %s has %d attempts at depth %d, %d are allowed", id, counts[depth], depth, r.allowed[id])
	}
}

// decided notes a verdict of a destination; refusals other than for load are not noted.
func (r *record) decided(n *node, p request.Priority, admitted bool) {
	n.decisions = append(n.decisions, decision{at: r.world.now, class: p.Class(), admitted: admitted})
}

// checkEnd checks the order of shedding over the whole run.
func (r *record) checkEnd() {
	for _, n := range r.world.processes {
		r.checkOrder(n.id, n.decisions)
	}
	r.checkOperators()
	for f, n := range r.crashes {
		if n > maxCrashes {
			r.violate(CrashLimit, "fingerprint %d crashed %d backend servers", f, n)
		}
	}
	r.count()
}

// checkOrder looks for a bulk attempt that was admitted within one control interval of an essential one refused for load.
func (r *record) checkOrder(id request.InstanceID, decisions []decision) {
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
		if lastBulk-lastRefused < request.Instant(controlInterval) && lastRefused-lastBulk < request.Instant(controlInterval) {
			r.violate(SheddingOrder, "%s admits bulk at %v and refuses essential work at %v", id, time.Duration(lastBulk), time.Duration(lastRefused))
			return
		}
	}
}

// count summarises the outcomes that callers were told.
func (r *record) count() {
	s := &r.summary
	for _, q := range r.world.requests {
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

// checkAnswer checks that the caller got each part of the response to its own request once and in order.
func (r *record) checkAnswer(q *callerRequest, parts []part) {
	if len(parts) != partCount {
		r.violate(WholeAnswer, "request %s is answered with %d of %d parts", q.id, len(parts), partCount)
		return
	}
	for i, p := range parts {
		if p.request != q.id || p.index != uint32(i) {
			r.violate(WholeAnswer, "request %s gets part %d of %s as part %d", q.id, p.index, p.request, i)
			return
		}
	}
}
