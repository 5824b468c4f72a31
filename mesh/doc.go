// Package mesh implements the node of a deployment whose requests are routed by host and path.
//
// One node runs beside each backend server. It accepts requests from clients and from its own backend server, decides whether
// to admit them and on which instance they run, and forwards each one to the node beside the chosen backend server. Only that
// node sends requests to its backend server, through a gate that limits and queues them. The decisions are those of packages
// routing, placement, gate, tree, fleet, quarantine and budget; mesh connects them to HTTP, UDP and timers.
//
// The interfaces HeaderCodec and Store abstract the headers and the store of a deployment; ControlHandler and
// ReadinessHandler return the handlers of its control and readiness calls:
//
//	n := mesh.New(mesh.Dependencies{
//		Settings: s, HeaderCodec: codec, Store: store, Log: log, ControlHandler: control, ReadinessHandler: ready,
//	})
//	err := n.Run(ctx)
//
// Lock order: the tick lock first, then at most one at a time of the locks of the gate, the fleet, the planner and the retry
// budget. The locks of the failure rate and of the crash log are taken while the gate lock is held. No lock is held during I/O, except for the
// datagrams sent in a tick.
package mesh
