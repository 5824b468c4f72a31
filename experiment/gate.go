package experiment

import (
	"math"
	"time"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// gate decides at the destination which attempts reach the backend server.
type gate interface {
	arrive(a *attempt)
	finish(a *attempt, own time.Duration)
	// withdraw reports whether the attempt has not begun and will not begin.
	withdraw(a *attempt) bool
	cancel(a *attempt)
	tick()
	restart()
	load() route.Load
}

type gateKind uint8

const (
	controlledGate gateKind = iota
	openGate
	staticGate
	adaptiveGate
)

func newGate(in *instance) gate {
	switch in.sim.variant.gate {
	case openGate:
		// The backend server queues itself, up to its connections.
		return &fifo{instance: in, limit: float64(in.connections), highest: float64(in.connections)}
	case staticGate, adaptiveGate:
		return &fifo{
			instance: in, limit: float64(in.declared), highest: float64(in.declared),
			queueLimit: 2 * in.declared, adaptive: in.sim.variant.gate == adaptiveGate,
		}
	default:
		return newControlled(in)
	}
}

// controlled is the design's controller.
type controlled struct {
	instance   *instance
	controller *admission.Controller
	actions    []admission.Action
}

func newControlled(in *instance) *controlled {
	s := admission.Settings{Slots: in.declared}
	if in.sim.variant.ramp {
		s.Ramp = in.sim.deployment.ColdStart
	}
	c := admission.New(s, in.sim.clock.now)
	if in.sim.clock.now == 0 {
		// The backend servers are warm when the run begins.
		c = admission.New(s, request.Instant(-time.Minute))
	}
	return &controlled{instance: in, controller: c}
}

func (c *controlled) now() request.Instant { return c.instance.sim.clock.now }

func (c *controlled) arrive(a *attempt) {
	v := c.controller.Admit(c.now(), admission.Arrive{Attempt: a.id, Priority: a.priority, Remaining: c.remaining(a)})
	switch v.Decision {
	case admission.Dispatched:
		a.dispatched()
	case admission.Refused:
		a.refused(v.Reason, v.RetryAfter)
	}
	if v.Pending {
		c.carryOut(c.controller.Collect(c.actions[:0]))
	}
}

func (c *controlled) remaining(a *attempt) time.Duration {
	if !c.instance.sim.variant.deadline {
		return time.Hour
	}
	return a.remaining
}

func (c *controlled) handle(e admission.Event) {
	c.carryOut(c.controller.Handle(c.now(), e, c.actions[:0]))
}

func (c *controlled) carryOut(actions []admission.Action) {
	c.actions = nil // The actions can lead back here.
	for _, action := range actions {
		switch action := action.(type) {
		case admission.Dispatch:
			c.instance.attempts[action.Attempt].dispatched()
		case admission.Refuse:
			c.instance.attempts[action.Attempt].refused(action.Reason, action.RetryAfter)
		case admission.Abort:
			c.instance.attempts[action.Attempt].abort()
		}
	}
	c.actions = actions[:0]
}

func (c *controlled) finish(a *attempt, own time.Duration) {
	if c.controller.Done(c.now(), admission.Finish{Attempt: a.id, OwnTime: own}) {
		c.carryOut(c.controller.Collect(c.actions[:0]))
	}
}

func (c *controlled) withdraw(a *attempt) bool {
	actions := c.controller.Handle(c.now(), admission.Withdraw{Attempt: a.id}, nil)
	_, withdrawn := actions[0].(admission.Withdrawn)
	c.carryOut(actions[1:])
	return withdrawn
}

func (c *controlled) cancel(a *attempt) { c.handle(admission.Cancel{Attempt: a.id}) }

func (c *controlled) tick() { c.handle(admission.Tick{}) }

func (c *controlled) restart() { c.handle(admission.Restarted{}) }

func (c *controlled) load() route.Load {
	l := c.controller.Load()
	return route.Load{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Limit: uint32(l.Limit), Level: l.Level}
}

// fifo is the gate of the baselines: a concurrency limit and a first-in first-out queue.
type fifo struct {
	instance   *instance
	limit      float64
	highest    float64
	queueLimit int
	queue      []*attempt
	running    int

	// The adaptive limit follows the ratio of the least to the mean total time.
	adaptive bool
	least    time.Duration
	sum      time.Duration
	count    int
}

func (f *fifo) arrive(a *attempt) {
	switch {
	case f.running < int(f.limit):
		f.start(a)
	case len(f.queue) < f.queueLimit:
		f.queue = append(f.queue, a)
	default:
		a.refused(request.QueueFull, 0)
	}
}

func (f *fifo) start(a *attempt) {
	f.running++
	a.dispatched()
}

func (f *fifo) finish(a *attempt, _ time.Duration) {
	f.running--
	f.sum += f.instance.sim.clock.now.Sub(a.started)
	f.count++
	f.fill()
}

func (f *fifo) fill() {
	for f.running < int(f.limit) && len(f.queue) > 0 {
		a := f.queue[0]
		f.queue = f.queue[1:]
		f.start(a)
	}
}

func (f *fifo) withdraw(*attempt) bool { return false }

func (f *fifo) cancel(*attempt) {}

// tick moves an adaptive limit towards limit*least/mean plus a queue of its
// square root, as gradient limits do, with a tolerance of 1.5 for the mean.
func (f *fifo) tick() {
	if !f.adaptive || f.count == 0 {
		return
	}
	mean := f.sum / time.Duration(f.count)
	if f.least == 0 || mean < f.least {
		f.least = mean
	}
	f.sum, f.count = 0, 0
	gradient := min(1, max(0.5, 1.5*float64(f.least)/float64(mean)))
	target := f.limit*gradient + math.Sqrt(f.limit)
	f.limit = max(1, min(f.highest, 0.8*f.limit+0.2*target))
	f.fill()
}

func (f *fifo) restart() {
	f.queue, f.running = nil, 0
	f.sum, f.count = 0, 0
}

func (f *fifo) load() route.Load {
	return route.Load{InFlight: uint32(f.running), Queued: uint32(len(f.queue)), Limit: uint32(f.limit), Level: request.MaxPriority}
}
