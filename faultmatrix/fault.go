package faultmatrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// Step is a step of a request or of a configuration change at which faults are injected.
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
	ResponseToCaller
	CallerResend

	// The steps of a configuration change.
	Validate
	Commit
	ResponseToOperator
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

// String returns the name of the step, as in the column header of the fault matrix.
func (s Step) String() string { return stepNames[s] }

// Steps returns all steps in the order of the columns.
func Steps() []Step {
	out := make([]Step, stepCount)
	for i := range out {
		out[i] = Step(i)
	}
	return out
}

// Fault is a kind of failure or disturbance that can be injected.
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
	PlatformResponseLost
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

// trigger is a set of faults that begin when the subject or the change reaches a step.
type trigger struct {
	step   Step
	faults []Fault
	fired  bool
}

// isAt reports whether the faults begin at the step.
func (t *trigger) isAt(s Step) bool { return t != nil && t.step == s }

// includes reports whether a fault is among the faults.
func (t *trigger) includes(f Fault) bool { return t != nil && slices.Contains(t.faults, f) }

// crashStep returns the step at which a crashing request crashes its backend server.
func (w *Simulation) crashStep() Step {
	if w.trigger.isAt(FirstPart) || w.trigger.isAt(LastPart) {
		return w.trigger.step
	}
	return Running
}

// faultDuration is the time after which a fault that can end is over.
const faultDuration = 1500 * time.Millisecond

// FaultsInjected reports whether the step of the faults was reached.
func (w *Simulation) FaultsInjected() bool { return w.trigger != nil && w.trigger.fired }

// Outcome returns the last outcome that the caller of the subject received, with its reason, and the
// number of sends.
func (w *Simulation) Outcome() (o request.Outcome, r request.Reason, sends int) {
	for _, q := range w.requests {
		if q.subject {
			return q.outcome, q.reason, int(q.sends)
		}
	}
	return request.Unknown, request.NoReason, 0
}

// reachStep injects the faults if the subject has reached their step, and crashes the backend server
// at the crash step of a crashing request. Only steps at the first service count. dest is nil while it
// is not known.
func (w *Simulation) reachStep(s Step, q *callerRequest, depth int, source, dest *node) {
	if q.crashing && depth == 0 && s == w.crashStep() && (q.sends > 1 || !w.trigger.isAt(CallerResend)) {
		w.checker.crashes[q.fingerprint]++
		w.after(0, dest.backend.crash)
	}
	if !q.subject || depth != 0 || !w.trigger.isAt(s) || w.trigger.fired {
		return
	}
	w.fireTrigger(source, dest)
}

// reachChangeStep injects the faults if the configuration change has reached their step at a node.
func (w *Simulation) reachChangeStep(s Step, at *node) {
	if w.now >= request.Instant(subjectStart) && w.trigger.isAt(s) && !w.trigger.fired {
		w.fireTrigger(at, at)
	}
}

func (w *Simulation) fireTrigger(source, dest *node) {
	w.trigger.fired = true
	for _, f := range w.trigger.faults {
		w.inject(f, source, dest)
	}
	w.after(w.options.LaterDelay, func() {
		for _, f := range w.options.LaterFaults {
			w.inject(f, w.randomNode(), w.nodes[w.random.IntN(len(instances[0]))])
		}
	})
}

func (w *Simulation) randomNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// inject starts a fault at the destination, or at the source while there is no destination.
func (w *Simulation) inject(f Fault, source, dest *node) {
	at := dest
	if at == nil {
		at = source
	}
	server := dest
	if server == nil {
		server = w.nodes[w.random.IntN(len(instances[0]))]
	}
	w.injectPlatform(f, at)
	switch f {
	case BackendSlow:
		server.backend.slowdown = 40
		w.after(faultDuration, func() { server.backend.slowdown = 1 })
	case BackendCrashed:
		server.backend.crash()
	case BackendCold:
		server.backend.makeCold()
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

// staleReports makes the racedesk instances report that they are idle and admit all priorities.
func (w *Simulation) staleReports() {
	idle := &route.Load{Limit: uint32(w.options.Slots), Level: request.PriorityCount}
	for _, n := range w.nodes[:len(instances[0])] {
		n.staleLoad = idle
		w.after(faultDuration, func() { n.staleLoad = nil })
	}
}

func (w *Simulation) cutZones(a, b *node) {
	l := newZonePair(a.zone, b.zone)
	if a.zone == b.zone {
		l = newZonePair("a", "b")
	}
	w.cuts[l] = true
	w.after(faultDuration, func() { delete(w.cuts, l) })
}

// The surge sends about ten times what the racedesk instances can run.
const (
	surgeInterval = 250 * time.Microsecond
	surgeRequests = 2000
)

func (w *Simulation) surge() {
	for i := range surgeRequests {
		w.after(time.Duration(i)*surgeInterval, func() { w.randomRequest(true) })
	}
}

// kill ends the process at once. Its backend server keeps running.
func (n *node) kill() {
	if n.dead {
		return
	}
	n.dead = true
	n.inbox = nil
	w := n.sim
	for _, s := range w.streams {
		if !s.closed && (s.source == n || s.dest == n) {
			w.after(w.disconnectDelay(s), s.disconnect)
		}
	}
	for _, c := range w.callerConns {
		if c.node == n && !c.closed {
			c.breakConn()
		}
	}
}

// disconnectDelay returns the time until one end of a stream detects that the process at the other end
// has ended.
func (w *Simulation) disconnectDelay(s *stream) time.Duration {
	if w.isCut(s.source, s.dest) {
		return keepaliveTimeout
	}
	return localDelay
}

// freeze suspends the process. What arrives in the meantime is read when it resumes.
func (n *node) freeze() {
	n.frozen = true
	w := n.sim
	for _, s := range w.streams {
		if !s.closed && (s.source == n || s.dest == n) {
			w.after(frozenKeepaliveTimeout, func() { s.disconnectIfFrozen(n) })
		}
	}
	w.after(faultDuration, n.resume)
}

func (n *node) resume() {
	n.frozen = false
	for len(n.inbox) > 0 && !n.frozen && !n.dead {
		f := n.inbox[0]
		n.inbox = n.inbox[1:]
		f()
	}
}

// restartDelay is the time from the end of a process to the start of its successor.
const restartDelay = 100 * time.Millisecond

// replace ends the process and starts a new incarnation with the same backend server.
func (n *node) replace() {
	n.kill()
	w := n.sim
	w.after(restartDelay, func() {
		next := w.newNode(n.id, n.depth, n.zone, n.backend)
		next.minVersion = n.replica.Version()
		for i := range w.nodes {
			if w.nodes[i] == n {
				w.nodes[i] = next
			}
		}
		next.join()
		next.tick()
		w.reachChangeStep(Restart, next)
	})
}
