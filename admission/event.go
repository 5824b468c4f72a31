package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Event is an input of a Controller; other packages cannot implement it.
type Event interface{ event() }

// Arrive reports the arrival of an attempt from a source.
type Arrive struct {
	Attempt  request.AttemptID
	Priority request.Priority
	// Remaining is the time until the deadline of the attempt.
	Remaining   time.Duration
	Fingerprint request.Fingerprint
	// Suspect is set if one crash of a backend server is attributed to the fingerprint.
	Suspect bool
}

// Withdraw reports that the source asks to withdraw an attempt that may not have started.
type Withdraw struct{ Attempt request.AttemptID }

// Cancel reports that the response of an attempt is no longer needed.
type Cancel struct{ Attempt request.AttemptID }

// Finish reports that an attempt has ended at the backend server.
type Finish struct {
	Attempt request.AttemptID
	// OwnTime is the total time of the attempt minus the time spent waiting for nested calls.
	OwnTime time.Duration
	Status  Status
}

// Tick advances the time without another event; the driver sends it at least once per control interval.
type Tick struct{}

// Drain reports that the instance is leaving; new attempts are refused from now on.
type Drain struct{}

// BackendRestarted reports that the backend server has restarted and lost its running attempts.
type BackendRestarted struct{}

func (Arrive) event()           {}
func (Withdraw) event()         {}
func (Cancel) event()           {}
func (Finish) event()           {}
func (Tick) event()             {}
func (Drain) event()            {}
func (BackendRestarted) event() {}

// Status is the result of an attempt at the backend server.
type Status uint8

// The results of an attempt.
const (
	Completed Status = iota // the backend server returned a response
	Errored                 // the backend server returned an error
	Aborted                 // the attempt was cancelled while running
	Crashed                 // the backend server crashed
)

// Action is an operation that the driver must perform; other packages cannot implement it.
type Action interface{ action() }

// Dispatch sends an arrived or queued attempt to the backend server.
type Dispatch struct{ Attempt request.AttemptID }

// Refuse refuses an arrived or queued attempt, which has not run and will not run; the caller may resend after RetryAfter.
type Refuse struct {
	Attempt    request.AttemptID
	Reason     request.Reason
	RetryAfter time.Duration
}

// Withdrawn is the result of a Withdraw or Cancel: the attempt has not started and will not start.
type Withdrawn struct{ Attempt request.AttemptID }

// AlreadyStarted is the result of a Withdraw: the attempt may have started.
type AlreadyStarted struct{ Attempt request.AttemptID }

// Abort cancels a running attempt at the backend server; Finish releases its slot.
type Abort struct{ Attempt request.AttemptID }

// Drained reports that a draining instance has no queued or running attempts.
type Drained struct{}

func (Dispatch) action()       {}
func (Refuse) action()         {}
func (Withdrawn) action()      {}
func (AlreadyStarted) action() {}
func (Abort) action()          {}
func (Drained) action()        {}

// Decision tells whether an arriving attempt is refused, queued or dispatched.
type Decision uint8

// The decisions on an arrival.
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

// Result is the result of Admit.
type Result struct {
	Decision Decision
	// Reason and RetryAfter are set if the decision is Refused.
	Reason     request.Reason
	RetryAfter time.Duration
	// Pending is set if actions are pending that Collect returns.
	Pending bool
}
