package experiment

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	gatepkg "github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

const (
	// treeInterval is the time between two rounds of messages; what nodes know of each other is one round old.
	treeInterval = 100 * time.Millisecond
	// treeRateShare is the weight of the last round in the rate of a route; rounds of half a second matter.
	treeRateShare = 0.2
	// treeRefusals is the number of gates that may refuse an attempt, as in package mesh.
	treeRefusals = 4
	// treeReturns is how often a refused client comes back.
	treeReturns = 1
)

// TreeReport is what a run of call trees achieved; shares are of the requests of all clients.
type TreeReport struct {
	Graph, Pattern, Policy  string
	Worth                   float64 // earned, of what is owed
	Served, Refused, Failed float64
	// ByRoute is the worth of each route.
	ByRoute map[string]float64
}

// RunTrees simulates clients, nodes and backend servers with the packages placement, gate and tree as they are; a run with the
// same seed gives the same report. The nodes of a zone share one planner, since they know the same.
func RunTrees(g *Graph, p Pattern, policy TreePolicy, seed uint64) TreeReport {
	s := newTreeSimulation(g, p, policy, seed)
	for zone := range g.Zones {
		for i := range g.Routes {
			if g.Routes[i].PerSecond > 0 {
				s.scheduleArrival(zone, &g.Routes[i])
			}
		}
	}
	s.tick()
	s.clock.runUntil(request.Instant(p.Length))
	return s.report()
}

// treeSimulation is one run.
type treeSimulation struct {
	clock     clock
	random    *rand.Rand
	graph     *Graph
	pattern   Pattern
	policy    TreePolicy
	routes    map[string]*GraphRoute
	byID      map[routing.RouteID]*GraphRoute
	instances []*treeInstance
	zones     []*treeZone
	known     []fleet.Instance // what was sent in the last round
	turn      int
	totals    map[string]*treeTotal
}

type treeTotal struct {
	asked, served, refused, failed int
	earned                         float64
}

// treeZone is what the nodes of a zone share.
type treeZone struct {
	planner *placement.Planner
	costs   *tree.Costs
	counts  map[routing.RouteID]int
	rates   map[routing.RouteID]float64
}

// treeInstance is a backend server with its gate.
type treeInstance struct {
	service request.ServiceID
	index   int // of the service
	zone    int
	factor  float64
	address netip.Addr
	gate    *gatepkg.Gate
	next    gatepkg.Number
	waiting map[gatepkg.Number]*treeAttempt
	load    float64
	started int
	shed    int
	isLost  bool
}

// treeAttempt is a request or a call.
type treeAttempt struct {
	route    *GraphRoute
	parent   *treeAttempt // nil for a client's request
	zone     int          // where it is made
	rank     routing.Rank
	first    request.Instant
	deadline request.Instant
	returns  int
	excluded []netip.Addr
	at       *treeInstance
	number   gatepkg.Number
	began    request.Instant
	cost     tree.Cost
	calls    []*GraphRoute // still to be made
	rest     time.Duration // work after the calls
}

func newTreeSimulation(g *Graph, p Pattern, policy TreePolicy, seed uint64) *treeSimulation {
	s := &treeSimulation{
		random: rand.New(rand.NewPCG(seed, 0)), graph: g, pattern: p, policy: policy,
		routes: map[string]*GraphRoute{}, byID: map[routing.RouteID]*GraphRoute{}, totals: map[string]*treeTotal{},
	}
	for i := range g.Routes {
		r := &g.Routes[i]
		s.routes[r.Name], s.byID[routing.IDOf(r.Name)], s.totals[r.Name] = r, r, &treeTotal{}
	}
	for _, z := range g.Zones {
		s.zones = append(s.zones, &treeZone{
			planner: placement.New(policy.Settings, z, rand.New(rand.NewPCG(seed, uint64(len(s.zones)+1)))),
			costs:   tree.NewCosts(), counts: map[routing.RouteID]int{}, rates: map[routing.RouteID]float64{},
		})
	}
	for index, service := range g.Services {
		for i := range service.Instances {
			s.instances = append(s.instances, &treeInstance{
				service: service.Name, index: index, zone: i % len(g.Zones), factor: workFactors[i%len(workFactors)],
				address: netip.AddrFrom4([4]byte{10, byte(index), byte(i >> 8), byte(i)}), gate: gatepkg.New(gatepkg.DefaultSettings(), service.Slots),
				waiting: map[gatepkg.Number]*treeAttempt{},
			})
		}
	}
	return s
}

