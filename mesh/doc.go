// Package mesh is the node of a deployment whose requests are routed by host and path.
//
// The node beside a backend server takes the requests of the clients and of the backend server on its machine, decides
// whether they begin and where they run, and passes each one to the node beside the chosen backend server. That node, the
// gate, is the only one that reaches its backend server. Decisions are those of packages routing, placement, gate, tree,
// fleet and budget; mesh connects them to HTTP, datagrams and timers.
//
// A deployment's own headers, reports and store are met through the interfaces Dialect and Directory:
//
//	n, err := mesh.New(mesh.Dependencies{Settings: s, Dialect: dialect, Directory: directory, Log: log})
//	err = n.Run(ctx)
//
// Lock order: the lock of the rounds first, then at most one of those of the gate, the fleet, the planner and the retry
// allowance at a time; that of the failure counts is taken under that of the gate. No lock is held during input or output,
// but for the datagrams of a round.
package mesh
