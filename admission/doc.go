// Package admission decides at the destination which attempts run on its
// backend server, which wait and which are refused.
//
// A Controller owns the slots of one backend server, the queue in front of
// them, the running attempts and the tombstones of withdrawn attempts. It is
// a plain state machine: the caller passes the present time with each event
// and carries out the actions that come back.
//
//	c := admission.New(admission.Settings{Slots: 110}, now)
//	v := c.Admit(now, admission.Arrive{Attempt: id, Priority: p, Remaining: time.Second})
//	switch v.Decision {
//	case admission.Dispatched:
//		// send the attempt to the backend server
//	case admission.Queued:
//		// a later Dispatch or Refuse action names the attempt
//	case admission.Refused:
//		// answer not_run with v.Reason and v.RetryAfter
//	}
//	if v.Pending {
//		actions = c.Collect(actions[:0])
//	}
//	actions = c.Handle(now, admission.Finish{Attempt: id, OwnTime: own}, actions[:0])
//
// An attempt is admitted if its priority is below the level. The level is set
// once per control interval so that the admitted arrivals match the measured
// service rate. Between two computations the queue absorbs the difference and
// evicts the least important entry first.
//
// No essential attempt is refused for load within one control interval before
// or after a bulk attempt is admitted. Essential attempts that exceed the
// queue limit in that time are held until the interval is over. An attempt is
// refused for load if the reason is Overloaded or QueueFull, or if it is
// DeadlineTooShort because of the wait in the queue.
package admission
