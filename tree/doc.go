// Package tree measures how much time a request takes at each service, including all nested calls of its call tree.
//
// An execution is one request on the node's local backend server. Calls that the backend server makes during the execution
// carry an identifier derived from that of the execution, and each response reports the cost of the call. The sum is recorded
// for the route of the root request:
//
//	executions.Begin("9c41", tree.Execution{...})
//	execution, id, ok := executions.Parent("9c41.2")
//	executions.AddCost("9c41", cost)
//	cost, hasFailedCalls := executions.End("9c41")
//	costs.Observe(route, cost)
//
// Costs holds the mean cost of each route, from which package placement determines the service that limits the route.
package tree