// factor returns the multiple of its usual load that a zone has now.
func (s *treeSimulation) factor(zone int) float64 {
	out := 1.0
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Surge); ok && s.isNow(c.From, c.Until) && (c.Zone == "" || c.Zone == s.graph.Zones[zone]) {
			out *= c.Factor
		}
	}
	return out
}

// shedding returns the share of attempts that the backend servers of a service refuse now.
func (s *treeSimulation) shedding(service int) float64 {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Shedding); ok && c.Service == service && s.isNow(c.From, c.Until) {
			return c.Share
		}
	}
	return 0
}

func (s *treeSimulation) isNow(from, until time.Duration) bool {
	return s.clock.now >= request.Instant(from) && s.clock.now < request.Instant(until)
}

func (s *treeSimulation) scheduleArrival(zone int, r *GraphRoute) {
	perSecond := r.PerSecond / float64(len(s.graph.Zones)) * s.factor(zone)
	s.clock.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.totals[r.Name].asked++
		s.begin(&treeAttempt{route: r, zone: zone, rank: r.Rank, first: s.clock.now, deadline: s.clock.now.Add(r.Limit), cost: tree.Cost{}})
		s.scheduleArrival(zone, r)
	})
}

// begin admits a client's request or refuses it.
func (s *treeSimulation) begin(a *treeAttempt) {
	id := routing.IDOf(a.route.Name)
	z := s.zones[a.zone]
	z.counts[id]++
	if s.policy.admits && !z.planner.Admit(id) {
		s.refuse(a)
		return
	}
	s.send(a)
}

// refuse tells a client when to come back.
func (s *treeSimulation) refuse(a *treeAttempt) {
	left := a.deadline.Sub(s.clock.now)
	if a.returns >= treeReturns || left <= 0 {
		s.totals[a.route.Name].refused++
		return
	}
	again := &treeAttempt{
		route: a.route, zone: a.zone, rank: a.rank, first: a.first, deadline: a.deadline, returns: a.returns + 1, cost: tree.Cost{},
	}
	s.clock.after(placement.ReturnDelay(left, s.random), func() { s.begin(again) })
}

// send passes an attempt to the gate that the policy chooses.
func (s *treeSimulation) send(a *treeAttempt) {
	to := s.choose(a)
	if to == nil || len(a.excluded) >= treeRefusals {
		s.end(a, false, true)
		return
	}
	delay := localDelay
	if to.zone != a.zone {
		delay = s.graph.ZoneDelay
	}
	s.clock.after(delay, func() { s.arrive(to, a) })
}

func (s *treeSimulation) choose(a *treeAttempt) *treeInstance {
	if s.policy.placement == placeByPlan {
		planner := s.zones[a.zone].planner
		var t placement.Target
		var ok bool
		if a.parent == nil {
			t, ok = planner.Root(routing.IDOf(a.route.Name), a.route.Service, a.excluded)
		} else {
			t, ok = planner.Call(a.route.Service, a.excluded)
		}
		if i := slices.IndexFunc(s.instances, func(in *treeInstance) bool { return ok && in.address == t.Address }); i >= 0 {
			return s.instances[i]
		}
	}
	var own, all []*treeInstance
	for _, in := range s.instances {
		if in.service != a.route.Service || in.isLost || slices.Contains(a.excluded, in.address) {
			continue
		}
		all = append(all, in)
		if in.zone == a.zone {
			own = append(own, in)
		}
	}
	if s.policy.placement != placeInTurn && len(own) > 0 {
		all = own
	}
	if len(all) == 0 {
		return nil
	}
	s.turn++
	return all[s.turn%len(all)]
}

