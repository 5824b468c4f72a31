package session

import "github.com/sapphiretack/sapphiretack/request"

// Waiter identifies a send that waits; the shell chooses it.
type Waiter uint64

// Send is one send of an effect under a ticket.
type Send struct {
	Ticket      Ticket
	Sequence    request.Sequence
	Attempt     uint16 // 1 for the first send of the request; 0 if the caller does not say
	Fingerprint request.Fingerprint
	Waiter      Waiter
	Forwarded   bool // the send arrived through another node and is not forwarded again
}

// NestedSend is one send of a nested effect by the backend server that runs the parent.
type NestedSend struct {
	Parent      Effect
	Position    request.Sequence // of the effect within the parent, from 1
	Attempt     uint16
	Fingerprint request.Fingerprint
	Waiter      Waiter
}

// Verdict is what the shell does with a send.
type Verdict uint8

// The verdicts; the zero value never dispatches.
const (
	Refuse  Verdict = iota // respond with Outcome and Reason
	Run                    // dispatch under Effect, then call Finish
	Wait                   // Finish of the earlier send returns the waiter
	Replay                 // send Response
	Forward                // pass the send to the issuer named in the ticket
)

var verdictNames = [...]string{"refuse", "run", "wait", "replay", "forward"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Decision is the result of Begin. Outcome and Reason hold for Refuse; with Replay, Outcome is how the effect ended.
type Decision struct {
	Verdict  Verdict
	Outcome  request.Outcome
	Reason   request.Reason
	Effect   Effect
	Response *Response
}

// Response is the whole response to an effect. It must not be changed after Finish.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// responseOverhead is the size of a Response without its content.
const responseOverhead = 64

func (r *Response) size() int { return responseOverhead + len(r.ContentType) + len(r.Body) }

// End is how a dispatched effect ended. Response is nil if it was too large to be collected.
type End struct {
	Outcome  request.Outcome
	Reason   request.Reason
	Response *Response
}

// Ended is the result of Finish: the waiting sends and the decision that each of them gets.
type Ended struct {
	Decision Decision
	Waiters  []Waiter
}

func refuse(o request.Outcome, r request.Reason) Decision {
	return Decision{Verdict: Refuse, Outcome: o, Reason: r}
}
