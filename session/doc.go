// Package session guarantees at-most-once execution of effects without a store
// write on the request path.
//
// A caller opens a ticket. An effect, a request that must not run twice, is
// identified by a ticket and a sequence number, and only the incarnation that
// issued the ticket dispatches it:
//
//	ticket, err := sessions.Open(now, callerAddress)
//	...
//	d := sessions.Begin(now, session.Send{Ticket: ticket, Sequence: 1, Attempt: 1, Waiter: w})
//	switch d.Action {
//	case session.Run:     // dispatch with d.Effect, then call Finish
//	case session.Wait:    // Finish of the earlier send returns w
//	case session.Replay:  // send d.Response
//	case session.Forward: // forward the send to ticket.Instance
//	case session.Refuse:  // respond with d.Outcome and d.Reason
//	}
//
// Each Run must be followed by exactly one Finish. An outcome of not_run frees
// the sequence. Memory is bounded: once a record or a response was evicted, a
// resend gets unknown and the effect is not run again.
//
// Claims deduplicates calls that carry only an idempotency key, by conditional
// inserts into the platform's table.
//
// Sessions and Claims do no I/O and read no clock. Their driver, such as package
// node, passes in events and the time and carries out the results.
package session
