// Package call is the state machine of one call at its source. It sends
// attempts, retries what provably did not run, passes on the parts of one
// attempt and ends with an outcome that it can prove.
//
//	c := call.New(plan, dependencies)
//	actions = c.Handle(now, call.Start{}, actions[:0])
//	for _, a := range actions {
//		switch a := a.(type) {
//		case call.Send:
//			// open a stream to a.Choice.Instance
//		case call.Pass:
//			// write the part to the caller
//		case call.End:
//			// end the response, or abort the connection if a.Cut is set
//		}
//	}
//
// Actions are executed in order; a crash report is out before the retry or the
// outcome that follows it. Each attempt ends with exactly one of Refused,
// Finished, Broken and Crashed; the machine drops what comes after that, and
// what comes for attempts that it does not know.
package call
