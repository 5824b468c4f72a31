package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Route is what is known of a route.
type Route struct {
	Rank routing.Rank
	// Service is where most of its trees begin.
	Service request.ServiceID
	Cost    tree.Cost
	// Bound is the time in which a response is worth most; 0 means that none is known.
	Bound time.Duration
}

// tightness returns which share of its time a tree of the route takes.
func (r Route) tightness() float64 {
	if r.Bound <= 0 {
		return 0
	}
	return r.Cost[r.Service].Seconds() / r.Bound.Seconds()
}

// chance returns the probability that a tree of the route meets no failure of a backend server, from the number of its runs
// at each service, and the service where failures are most likely.
func (p *Planner) chance(r Route) (chance float64, worst request.ServiceID) {
	chance, least := 1.0, 1.0
	for _, s := range slices.Sorted(maps.Keys(r.Cost)) {
		held := r.Cost[s]
		passing, known := p.passing[s]
		if !known || passing >= 1 {
			continue
		}
		runs := 1.0
		if usual := p.usual[s]; usual > 0 {
			runs = max(1, held.Seconds()/usual)
		}
		here := math.Pow(passing, runs)
		chance *= here
		if here < least {
			least, worst = here, s
		}
	}
	return chance, worst
}

// plan works out which share of each route is admitted, and where the admitted requests begin.
func (p *Planner) plan(capacity map[request.ServiceID]float64, routes map[routing.RouteID]Route, rates map[routing.RouteID]zoneRates) {
	demands := make([]Demand, 0, len(routes))
	hopeless := map[routing.RouteID]request.ServiceID{}
	for id, r := range routes {
		d := Demand{Route: id, Rank: r.Rank, Cost: r.Cost}
		// A tree that will almost surely fail wastes the work of all services above the failure.
		if chance, worst := p.chance(r); chance < p.settings.LeastChance {
			hopeless[id] = worst
		} else {
			for _, zone := range sortedZones(rates[id]) {
				d.PerSecond += rates[id][zone]
			}
		}
		demands = append(demands, d)
	}
	p.shares = Fractions(capacity, demands)
	for id, worst := range hopeless {
		p.shares[id] = Share{Full: worst}
	}
	p.layOut(routes, rates)
}

// sortedZones returns the zones of a map in a fixed order, so that sums do not depend on the order of a map.
func sortedZones[V any](byZone map[request.ZoneID]V) []request.ZoneID {
	return slices.Sorted(maps.Keys(byZone))
}

// zoneRates are the requests a second that the clients of each zone send on a route.
type zoneRates map[request.ZoneID]float64

// rates returns the routes that clients use and whose cost is known, and how much they use them.
func (p *Planner) rates(route func(routing.RouteID) (Route, bool)) (map[routing.RouteID]Route, map[routing.RouteID]zoneRates) {
	routes, rates := map[routing.RouteID]Route{}, map[routing.RouteID]zoneRates{}
	for _, in := range p.instances {
		if !in.IsFresh {
			continue
		}
		for _, rate := range in.Rates {
			byZone := rates[rate.Route]
			if byZone == nil {
				r, ok := route(rate.Route)
				if !ok {
					continue
				}
				byZone = zoneRates{}
				routes[rate.Route], rates[rate.Route] = r, byZone
			}
			byZone[in.Zone] += float64(rate.PerSecond)
		}
	}
	return routes, rates
}

// place is another zone in which a share of the own zone's trees of a route begins.
type place struct {
	zone  request.ZoneID
	share float64
}

// layOut decides in which zones the admitted trees of each route begin. Routes with the least time to spare choose first, so
// that those with more leave the fast zones to them. A tree stays in the zone of its client while that has room.
func (p *Planner) layOut(routes map[routing.RouteID]Route, rates map[routing.RouteID]zoneRates) {
	p.places = map[routing.RouteID][]place{}
	free := p.plannedSlots(routes, rates)
	order := slices.Collect(maps.Keys(routes))
	slices.SortFunc(order, func(a, b routing.RouteID) int {
		return cmp.Or(cmp.Compare(routes[b].tightness(), routes[a].tightness()), cmp.Compare(routes[a].Rank, routes[b].Rank), cmp.Compare(a, b))
	})
	for _, id := range order {
		p.layOutRoute(id, routes[id], rates[id], free)
	}
}

