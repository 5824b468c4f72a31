// Package call implements the state machine of one call at its source. It sends
// attempts, withdraws and retries them, forwards the response parts of a single
// attempt to the caller and ends with an outcome that it can prove. A call that
// is not idempotent is retried only after a proof that no earlier attempt ran.
//
//	c := call.New(plan, dependencies)
//	actions = c.Handle(now, call.Start{}, actions[:0])
//	for _, a := range actions {
//		switch a := a.(type) {
//		case call.Send:
//			// open a stream to a.Choice.Instance
//		case call.ForwardPart:
//			// write the part of the response to the caller
//		case call.End:
//			// end the response, or abort the connection if a.Truncated is set
//		}
//	}
//
// The driver performs the actions in order, so that a crash report precedes the
// retry or outcome that follows it. Each attempt ends with exactly one of
// Refused, Finished, StreamLost and Crashed. Afterwards the state machine handles
// only a Crashed, which it reports once, and the WithdrawReply that it waits for.
// It ignores other events of the attempt, and all events of unknown attempts.
package call
