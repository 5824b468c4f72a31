package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// coldFactor multiplies the service time of a backend server that has just started. The factor falls
// to 1 over the cold start time.
const coldFactor = 5

// instance is a fake backend server and its node.
type instance struct {
	sim           *simulation
	id            request.InstanceID
	service       *Service
	zone          request.ZoneID
	declaredSlots int
	connections   int
	incarnation   request.Incarnation

	// State of the backend server.
	up        bool
	slots     int
	slowdown  float64
	coldSince request.Instant
	busySlots int
	backlog   []*attempt

	// State of the node as a destination.
	gate        gate
	attempts    map[request.AttemptID]*attempt
	loadHistory []route.Load
	reportsIdle bool

	// State of the node as a source.
	table         *route.Table
	limiter       *budget.Limiter
	requests      *budget.Requests
	lastAttempt   uint64
	customerRates [customerCount]rateCounter
}

// rateCounter counts the requests of one customer in the current second.
type rateCounter struct {
	interval request.Instant
	count    float64
}

func newInstance(s *simulation, service *Service, zone request.ZoneID, seed uint64) *instance {
	id := request.InstanceID(string(service.Name) + "@" + string(zone))
	in := &instance{
		sim: s, id: id, service: service, zone: zone,
		declaredSlots: service.Slots, connections: service.Connections, slots: service.Slots,
		incarnation: request.Incarnation(seed),
		up:          true, slowdown: 1, coldSince: request.Instant(-time.Hour),
		attempts: make(map[request.AttemptID]*attempt),
		limiter:  new(budget.Limiter), requests: budget.NewRequests(budget.DefaultSettings),
	}
	in.table = route.New(route.DefaultSettings(id, zone, "region"), rand.New(rand.NewPCG(seed, 7)))
	in.gate = newGate(in)
	return in
}

func (in *instance) nextAttempt() request.AttemptID {
	in.lastAttempt++
	return request.AttemptID{Source: in.incarnation, Number: in.lastAttempt}
}

// workTime draws the service time of half of an attempt: a fixed part and an exponentially distributed
// part with the same mean.
func (in *instance) workTime() time.Duration {
	factor := in.slowdown
	if age := in.sim.clock.now.Sub(in.coldSince); age < in.sim.deployment.ColdStart {
		factor *= 1 + (coldFactor-1)*(1-float64(age)/float64(in.sim.deployment.ColdStart))
	}
	return time.Duration(factor * float64(in.service.ServiceTime) / 2 * (0.5 + 0.5*in.sim.random.ExpFloat64()))
}

// run starts an attempt, or queues it at the backend server if the node sent more attempts than it has
// slots.
func (in *instance) run(a *attempt) {
	if in.busySlots >= in.slots {
		in.backlog = append(in.backlog, a)
		return
	}
	in.busySlots++
	a.runFirstHalf()
}

// release frees the slot of an attempt that has ended and starts queued attempts.
func (in *instance) release() {
	in.busySlots--
	for in.busySlots < in.slots && len(in.backlog) > 0 {
		a := in.backlog[0]
		in.backlog = in.backlog[1:]
		if a.state != attemptEnded {
			in.busySlots++
			a.runFirstHalf()
		}
	}
}

// loadReport returns the load that the instance reports to sources.
func (in *instance) loadReport() route.Load {
	l := in.gate.load()
	switch {
	case in.reportsIdle:
		return route.Load{Limit: uint32(in.declaredSlots), Level: l.Level}
	case in.sim.staleReports && len(in.loadHistory) > 0:
		old := in.loadHistory[0]
		old.Level = l.Level
		return old
	}
	return l
}

// reportAge is the age of load reports if Scenario.StaleReports is set.
const reportAge = 10 * time.Second

func (in *instance) tick() {
	if !in.up {
		return
	}
	in.gate.tick()
	in.loadHistory = append(in.loadHistory, in.gate.load())
	if len(in.loadHistory) > int(reportAge/tickInterval) {
		in.loadHistory = in.loadHistory[1:]
	}
}

// stop stops the instance and ends all its attempts.
func (in *instance) stop() {
	in.up = false
	for _, a := range in.sortedAttempts() {
		a.loseInstance()
	}
	in.busySlots, in.backlog = 0, nil
	clear(in.attempts)
}

// start restarts the instance with a cold backend server.
func (in *instance) start() {
	in.up = true
	in.incarnation += 1 << 32
	in.coldSince = in.sim.clock.now
	in.gate = newGate(in)
	in.loadHistory = nil
	in.table.Update(in.sim.members(in))
}

// plan returns the parameters of a call.
func (h *hop) plan() call.Plan {
	return call.Plan{
		Service:    h.send.request.chain.Services[h.position],
		Operation:  h.send.request.chain.Operation,
		Priority:   h.priority,
		Deadline:   h.deadline,
		Idempotent: true,
	}
}
