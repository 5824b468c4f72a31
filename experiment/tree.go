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
	// treeTickInterval is the interval of the gossip and of the planner updates of a node.
	treeTickInterval = 100 * time.Millisecond
	// treeRateWeight is the weight of the last tick in the moving average of the rate of a route,
	// which averages over about half a second.
	treeRateWeight = 0.18
	// treeLoadWeight is the weight of the last tick in the moving average of the load of an instance,
	// as in package mesh.
	treeLoadWeight = 0.39
	// maxTreeRefusals is the number of gates that may refuse an attempt, as in package mesh.
	maxTreeRefusals = 4
	// maxTreeResends is how often a client resends a request.
	maxTreeResends = 1
)

// TreeReport is the result of a run of call trees. Served, Refused and Failed are fractions of the
// requests of all clients.
type TreeReport struct {
	Graph, Pattern, Policy  string
	Worth                   float64 // earned worth as a fraction of the possible worth
	Served, Refused, Failed float64
	// ByRoute is the earned worth of each route as a fraction of its possible worth.
	ByRoute map[string]float64
}

// RunTrees simulates clients, nodes and backend servers with the real packages fleet, placement, gate
// and tree. Runs with the same seed give the same report. Each node knows of the others only what
// gossip has told it.
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
		s.clock.after(time.Duration(s.random.Int64N(int64(treeTickInterval))), func() { s.tick(in) })
	}
	s.clock.runUntil(request.Instant(p.Length))
	return s.report()
}

// treeSimulation is one run of a policy under a pattern.
type treeSimulation struct {
	clock      clock
	random     *rand.Rand
	graph      *Graph
	pattern    Pattern
	policy     TreePolicy
	routes     map[string]*GraphRoute
	byID       map[routing.RouteID]*GraphRoute
	instances  []*treeInstance
	byAddress  map[netip.Addr]*treeInstance
	byZone     [][]*treeInstance
	lastChoice int
	totals     map[string]*treeTotal
}

type treeTotal struct {
	requests, served, refused, failed int
	worth                             float64
}

// treeNode is the state of a node.
type treeNode struct {
	table   *fleet.Table
	planner *placement.Planner
	random  *rand.Rand
	costs   *tree.Costs
	counts  map[routing.RouteID]int
	rates   map[routing.RouteID]float64
	ticks   int
}

// treeInstance is a backend server with its node.
type treeInstance struct {
	treeNode
	service      request.ServiceID
	serviceIndex int // index in Graph.Services
	position     int // position among the instances of the service
	zone         int
	workFactor   float64
	address      netip.Addr
	gate         *gatepkg.Gate
	lastNumber   gatepkg.Number
	waiting      map[gatepkg.Number]*treeAttempt
	load         float64
	started      int
	shed         int
	isLost       bool
}

// treeAttempt is a client's request or a nested call.
type treeAttempt struct {
	route          *GraphRoute
	parent         *treeAttempt  // nil for a client's request
	node           *treeInstance // node at which it is made
	rank           routing.Rank
	firstSent      request.Instant
	clientDeadline request.Instant // when the client stops waiting
	deadline       request.Instant
	resends        int
	excluded       []netip.Addr
	target         *treeInstance
	number         gatepkg.Number
	startedAt      request.Instant
	cost           tree.Cost
	remainingCalls []*GraphRoute
	remainingWork  time.Duration // work after the nested calls
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
	var addresses []fleet.Endpoint
	for index, service := range g.Services {
		for i, zone := range service.zones(len(g.Zones)) {
			in := &treeInstance{
				service: service.Name, serviceIndex: index, position: i, zone: zone, workFactor: instanceWorkFactors[i%len(instanceWorkFactors)],
				address: netip.AddrFrom4([4]byte{10, byte(index), byte(i >> 8), byte(i)}), gate: gatepkg.New(gatepkg.DefaultSettings(), service.Slots),
				waiting: map[gatepkg.Number]*treeAttempt{},
			}
			self := fleet.Endpoint{Address: in.address, Zone: g.Zones[zone]}
			random := func(stream uint64) *rand.Rand {
				return rand.New(rand.NewPCG(seed, stream<<32|uint64(len(s.instances)+1)))
			}
			in.treeNode = treeNode{
				table:   fleet.New(fleet.DefaultSettings(), self, random(1)),
				planner: placement.New(policy.Settings, self.Zone, random(0)),
				random:  random(2),
				costs:   tree.NewCosts(), counts: map[routing.RouteID]int{}, rates: map[routing.RouteID]float64{},
			}
			addresses = append(addresses, self)
			s.instances, s.byAddress[in.address] = append(s.instances, in), in
			s.byZone[zone] = append(s.byZone[zone], in)
		}
	}
	for _, in := range s.instances {
		in.table.AddEndpoints(0, addresses)
	}
	return s
}

