package placement

import (
	"cmp"
	"maps"
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

// Share is the part of a route's requests that may begin.
type Share struct {
	Fraction float64
	// Full is the service that allows no more, or empty if all requests may begin.
	Full request.ServiceID
}

// Fractions returns the share of each route that the slots can carry. Routes are served in the order of their rank; routes
// of one rank that share a full service are cut by the same factor, the fullest service first, so that what one service
// turns away does not count at the others.
func Fractions(slots map[request.ServiceID]float64, demands []Demand) map[routing.RouteID]Share {
	left := maps.Clone(slots)
	demands = slices.Clone(demands)
	slices.SortFunc(demands, compareDemands)
	out := make(map[routing.RouteID]Share, len(demands))
	for begin := 0; begin < len(demands); {
		end := begin
		for end < len(demands) && demands[end].Rank == demands[begin].Rank {
			out[demands[end].Route] = Share{Fraction: 1}
			end++
		}
		group := demands[begin:end]
		for range len(left) {
			if !cutFullest(group, left, out) {
				break
			}
		}
		for s, wanted := range wantedSlots(group, out) {
			left[s] = max(0, left[s]-wanted)
		}
		begin = end
	}
	return out
}

// wantedSlots returns what the admitted shares of the demands need of each service.
func wantedSlots(demands []Demand, shares map[routing.RouteID]Share) map[request.ServiceID]float64 {
	wanted := map[request.ServiceID]float64{}
	for _, d := range demands {
		for s, held := range d.Cost {
			wanted[s] += shares[d.Route].Fraction * d.PerSecond * held.Seconds()
		}
	}
	return wanted
}

// tolerance ends the cuts when a service is full up to rounding.
const tolerance = 1e-9

// cutFullest cuts the routes that reach the service that is wanted most beyond its room, and reports whether there was one.
// Services of unknown size allow everything.
func cutFullest(group []Demand, left map[request.ServiceID]float64, shares map[routing.RouteID]Share) bool {
	wanted := wantedSlots(group, shares)
	var full request.ServiceID
	factor := 1 - tolerance
	for s, want := range wanted {
		room, known := left[s]
		if !known || want <= 0 {
			continue
		}
		if f := room / want; f < factor || f == factor && s < full {
			full, factor = s, f
		}
	}
	if full == "" {
		return false
	}
	for _, d := range group {
		if d.Cost[full] > 0 {
			shares[d.Route] = Share{Fraction: shares[d.Route].Fraction * factor, Full: full}
		}
	}
	return true
}
