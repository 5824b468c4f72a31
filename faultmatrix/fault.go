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

// The faults in the order of the rows of the fault matrix.
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
func (sim *Simulation) crashStep() Step {
	if sim.trigger.isAt(FirstPart) || sim.trigger.isAt(LastPart) {
		return sim.trigger.step
	}
	return Running
}

// faultDuration is the duration of each fault that ends without an action of the fleet.
const faultDuration = 1500 * time.Millisecond

// FaultsInjected reports whether the step of the faults was reached.
func (sim *Simulation) FaultsInjected() bool { return sim.trigger != nil && sim.trigger.fired }

// Outcome returns the last outcome that the caller of the subject received, with its reason, and the
// number of sends.
func (sim *Simulation) Outcome() (o request.Outcome, r request.Reason, sends int) {
	for _, q := range sim.requests {
		if q.subject {
			return q.outcome, q.reason, int(q.sends)
		}
	}
	return request.Unknown, request.NoReason, 0
}

// reachStep injects the faults if the subject has reached their step, and crashes the backend server
// at the crash step of a crashing request. Only steps at the first service count. dest is nil while it
// is not known.
func (sim *Simulation) reachStep(s Step, q *callerRequest, depth int, source, dest *node) {
	if q.crashing && depth == 0 && s == sim.crashStep() && (q.sends > 1 || !sim.trigger.isAt(CallerResend)) {
		sim.checker.crashes[q.fingerprint]++
		sim.after(0, dest.backend.crash)
	}
	if !q.subject || depth != 0 || !sim.trigger.isAt(s) || sim.trigger.fired {
		return
	}
	sim.fireTrigger(source, dest)
}

// reachChangeStep injects the faults if the configuration change has reached their step at a node.
func (sim *Simulation) reachChangeStep(s Step, at *node) {
	if sim.now >= request.Instant(subjectStart) && sim.trigger.isAt(s) && !sim.trigger.fired {
		sim.fireTrigger(at, at)
	}
}

func (sim *Simulation) fireTrigger(source, dest *node) {
	sim.trigger.fired = true
	for _, f := range sim.trigger.faults {
		sim.inject(f, source, dest)
	}
	sim.after(sim.options.LaterDelay, func() {
		for _, f := range sim.options.LaterFaults {
			sim.inject(f, sim.randomNode(), sim.nodes[sim.random.IntN(len(instances[0]))])
		}
	})
}

func (sim *Simulation) randomNode() *node { return sim.nodes[sim.random.IntN(len(sim.nodes))] }

// inject starts a fault at the destination. While there is no destination, faults of a backend server
// start at a random racedesk instance, and faults of a process start at the source.
func (sim *Simulation) inject(f Fault, source, dest *node) {
	at := dest
	if at == nil {
		at = source
	}
	server := dest
	if server == nil {
		server = sim.nodes[sim.random.IntN(len(instances[0]))]
	}
	sim.injectPlatform(f, at)
	switch f {
	case BackendSlow:
		server.backend.slowdown = 40
		sim.after(faultDuration, func() { server.backend.slowdown = 1 })
	case BackendCrashed:
		server.backend.crash()
	case BackendCold:
		server.backend.makeCold()
	case Draining:
		at.leave()
	case StaleReport:
		sim.staleReports()
	case NodeKilled:
		at.kill()
	case NodeFrozen:
		at.freeze()
	case NodeReplaced:
		at.replace()
	case ZoneCutFromZone, ZoneCutFromBoth:
		sim.cutZones(source, server)
	case Surge:
		sim.surge()
	case TwoOperators:
		sim.startOperator(configuration.ChangeID(fmt.Sprintf("other-%d", len(sim.operators))), 300, sim.random.IntN(len(sim.nodes)))
	}
}

// staleReports makes the racedesk instances report that they are idle and admit all priorities.
func (sim *Simulation) staleReports() {
	idle := &route.Load{Limit: uint32(sim.options.Slots), Level: request.PriorityCount}
	for _, n := range sim.nodes[:len(instances[0])] {
		n.staleLoad = idle
		sim.after(faultDuration, func() { n.staleLoad = nil })
	}
}

// cutZones partitions the zones of two nodes for faultDuration, or zones a and b if the nodes are in
// the same zone.
func (sim *Simulation) cutZones(a, b *node) {
	zones := newZonePair(a.zone, b.zone)
	if a.zone == b.zone {
		zones = newZonePair("a", "b")
	}
	sim.cuts[zones] = true
	sim.after(faultDuration, func() { delete(sim.cuts, zones) })
}

// The surge sends about ten times what the racedesk instances can run.
const (
	surgeInterval = 250 * time.Microsecond
	surgeRequests = 2000
)

func (sim *Simulation) surge() {
	for i := range surgeRequests {
		sim.after(time.Duration(i)*surgeInterval, func() { sim.randomRequest(true) })
	}
}

// kill ends the process at once. Its backend server keeps running.
func (n *node) kill() {
	if n.dead {
		return
	}
	n.dead = true
	n.inbox = nil
	sim := n.sim
	for _, s := range sim.streams {
		if !s.closed && (s.source == n || s.dest == n) {
			sim.after(sim.disconnectDelay(s), s.disconnect)
		}
	}
	for _, c := range sim.callerConns {
		if c.node == n && !c.closed {
			c.breakConn()
		}
	}
}

// disconnectDelay returns the time until one end of a stream detects that the process at the other end
// has ended.
func (sim *Simulation) disconnectDelay(s *stream) time.Duration {
	if sim.isCut(s.source, s.dest) {
		return keepaliveTimeout
	}
	return localDelay
}

// freeze suspends the process. What arrives in the meantime is read when it resumes.
func (n *node) freeze() {
	n.frozen = true
	sim := n.sim
	for _, s := range sim.streams {
		if !s.closed && (s.source == n || s.dest == n) {
			sim.after(frozenKeepaliveTimeout, func() { s.disconnectIfFrozen(n) })
		}
	}
	sim.after(faultDuration, n.resume)
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
	sim := n.sim
	sim.after(restartDelay, func() {
		next := sim.newNode(n.id, n.depth, n.zone, n.backend)
		next.minVersion = n.replica.Version()
		for i := range sim.nodes {
			if sim.nodes[i] == n {
				sim.nodes[i] = next
			}
		}
		next.join()
		next.tick()
		sim.reachChangeStep(Restart, next)
	})
}
