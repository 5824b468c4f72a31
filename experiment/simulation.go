package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

const (
	// tickInterval is the interval between two ticks of an admission controller.
	tickInterval = 50 * time.Millisecond
	// memberUpdateDelay is the time after which sources learn that an instance has stopped, started or
	// become unreachable.
	memberUpdateDelay = time.Second
)

// simulation is one run of a variant in a scenario.
type simulation struct {
	clock      clock
	random     *rand.Rand
	deployment *Deployment
	scenario   Scenario
	variant    Variant
	collector  *collector

	instances []*instance
	byID      map[request.InstanceID]*instance
	// entryNodes are the nodes that callers connect to, those of the main services.
	entryNodes []*instance

	normalRate   float64 // requests a second
	surgeFactor  float64
	hotFactor    float64
	staleReports bool
	cutZone      request.ZoneID
}

// mainServiceCount is the number of main services, those that the design lists for each deployment. The
// other services are relays.
const mainServiceCount = 4

// Run simulates one variant in one scenario.
func Run(d *Deployment, sc Scenario, v Variant, seed uint64) *Report {
	s := &simulation{
		random:     rand.New(rand.NewPCG(seed, 1)),
		deployment: d, scenario: sc, variant: v,
		byID:        make(map[request.InstanceID]*instance),
		normalRate:  d.Capacity() * normalUtilization,
		surgeFactor: 1, hotFactor: 1,
	}
	s.collector = newCollector(s)
	s.build(seed)
	s.schedule()
	s.clock.runUntil(request.Instant(sc.Before + sc.Trigger + sc.After))
	return s.collector.finish(seed)
}

func (s *simulation) build(seed uint64) {
	for i := range s.deployment.Services {
		for _, zone := range s.deployment.Zones {
			in := newInstance(s, &s.deployment.Services[i], zone, seed*1000+uint64(len(s.instances))+1)
			s.instances = append(s.instances, in)
			s.byID[in.id] = in
			if i < mainServiceCount {
				s.entryNodes = append(s.entryNodes, in)
			}
		}
	}
	s.updateTables()
}

func (s *simulation) schedule() {
	sc := s.scenario
	s.clock.after(sc.Before, s.startTrigger)
	s.clock.after(sc.Before+sc.Trigger, s.endTrigger)
	s.nextArrival()
	s.tick()
}

func (s *simulation) tick() {
	for _, in := range s.instances {
		in.tick()
	}
	s.collector.sample()
	s.clock.after(tickInterval, s.tick)
}

// nextArrival schedules the next request. Arrivals are a Poisson process.
func (s *simulation) nextArrival() {
	hot := 1 + (s.hotFactor-1)/customerCount
	gap := s.random.ExpFloat64() / (s.normalRate * s.surgeFactor * hot)
	s.clock.after(time.Duration(gap*float64(time.Second)), func() {
		s.newRequest(s.randomCustomer()).transmit()
		s.nextArrival()
	})
}

// randomCustomer draws a customer. The first one has hotFactor times the load of each other one.
func (s *simulation) randomCustomer() int {
	x := s.random.Float64() * (customerCount - 1 + s.hotFactor)
	return int(max(0, x-s.hotFactor+1))
}

func (s *simulation) randomEntryNode() *instance {
	for {
		in := s.entryNodes[s.random.IntN(len(s.entryNodes))]
		if in.up {
			return in
		}
	}
}

// startTrigger starts the overload or failure of the scenario.
func (s *simulation) startTrigger() {
	sc := s.scenario
	s.surgeFactor, s.hotFactor, s.staleReports = sc.Surge, sc.HotCustomer, sc.StaleReports
	affected := s.bottleneck()[0]
	for _, in := range s.bottleneck() {
		in.slowdown = sc.Slowdown
	}
	if sc.WrongReports {
		affected.reportsIdle, affected.slots = true, affected.declaredSlots/2
	}
	if sc.Partition {
		s.cutZone = s.deployment.Zones[0]
		s.clock.after(memberUpdateDelay, s.updateTables)
	}
	if sc.LostInstance {
		affected.stop()
		s.clock.after(memberUpdateDelay, s.updateTables)
	}
}

// endTrigger ends the overload or failure of the scenario.
func (s *simulation) endTrigger() {
	s.surgeFactor, s.hotFactor, s.staleReports, s.cutZone = 1, 1, false, ""
	for _, in := range s.bottleneck() {
		in.slowdown, in.reportsIdle, in.slots = 1, false, in.declaredSlots
	}
	if affected := s.bottleneck()[0]; !affected.up {
		affected.start()
	}
	s.clock.after(memberUpdateDelay, s.updateTables)
}

func (s *simulation) bottleneck() []*instance {
	var out []*instance
	for _, in := range s.instances {
		if in.service.Name == s.deployment.Bottleneck {
			out = append(out, in)
		}
	}
	return out
}

func (s *simulation) updateTables() {
	for _, in := range s.instances {
		in.table.Update(s.members(in))
	}
}

// members returns the members as a node knows them.
func (s *simulation) members(from *instance) []route.Member {
	var out []route.Member
	for _, in := range s.instances {
		state := route.Alive
		if !in.up || !s.reachable(from.zone, in.zone) {
			state = route.Dead
		}
		out = append(out, route.Member{
			Instance: in.id, Service: in.service.Name, Zone: in.zone, Region: "region",
			Incarnation: in.incarnation, State: state, Slots: uint32(in.declaredSlots),
		})
	}
	return out
}

func (s *simulation) reachable(a, b request.ZoneID) bool {
	return a == b || s.cutZone == "" || (a != s.cutZone && b != s.cutZone)
}

func (s *simulation) delay(a, b request.ZoneID) time.Duration {
	if a == b {
		return localDelay
	}
	return s.deployment.ZoneDelay
}
