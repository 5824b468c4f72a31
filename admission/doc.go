// Package admission implements admission control at the destination: it
// decides which attempts are dispatched to the backend server, which are
// queued and which are refused.
//
// A Controller manages the slots of one backend server, the queue in front of
// them, the running attempts and the tombstones of withdrawn attempts. It is
// a state machine without clock or I/O: its driver, such as package node,
// passes the current time with each event and performs the returned actions.
//
//	c := admission.New(admission.Settings{Slots: 110}, now)
//	r := c.Admit(now, admission.Arrive{Attempt: id, Priority: p, Remaining: time.Second})
//	switch r.Decision {
//	case admission.Dispatched:
//		// send the attempt to the backend server
//	case admission.Queued:
//		// a later Dispatch or Refuse action decides about the attempt
//	case admission.Refused:
//		// respond with not_run, r.Reason and r.RetryAfter
//	}
//	if r.Pending {
//		actions = c.Collect(actions[:0])
//	}
//	actions = c.Handle(now, admission.Finish{Attempt: id, OwnTime: own}, actions[:0])
//
// An attempt is admitted if its priority value is below the admission level;
// lower values are more important. The level is recomputed once per control
// interval so that the rate of admitted arrivals matches the measured service
// rate. Between two updates the queue absorbs the difference; a full queue
// evicts its least important entry.
//
// No essential attempt is refused for load within one control interval before
// or after a bulk attempt is admitted. Essential attempts that exceed the
// queue limit during that time stay queued until the interval has passed. A
// refusal is for load if its reason is Overloaded or QueueFull, or if it is
// DeadlineTooShort because of the expected queueing delay.
package admission
