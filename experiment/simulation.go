package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

const (
	// tickInterval is the time between two ticks of a controller.
	tickInterval = 50 * time.Millisecond
	// gossipDelay is the time after which sources hear that an instance has gone or come.
	gossipDelay = time.Second
)

// simulation is one run.
type simulation struct {
	clock      clock
	random     *rand.Rand
	deployment *Deployment
	scenario   Scenario
	variant    Variant
	report     *collector

	instances []*instance
	byID      map[request.InstanceID]*instance
	// first are the nodes that callers connect to: those of the stated services.
	first []*instance

	normalRate float64
	surge      float64
	hot        float64
	stale      bool
	cutZone    request.ZoneID
}

// statedServices is the number of services that the design states for each deployment.
const statedServices = 4

// Run simulates one variant in one scenario.
func Run(d *Deployment, sc Scenario, v Variant, seed uint64) *Report {
	s := &simulation{
		random:     rand.New(rand.NewPCG(seed, 1)),
		deployment: d, scenario: sc, variant: v,
		byID:       make(map[request.InstanceID]*instance),
		normalRate: d.Capacity() * normalUse,
		surge:      1, hot: 1,
	}
	s.report = newCollector(s)
	s.build(seed)
	s.schedule()
	s.clock.runUntil(request.Instant(sc.Before + sc.Trigger + sc.After))
	return s.report.finish(seed)
}

func (s *simulation) build(seed uint64) {
	for i := range s.deployment.Services {
		for _, zone := range s.deployment.Zones {
			in := newInstance(s, &s.deployment.Services[i], zone, seed*1000+uint64(len(s.instances))+1)
			s.instances = append(s.instances, in)
			s.byID[in.id] = in
			if i < statedServices {
				s.first = append(s.first, in)
			}
		}
	}
	s.updateMembers()
}

func (s *simulation) schedule() {
	sc := s.scenario
	s.clock.after(sc.Before, s.begin)
	s.clock.after(sc.Before+sc.Trigger, s.end)
	s.nextArrival()
	s.tick()
}

func (s *simulation) tick() {
	for _, in := range s.instances {
		in.tick()
	}
	s.report.sample()
	s.clock.after(tickInterval, s.tick)
}

// nextArrival schedules the next request; arrivals are a Poisson process.
func (s *simulation) nextArrival() {
	hot := 1 + (s.hot-1)/customers
	gap := s.random.ExpFloat64() / (s.normalRate * s.surge * hot)
	s.clock.after(time.Duration(gap*float64(time.Second)), func() {
		s.newRequest(s.customer()).transmit()
		s.nextArrival()
	})
}

// customer draws a customer; the first one has hot shares.
func (s *simulation) customer() int {
	x := s.random.Float64() * (customers - 1 + s.hot)
	return int(max(0, x-s.hot+1))
}

func (s *simulation) firstNode() *instance {
	for {
		in := s.first[s.random.IntN(len(s.first))]
		if in.up {
			return in
		}
	}
}

// begin starts the trigger.
func (s *simulation) begin() {
	sc := s.scenario
	s.surge, s.hot, s.stale = sc.Surge, sc.HotCustomer, sc.Stale
	victim := s.bottleneck()[0]
	for _, in := range s.bottleneck() {
		in.slow = sc.Slow
	}
	if sc.Wrong {
		victim.lies, victim.slots = true, victim.declared/2
	}
	if sc.Cut {
		s.cutZone = s.deployment.Zones[0]
		s.clock.after(gossipDelay, s.updateMembers)
	}
	if sc.Gone {
		victim.stop()
		s.clock.after(gossipDelay, s.updateMembers)
	}
}

// end ends the trigger.
func (s *simulation) end() {
	s.surge, s.hot, s.stale, s.cutZone = 1, 1, false, ""
	for _, in := range s.bottleneck() {
		in.slow, in.lies, in.slots = 1, false, in.declared
	}
	if victim := s.bottleneck()[0]; !victim.up {
		victim.start()
	}
	s.clock.after(gossipDelay, s.updateMembers)
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

func (s *simulation) updateMembers() {
	for _, in := range s.instances {
		in.table.Update(s.members(in))
	}
}

// members returns what a node knows of the others.
func (s *simulation) members(from *instance) []route.Member {
	var out []route.Member
	for _, in := range s.instances {
		state := route.Alive
		if !in.up || !s.reachable(from.zone, in.zone) {
			state = route.Dead
		}
		out = append(out, route.Member{
			Instance: in.id, Service: in.service.Name, Zone: in.zone, Region: "region",
			Incarnation: in.incarnation, State: state, Slots: uint32(in.declared),
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
