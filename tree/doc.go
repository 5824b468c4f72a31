// Package tree learns how much of each service a request uses, with all calls that its run makes.
//
// A run is one request on the backend server beside the node. Calls that the backend server makes while it runs are tied to
// the run by their identifier, and each response returns what the call used. The sum belongs to the route of the root:
//
//	runs.Begin("9c41", tree.Run{...})
//	run, ok := runs.Parent("9c41.2")
//	runs.AddCost("9c41", cost)
//	costs.Observe(route, runs.End("9c41"))
//
// Costs holds the mean per route, from which placement works out which service limits a route.
package tree