// arrive passes an attempt through a gate.
func (s *treeSimulation) arrive(in *treeInstance, a *treeAttempt) {
	a.excluded = append(a.excluded, in.address)
	if in.isLost {
		s.send(a)
		return
	}
	in.next++
	a.at, a.number = in, in.next
	d, actions := in.gate.Arrive(s.clock.now, gatepkg.Attempt{
		Number: a.number, Route: routing.IDOf(a.route.Name), Rank: a.rank, IsCall: a.parent != nil, Deadline: a.deadline,
	})
	switch d.Kind {
	case gatepkg.Run:
		s.start(a)
	case gatepkg.Wait:
		in.waiting[a.number] = a
	case gatepkg.Refuse:
		s.send(a)
	}
	s.apply(in, actions)
}

func (s *treeSimulation) apply(in *treeInstance, actions []gatepkg.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case gatepkg.Start:
			a := in.waiting[action.Number]
			delete(in.waiting, action.Number)
			s.start(a)
		case gatepkg.Drop:
			a := in.waiting[action.Number]
			delete(in.waiting, action.Number)
			s.send(a)
		}
	}
}

// start runs an attempt at its backend server.
func (s *treeSimulation) start(a *treeAttempt) {
	in := a.at
	a.began = s.clock.now
	in.started++
	if s.random.Float64() < s.shedding(in.index) {
		in.shed++
		s.finish(a, false)
		s.end(a, false, false)
		return
	}
	for _, c := range a.route.Calls {
		for range c.Times {
			a.calls = append(a.calls, s.routes[c.Route])
		}
	}
	r := a.route
	work := time.Duration(float64(r.Work) * in.factor * (1 - r.Spread + r.Spread*s.random.ExpFloat64()))
	s.clock.after(work/2, func() { s.call(a, work/2) })
}

// call makes the next call of a run, or completes it.
func (s *treeSimulation) call(a *treeAttempt, rest time.Duration) {
	switch {
	case s.clock.now > a.deadline:
		s.finish(a, false)
		s.end(a, false, false)
	case len(a.calls) == 0:
		s.clock.after(rest, func() { s.complete(a) })
	default:
		r := a.calls[0]
		a.calls, a.rest = a.calls[1:], rest
		s.send(&treeAttempt{
			route: r, parent: a, zone: a.at.zone, rank: a.rank, first: s.clock.now,
			deadline: min(a.deadline, s.clock.now.Add(r.Limit)), cost: tree.Cost{},
		})
	}
}

// complete ends a run that has made all its calls.
func (s *treeSimulation) complete(a *treeAttempt) {
	isTimely := s.clock.now <= a.deadline
	s.finish(a, isTimely)
	s.end(a, isTimely, false)
}

// finish frees the slot of a run.
func (s *treeSimulation) finish(a *treeAttempt, isWhole bool) {
	in := a.at
	held := s.clock.now.Sub(a.began)
	if isWhole {
		a.cost[in.service] += time.Duration(float64(held) / in.factor)
	}
	s.apply(in, in.gate.Finish(s.clock.now, a.number, routing.IDOf(a.route.Name), held, isWhole))
}

// end reports the end of an attempt to the run that made it, or to the client.
func (s *treeSimulation) end(a *treeAttempt, isSuccess, isRefused bool) {
	if parent := a.parent; parent != nil {
		if !isSuccess {
			s.finish(parent, false)
			s.end(parent, false, false)
			return
		}
		parent.cost.Add(a.cost)
		s.call(parent, parent.rest)
		return
	}
	total := s.totals[a.route.Name]
	switch {
	case isSuccess:
		total.served++
		s.zones[a.zone].costs.Observe(routing.IDOf(a.route.Name), a.cost)
		if s.clock.now.Sub(a.first) <= a.route.Target {
			total.earned += a.route.Worth
		} else {
			total.earned += a.route.LateWorth
		}
	case isRefused:
		s.refuse(a)
	default:
		total.failed++
	}
}

