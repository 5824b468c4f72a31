// Package placement decides which requests to admit and on which instances their call trees run.
//
// Many routes share a service deep in their call trees. If that service is saturated, a request admitted at the root fails
// there and wastes the work of all services above it. A planner therefore admits or refuses each request at the root, based on
// the slots that its whole call tree needs:
//
//	p := placement.New(placement.DefaultSettings(), zone, random)
//	p.Update(now, instances, routes)
//	if !p.Admit(route) { refuse }
//	target, ok := p.PlaceRequest(route, service, excluded)
//	target, ok = p.PlaceCall(service, excluded)
//
// Admit allocates the capacity of each service to the routes in order of rank. PlaceRequest places a request in the local
// availability zone unless the zone lacks capacity or its backend servers are too slow for the route. It moves whole call
// trees, and only the excess. Routes with the tightest latency bound are placed first. PlaceCall keeps nested calls in the
// local zone unless the load there is clearly higher than in other zones.
//
// Within a zone, both choose among the instances at random, weighted by capacity and reported load. The older a load report is
// relative to the service time of the instance, the less it counts.
package placement
