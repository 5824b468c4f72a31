// Package session makes sure that an effect runs at most once without a store
// write on its path.
//
// A caller opens a ticket. An effect is a ticket and a sequence, and only the
// incarnation that issued the ticket dispatches it:
//
//	ticket, err := sessions.Open(now, callerAddress)
//	...
//	d := sessions.Begin(now, session.Send{Ticket: ticket, Sequence: 1, Attempt: 1, Waiter: w})
//	switch d.Verdict {
//	case session.Run:     // dispatch with d.Effect, then call Finish
//	case session.Wait:    // Finish of the earlier send returns w
//	case session.Replay:  // send d.Response
//	case session.Forward: // pass the send to ticket.Instance
//	case session.Refuse:  // respond with d.Outcome and d.Reason
//	}
//
// Each Run must be followed by one Finish. An outcome of not_run frees the
// sequence. What is held is bounded: when a record or a response was dropped, a
// resend gets unknown and the effect is not run again.
//
// Claims settles calls that carry only an idempotency key, by conditional
// inserts into the platform's table.
package session
