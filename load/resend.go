package load

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// reply is the result of one send.
type reply struct {
	outcome    request.Outcome
	reason     string // stated by the node, or one of the reasons below
	retryAfter time.Duration
	isWrong    bool // the outcome is answered, but the response is incomplete or not the one to the request
}

// Reasons that the caller determines itself.
const (
	reasonUnsent = "not_connected" // no connection, so the request was not sent
	reasonLost   = "answer_lost"   // the connection ended before a complete response
)

// decision is what a caller does after a send.
type decision struct {
	resend     bool
	wait       time.Duration
	nextTarget bool // use the next target
}

const (
	// minWait is the minimum wait before a resend, also when the node states none.
	minWait = 50 * time.Millisecond
	// maxWait is the longest wait that a caller accepts; if the node asks for a longer one, the caller gives up.
	maxWait = 5 * time.Second
)

// permanentReasons contains the reasons after which a resend of the same request cannot succeed.
var permanentReasons = map[string]bool{
	request.Quarantined.String():     true,
	request.NestedEffect.String():    true,
	request.Malformed.String():       true,
	request.CustomerUnknown.String(): true,
}

// decideResend returns what a caller that follows the protocol does after the given number of sends. An effect whose outcome is
// unknown is not resent unless it is still running, since nodes never run it again. After a lost response the request is resent,
// an effect with the same ticket and sequence.
func decideResend(r reply, isEffect bool, sends, maxSends int) decision {
	if sends >= maxSends || r.retryAfter > maxWait {
		return decision{}
	}
	d := decision{resend: true, wait: max(r.retryAfter, minWait)}
	switch {
	case r.reason == reasonUnsent, r.reason == reasonLost:
		d.nextTarget = true
	case r.reason == request.Draining.String():
		d.nextTarget = true
	case r.outcome == request.NotRun && !permanentReasons[r.reason]:
	case r.outcome == request.Unknown && r.reason == request.InProgress.String():
	case r.outcome == request.Unknown && !isEffect:
	default:
		return decision{}
	}
	return d
}
