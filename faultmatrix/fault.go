package faultmatrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// Step is a point in the course of a request at which a fault is injected.
type Step uint8

const (
	// The steps of a request.
	Connect Step = iota
	AdmissionAtFirstNode
	Routing
	Dispatch
	Queued
	Running
	FirstPart
	LastPart
	AnswerToCaller
	CallerResend

	// The steps of a configuration change.
	Validate
	Commit
	AnswerToOperator
	Spread
	Apply
	Restart
	stepCount
)

var stepNames = [stepCount]string{
	"connect and ticket", "admission at the first node", "routing", "dispatch", "queued at the destination", "running",
	"first part", "last part", "answer to the caller", "caller's resend",
	"validate", "commit", "answer to the operator", "spread", "apply", "restart",
}

// String returns the name of the step as it heads a column.
func (s Step) String() string { return stepNames[s] }

// Steps returns all steps in the order of the columns.
func Steps() []Step {
	out := make([]Step, stepCount)
	for i := range out {
		out[i] = Step(i)
	}
	return out
}

// Fault is what goes wrong.
type Fault uint8

// The faults.
const (
	BackendSlow Fault = iota
	BackendCrashed
	BackendCold
	Draining
	StaleReport
	NodeKilled
	NodeFrozen
	NodeReplaced
	ZoneCutFromZone
	ZoneCutFromPlatform
	ZoneCutFromBoth
	PlatformDown
	PlatformSlow
	PlatformAnswerLost
	PlatformStale
	Surge
	TwoOperators
	CrashingRequest
	faultCount
)

var faultNames = [faultCount]string{
	"backend-slow", "backend-crashed", "backend-cold", "draining", "stale-report", "node-killed", "node-frozen", "node-replaced",
	"zone-cut-from-zone", "zone-cut-from-platform", "zone-cut-from-both", "platform-down", "platform-slow", "platform-answer-lost",
	"platform-stale", "surge", "two-operators", "crashing-request",
}

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// Faults returns all faults in the order of the rows.
func Faults() []Fault {
	out := make([]Fault, faultCount)
	for i := range out {
		out[i] = Fault(i)
	}
	return out
}

// armed is a set of faults that waits for its step.
type armed struct {
	step   Step
	faults []Fault
	fired  bool
}

// has reports whether the faults wait for the step.
func (a *armed) has(s Step) bool { return a != nil && a.step == s }

// includes reports whether a fault is among the faults.
func (a *armed) includes(f Fault) bool { return a != nil && slices.Contains(a.faults, f) }

// crashStep is the step at which a crashing request crashes its backend server.
func (w *World) crashStep() Step {
	if w.fault.has(FirstPart) || w.fault.has(LastPart) {
		return w.fault.step
	}
	return Running
}

// faultTime is the time after which a fault that can heal is over.
const faultTime = 1500 * time.Millisecond

// Fired reports whether the subject has reached the step of the faults.
func (w *World) Fired() bool { return w.fault != nil && w.fault.fired }

// Outcome returns what the caller of the subject was told last; sends counts its sends.
func (w *World) Outcome() (o request.Outcome, r request.Reason, sends int) {
	for _, q := range w.requests {
		if q.subject {
			return q.outcome, q.reason, int(q.sends)
		}
	}
	return request.Unknown, request.NoReason, 0
}

// reached tells that a request is at a step: at its source, and at its destination if that is known. Only the first service counts.
func (w *World) reached(s Step, q *callerRequest, depth int, source, dest *node) {
	if q.crashing && depth == 0 && s == w.crashStep() && (q.sends > 1 || !w.fault.has(CallerResend)) {
		w.record.crashes[q.fingerprint]++
		w.after(0, dest.backend.crash)
	}
	if !q.subject || depth != 0 || !w.fault.has(s) || w.fault.fired {
		return
	}
	w.fire(source, dest)
}

// changeReached tells that the configuration change is at a step at a node.
func (w *World) changeReached(s Step, at *node) {
	if w.now >= request.Instant(subjectAt) && w.fault.has(s) && !w.fault.fired {
		w.fire(at, at)
	}
}

