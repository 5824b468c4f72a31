package experiment

import (
	"fmt"
	"maps"
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
	// treeInterval is the time between two rounds of messages and decisions of a node.
	treeInterval = 100 * time.Millisecond
	// treeRateShare is the weight of the last round in the rate of a route; rounds of half a second matter.
	treeRateShare = 0.18
	// treeLoadShare is the weight of the last round in the load of an instance, as in package mesh.
	treeLoadShare = 0.39
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

// RunTrees simulates clients, nodes and backend servers with the packages fleet, placement, gate and tree as they are; a run
// with the same seed gives the same report. Each node knows of the others what their messages have told it.
func RunTrees(g *Graph, p Pattern, policy TreePolicy, seed uint64) TreeReport {
	s := newTreeSimulation(g, p, policy, seed)
	for zone := range g.Zones {
		for i := range g.Routes {
			if g.Routes[i].PerSecond > 0 {
				s.scheduleArrival(zone, &g.Routes[i])
			}
		}
	}
	for _, in := range s.instances {
		s.clock.after(time.Duration(s.random.Int64N(int64(treeInterval))), func() { s.tick(in) })
	}
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
	byAddress map[netip.Addr]*treeInstance
	byZone    [][]*treeInstance
	turn      int
	totals    map[string]*treeTotal
}

type treeTotal struct {
	asked, served, refused, failed int
	earned                         float64
}

// treeNode is what a node knows.
type treeNode struct {
	table   *fleet.Table
	planner *placement.Planner
	costs   *tree.Costs
	counts  map[routing.RouteID]int
	rates   map[routing.RouteID]float64
	rounds  int
}

// treeInstance is a backend server with its node.
type treeInstance struct {
	treeNode
	service request.ServiceID
	index   int // of the service
	number  int // among the instances of the service
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
	parent   *treeAttempt  // nil for a client's request
	node     *treeInstance // where it is made
	rank     routing.Rank
	first    request.Instant
	until    request.Instant // when the client gives up
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
		byAddress: map[netip.Addr]*treeInstance{}, byZone: make([][]*treeInstance, len(g.Zones)),
	}
	for i := range g.Routes {
		r := &g.Routes[i]
		s.routes[r.Name], s.byID[routing.IDOf(r.Name)], s.totals[r.Name] = r, r, &treeTotal{}
	}
	var addresses []fleet.Address
	for index, service := range g.Services {
		for i, zone := range service.zones(len(g.Zones)) {
			in := &treeInstance{
				service: service.Name, index: index, number: i, zone: zone, factor: workFactors[i%len(workFactors)],
				address: netip.AddrFrom4([4]byte{10, byte(index), byte(i >> 8), byte(i)}), gate: gatepkg.New(gatepkg.DefaultSettings(), service.Slots),
				waiting: map[gatepkg.Number]*treeAttempt{},
			}
			self := fleet.Address{Address: in.address, Zone: g.Zones[zone]}
			random := func(stream uint64) *rand.Rand {
				return rand.New(rand.NewPCG(seed, stream<<32|uint64(len(s.instances)+1)))
			}
			in.treeNode = treeNode{
				table:   fleet.New(fleet.DefaultSettings(), self, random(1)),
				planner: placement.New(policy.Settings, self.Zone, random(0)),
				costs:   tree.NewCosts(), counts: map[routing.RouteID]int{}, rates: map[routing.RouteID]float64{},
			}
			addresses = append(addresses, self)
			s.instances, s.byAddress[in.address] = append(s.instances, in), in
			s.byZone[zone] = append(s.byZone[zone], in)
		}
	}
	for _, in := range s.instances {
		in.table.Introduce(addresses)
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

// slowness returns the multiple of its usual time that an instance takes now.
func (s *treeSimulation) slowness(in *treeInstance) float64 {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Slowdown); ok && c.Service == in.index && in.number%c.Every == 0 && s.isNow(c.From, c.Until) {
			return c.Factor
		}
	}
	return 1
}

// isSilent reports whether an instance answers nothing now.
func (s *treeSimulation) isSilent(in *treeInstance) bool {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Silence); ok && c.Service == in.index && in.number%c.Every == 0 && s.isNow(c.From, c.Until) {
			return true
		}
	}
	return false
}

func (s *treeSimulation) isNow(from, until time.Duration) bool {
	return s.clock.now >= request.Instant(from) && s.clock.now < request.Instant(until)
}

func (s *treeSimulation) scheduleArrival(zone int, r *GraphRoute) {
	perSecond := r.PerSecond * s.graph.clients(zone) * s.factor(zone)
	s.clock.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.totals[r.Name].asked++
		s.begin(&treeAttempt{
			route: r, node: s.anyNode(zone), rank: r.Rank, first: s.clock.now, until: s.clock.now.Add(r.patience()),
			deadline: s.clock.now.Add(r.Limit), cost: tree.Cost{},
		})
		s.scheduleArrival(zone, r)
	})
}

// anyNode returns the node of a client in the zone.
func (s *treeSimulation) anyNode(zone int) *treeInstance {
	return s.byZone[zone][s.random.IntN(len(s.byZone[zone]))]
}

// begin admits a client's request or refuses it.
func (s *treeSimulation) begin(a *treeAttempt) {
	id := routing.IDOf(a.route.Name)
	a.node.counts[id]++
	if s.policy.admits && !a.node.planner.Admit(id) {
		s.refuse(a)
		return
	}
	s.send(a)
}