// surgeFactor returns the current multiple of the normal load of a zone.
func (s *treeSimulation) surgeFactor(zone int) float64 {
	out := 1.0
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Surge); ok && s.isActive(c.From, c.Until) && (c.Zone == "" || c.Zone == s.graph.Zones[zone]) {
			out *= c.Factor
		}
	}
	return out
}

// shedShare returns the fraction of attempts that the backend servers of a service refuse now.
func (s *treeSimulation) shedShare(service int) float64 {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Shedding); ok && c.Service == service && s.isActive(c.From, c.Until) {
			return c.Share
		}
	}
	return 0
}

// slowdown returns the current multiple of the normal service time of an instance.
func (s *treeSimulation) slowdown(in *treeInstance) float64 {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Slowdown); ok && c.Service == in.serviceIndex && in.position%c.Stride == 0 && s.isActive(c.From, c.Until) {
			return c.Factor
		}
	}
	return 1
}

// isSilent reports whether an instance does not respond now.
func (s *treeSimulation) isSilent(in *treeInstance) bool {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(Silence); ok && c.Service == in.serviceIndex && in.position%c.Stride == 0 && s.isActive(c.From, c.Until) {
			return true
		}
	}
	return false
}

func (s *treeSimulation) isActive(from, until time.Duration) bool {
	return s.clock.now >= request.Instant(from) && s.clock.now < request.Instant(until)
}

func (s *treeSimulation) scheduleArrival(zone int, r *GraphRoute) {
	perSecond := r.PerSecond * s.graph.clients(zone) * s.surgeFactor(zone)
	s.clock.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.totals[r.Name].requests++
		s.startRequest(&treeAttempt{
			route: r, node: s.randomNode(zone), rank: r.Rank, firstSent: s.clock.now, clientDeadline: s.clock.now.Add(r.clientTimeout()),
			deadline: s.clock.now.Add(r.Limit), cost: tree.Cost{},
		})
		s.scheduleArrival(zone, r)
	})
}

// randomNode returns a random node of the zone, to which a client connects.
func (s *treeSimulation) randomNode(zone int) *treeInstance {
	return s.byZone[zone][s.random.IntN(len(s.byZone[zone]))]
}

// startRequest admits a client's request or refuses it.
func (s *treeSimulation) startRequest(a *treeAttempt) {
	id := routing.IDOf(a.route.Name)
	a.node.counts[id]++
	if s.policy.admits && !a.node.planner.Admit(id) {
		s.refuseRequest(a)
		return
	}
	s.send(a)
}

// refuseRequest refuses a request and schedules its resend, if there is time for one.
func (s *treeSimulation) refuseRequest(a *treeAttempt) {
	left := a.clientDeadline.Sub(s.clock.now)
	if a.resends >= maxTreeResends || left <= 0 {
		s.totals[a.route.Name].refused++
		return
	}
	s.resend(a, placement.RetryAfter(left, s.random))
}

// resend sends a client's request again after a delay.
func (s *treeSimulation) resend(a *treeAttempt, after time.Duration) {
	s.clock.after(after, func() {
		s.startRequest(&treeAttempt{
			route: a.route, node: s.randomNode(a.node.zone), rank: a.rank, firstSent: a.firstSent, clientDeadline: a.clientDeadline,
			deadline: min(a.clientDeadline, s.clock.now.Add(a.route.Limit)), resends: a.resends + 1, cost: tree.Cost{},
		})
	})
}

// send sends an attempt to the instance that the policy chooses.
func (s *treeSimulation) send(a *treeAttempt) {
	to := s.choose(a)
	if to == nil || len(a.excluded) >= maxTreeRefusals {
		s.handleEnd(a, false, true)
		return
	}
	delay := localDelay
	if to.zone != a.node.zone {
		delay = s.graph.ZoneDelay
	}
	s.clock.after(delay, func() { s.arrive(to, a) })
}

