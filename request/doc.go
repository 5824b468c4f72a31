// Package request defines the identifiers and value types that the other
// packages share: services, zones, customers, instances and requests, the
// priority of a request, its outcome and the reason for the outcome.
//
// The types are small values with useful zero values. A priority is computed
// once, at the first node, and is the same at every hop:
//
//	id := request.NewID(random)
//	p := request.PriorityOf(request.Essential, id)
//	if p < level {
//		// admit
//	}
//
// A lower Priority is more important, so a node refuses an attempt whose
// Priority is at or above the level of its admission controller.
package request