// refuse tells a client when to come back.
func (s *treeSimulation) refuse(a *treeAttempt) {
	left := a.until.Sub(s.clock.now)
	if a.returns >= treeReturns || left <= 0 {
		s.totals[a.route.Name].refused++
		return
	}
	s.comeBack(a, placement.ReturnDelay(left, s.random))
}

// comeBack sends a client's request once more.
func (s *treeSimulation) comeBack(a *treeAttempt, after time.Duration) {
	s.clock.after(after, func() {
		s.begin(&treeAttempt{
			route: a.route, node: s.anyNode(a.node.zone), rank: a.rank, first: a.first, until: a.until,
			deadline: min(a.until, s.clock.now.Add(a.route.Limit)), returns: a.returns + 1, cost: tree.Cost{},
		})
	})
}

// send passes an attempt to the gate that the policy chooses.
func (s *treeSimulation) send(a *treeAttempt) {
	to := s.choose(a)
	if to == nil || len(a.excluded) >= treeRefusals {
		s.end(a, false, true)
		return
	}
	delay := localDelay
	if to.zone != a.node.zone {
		delay = s.graph.ZoneDelay
	}
	s.clock.after(delay, func() { s.arrive(to, a) })
}

func (s *treeSimulation) choose(a *treeAttempt) *treeInstance {
	if s.policy.placement == placeByPlan {
		planner := a.node.planner
		var t placement.Target
		var ok bool
		if a.parent == nil {
			t, ok = planner.Root(routing.IDOf(a.route.Name), a.route.Service, a.excluded)
		} else {
			t, ok = planner.Call(a.route.Service, a.excluded)
		}
		if !ok {
			return nil
		}
		return s.byAddress[t.Address]
	}
	var own, all []*treeInstance
	for _, in := range s.instances {
		if in.service != a.route.Service || in.isLost || slices.Contains(a.excluded, in.address) {
			continue
		}
		all = append(all, in)
		if in.zone == a.node.zone {
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
	if s.isSilent(in) {
		s.clock.after(a.deadline.Sub(s.clock.now), func() {
			s.finish(a, false)
			s.end(a, false, false)
		})
		return
	}
	for _, c := range a.route.Calls {
		for range c.Times {
			a.calls = append(a.calls, s.routes[c.Route])
		}
	}
	r := a.route
	work := time.Duration(float64(r.Work) * in.factor * s.slowness(in) * (1 - r.Spread + r.Spread*s.random.ExpFloat64()))
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
			route: r, parent: a, node: a.at, rank: a.rank, first: s.clock.now,
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
		a.node.costs.Observe(routing.IDOf(a.route.Name), a.cost)
		if s.clock.now.Sub(a.first) <= a.route.Target {
			total.earned += a.route.Worth
		} else {
			total.earned += a.route.LateWorth
		}
	case isRefused:
		s.refuse(a)
	case !a.route.IsUnsafe && a.returns < treeReturns && s.clock.now < a.until:
		s.comeBack(a, 0)
	default:
		total.failed++
	}
}

// tick renews the entry of a node, sends its messages and updates its planner.
func (s *treeSimulation) tick(in *treeInstance) {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Loss); ok {
			s.lose(c)
		}
	}
	now := s.clock.now
	s.apply(in, in.gate.Tick(now))
	limit := in.gate.Limit(now)
	in.load += treeLoadShare * (float64(in.gate.Running()+in.gate.Queued())/float64(limit) - in.load)
	route, usual := in.gate.Usual(now)
	e := fleet.Entry{
		Service: in.service, Instance: request.InstanceID(in.address.String()), Incarnation: 1,
		Health: fleet.Serving, Limit: uint16(limit), Load: uint16(min(1000*in.load, 60000)), UsualRoute: route, UsualTime: usual, Rates: in.roll(),
	}
	if in.started > 0 {
		e.Failing = uint8(100 * in.shed / in.started)
	}
	in.started, in.shed = 0, 0
	if in.isLost {
		e.Health = fleet.Down
	}
	in.table.Renew(now, e)
	for _, m := range in.table.Messages(now) {
		to := s.byAddress[m.To]
		delay := localDelay
		if to.zone != in.zone {
			delay = s.graph.ZoneDelay
		}
		s.clock.after(delay, func() { to.table.Merge(s.clock.now, m.Entries) })
	}
	in.planner.Update(now, in.table.Snapshot(now), func(id routing.RouteID) (placement.Route, bool) {
		r, cost := s.byID[id], in.costs.Of(id)
		return placement.Route{Rank: r.Rank, Service: r.Service, Cost: cost, Bound: min(r.Target, r.Limit)}, cost != nil
	})
	s.clock.after(treeInterval, func() { s.tick(in) })
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

// roll ends a round of counting and returns the rates of the node's clients.
func (n *treeNode) roll() []fleet.Rate {
	var out []fleet.Rate
	n.rounds++
	weight := max(treeRateShare, 1/float64(n.rounds))
	for _, id := range slices.Sorted(maps.Keys(n.counts)) {
		n.rates[id] += weight * (float64(n.counts[id])/treeInterval.Seconds() - n.rates[id])
		n.counts[id] = 0
		out = append(out, fleet.Rate{Route: id, PerSecond: float32(n.rates[id])})
	}
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
