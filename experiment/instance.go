package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// coldFactor multiplies the service time of a backend server that has just started; it falls to 1 over the cold start time.
const coldFactor = 5

// instance is a fake backend server and its node.
type instance struct {
	sim         *simulation
	id          request.InstanceID
	service     *Service
	zone        request.ZoneID
	declared    int
	connections int
	incarnation request.Incarnation

	// The backend server.
	up       bool
	slots    int
	slow     float64
	coldFrom request.Instant
	busy     int
	backlog  []*attempt

	// The node as destination.
	gate     gate
	attempts map[request.AttemptID]*attempt
	history  []route.Load
	lies     bool

	// The node as source.
	table    *route.Table
	ratio    *budget.Ratio
	requests *budget.Requests
	number   uint64
	rates    [customers]rate
}

// rate counts the requests of one customer in the present control interval.
type rate struct {
	interval request.Instant
	count    float64
}

func newInstance(s *simulation, service *Service, zone request.ZoneID, seed uint64) *instance {
	id := request.InstanceID(string(service.Name) + "@" + string(zone))
	in := &instance{
		sim: s, id: id, service: service, zone: zone,
		declared: service.Slots, connections: service.Connections, slots: service.Slots,
		incarnation: request.Incarnation(seed),
		up:          true, slow: 1, coldFrom: request.Instant(-time.Hour),
		attempts: make(map[request.AttemptID]*attempt),
		ratio:    new(budget.Ratio), requests: budget.NewRequests(budget.DefaultSettings),
	}
	in.table = route.New(route.DefaultSettings(id, zone, "region"), rand.New(rand.NewPCG(seed, 7)))
	in.gate = newGate(in)
	return in
}

func (in *instance) nextAttempt() request.AttemptID {
	in.number++
	return request.AttemptID{Source: in.incarnation, Number: in.number}
}

// workTime draws the time that half of an attempt works: one part is fixed, an equal mean part exponential.
func (in *instance) workTime() time.Duration {
	factor := in.slow
	if age := in.sim.clock.now.Sub(in.coldFrom); age < in.sim.deployment.ColdStart {
		factor *= 1 + (coldFactor-1)*(1-float64(age)/float64(in.sim.deployment.ColdStart))
	}
	return time.Duration(factor * float64(in.service.Own) / 2 * (0.5 + 0.5*in.sim.random.ExpFloat64()))
}

// run starts an attempt, or lets it wait in the backend server if the node sent more than it has slots for.
func (in *instance) run(a *attempt) {
	if in.busy >= in.slots {
		in.backlog = append(in.backlog, a)
		return
	}
	in.busy++
	a.begin()
}

// release frees the slot of an attempt that has ended.
func (in *instance) release() {
	in.busy--
	for in.busy < in.slots && len(in.backlog) > 0 {
		a := in.backlog[0]
		in.backlog = in.backlog[1:]
		if a.state != attemptEnded {
			in.busy++
			a.begin()
		}
	}
}

// loadReport is what sources learn of the load.
func (in *instance) loadReport() route.Load {
	l := in.gate.load()
	switch {
	case in.lies:
		return route.Load{Limit: uint32(in.declared), Level: l.Level}
	case in.sim.stale && len(in.history) > 0:
		old := in.history[0]
		old.Level = l.Level
		return old
	}
	return l
}

// reportAge is the age of load reports under Scenario.Stale.
const reportAge = 10 * time.Second

func (in *instance) tick() {
	if !in.up {
		return
	}
	in.gate.tick()
	in.history = append(in.history, in.gate.load())
	if len(in.history) > int(reportAge/tickInterval) {
		in.history = in.history[1:]
	}
}

// stop takes the instance away with everything that it runs.
func (in *instance) stop() {
	in.up = false
	for _, a := range in.sortedAttempts() {
		a.lose()
	}
	in.busy, in.backlog = 0, nil
	clear(in.attempts)
}

// start brings the instance back with a cold backend server.
func (in *instance) start() {
	in.up = true
	in.incarnation += 1 << 32
	in.coldFrom = in.sim.clock.now
	in.gate = newGate(in)
	in.history = nil
	in.table.Update(in.sim.members(in))
}

// plan describes a call of a hop.
func (h *hop) plan() call.Plan {
	return call.Plan{
		Service:    h.send.request.chain.Services[h.position],
		Operation:  h.send.request.chain.Operation,
		Priority:   h.priority,
		Deadline:   h.deadline,
		Idempotent: true,
	}
}