// plannedSlots returns the slots of each service and zone that may be planned. Zones are filled alike, but for what KeepLoad
// allows.
func (p *Planner) plannedSlots(routes map[routing.RouteID]Route, rates map[routing.RouteID]zoneRates) freeSlots {
	wanted := map[request.ServiceID]float64{}
	for _, id := range slices.Sorted(maps.Keys(routes)) {
		for _, zone := range sortedZones(rates[id]) {
			for s, held := range routes[id].Cost {
				wanted[s] += p.shares[id].Fraction * rates[id][zone] * held.Seconds()
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
			out[s][zone] = max(p.settings.KeepLoad, wanted[s]/max(total, 1)) * z.capacity
		}
	}
	return out
}

// layOutRoute places the trees of one route and takes their slots.
func (p *Planner) layOutRoute(id routing.RouteID, r Route, rate zoneRates, free freeSlots) {
	fits := p.fittingZones(r)
	rest := zoneRates{}
	for _, zone := range p.zoneNames {
		wanted := p.shares[id].Fraction * rate[zone]
		if wanted <= 0 {
			continue
		}
		stays := 0.0
		if fits[zone] {
			stays = min(wanted, free.trees(r, zone))
			p.take(free, r, zone, stays)
		}
		rest[zone] = wanted - stays
	}
	needed, total := 0.0, 0.0
	room := zoneRates{}
	for _, zone := range p.zoneNames {
		needed += rest[zone]
		if fits[zone] {
			room[zone] = free.trees(r, zone)
			total += room[zone]
		}
	}
	if needed <= 0 {
		return
	}
	moved := min(1, total/needed)
	for _, zone := range p.zoneNames {
		if room[zone] > 0 {
			part := room[zone] / total
			p.take(free, r, zone, moved*needed*part)
			if zone != p.zone && rest[p.zone] > 0 {
				p.places[id] = append(p.places[id], place{zone, moved * part * rest[p.zone] / (p.shares[id].Fraction * rate[p.zone])})
			}
		}
		// What fits nowhere stays and waits.
		p.take(free, r, zone, (1-moved)*rest[zone])
	}
}

// take notes that trees of a route begin in a zone.
func (p *Planner) take(free freeSlots, r Route, zone request.ZoneID, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	for s, held := range r.Cost {
		p.zoneOf(s, zone).demand += perSecond * held.Seconds()
		if free[s] != nil {
			free[s][zone] -= perSecond * held.Seconds()
		}
	}
}

// freeSlots are the slots that no tree has taken yet, for each service and zone.
type freeSlots map[request.ServiceID]map[request.ZoneID]float64

// trees returns the trees a second that the free slots of a zone carry.
func (f freeSlots) trees(r Route, zone request.ZoneID) float64 {
	out := math.Inf(1)
	for s, held := range r.Cost {
		if held > 0 {
			out = min(out, max(0, f[s][zone]/held.Seconds()))
		}
	}
	return out
}

// fittingZones returns the zones in which a tree of the route runs whole and in time. Queues make trees slow in all zones
// alike, so only the comparison with another zone tells where backend servers are slow.
func (p *Planner) fittingZones(r Route) map[request.ZoneID]bool {
	best := math.Inf(1)
	whole := map[request.ZoneID]bool{}
	for _, zone := range p.zoneNames {
		if p.hasAll(r, zone) {
			whole[zone] = true
			best = min(best, p.treeTime(r, zone))
		}
	}
	for zone := range whole {
		took := p.treeTime(r, zone)
		if r.Bound > 0 && took > p.settings.SlowShare*r.Bound.Seconds() && took > fasterFactor*best {
			delete(whole, zone)
		}
	}
	return whole
}

// hasAll reports whether all services of a route have an instance in the zone.
func (p *Planner) hasAll(r Route, zone request.ZoneID) bool {
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

// fasterFactor is the ratio of times above which a zone is worth a move.
const fasterFactor = 1.2

// treeTime returns the seconds that a tree of the route takes in the zone, or 0 if that is not known.
func (p *Planner) treeTime(r Route, zone request.ZoneID) float64 {
	z := p.zones[r.Service][zone]
	if z == nil || z.capacity == 0 {
		return 0
	}
	return r.Cost[r.Service].Seconds() * z.limit / z.capacity
}
