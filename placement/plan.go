package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Route holds the properties of a route that planning depends on.
type Route struct {
	Rank routing.Rank
	// Service is the service that most requests of the route are sent to.
	Service request.ServiceID
	Cost    tree.Cost
	// LatencyBound is the lower of the target latency and the timeout, above which a response loses value to the client; 0 means
	// that none is known.
	LatencyBound time.Duration
}

// latencyRatio returns the mean latency of the route as a fraction of its bound, or 0 without a bound.
func (r Route) latencyRatio() float64 {
	if r.LatencyBound <= 0 {
		return 0
	}
	return r.Cost[r.Service].Seconds() / r.LatencyBound.Seconds()
}

// successProbability returns the probability that no backend server fails in a call tree of the route, estimated from the number
// of attempts at each service, and the service where a failure is most likely.
func (p *Planner) successProbability(r Route) (probability float64, worst request.ServiceID) {
	probability, lowest := 1.0, 1.0
	for _, s := range slices.Sorted(maps.Keys(r.Cost)) {
		serviceTime := r.Cost[s]
		successRate, known := p.successRates[s]
		if !known || successRate >= 1 {
			continue
		}
		attempts := 1.0
		if perAttempt := p.serviceTimes[s]; perAttempt > 0 {
			attempts = max(1, serviceTime.Seconds()/perAttempt)
		}
		atService := math.Pow(successRate, attempts)
		probability *= atService
		if atService < lowest {
			lowest, worst = atService, s
		}
	}
	return probability, worst
}

// plan computes the admitted share of each route and the zones of the admitted requests.
func (p *Planner) plan(capacity map[request.ServiceID]float64, routes map[routing.RouteID]Route, rates map[routing.RouteID]zoneRates) {
	demands := make([]Demand, 0, len(routes))
	unlikely := map[routing.RouteID]request.ServiceID{}
	for id, r := range routes {
		d := Demand{Route: id, Rank: r.Rank, Cost: r.Cost}
		// A call tree that is very likely to fail wastes the work of all services above the failure.
		if probability, worst := p.successProbability(r); probability < p.settings.MinSuccessProbability {
			unlikely[id] = worst
		} else {
			for _, zone := range sortedZones(rates[id]) {
				d.PerSecond += rates[id][zone]
			}
		}
		demands = append(demands, d)
	}
	p.shares = AdmittedShares(capacity, demands)
	for id, worst := range unlikely {
		p.shares[id] = Share{FullService: worst}
	}
	p.placeTrees(routes, rates)
}

// sortedZones returns the keys of a map in sorted order, so that floating-point sums do not depend on map iteration order.
func sortedZones[V any](byZone map[request.ZoneID]V) []request.ZoneID {
	return slices.Sorted(maps.Keys(byZone))
}

// zoneRates holds the request rate of a route in each zone, per second.
type zoneRates map[request.ZoneID]float64

// rates returns the routes with traffic that the lookup function knows, and their request rates by zone.
func (p *Planner) rates(route func(routing.RouteID) (Route, bool)) (map[routing.RouteID]Route, map[routing.RouteID]zoneRates) {
	routes, rates := map[routing.RouteID]Route{}, map[routing.RouteID]zoneRates{}
	add := func(zone request.ZoneID, received []fleet.Rate) {
		for _, rate := range received {
			byZone := rates[rate.Route]
			if byZone == nil {
				r, ok := route(rate.Route)
				if !ok {
					continue
				}
				byZone = zoneRates{}
				routes[rate.Route], rates[rate.Route] = r, byZone
			}
			byZone[zone] += float64(rate.PerSecond)
		}
	}
	for _, in := range p.instances {
		if in.IsFresh && !in.IsSummarized {
			add(in.Zone, in.Rates)
		}
	}
	for i := range p.summaries {
		add(p.summaries[i].Zone, p.summaries[i].Rates)
	}
	return routes, rates
}

// sum returns the rate in all zones together.
func (r zoneRates) sum(zones []request.ZoneID) float64 {
	total := 0.0
	for _, zone := range zones {
		total += r[zone]
	}
	return total
}

// zoneShare is the fraction of the local zone's requests of a route that is moved to another zone.
type zoneShare struct {
	zone  request.ZoneID
	share float64
}

// placeTrees assigns the admitted call trees of each route to zones. Routes with the tightest latency bound are placed first, so
// that they get the fast zones. A call tree stays in the zone of its client while that zone has free slots.
func (p *Planner) placeTrees(routes map[routing.RouteID]Route, rates map[routing.RouteID]zoneRates) {
	p.moves = map[routing.RouteID][]zoneShare{}
	free := p.plannedSlots(routes, rates)
	order := slices.Collect(maps.Keys(routes))
	slices.SortFunc(order, func(a, b routing.RouteID) int {
		return cmp.Or(cmp.Compare(routes[b].latencyRatio(), routes[a].latencyRatio()), cmp.Compare(routes[a].Rank, routes[b].Rank), cmp.Compare(a, b))
	})
	for _, id := range order {
		p.placeRoute(id, routes[id], rates[id], free)
	}
}