func (s *treeSimulation) choose(a *treeAttempt) *treeInstance {
	if s.policy.placement == placeByPlanner {
		planner := a.node.planner
		var t placement.Target
		var ok bool
		if a.parent == nil {
			t, ok = planner.PlaceRequest(routing.IDOf(a.route.Name), a.route.Service, a.excluded)
		} else {
			t, ok = planner.PlaceCall(a.route.Service, a.excluded)
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
	if s.policy.placement != placeRoundRobin && len(own) > 0 {
		all = own
	}
	if len(all) == 0 {
		return nil
	}
	s.lastChoice++
	return all[s.lastChoice%len(all)]
}

// arrive passes an attempt through the gate of an instance.
func (s *treeSimulation) arrive(in *treeInstance, a *treeAttempt) {
	a.excluded = append(a.excluded, in.address)
	if in.isLost {
		s.send(a)
		return
	}
	in.lastNumber++
	a.target, a.number = in, in.lastNumber
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
	in := a.target
	a.startedAt = s.clock.now
	in.started++
	if s.random.Float64() < s.shedShare(in.serviceIndex) {
		in.shed++
		s.releaseSlot(a, false)
		s.handleEnd(a, false, false)
		return
	}
	if s.isSilent(in) {
		s.clock.after(a.deadline.Sub(s.clock.now), func() {
			s.releaseSlot(a, false)
			s.handleEnd(a, false, false)
		})
		return
	}
	for _, c := range a.route.Calls {
		for range c.Count {
			a.remainingCalls = append(a.remainingCalls, s.routes[c.Route])
		}
	}
	r := a.route
	work := time.Duration(float64(r.ServiceTime) * in.workFactor * s.slowdown(in) * (1 - r.Spread + r.Spread*s.random.ExpFloat64()))
	s.clock.after(work/2, func() { s.callNext(a, work/2) })
}

// callNext makes the next nested call of a running attempt, or completes it.
func (s *treeSimulation) callNext(a *treeAttempt, rest time.Duration) {
	switch {
	case s.clock.now > a.deadline:
		s.releaseSlot(a, false)
		s.handleEnd(a, false, false)
	case len(a.remainingCalls) == 0:
		s.clock.after(rest, func() { s.complete(a) })
	default:
		r := a.remainingCalls[0]
		a.remainingCalls, a.remainingWork = a.remainingCalls[1:], rest
		s.send(&treeAttempt{
			route: r, parent: a, node: a.target, rank: a.rank, firstSent: s.clock.now,
			deadline: min(a.deadline, s.clock.now.Add(r.Limit)), cost: tree.Cost{},
		})
	}
}

// complete ends a running attempt that has made all its nested calls.
func (s *treeSimulation) complete(a *treeAttempt) {
	isTimely := s.clock.now <= a.deadline
	s.releaseSlot(a, isTimely)
	s.handleEnd(a, isTimely, false)
}

// releaseSlot frees the slot of a running attempt.
func (s *treeSimulation) releaseSlot(a *treeAttempt, completed bool) {
	in := a.target
	held := s.clock.now.Sub(a.startedAt)
	if completed {
		a.cost[in.service] += time.Duration(float64(held) / in.workFactor)
	}
	s.apply(in, in.gate.Finish(s.clock.now, a.number, routing.IDOf(a.route.Name), held, completed))
}

// handleEnd passes the end of an attempt to the attempt that called it, or to the client.
func (s *treeSimulation) handleEnd(a *treeAttempt, isSuccess, isRefused bool) {
	if parent := a.parent; parent != nil {
		if !isSuccess {
			s.releaseSlot(parent, false)
			s.handleEnd(parent, false, false)
			return
		}
		parent.cost.Add(a.cost)
		s.callNext(parent, parent.remainingWork)
		return
	}
	total := s.totals[a.route.Name]
	switch {
	case isSuccess:
		total.served++
		a.node.costs.Observe(routing.IDOf(a.route.Name), a.cost)
		if s.clock.now.Sub(a.firstSent) <= a.route.Target {
			total.worth += a.route.Worth
		} else {
			total.worth += a.route.LateWorth
		}
	case isRefused:
		s.refuseRequest(a)
	case !a.route.IsNonIdempotent && a.resends < maxTreeResends && s.clock.now < a.clientDeadline:
		s.resend(a, 0)
	default:
		total.failed++
	}
}

// tick renews the entry of a node, sends its gossip and updates its planner.
func (s *treeSimulation) tick(in *treeInstance) {
	for _, c := range s.pattern.Changes {
		if c, ok := c.(InstanceLoss); ok {
			s.applyLoss(c)
		}
	}
	now := s.clock.now
	s.apply(in, in.gate.Tick(now))
	limit := in.gate.Limit(now)
	in.load += treeLoadWeight * (float64(in.gate.Running()+in.gate.Queued())/float64(limit) - in.load)
	route, serviceTime := in.gate.DominantRoute(now)
	e := fleet.Entry{
		Service: in.service, Instance: request.InstanceID(in.address.String()), Incarnation: 1,
		Health: fleet.Serving, Limit: uint16(limit), LoadPermille: uint16(min(1000*in.load, 60000)), DominantRoute: route, ServiceTime: serviceTime, Rates: in.takeRates(),
	}
	if in.started > 0 {
		e.FailurePercent = uint8(100 * in.shed / in.started)
	}
	in.started, in.shed = 0, 0
	if in.isLost {
		e.Health = fleet.Down
	}
	in.table.RenewSelf(now, e)
	for _, m := range in.table.Messages(now) {
		to := s.byAddress[m.To]
		delay := localDelay
		if to.zone != in.zone {
			delay = s.graph.ZoneDelay
		}
		s.clock.after(delay, func() {
			to.table.Merge(s.clock.now, m.Entries)
			to.table.MergeSummaries(s.clock.now, m.Summaries)
		})
	}
	view := in.table.Snapshot(now)
	in.planner.Update(now, view, func(id routing.RouteID) (placement.Route, bool) {
		r, cost := s.byID[id], in.costs.Of(id)
		return placement.Route{Rank: r.Rank, Service: r.Service, Cost: cost, LatencyBound: min(r.Target, r.Limit)}, cost != nil
	})
	in.table.SetSummaries(now, placement.Summarize(s.policy.Settings, s.graph.Zones[in.zone], view, in.random))
	s.clock.after(treeTickInterval, func() { s.tick(in) })
}

func (s *treeSimulation) applyLoss(c InstanceLoss) {
	for _, in := range s.instances {
		if in.serviceIndex != c.Service || in.zone != c.Zone {
			continue
		}
		if isLost := s.isActive(c.From, c.Until); isLost != in.isLost {
			in.isLost = isLost
			if isLost {
				s.apply(in, in.gate.Close(gatepkg.Down))
			} else {
				in.gate.Open()
			}
		}
	}
}

// takeRates ends a counting interval and returns the request rates of the clients of the node.
func (n *treeNode) takeRates() []fleet.Rate {
	var out []fleet.Rate
	n.ticks++
	weight := max(treeRateWeight, 1/float64(n.ticks))
	for _, id := range slices.Sorted(maps.Keys(n.counts)) {
		n.rates[id] += weight * (float64(n.counts[id])/treeTickInterval.Seconds() - n.rates[id])
		n.counts[id] = 0
		out = append(out, fleet.Rate{Route: id, PerSecond: float32(n.rates[id])})
	}
	return out
}

func (s *treeSimulation) report() TreeReport {
	out := TreeReport{Graph: s.graph.Name, Pattern: s.pattern.Name, Policy: s.policy.Name, ByRoute: map[string]float64{}}
	var sum treeTotal
	maxWorth := 0.0
	for i := range s.graph.Routes {
		r := &s.graph.Routes[i]
		t := s.totals[r.Name]
		if t.requests == 0 {
			continue
		}
		out.ByRoute[r.Name] = t.worth / (float64(t.requests) * r.Worth)
		sum.requests += t.requests
		sum.served += t.served
		sum.refused += t.refused
		sum.failed += t.failed
		sum.worth += t.worth
		maxWorth += float64(t.requests) * r.Worth
	}
	requests := float64(sum.requests)
	out.Worth, out.Served, out.Refused, out.Failed = sum.worth/maxWorth, float64(sum.served)/requests, float64(sum.refused)/requests, float64(sum.failed)/requests
	return out
}

// String returns the report as one line of text.
func (r TreeReport) String() string {
	return fmt.Sprintf("%s %s %s: worth %.3f, served %.3f, refused %.3f, failed %.3f", r.Graph, r.Pattern, r.Policy, r.Worth, r.Served, r.Refused, r.Failed)
}
