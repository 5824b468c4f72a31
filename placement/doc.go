// Package placement decides whether a new request begins, and where it and the calls of its tree run.
//
// The load pattern that it answers: a call tree reaches a service that many routes share, and that service is full. A
// request that is admitted without room there wastes the work of all services above it. So the decision is taken at the
// root, for the whole tree:
//
//	p := placement.New(placement.DefaultSettings(), zone, random)
//	p.Update(now, instances, rates, costs)
//	if !p.Admit(route, isReturn) { refuse }
//	target, ok := p.Root(service, cost, excluded)
//	target, ok = p.Call(service, excluded)
//
// Admit gives the capacity of each service to the routes in the order of their rank. Root keeps a tree in the own
// availability zone until the tightest service of the tree is clearly fuller there than elsewhere; it moves whole trees, with
// a probability that grows with the difference, so that not all nodes move to the same zone at once. Call keeps calls in the
// zone in which they are made.
package placement