// plannedSlots returns the slots of each service and zone that may be allocated: the same fraction of the capacity in each zone,
// and at least MaxLocalUtilization.
func (p *Planner) plannedSlots(routes map[routing.RouteID]Route, rates map[routing.RouteID]zoneRates) freeSlots {
	demand := map[request.ServiceID]float64{}
	for _, id := range slices.Sorted(maps.Keys(routes)) {
		for _, zone := range sortedZones(rates[id]) {
			for s, serviceTime := range routes[id].Cost {
				demand[s] += p.shares[id].Fraction * rates[id][zone] * serviceTime.Seconds()
			}
		}
	}
	out := freeSlots{}
	for s, byZone := range p.zones {
		total := 0.0
		for _, zone := range sortedZones(byZone) {
			total += byZone[zone].capacity
		}
		out[s] = map[request.ZoneID]float64{}
		for zone, z := range byZone {
			out[s][zone] = max(p.settings.MaxLocalUtilization, demand[s]/max(total, 1)) * z.capacity
		}
	}
	return out
}

// placeRoute assigns the call trees of one route to zones and reserves their slots. Those that the zone of their client has no planned slots
// for are spread over the zones that do. The others stay in that zone if the service of the request itself has slots there, because
// their calls may leave the zone. If it has none, they go where whole trees fit if slots are used up to TargetUtilization, and at last where
// the service of the request has slots, be the zone slow.
func (p *Planner) placeRoute(id routing.RouteID, r Route, rate zoneRates, free freeSlots) {
	eligible := p.eligibleZones(r)
	excess := zoneRates{}
	for _, zone := range p.zoneNames {
		if demand := p.shares[id].Fraction * rate[zone]; demand > 0 {
			excess[zone] = demand
		}
	}
	whole := func(zone request.ZoneID, perSecond float64) { p.reserve(free, r.Cost, zone, perSecond) }
	rootFirst := func(zone request.ZoneID, perSecond float64) { p.reserveRoot(free, r, zone, perSecond) }
	planned := func(zone request.ZoneID) float64 { return free.maxRate(r.Cost, zone) }
	usable := func(zone request.ZoneID) float64 { return p.usableRate(free, r.Cost, zone) }
	root := tree.Cost{r.Service: r.Cost[r.Service]}
	usableRoot := func(zone request.ZoneID) float64 { return p.usableRate(free, root, zone) }
	p.keep(excess, eligible, planned, whole)
	p.spread(id, rate, excess, eligible, planned, whole)
	if excess.sum(p.zoneNames) <= tolerance {
		return
	}
	hasRoot := map[request.ZoneID]bool{}
	for _, zone := range p.zoneNames {
		z := p.zones[r.Service][zone]
		hasRoot[zone] = z != nil && len(z.usable) > 0
	}
	p.keep(excess, hasRoot, usableRoot, whole)
	p.spread(id, rate, excess, eligible, usable, whole)
	p.spread(id, rate, excess, hasRoot, usableRoot, rootFirst)
	for _, zone := range p.zoneNames {
		whole(zone, excess[zone]) // requests that fit in no zone stay in the zone of their client and queue there
	}
}

// keep reserves slots for the call trees that the zone of their client has room for, and reduces the excess by them.
func (p *Planner) keep(
	excess zoneRates, zones map[request.ZoneID]bool, room func(request.ZoneID) float64, reserve func(request.ZoneID, float64),
) {
	for _, zone := range p.zoneNames {
		if zones[zone] && excess[zone] > 0 {
			local := min(excess[zone], room(zone))
			reserve(zone, local)
			excess[zone] -= local
		}
	}
}

// spread moves call trees of a route that are too many for the zones of their clients to the given zones in proportion to the rate that
// each has room for, and reduces the excess by them.
func (p *Planner) spread(
	id routing.RouteID, rate, excess zoneRates, zones map[request.ZoneID]bool, room func(request.ZoneID) float64, reserve func(request.ZoneID, float64),
) {
	totalExcess, totalAvailable := excess.sum(p.zoneNames), 0.0
	available := zoneRates{}
	for _, zone := range p.zoneNames {
		if zones[zone] {
			available[zone] = room(zone)
			totalAvailable += available[zone]
		}
	}
	if totalExcess <= 0 || totalAvailable <= 0 {
		return
	}
	movedFraction := min(1, totalAvailable/totalExcess)
	for _, zone := range p.zoneNames {
		if available[zone] <= 0 {
			continue
		}
		zoneFraction := available[zone] / totalAvailable
		reserve(zone, movedFraction*totalExcess*zoneFraction)
		if zone != p.zone && excess[p.zone] > 0 {
			p.moves[id] = append(p.moves[id], zoneShare{zone, movedFraction * zoneFraction * excess[p.zone] / (p.shares[id].Fraction * rate[p.zone])})
		}
	}
	for zone := range excess {
		excess[zone] *= 1 - movedFraction
	}
}

