// Package gate decides when an attempt runs on the backend server beside the node.
//
// All attempts for a backend server pass its gate, so the gate knows what is in flight whatever the backend server
// reports. It keeps the number of running attempts below the declared slots and holds the rest in a queue that is ordered
// by rank. A refusal by the gate proves that the attempt did not run.
//
//	g := gate.New(gate.DefaultSettings(), 36)
//	switch d := g.Arrive(now, a); d.Kind {
//	case gate.Run: // dispatch a
//	case gate.Wait: // a later call returns a Start or Drop for it
//	case gate.Refuse: // answer that a did not run
//	}
//	for _, action := range g.Finish(now, a.Number, held) { ... }
//
// The load patterns that it answers: a queue in front of a full backend server in which work of all ranks waits (order by
// rank, and calls of running requests before new requests of their rank), waits that outlast the deadline (entries that cannot complete are dropped before
// they run), and a surge of arrivals (a full queue drops its least important entry).
package gate