// tick renews what the nodes know.
func (s *treeSimulation) tick() {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Loss); ok {
			s.lose(c)
		}
	}
	now := s.clock.now
	hasRates := map[int]bool{}
	next := make([]fleet.Instance, 0, len(s.instances))
	for _, in := range s.instances {
		s.apply(in, in.gate.Tick(now))
		limit := in.gate.Limit(now)
		in.load += (float64(in.gate.Running()+in.gate.Queued())/float64(limit) - in.load) / 2
		route, usual := in.gate.Usual()
		e := fleet.Entry{
			Address: in.address, Zone: s.graph.Zones[in.zone], Service: in.service, Instance: request.InstanceID(in.address.String()),
			Health: fleet.Serving, Limit: uint16(limit), Load: uint16(min(1000*in.load, 60000)), UsualRoute: route, UsualTime: usual,
		}
		if in.started > 0 {
			e.Failing = uint8(100 * in.shed / in.started)
		}
		in.started, in.shed = 0, 0
		if in.isLost {
			e.Health = fleet.Down
		}
		if !hasRates[in.zone] {
			hasRates[in.zone] = true
			e.Rates = s.zones[in.zone].roll()
		}
		next = append(next, fleet.Instance{Entry: e, IsFresh: true})
	}
	for _, z := range s.zones {
		z.planner.Update(now, s.known, func(id routing.RouteID) (placement.Route, bool) {
			r, cost := s.byID[id], z.costs.Of(id)
			return placement.Route{Rank: r.Rank, Service: r.Service, Cost: cost, Bound: min(r.Target, r.Limit)}, cost != nil
		})
	}
	s.known = next
	s.clock.after(treeInterval, s.tick)
}

func (s *treeSimulation) lose(c Loss) {
	for _, in := range s.instances {
		if in.index != c.Service || in.zone != c.Zone {
			continue
		}
		if isLost := s.isNow(c.From, c.Until); isLost != in.isLost {
			in.isLost = isLost
			if isLost {
				s.apply(in, in.gate.Close(gatepkg.Down))
			} else {
				in.gate.Open()
			}
		}
	}
}

// roll ends a round of counting and returns the rates of the zone's clients.
func (z *treeZone) roll() []fleet.Rate {
	var out []fleet.Rate
	for id, count := range z.counts {
		z.rates[id] += treeRateShare * (float64(count)/treeInterval.Seconds() - z.rates[id])
		z.counts[id] = 0
		out = append(out, fleet.Rate{Route: id, PerSecond: float32(z.rates[id])})
	}
	slices.SortFunc(out, func(a, b fleet.Rate) int { return int(int64(a.Route) - int64(b.Route)) })
	return out
}

func (s *treeSimulation) report() TreeReport {
	out := TreeReport{Graph: s.graph.Name, Pattern: s.pattern.Name, Policy: s.policy.Name, ByRoute: map[string]float64{}}
	var sum treeTotal
	owed := 0.0
	for i := range s.graph.Routes {
		r := &s.graph.Routes[i]
		t := s.totals[r.Name]
		if t.asked == 0 {
			continue
		}
		out.ByRoute[r.Name] = t.earned / (float64(t.asked) * r.Worth)
		sum.asked += t.asked
		sum.served += t.served
		sum.refused += t.refused
		sum.failed += t.failed
		sum.earned += t.earned
		owed += float64(t.asked) * r.Worth
	}
	asked := float64(sum.asked)
	out.Worth, out.Served, out.Refused, out.Failed = sum.earned/owed, float64(sum.served)/asked, float64(sum.refused)/asked, float64(sum.failed)/asked
	return out
}

// String returns the report as a line of a table.
func (r TreeReport) String() string {
	return fmt.Sprintf("%s %s %s: worth %.3f, served %.3f, refused %.3f, failed %.3f", r.Graph, r.Pattern, r.Policy, r.Worth, r.Served, r.Refused, r.Failed)
}
