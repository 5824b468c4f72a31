package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Event is something that happened at the node; the set of events is sealed.
type Event interface{ event() }

// Arrive reports an attempt that a source sent to this instance.
type Arrive struct {
	Attempt  request.AttemptID
	Priority request.Priority
	// Remaining is the time until the deadline of the attempt.
	Remaining   time.Duration
	Fingerprint request.Fingerprint
	// Suspect is set if one crash was counted against the fingerprint.
	Suspect bool
}

// Withdraw reports that the source wants an attempt back that may not have begun.
type Withdraw struct{ Attempt request.AttemptID }

// Cancel reports that nobody waits for the response of an attempt any more.
type Cancel struct{ Attempt request.AttemptID }

// Finish reports that the backend server is done with an attempt.
type Finish struct {
	Attempt request.AttemptID
	// OwnTime is the total time less the time spent waiting for nested calls.
	OwnTime time.Duration
	Status  Status
}

// Tick lets time pass; the caller sends it at least once per control interval.
type Tick struct{}

// Drain reports that the instance leaves; new attempts are refused from now on.
type Drain struct{}

// Restarted reports that the backend server was started again and lost its running attempts.
type Restarted struct{}

func (Arrive) event()    {}
func (Withdraw) event()  {}
func (Cancel) event()    {}
func (Finish) event()    {}
func (Tick) event()      {}
func (Drain) event()     {}
func (Restarted) event() {}

// Status tells how the backend server ended an attempt.
type Status uint8

// The statuses.
const (
	Completed Status = iota // the backend server returned a response
	Errored                 // the backend server returned an error
	Aborted                 // the attempt was cancelled while it ran
	Crashed                 // the backend server went away
)

// Action is something that the caller must carry out; the set of actions is sealed.
type Action interface{ action() }

// Dispatch sends a queued attempt to the backend server.
type Dispatch struct{ Attempt request.AttemptID }

// Refuse answers an attempt that has not run and will not run.
type Refuse struct {
	Attempt    request.AttemptID
	Reason     request.Reason
	RetryAfter time.Duration
}

// Withdrawn answers a Withdraw or Cancel: the attempt has not begun and will not begin.
type Withdrawn struct{ Attempt request.AttemptID }

// AlreadyStarted answers a Withdraw: the attempt may have begun.
type AlreadyStarted struct{ Attempt request.AttemptID }

// Abort cancels a running attempt at the backend server; its slot is free after Finish.
type Abort struct{ Attempt request.AttemptID }

// Drained reports that a draining instance has nothing left to run.
type Drained struct{}

func (Dispatch) action()       {}
func (Refuse) action()         {}
func (Withdrawn) action()      {}
func (AlreadyStarted) action() {}
func (Abort) action()          {}
func (Drained) action()        {}

// Decision is the kind of a Verdict.
type Decision uint8

// The decisions.
const (
	Refused Decision = iota
	Queued
	Dispatched
)

var decisionNames = [...]string{"refused", "queued", "dispatched"}

// String returns the name of the decision.
func (d Decision) String() string {
	if int(d) < len(decisionNames) {
		return decisionNames[d]
	}
	return "invalid"
}

// Verdict is the answer to an arrival.
type Verdict struct {
	Decision Decision
	// Reason and RetryAfter are set if the decision is Refused.
	Reason     request.Reason
	RetryAfter time.Duration
	// Pending is set if actions for other attempts wait for Collect.
	Pending bool
}
