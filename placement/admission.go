package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Demand is the request rate of a route over all nodes, with the cost of each request.
type Demand struct {
	Route     routing.RouteID
	Rank      routing.Rank
	PerSecond float64
	Cost      tree.Cost
}

// compareDemands orders demands by rank, then by route.
func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Route, b.Route))
}

// Share is the fraction of a route's requests that is admitted.
type Share struct {
	Fraction float64
	// FullService is the service that limits the fraction, or empty if all requests are admitted.
	FullService request.ServiceID
}

// AdmittedShares returns the admitted share of each route, given the slots of each service.
//
// It allocates slots in order of rank. Routes of one rank that share a saturated service are reduced by the same factor. The most
// saturated service is handled first, so that requests refused because of it do not count as demand on the others.
func AdmittedShares(slots map[request.ServiceID]float64, demands []Demand) map[routing.RouteID]Share {
	free := maps.Clone(slots)
	demands = slices.Clone(demands)
	slices.SortFunc(demands, compareDemands)
	shares := make(map[routing.RouteID]Share, len(demands))
	for begin := 0; begin < len(demands); {
		end := begin
		for end < len(demands) && demands[end].Rank == demands[begin].Rank {
			shares[demands[end].Route] = Share{Fraction: 1}
			end++
		}
		group := demands[begin:end]
		for range len(free) {
			if !limitBottleneck(group, free, shares) {
				break
			}
		}
		for s, used := range slotDemand(group, shares) {
			free[s] = max(0, free[s]-used)
		}
		begin = end
	}
	return shares
}

// slotDemand returns the slots of each service that the admitted requests occupy on average.
func slotDemand(demands []Demand, shares map[routing.RouteID]Share) map[request.ServiceID]float64 {
	demand := map[request.ServiceID]float64{}
	for _, d := range demands {
		for s, serviceTime := range d.Cost {
			demand[s] += shares[d.Route].Fraction * d.PerSecond * serviceTime.Seconds()
		}
	}
	return demand
}

// tolerance is the relative excess of demand that counts as rounding error.
const tolerance = 1e-9

// limitBottleneck finds the service whose demand exceeds its slots by the largest factor, reduces the shares of the routes that
// reach it to fit, and reports whether there was one. Services of unknown capacity are not limited.
func limitBottleneck(group []Demand, free map[request.ServiceID]float64, shares map[routing.RouteID]Share) bool {
	demand := slotDemand(group, shares)
	var bottleneck request.ServiceID
	factor := 1 - tolerance
	for s, needed := range demand {
		available, known := free[s]
		if !known || needed <= 0 {
			continue
		}
		if f := available / needed; f < factor || f == factor && s < bottleneck {
			bottleneck, factor = s, f
		}
	}
	if bottleneck == "" {
		return false
	}
	for _, d := range group {
		if d.Cost[bottleneck] > 0 {
			shares[d.Route] = Share{Fraction: shares[d.Route].Fraction * factor, FullService: bottleneck}
		}
	}
	return true
}
