// Package faultmatrix simulates a small fleet in virtual time and injects
// faults at chosen steps of a request or of a configuration change.
//
// The fleet runs the real state machines of the packages admission, budget,
// call, configuration, member, quarantine, route and session. The network, the
// backend servers, the callers, the platform and the driver that turns messages
// into events are fakes:
//
//	s := faultmatrix.New(faultmatrix.Options{
//		Seed:              7,
//		RequestsPerSecond: 50,
//		Step:              faultmatrix.Running,
//		Faults:            []faultmatrix.Fault{faultmatrix.NodeKilled},
//	})
//	s.Run(faultmatrix.RunDuration)
//	for _, v := range s.Violations() {
//		// v says which property was violated, and when
//	}
//
// A run depends only on its options, so that a violation can be reproduced from
// its seed.
package faultmatrix
