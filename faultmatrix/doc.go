// Package faultmatrix runs the decisions of a small fleet in virtual time and
// injects faults at chosen steps of a request.
//
// The decisions are those of the packages admission, budget, call, member,
// quarantine, route and session. Faked are only the network, the backend
// servers, the callers and the shell that turns messages into events:
//
//	w := faultmatrix.New(faultmatrix.Options{
//		Seed:   7,
//		Load:   50,
//		Step:   faultmatrix.Running,
//		Faults: []faultmatrix.Fault{faultmatrix.NodeKilled},
//	})
//	w.Run(faultmatrix.RunTime)
//	for _, v := range w.Violations() {
//		// a property of the design that does not hold
//	}
//
// A run depends only on its options, so that a violation can be repeated by
// its seed.
package faultmatrix
