package faultmatrix

import (
	"time"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// Parameters of the fake backend server.
const (
	serviceTime         = 8 * time.Millisecond
	partCount           = 3
	partInterval        = 2 * time.Millisecond
	backendRestartDelay = 200 * time.Millisecond
	coldDuration        = 600 * time.Millisecond
	coldFactor          = 3
	// nestedResendDelay is the time until the backend server resends a nested call that was not
	// answered.
	nestedResendDelay = 5 * time.Millisecond
)

// backend is a fake backend server. It keeps running when the process of its node ends.
type backend struct {
	sim        *Simulation
	node       *node
	up         bool
	slowdown   float64
	executions []*execution
	lastSeq    uint64
	crashes    request.Incarnation
	// lastCrashed is the incarnation that crashed last.
	lastCrashed request.Incarnation
}

// execution is the processing of one attempt by the backend server.
type execution struct {
	backend    *backend
	served     *servedAttempt
	node       *node
	seq        uint64
	startedAt  request.Instant
	nestedTime time.Duration
	resent     bool
	stopped    bool
}

func (x *execution) ownTime(now request.Instant) time.Duration {
	return now.Sub(x.startedAt) - x.nestedTime
}

// execute runs an attempt: half of the work, the nested call, the other half, and then the parts of
// the response.
func (b *backend) execute(s *servedAttempt) {
	sim := b.sim
	b.lastSeq++
	x := &execution{backend: b, served: s, node: b.node, seq: b.lastSeq, startedAt: sim.now}
	s.execution = x
	b.executions = append(b.executions, x)
	sim.checker.recordExecution(b.node, &s.message)
	sim.after(time.Millisecond, x.unlessStopped(func() {
		sim.reachStep(Running, s.message.request, s.message.depth, s.stream.source, x.node)
	}))
	sim.after(b.halfWorkTime(), x.unlessStopped(x.callNested))
}

// halfWorkTime draws the time for half of the work of an attempt, 0.8 to 1.2 times the mean.
func (b *backend) halfWorkTime() time.Duration {
	half := float64(serviceTime) / 2 * b.slowdown
	return b.sim.randomDuration(time.Duration(half*0.8), time.Duration(half*1.2))
}

// unlessStopped returns a function that calls f unless the execution was stopped.
func (x *execution) unlessStopped(f func()) func() {
	return func() {
		if !x.stopped {
			f()
		}
	}
}

func (x *execution) callNested() {
	s := x.served
	if s.message.depth+1 == len(services) {
		x.respond()
		return
	}
	began := x.backend.sim.now
	x.node.receive(x.unlessStopped(func() {
		x.node.callNested(s, func(e call.End) { x.finishNested(began, e) })
	}))
}

func (x *execution) finishNested(began request.Instant, e call.End) {
	sim := x.backend.sim
	if x.stopped {
		return
	}
	x.nestedTime += sim.now.Sub(began)
	if e.Outcome != request.Answered && !x.resent {
		// Like a caller, a backend server resends a nested call that was not answered, but only once.
		x.resent = true
		sim.after(nestedResendDelay, x.unlessStopped(x.callNested))
		return
	}
	if e.Outcome != request.Answered {
		x.finish(request.Failed)
		return
	}
	sim.after(x.backend.halfWorkTime(), x.unlessStopped(x.respond))
}

// respond sends one part of the response every partInterval.
func (x *execution) respond() {
	sim, s := x.backend.sim, x.served
	for i := range partCount {
		sim.after(time.Duration(i)*partInterval, x.unlessStopped(func() {
			x.node.receive(func() { x.node.sendPart(s) })
			x.reachPartStep(i)
		}))
	}
	sim.after(partCount*partInterval, x.unlessStopped(func() { x.finish(request.Answered) }))
}

func (x *execution) reachPartStep(i int) {
	m := &x.served.message
	switch i {
	case 0:
		x.backend.sim.reachStep(FirstPart, m.request, m.depth, x.served.stream.source, x.node)
	case partCount - 1:
		x.backend.sim.reachStep(LastPart, m.request, m.depth, x.served.stream.source, x.node)
	}
}

func (x *execution) finish(o request.Outcome) {
	x.stopped = true
	x.node.receive(func() { x.node.finishAttempt(x.served, o) })
}

// crash ends all executions. The server restarts cold after backendRestartDelay.
func (b *backend) crash() {
	if !b.up {
		return
	}
	b.up = false
	b.crashes++
	b.lastCrashed = b.node.incarnation + b.crashes
	for _, x := range b.executions {
		x.stopped = true
	}
	b.executions = nil
	b.node.receive(b.node.handleBackendCrash)
	b.sim.after(backendRestartDelay, b.restart)
}

func (b *backend) restart() {
	b.up = true
	b.node.receive(func() { b.node.admissionEvent(admission.BackendRestarted{}) })
	b.makeCold()
}

// makeCold slows the server down for coldDuration, as after a start.
func (b *backend) makeCold() {
	b.slowdown = coldFactor
	b.sim.after(coldDuration, func() { b.slowdown = 1 })
}
