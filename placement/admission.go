package placement

import (
	"cmp"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Demand is what clients ask of a route, on all nodes.
type Demand struct {
	Route     routing.RouteID
	Rank      routing.Rank
	PerSecond float64
	Cost      tree.Cost
}

// compareDemands orders demands by rank.
func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Route, b.Route))
}

// Fractions returns the share of each route that the slots can carry. Routes are served in the order of their rank; routes
// of one rank that share a full service are cut by the same factor.
func Fractions(slots map[request.ServiceID]float64, demands []Demand) map[routing.RouteID]float64 {
	left := make(map[request.ServiceID]float64, len(slots))
	for s, n := range slots {
		left[s] = n
	}
	demands = slices.Clone(demands)
	slices.SortFunc(demands, compareDemands)
	out := make(map[routing.RouteID]float64, len(demands))
	for begin := 0; begin < len(demands); {
		end := begin
		wanted := map[request.ServiceID]float64{}
		for end < len(demands) && demands[end].Rank == demands[begin].Rank {
			for s, held := range demands[end].Cost {
				wanted[s] += demands[end].PerSecond * held.Seconds()
			}
			end++
		}
		for _, d := range demands[begin:end] {
			out[d.Route] = fraction(d, left, wanted)
		}
		for _, d := range demands[begin:end] {
			for s, held := range d.Cost {
				left[s] = max(0, left[s]-out[d.Route]*d.PerSecond*held.Seconds())
			}
		}
		begin = end
	}
	return out
}

// fraction is the share that the tightest service of the route allows; services without a known size allow everything.
func fraction(d Demand, left, wanted map[request.ServiceID]float64) float64 {
	f := 1.0
	for s, held := range d.Cost {
		room, known := left[s]
		if known && held > 0 && wanted[s] > room {
			f = min(f, room/wanted[s])
		}
	}
	return f
}
