package experiment

import (
	"math"
	"time"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// gate decides at the destination when and whether an attempt is passed to the backend server.
type gate interface {
	arrive(a *attempt)
	finish(a *attempt, own time.Duration)
	// withdraw reports whether the attempt has not started and will not start.
	withdraw(a *attempt) bool
	cancel(a *attempt)
	tick()
	restart()
	load() route.Load
}

type gateType uint8

const (
	admissionGateType gateType = iota
	unlimitedGateType
	staticGateType
	adaptiveGateType
)

func newGate(in *instance) gate {
	switch in.sim.variant.gate {
	case unlimitedGateType:
		// The backend server queues attempts itself, up to its number of connections.
		return &fifoGate{instance: in, limit: float64(in.connections), maxLimit: float64(in.connections)}
	case staticGateType, adaptiveGateType:
		return &fifoGate{
			instance: in, limit: float64(in.declaredSlots), maxLimit: float64(in.declaredSlots),
			queueLimit: 2 * in.declaredSlots, adaptive: in.sim.variant.gate == adaptiveGateType,
		}
	default:
		return newAdmissionGate(in)
	}
}

// admissionGate is the admission controller of the design.
type admissionGate struct {
	instance   *instance
	controller *admission.Controller
	actions    []admission.Action
}

func newAdmissionGate(in *instance) *admissionGate {
	s := admission.Settings{Slots: in.declaredSlots}
	if in.sim.variant.ramp {
		s.WarmUp = in.sim.deployment.ColdStart
	}
	c := admission.New(s, in.sim.clock.now)
	if in.sim.clock.now == 0 {
		// The backend servers are warm at the start of the run: a controller created a minute earlier has
		// completed its warm-up.
		c = admission.New(s, request.Instant(-time.Minute))
	}
	return &admissionGate{instance: in, controller: c}
}

func (g *admissionGate) now() request.Instant { return g.instance.sim.clock.now }

func (g *admissionGate) arrive(a *attempt) {
	v := g.controller.Admit(g.now(), admission.Arrive{Attempt: a.id, Priority: a.priority, Remaining: g.remaining(a)})
	switch v.Decision {
	case admission.Dispatched:
		a.dispatched()
	case admission.Refused:
		a.refused(v.Reason, v.RetryAfter)
	}
	if v.Pending {
		g.perform(g.controller.Collect(g.actions[:0]))
	}
}

func (g *admissionGate) remaining(a *attempt) time.Duration {
	if !g.instance.sim.variant.deadline {
		return time.Hour
	}
	return a.remaining
}

func (g *admissionGate) handle(e admission.Event) {
	g.perform(g.controller.Handle(g.now(), e, g.actions[:0]))
}

func (g *admissionGate) perform(actions []admission.Action) {
	g.actions = nil // The actions can cause a nested call of perform.
	for _, action := range actions {
		switch action := action.(type) {
		case admission.Dispatch:
			g.instance.attempts[action.Attempt].dispatched()
		case admission.Refuse:
			g.instance.attempts[action.Attempt].refused(action.Reason, action.RetryAfter)
		case admission.Abort:
			g.instance.attempts[action.Attempt].abort()
		}
	}
	g.actions = actions[:0]
}

func (g *admissionGate) finish(a *attempt, own time.Duration) {
	if g.controller.HandleFinish(g.now(), admission.Finish{Attempt: a.id, OwnTime: own}) {
		g.perform(g.controller.Collect(g.actions[:0]))
	}
}

func (g *admissionGate) withdraw(a *attempt) bool {
	actions := g.controller.Handle(g.now(), admission.Withdraw{Attempt: a.id}, nil)
	_, withdrawn := actions[0].(admission.Withdrawn)
	g.perform(actions[1:])
	return withdrawn
}

func (g *admissionGate) cancel(a *attempt) { g.handle(admission.Cancel{Attempt: a.id}) }

func (g *admissionGate) tick() { g.handle(admission.Tick{}) }

func (g *admissionGate) restart() { g.handle(admission.BackendRestarted{}) }

func (g *admissionGate) load() route.Load {
	l := g.controller.Load()
	return route.Load{InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Limit: uint32(l.Limit), Level: l.Level}
}

// fifoGate is the gate of the baselines: a concurrency limit and a first-in first-out queue.
type fifoGate struct {
	instance   *instance
	limit      float64
	maxLimit   float64
	queueLimit int
	queue      []*attempt
	running    int

	// The adaptive limit follows the ratio of the lowest mean time from dispatch to finish in a tick,
	// which is minTime, to the mean in the last tick.
	adaptive  bool
	minTime   time.Duration
	totalTime time.Duration
	count     int
}

func (f *fifoGate) arrive(a *attempt) {
	switch {
	case f.running < int(f.limit):
		f.start(a)
	case len(f.queue) < f.queueLimit:
		f.queue = append(f.queue, a)
	default:
		a.refused(request.QueueFull, 0)
	}
}

func (f *fifoGate) start(a *attempt) {
	f.running++
	a.dispatched()
}

func (f *fifoGate) finish(a *attempt, _ time.Duration) {
	f.running--
	f.totalTime += f.instance.sim.clock.now.Sub(a.startedAt)
	f.count++
	f.startQueued()
}

func (f *fifoGate) startQueued() {
	for f.running < int(f.limit) && len(f.queue) > 0 {
		a := f.queue[0]
		f.queue = f.queue[1:]
		f.start(a)
	}
}

func (f *fifoGate) withdraw(*attempt) bool { return false }

func (f *fifoGate) cancel(*attempt) {}

// tick moves an adaptive limit towards limit*minTime/mean plus the square root of the limit as room for
// a queue, as gradient limits do, with a tolerance of 1.5 for the mean.
func (f *fifoGate) tick() {
	if !f.adaptive || f.count == 0 {
		return
	}
	mean := f.totalTime / time.Duration(f.count)
	if f.minTime == 0 || mean < f.minTime {
		f.minTime = mean
	}
	f.totalTime, f.count = 0, 0
	gradient := min(1, max(0.5, 1.5*float64(f.minTime)/float64(mean)))
	target := f.limit*gradient + math.Sqrt(f.limit)
	f.limit = max(1, min(f.maxLimit, 0.8*f.limit+0.2*target))
	f.startQueued()
}

func (f *fifoGate) restart() {
	f.queue, f.running = nil, 0
	f.totalTime, f.count = 0, 0
}

func (f *fifoGate) load() route.Load {
	return route.Load{InFlight: uint32(f.running), Queued: uint32(len(f.queue)), Limit: uint32(f.limit), Level: request.PriorityCount}
}
