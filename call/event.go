package call

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// Event is what happens to a call.
type Event interface{ isEvent() }

// Start begins the call.
type Start struct{}

// Part is a part of the response of an attempt; indices count from 0.
type Part struct {
	Attempt request.AttemptID
	Index   uint32
}

// Refused tells that the destination did not run the attempt and will not run it.
type Refused struct {
	Attempt    request.AttemptID
	Reason     request.Reason
	RetryAfter time.Duration
}

// Finished tells that the destination ended the attempt after it sent the given number of parts.
type Finished struct {
	Attempt  request.AttemptID
	Parts    uint32
	Outcome  request.Outcome
	Reason   request.Reason
	Returned uint32
}

// Broken tells that the stream of an attempt was lost, or could not be opened.
type Broken struct {
	Attempt request.AttemptID
}

// Crashed tells that the backend server went away while it ran the attempt. Incarnation is that of the backend server; it identifies the crash.
type Crashed struct {
	Attempt     request.AttemptID
	Incarnation request.Incarnation
	Returned    uint32
}

// WithdrawReply is the answer to a Withdraw.
type WithdrawReply struct {
	Attempt request.AttemptID
	Result  WithdrawResult
}

// Timer tells that the time of the last SetTimer was reached.
type Timer struct{}

// CallerGone tells that the caller cancelled or closed its connection.
type CallerGone struct{}

func (Start) isEvent()         {}
func (Part) isEvent()          {}
func (Refused) isEvent()       {}
func (Finished) isEvent()      {}
func (Broken) isEvent()        {}
func (Crashed) isEvent()       {}
func (WithdrawReply) isEvent() {}
func (Timer) isEvent()         {}
func (CallerGone) isEvent()    {}

// WithdrawResult is what a destination says about a withdrawn attempt.
type WithdrawResult uint8

// The results; NoReply is the zero value because it proves nothing.
const (
	// NoReply means that the destination could not be asked.
	NoReply WithdrawResult = iota
	// Withdrawn means that the attempt did not begin and will not begin.
	Withdrawn
	// AlreadyStarted means that the attempt has begun.
	AlreadyStarted
)

// Action is what the shell does for a call.
type Action interface{ isAction() }

// Send sends an attempt; Lent is what the destination may spend on nested calls.
type Send struct {
	Attempt   request.AttemptID
	Choice    route.Choice
	Remaining time.Duration
	Lent      uint32
}

// Withdraw asks the destination to withdraw an attempt; the reply is reported as WithdrawReply.
//
// Only the incarnation that the attempt was sent to can prove that it did not run: a process that was started since knows nothing of it. A
// reply of another incarnation is reported as NoReply.
type Withdraw struct {
	Attempt request.AttemptID
	Choice  route.Choice
}

// Cancel closes the stream of an attempt, so that the destination stops it.
type Cancel struct {
	Attempt request.AttemptID
}

// Pass passes a part on to the caller.
type Pass struct {
	Attempt request.AttemptID
	Index   uint32
}

// End ends the call. If Cut is set, parts were passed on and the rest is missing, so that the connection to the caller is aborted.
type End struct {
	Outcome    request.Outcome
	Reason     request.Reason
	RetryAfter time.Duration
	Cut        bool
}

// SetTimer asks for a Timer event; it replaces the time that was set before.
type SetTimer struct {
	At request.Instant
}

// ReportCrash tells the instances of the service that a backend server crashed while it ran the fingerprint.
type ReportCrash struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation
	Fingerprint request.Fingerprint
}

// ReportLoss tells that the stream of an attempt was lost without an end, so that the backend server may have crashed while
// it ran the fingerprint. Incarnation is that of the node.
type ReportLoss struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation
	Fingerprint request.Fingerprint
}

func (Send) isAction()        {}
func (Withdraw) isAction()    {}
func (Cancel) isAction()      {}
func (Pass) isAction()        {}
func (End) isAction()         {}
func (SetTimer) isAction()    {}
func (ReportCrash) isAction() {}
func (ReportLoss) isAction()  {}
