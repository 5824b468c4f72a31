package load

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// reply is what a caller learned from one send.
type reply struct {
	outcome    request.Outcome
	reason     string // as the node states it, or one of the reasons below
	retryAfter time.Duration
	wrong      bool // a whole answer that is not the answer to the request
}

// Reasons that the caller itself finds.
const (
	reasonUnsent = "not_connected" // no connection, so that nothing was sent
	reasonLost   = "answer_lost"   // the connection ended before a whole answer
)

// decision says what a caller does after a send.
type decision struct {
	resend bool
	wait   time.Duration
	move   bool // to another node
}

const (
	// defaultWait is the wait before a resend when the node states none.
	defaultWait = 50 * time.Millisecond
	// maxWait bounds the wait that a caller accepts; a longer one means that the caller gives up.
	maxWait = 5 * time.Second
)

// final are the reasons after which a resend of the same request cannot succeed.
var final = map[string]bool{
	request.Quarantined.String():     true,
	request.NestedEffect.String():    true,
	request.Malformed.String():       true,
	request.CustomerUnknown.String(): true,
}

// decide returns what an honest caller does after the given number of sends. An unknown effect is not sent again, since
// it is never run again; a lost answer is asked for again, under the same ticket and sequence or as the same read.
func decide(r reply, effect bool, sends, maxSends int) decision {
	if sends >= maxSends || r.retryAfter > maxWait {
		return decision{}
	}
	d := decision{resend: true, wait: max(r.retryAfter, defaultWait)}
	switch {
	case r.reason == reasonUnsent, r.reason == reasonLost:
		d.move = true
	case r.reason == request.Draining.String():
		d.move = true
	case r.outcome == request.NotRun && !final[r.reason]:
	case r.outcome == request.Unknown && r.reason == request.InProgress.String():
	case r.outcome == request.Unknown && !effect:
	default:
		return decision{}
	}
	return d
}
