// Package placement decides whether a new request begins, and where it and the calls of its tree run.
//
// The load pattern that it answers: a call tree reaches a service that many routes share, and that service is full. A
// request that is admitted without room there wastes the work of all services above it. So the decision is taken at the
// root, for the whole tree:
//
//	p := placement.New(placement.DefaultSettings(), zone, random)
//	p.Update(now, instances, routes)
//	if !p.Admit(route) { refuse }
//	target, ok := p.Root(route, service, excluded)
//	target, ok = p.Call(service, excluded)
//
// Admit gives the capacity of each service to the routes in the order of their rank. Root keeps a tree in the own
// availability zone unless the zone has no room for it, or the tree would be too slow there; it moves whole trees, and only the
// share that does not fit. Routes with the least time to spare choose their zones first. Call keeps calls in the zone in which
// they are made, unless the queue there is clearly longer than elsewhere.
// Among the instances of a zone both draw at random, by capacity; a reported load counts as far as it is recent, compared with the
// time for which attempts hold a slot.
package placement
