// Package request defines the identifiers and value types that every other
// package shares: who asked, for what, how important it is and how it ended.
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