func (w *World) fire(source, dest *node) {
	w.fault.fired = true
	for _, f := range w.fault.faults {
		w.begin(f, source, dest)
	}
	w.after(w.options.Wait, func() {
		for _, f := range w.options.Later {
			w.begin(f, w.anyNode(), w.nodes[w.random.IntN(len(instances[0]))])
		}
	})
}

func (w *World) anyNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// begin starts a fault at the destination, or at the first node while there is no destination.
func (w *World) begin(f Fault, source, dest *node) {
	at := dest
	if at == nil {
		at = source
	}
	server := dest
	if server == nil {
		server = w.nodes[w.random.IntN(len(instances[0]))]
	}
	w.beginPlatform(f, at)
	switch f {
	case BackendSlow:
		server.backend.slow = 40
		w.after(faultTime, func() { server.backend.slow = 1 })
	case BackendCrashed:
		server.backend.crash()
	case BackendCold:
		server.backend.cool()
	case Draining:
		at.leave()
	case StaleReport:
		w.staleReports()
	case NodeKilled:
		at.kill()
	case NodeFrozen:
		at.freeze()
	case NodeReplaced:
		at.replace()
	case ZoneCutFromZone, ZoneCutFromBoth:
		w.cutZones(source, server)
	case Surge:
		w.surge()
	case TwoOperators:
		w.startOperator(configuration.ChangeID(fmt.Sprintf("other-%d", len(w.operators))), 300, w.random.IntN(len(w.nodes)))
	}
}

// staleReports makes the racedesk instances report that they are idle and admit everything.
func (w *World) staleReports() {
	idle := &route.Load{Limit: uint32(w.options.Slots), Level: request.MaxPriority}
	for _, n := range w.nodes[:len(instances[0])] {
		n.staleLoad = idle
		w.after(faultTime, func() { n.staleLoad = nil })
	}
}

func (w *World) cutZones(a, b *node) {
	l := linkOf(a.zone, b.zone)
	if a.zone == b.zone {
		l = linkOf("a", "b")
	}
	w.cuts[l] = true
	w.after(faultTime, func() { delete(w.cuts, l) })
}

// The surge sends about ten times what the racedesk instances can run.
const (
	surgeInterval = 250 * time.Microsecond
	surgeRequests = 2000
)

func (w *World) surge() {
	for i := range surgeRequests {
		w.after(time.Duration(i)*surgeInterval, func() { w.randomRequest(true) })
	}
}

// kill ends the process at once; its backend server keeps running.
func (n *node) kill() {
	if n.dead {
		return
	}
	n.dead = true
	n.inbox = nil
	w := n.world
	for _, s := range w.streams {
		if !s.closed && (s.source == n || s.dest == n) {
			w.after(w.noticeTime(s), s.breakUp)
		}
	}
	for _, c := range w.conns {
		if c.node == n && !c.closed {
			c.lost()
		}
	}
}

// noticeTime is the time until the end of a process at one end of a stream is noticed at the other.
func (w *World) noticeTime(s *stream) time.Duration {
	if w.isCut(s.source, s.dest) {
		return keepalive
	}
	return nearDelay
}

// freeze stops the process; what arrives meanwhile is read when it is resumed.
func (n *node) freeze() {
	n.frozen = true
	w := n.world
	for _, s := range w.streams {
		if !s.closed && (s.source == n || s.dest == n) {
			w.after(frozenKeepalive, func() { s.breakIfFrozen(n) })
		}
	}
	w.after(faultTime, n.resume)
}

func (n *node) resume() {
	n.frozen = false
	for len(n.inbox) > 0 && !n.frozen && !n.dead {
		f := n.inbox[0]
		n.inbox = n.inbox[1:]
		f()
	}
}

// replaceTime is the time from the end of a process to the start of its successor.
const replaceTime = 100 * time.Millisecond

// replace ends the process and starts another incarnation beside the same backend server.
func (n *node) replace() {
	n.kill()
	w := n.world
	w.after(replaceTime, func() {
		next := w.newNode(n.id, n.depth, n.zone, n.backend)
		next.mustHold = n.replica.Version()
		for i := range w.nodes {
			if w.nodes[i] == n {
				w.nodes[i] = next
			}
		}
		next.join()
		next.tick()
		w.changeReached(Restart, next)
	})
}