// usableRate returns the rate of call trees with the given cost, per second, that a zone can sustain if each service may be used up to
// TargetUtilization.
func (p *Planner) usableRate(free freeSlots, cost tree.Cost, zone request.ZoneID) float64 {
	out := math.Inf(1)
	for s, serviceTime := range cost {
		if serviceTime <= 0 {
			continue
		}
		z := p.zones[s][zone]
		if z == nil {
			return 0
		}
		left := max(0, free[s][zone], p.settings.TargetUtilization*z.capacity-z.demand)
		out = min(out, left/serviceTime.Seconds())
	}
	return out
}

// reserve allocates the slots for call trees with the given cost that start in a zone at the given rate.
func (p *Planner) reserve(free freeSlots, cost tree.Cost, zone request.ZoneID, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	for s, serviceTime := range cost {
		p.zoneLoadOf(s, zone).demand += perSecond * serviceTime.Seconds()
		if free[s] != nil {
			free[s][zone] -= perSecond * serviceTime.Seconds()
		}
	}
}

// reserveRoot allocates the slots for requests that run in a zone and whose calls go where there is room for them.
func (p *Planner) reserveRoot(free freeSlots, r Route, zone request.ZoneID, perSecond float64) {
	for s, serviceTime := range r.Cost {
		cost := tree.Cost{s: serviceTime}
		room, total := zoneRates{}, 0.0
		if s != r.Service {
			for _, other := range p.zoneNames {
				if p.zones[s][other] != nil {
					room[other] = p.usableRate(free, cost, other)
					total += room[other]
				}
			}
		}
		if total <= 0 {
			p.reserve(free, cost, zone, perSecond)
			continue
		}
		for _, other := range p.zoneNames {
			p.reserve(free, cost, other, perSecond*room[other]/total)
		}
	}
}

// freeSlots holds the unreserved slots of each service and zone.
type freeSlots map[request.ServiceID]map[request.ZoneID]float64

// maxRate returns the rate of call trees, per second, that the free slots of a zone can sustain.
func (f freeSlots) maxRate(cost tree.Cost, zone request.ZoneID) float64 {
	out := math.Inf(1)
	for s, serviceTime := range cost {
		if serviceTime > 0 {
			out = min(out, max(0, f[s][zone]/serviceTime.Seconds()))
		}
	}
	return out
}

// eligibleZones returns the zones in which a call tree of the route can run completely and in time. Since queueing slows down all
// zones alike, a zone counts as slow only in comparison with the fastest one.
func (p *Planner) eligibleZones(r Route) map[request.ZoneID]bool {
	fastest := math.Inf(1)
	eligible := map[request.ZoneID]bool{}
	for _, zone := range p.zoneNames {
		if p.hasAllServices(r, zone) {
			eligible[zone] = true
			fastest = min(fastest, p.treeLatency(r, zone))
		}
	}
	for zone := range eligible {
		latency := p.treeLatency(r, zone)
		if r.LatencyBound > 0 && latency > p.settings.MaxLatencyRatio*r.LatencyBound.Seconds() && latency > minSpeedup*fastest {
			delete(eligible, zone)
		}
	}
	return eligible
}

// hasAllServices reports whether all services of a route have a usable instance in the zone.
func (p *Planner) hasAllServices(r Route, zone request.ZoneID) bool {
	if z := p.zones[r.Service][zone]; z == nil || len(z.usable) == 0 {
		return false
	}
	for s := range r.Cost {
		if z := p.zones[s][zone]; z == nil || len(z.usable) == 0 {
			return false
		}
	}
	return true
}

// minSpeedup is the ratio of latencies above which moving to the faster zone is worthwhile.
const minSpeedup = 1.2

// treeLatency returns the mean latency of a call tree of the route in the zone, in seconds, or 0 if it is unknown.
func (p *Planner) treeLatency(r Route, zone request.ZoneID) float64 {
	z := p.zones[r.Service][zone]
	if z == nil || z.capacity == 0 {
		return 0
	}
	return r.Cost[r.Service].Seconds() * z.limit / z.capacity
}
