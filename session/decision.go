package session

import "github.com/sapphiretack/sapphiretack/request"

// Waiter identifies a send that waits for the result of an earlier one; the driver assigns it.
type Waiter uint64

// Send is one send of an effect under a ticket.
type Send struct {
	Ticket      Ticket
	Sequence    request.Sequence
	Attempt     uint16 // 1 for the first send of the request; 0 if the caller did not number it
	Fingerprint request.Fingerprint
	Waiter      Waiter
	Forwarded   bool // the send came from another node and must not be forwarded again
}

// NestedSend is one send of a nested effect by the backend server that runs the parent.
type NestedSend struct {
	Parent      Effect
	Position    request.Sequence // of the effect within the parent, counted from 1
	Attempt     uint16
	Fingerprint request.Fingerprint
	Waiter      Waiter
}

// Action tells the driver how to handle a send.
type Action uint8

// The actions. The zero value is Refuse, so that an unset action never dispatches.
const (
	Refuse  Action = iota // respond with Outcome and Reason
	Run                   // dispatch under Effect, then call Finish
	Wait                  // Finish of the earlier send returns the waiter
	Replay                // send Response
	Forward               // forward the send to the incarnation that issued the ticket
)

var actionNames = [...]string{"refuse", "run", "wait", "replay", "forward"}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Decision is the result of Begin. Outcome and Reason are set with Refuse and Replay; with Replay they are those of the ended
// effect. Effect is set with Run and Wait, Response with Replay.
type Decision struct {
	Action   Action
	Outcome  request.Outcome
	Reason   request.Reason
	Effect   Effect
	Response *Response
}

// Response is the complete response to an effect. It must not be modified after Finish.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// responseOverhead is the size in bytes of a Response without its content.
const responseOverhead = 64

func (r *Response) size() int { return responseOverhead + len(r.ContentType) + len(r.Body) }

// Completion is the result of a dispatched effect. Response is nil if it was too large to buffer.
type Completion struct {
	Outcome  request.Outcome
	Reason   request.Reason
	Response *Response
}

// FinishResult is the result of Finish: the waiting sends and the decision that applies to all of them.
type FinishResult struct {
	Decision Decision
	Waiters  []Waiter
}

func refuse(o request.Outcome, r request.Reason) Decision {
	return Decision{Action: Refuse, Outcome: o, Reason: r}
}
