package placement

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Summarize sums up the services of a zone for the planners of other zones, which then need to know only a few of its
// instances. It counts what a planner in the zone counts: live nodes, and the usable instances without those that fail much more
// often than the best one of their service. Rates are those of all fresh entries.
func Summarize(s Settings, zone request.ZoneID, view fleet.View, random *rand.Rand) []fleet.Summary {
	minFailures := minFailureRates(view)
	byService := map[request.ServiceID]*summaryBuilder{}
	for _, in := range view.Instances {
		if in.Zone != zone || !in.IsFresh || in.IsSummarized {
			continue
		}
		b := byService[in.Service]
		if b == nil {
			b = &summaryBuilder{rates: map[routing.RouteID]float32{}, speeds: map[routing.RouteID]routeSpeed{}}
			byService[in.Service] = b
		}
		b.nodes++
		for _, r := range in.Rates {
			b.rates[r.Route] += r.PerSecond
		}
		if isAvailable(in) && !s.isAvoided(in, minFailures[in.Service]) {
			b.addUsable(in)
		}
	}
	out := make([]fleet.Summary, 0, len(byService))
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		out = append(out, byService[service].summary(zone, service, random))
	}
	return out
}

// routeSpeed accumulates a fleet.RouteSpeed.
type routeSpeed struct {
	mean      meanTime
	perSecond float64
}

// summaryBuilder accumulates the summary of one service in a zone.
type summaryBuilder struct {
	nodes                int
	rates                map[routing.RouteID]float32
	speeds               map[routing.RouteID]routeSpeed
	usable               []fleet.Instance
	slots, load, failing float64
}

func (b *summaryBuilder) addUsable(in fleet.Instance) {
	limit := float64(in.Limit)
	b.usable = append(b.usable, in)
	b.slots += limit
	b.load += float64(in.LoadPermille) * limit
	b.failing += float64(in.FailurePercent) * limit
	if in.ServiceTime > 0 {
		r := b.speeds[in.DominantRoute]
		r.mean.add(in.ServiceTime.Seconds(), limit)
		r.perSecond += limit / in.ServiceTime.Seconds()
		b.speeds[in.DominantRoute] = r
	}
}

func (b *summaryBuilder) summary(zone request.ZoneID, service request.ServiceID, random *rand.Rand) fleet.Summary {
	out := fleet.Summary{
		Zone: zone, Service: service, Nodes: uint16(min(b.nodes, math.MaxUint16)),
		Instances: uint16(min(len(b.usable), math.MaxUint16)), Slots: uint32(b.slots),
	}
	if b.slots > 0 {
		out.LoadPermille = uint16(min(b.load/b.slots, math.MaxUint16))
		out.FailurePercent = uint8(b.failing / b.slots)
	}
	for route, r := range b.speeds {
		if r.mean.slots > 0 {
			serviceTime := time.Duration(r.mean.sum / r.mean.slots * float64(time.Second))
			out.Speeds = append(out.Speeds, fleet.RouteSpeed{Route: route, Slots: uint32(r.mean.slots), ServiceTime: serviceTime, PerSecond: float32(r.perSecond)})
		}
	}
	slices.SortFunc(out.Speeds, func(a, b fleet.RouteSpeed) int { return cmp.Compare(a.Route, b.Route) })
	for route, perSecond := range b.rates {
		out.Rates = append(out.Rates, fleet.Rate{Route: route, PerSecond: perSecond})
	}
	random.Shuffle(len(b.usable), func(i, j int) { b.usable[i], b.usable[j] = b.usable[j], b.usable[i] })
	for _, in := range b.usable[:min(len(b.usable), fleet.MaxServers)] {
		out.Servers = append(out.Servers, fleet.Server{
			Address: in.Address, Instance: in.Instance, Limit: in.Limit, ServiceTime: in.ServiceTime, DominantRoute: in.DominantRoute,
		})
	}
	return out
}
