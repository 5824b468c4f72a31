package faultmatrix

import (
	"time"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// The behaviour of the fake backend server.
const (
	serviceTime  = 8 * time.Millisecond
	partCount    = 3
	partInterval = 2 * time.Millisecond
	restartTime  = 200 * time.Millisecond
	coldTime     = 600 * time.Millisecond
	coldFactor   = 3
	// nestedWait is the time until the backend server sends a nested call again that was not answered.
	nestedWait = 5 * time.Millisecond
)

// backend is a fake backend server. It keeps running when its node ends.
type backend struct {
	world   *World
	node    *node
	up      bool
	slow    float64
	runs    []*execution
	number  uint64
	crashes request.Incarnation
	// crashed is the incarnation that crashed last.
	crashed request.Incarnation
}

// execution is one run of an attempt.
type execution struct {
	backend *backend
	served  *served
	node    *node
	number  uint64
	began   request.Instant
	waited  time.Duration
	resent  bool
	stopped bool
}

func (x *execution) ownTime(now request.Instant) time.Duration { return now.Sub(x.began) - x.waited }

// begin runs an attempt: half of the work, the nested call, the other half, and then the parts of the response.
func (b *backend) begin(s *served) {
	w := b.world
	b.number++
	x := &execution{backend: b, served: s, node: b.node, number: b.number, began: w.now}
	s.run = x
	b.runs = append(b.runs, x)
	w.record.executed(b.node, &s.message)
	w.after(time.Millisecond, x.step(func() {
		w.reached(Running, s.message.request, s.message.depth, s.stream.source, x.node)
	}))
	w.after(b.work(), x.step(x.callNested))
}

// work returns half of the time that an attempt takes.
func (b *backend) work() time.Duration {
	half := float64(serviceTime) / 2 * b.slow
	return b.world.between(time.Duration(half*0.8), time.Duration(half*1.2))
}

// step returns a function that goes on with the execution unless it was stopped.
func (x *execution) step(f func()) func() {
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
	began := x.backend.world.now
	x.node.receive(x.step(func() {
		x.node.nested(s, func(e call.End) { x.continueAfter(began, e) })
	}))
}

func (x *execution) continueAfter(began request.Instant, e call.End) {
	w := x.backend.world
	if x.stopped {
		return
	}
	x.waited += w.now.Sub(began)
	if e.Outcome != request.Answered && !x.resent {
		// Backend servers send a nested call again too.
		x.resent = true
		w.after(nestedWait, x.step(x.callNested))
		return
	}
	if e.Outcome != request.Answered {
		x.end(request.Failed)
		return
	}
	w.after(x.backend.work(), x.step(x.respond))
}

// respond sends the parts of the response one after the other.
func (x *execution) respond() {
	w, s := x.backend.world, x.served
	for i := range partCount {
		w.after(time.Duration(i)*partInterval, x.step(func() {
			x.node.receive(func() { x.node.sendPart(s) })
			x.notePart(i)
		}))
	}
	w.after(partCount*partInterval, x.step(func() { x.end(request.Answered) }))
}

func (x *execution) notePart(i int) {
	m := &x.served.message
	switch i {
	case 0:
		x.backend.world.reached(FirstPart, m.request, m.depth, x.served.stream.source, x.node)
	case partCount - 1:
		x.backend.world.reached(LastPart, m.request, m.depth, x.served.stream.source, x.node)
	}
}

func (x *execution) end(o request.Outcome) {
	x.stopped = true
	x.node.receive(func() { x.node.finished(x.served, o) })
}

// crash loses all executions; the server starts again cold.
func (b *backend) crash() {
	if !b.up {
		return
	}
	b.up = false
	b.crashes++
	b.crashed = b.node.incarnation + b.crashes
	for _, x := range b.runs {
		x.stopped = true
	}
	b.runs = nil
	b.node.receive(b.node.backendCrashed)
	b.world.after(restartTime, b.restart)
}

func (b *backend) restart() {
	b.up = true
	b.node.receive(func() { b.node.admit(admission.Restarted{}) })
	b.cool()
}

// cool makes the server slow as it is after a start.
func (b *backend) cool() {
	b.slow = coldFactor
	b.world.after(coldTime, func() { b.slow = 1 })
}
