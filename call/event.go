package call

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// Event is an input of a Call; other packages cannot implement it.
type Event interface{ isEvent() }

// Start begins the call.
type Start struct{}

// Part reports the arrival of a part of the response; indices count from 0.
type Part struct {
	Attempt request.AttemptID
	Index   uint32
}

// Refused reports that the destination has not run the attempt and will not run it.
type Refused struct {
	Attempt    request.AttemptID
	Reason     request.Reason
	RetryAfter time.Duration
}

// Finished reports that the destination ended the attempt after sending the given number of parts; Returned is the unused part
// of the loan, in attempts.
type Finished struct {
	Attempt  request.AttemptID
	Parts    uint32
	Outcome  request.Outcome
	Reason   request.Reason
	Returned uint32
}

// StreamLost reports that the stream of an attempt was lost or could not be opened.
type StreamLost struct {
	Attempt request.AttemptID
}

// Crashed reports that the backend server crashed while it ran the attempt. Incarnation is that of the backend server and identifies the crash;
// Returned is the unused part of the loan, in attempts.
type Crashed struct {
	Attempt     request.AttemptID
	Incarnation request.Incarnation
	Returned    uint32
}

// WithdrawReply reports the reply to a Withdraw or, with the result NoReply, that none was received.
type WithdrawReply struct {
	Attempt request.AttemptID
	Result  WithdrawResult
}

// Timer reports that the time of the last SetTimer was reached.
type Timer struct{}

// CallerGone reports that the caller cancelled the call or closed its connection.
type CallerGone struct{}

func (Start) isEvent()         {}
func (Part) isEvent()          {}
func (Refused) isEvent()       {}
func (Finished) isEvent()      {}
func (StreamLost) isEvent()    {}
func (Crashed) isEvent()       {}
func (WithdrawReply) isEvent() {}
func (Timer) isEvent()         {}
func (CallerGone) isEvent()    {}

// WithdrawResult is the result of a withdrawal.
type WithdrawResult uint8

// The results of a withdrawal; NoReply is the zero value because it proves nothing.
const (
	// NoReply means that the destination did not reply, could not be reached or runs in another incarnation.
	NoReply WithdrawResult = iota
	// Withdrawn means that the attempt has not started and will not start.
	Withdrawn
	// AlreadyStarted means that the attempt has started.
	AlreadyStarted
)

// Action is an operation that the driver of a Call must perform; other packages cannot implement it.
type Action interface{ isAction() }

// Send sends an attempt; Lent is the number of extra attempts that the destination may use for nested calls.
type Send struct {
	Attempt   request.AttemptID
	Choice    route.Choice
	Remaining time.Duration
	Lent      uint32
}

// Withdraw asks the destination to withdraw an attempt; the reply is reported as WithdrawReply.
//
// Only the incarnation that the attempt was sent to can prove that it did not run: a later incarnation has no record of it. The driver
// must report a reply of another incarnation as NoReply.
type Withdraw struct {
	Attempt request.AttemptID
	Choice  route.Choice
}

// Cancel closes the stream of an attempt, which makes the destination abort it.
type Cancel struct {
	Attempt request.AttemptID
}

// ForwardPart forwards a part of the response to the caller.
type ForwardPart struct {
	Attempt request.AttemptID
	Index   uint32
}

// End ends the call. If Truncated is set, the response is incomplete after some parts were forwarded, and the connection to the caller must be aborted.
type End struct {
	Outcome    request.Outcome
	Reason     request.Reason
	RetryAfter time.Duration
	Truncated  bool
}

// SetTimer requests a Timer event at the given time; it replaces the previous one.
type SetTimer struct {
	At request.Instant
}

// ReportCrash reports to the instances of the service that a backend server crashed while it ran a request with the fingerprint.
type ReportCrash struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation
	Fingerprint request.Fingerprint
}

// ReportLoss reports that the stream of an attempt was lost before its end, so that the backend server may have crashed while
// it ran a request with the fingerprint. Incarnation is that of the node.
type ReportLoss struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation
	Fingerprint request.Fingerprint
}

func (Send) isAction()        {}
func (Withdraw) isAction()    {}
func (Cancel) isAction()      {}
func (ForwardPart) isAction() {}
func (End) isAction()         {}
func (SetTimer) isAction()    {}
func (ReportCrash) isAction() {}
func (ReportLoss) isAction()  {}
