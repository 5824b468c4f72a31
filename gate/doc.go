// Package gate limits the concurrency of one backend server and queues the attempts that exceed the limit.
//
// A node sends every attempt for its local backend server through one gate, so the gate counts the attempts in flight without
// relying on reports of the backend server. It keeps their number below the declared slots and holds the rest in a priority
// queue ordered by rank. An attempt that the gate refuses has not run, so the source may safely retry it elsewhere.
//
//	g := gate.New(gate.DefaultSettings(), 36)
//	d, actions := g.Arrive(now, a)
//	switch d.Kind {
//	case gate.Run: // dispatch a
//	case gate.Wait: // a later call returns a Start or Drop for it
//	case gate.Refuse: // respond that a did not run
//	}
//	for _, action := range g.Finish(now, a.Number, a.Route, serviceTime, true) { ... }
//
// The gate handles three overload patterns. When attempts of all ranks queue at a full backend server, it runs the most
// important ranks first and, within a rank, calls of running requests before new requests. When queueing delays exceed
// deadlines, it drops queued attempts that can no longer complete in time, so that they take no slot. When a surge of arrivals
// fills the queue, it drops the least important attempt.
package gate
