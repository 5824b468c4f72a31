package request

// Outcome is the final state of a request as reported to its caller.
type Outcome uint8

// The outcomes. Unknown is the zero value, because it does not assert whether the request has run.
const (
	Unknown Outcome = iota
	Answered
	NotRun
	Failed
)

var outcomeNames = [...]string{"unknown", "answered", "not_run", "failed"}

// String returns the name of the outcome as sent to callers.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Reason explains an outcome other than Answered.
type Reason uint8

// The reasons.
const (
	NoReason         Reason = iota
	Overloaded              // the destination refused the request's priority
	EarlyShed               // the first node refused because of a service further downstream
	QueueFull               // evicted from or refused by a full queue
	DeadlineTooShort        // the remaining time is shorter than the queueing delay plus the service time
	DeadlineExceeded        // the deadline passed
	Draining                // the destination is draining
	Quarantined             // the request crashed two backend servers, or crashed one and was lost with a node or a connection
	NoInstance              // no instance of the service is reachable
	RetriesExhausted        // every permitted attempt was refused or failed
	ConnectionLost          // the connection was lost after the attempt may have begun
	BackendCrashed          // the backend server crashed during the attempt
	BackendError            // the backend server responded with an error
	Withdrawn               // the source withdrew the attempt before it began
	CallerGone              // the caller cancelled the request
	TicketUnknown           // the node incarnation that issued the ticket has ended
	SequenceTooOld          // the sequence is below the ticket's window
	ResponseNotKept         // the effect has run, and its response is no longer stored
	InProgress              // the effect is still running from an earlier send
	PlatformDown            // the platform's table service cannot be reached
	KeyClaimed              // another send claimed the idempotency key
	NestedEffect            // a non-idempotent nested call under an idempotent request
	Malformed               // the request does not conform to the callers' interface
	CustomerUnknown         // no such customer is configured
	LimitReached            // a limit on streams, tickets or sizes was reached
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "overloaded", "early_shed", "queue_full", "deadline_too_short", "deadline_exceeded", "draining",
	"quarantined", "no_instance", "retries_exhausted", "connection_lost", "backend_crashed", "backend_error",
	"withdrawn", "caller_gone", "ticket_unknown", "sequence_too_old", "answer_not_kept", "in_progress",
	"platform_down", "key_claimed", "nested_effect", "malformed", "customer_unknown", "limit_reached",
}

var reasonRemedies = [reasonCount]string{
	Overloaded:       "resend after retry_after_ms",
	EarlyShed:        "resend after retry_after_ms; a service further down is overloaded",
	QueueFull:        "resend after retry_after_ms",
	DeadlineTooShort: "resend with a longer timeout or after retry_after_ms",
	DeadlineExceeded: "resend with a longer timeout",
	Draining:         "resend; another instance takes over",
	Quarantined:      "do not resend; the request crashed two backend servers, or one, and was lost with a node or a connection, ask the operator to look at explain",
	NoInstance:       "resend after retry_after_ms; ask the operator whether the service is running",
	RetriesExhausted: "resend after retry_after_ms",
	ConnectionLost:   "look up the effect before sending a new one; it is not run again",
	BackendCrashed:   "look up the effect before sending a new one; it is not run again",
	BackendError:     "read the answer of the backend server",
	Withdrawn:        "resend; the request was withdrawn before it began",
	CallerGone:       "none; the caller cancelled",
	TicketUnknown:    "look up the effect, then open a new session",
	SequenceTooOld:   "look up the effect; use increasing sequences within a window of 64",
	ResponseNotKept:  "look up the effect; it ran and its answer is no longer held",
	InProgress:       "resend the same sequence later to get the answer",
	PlatformDown:     "open a session and send the effect with its ticket",
	KeyClaimed:       "look up the effect; it was sent earlier with the same key",
	NestedEffect:     "declare the calling operation non-idempotent in the template",
	Malformed:        "correct the request; see docs/callers.md",
	CustomerUnknown:  "ask the operator to set the customer",
	LimitReached:     "close streams or sessions, or send less",
}

// String returns the name of the reason as sent to callers.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// Remedy returns advice for the caller in one sentence, or an empty string for NoReason.
func (r Reason) Remedy() string {
	if r < reasonCount {
		return reasonRemedies[r]
	}
	return ""
}

// IsNotServing reports whether an instance that refuses with the reason accepts no calls at all.
func (r Reason) IsNotServing() bool {
	return r == BackendCrashed || r == Draining || r == NoInstance
}
