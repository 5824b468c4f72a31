package quarantine

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// End tells how an attempt at a backend server ended.
type End uint8

// The ends of an attempt.
const (
	// Responded means that the backend server sent a whole response, whatever the status.
	Responded End = iota
	// Disconnected means that the connection ended before a response.
	Disconnected
	// Truncated means that the connection ended within the response.
	Truncated
	// TimedOut means that there was no whole response in time.
	TimedOut
	// GivenUp means that the caller gave up while the backend server may have been running the attempt.
	GivenUp
	// Abandoned means that the attempt was not sent or did not run.
	Abandoned
)

const (
	// lossWindow is how long an attempt without a whole response is remembered. All connections of a process that crashes end together, but
	// the node can learn of the crash only seconds later, from the first report of the next incarnation.
	lossWindow = 10 * time.Second
	// maxLost bounds the attempts that are remembered.
	maxLost = 512
)

// runningAttempt is an attempt that the backend server may be running.
type runningAttempt struct {
	fingerprint request.Fingerprint
	began       request.Instant
}

// lostAttempt is an attempt that ended without a whole response.
type lostAttempt struct {
	fingerprint request.Fingerprint
	at          request.Instant
	end         End
}

// Detector tells a crash of one backend server from lost connections, and which requests were in flight; it is not safe for
// concurrent use.
//
// A connection that ends without a response does not prove a crash. The driver then tries to connect to the backend server: if nothing
// accepts connections there, the process has ended. If the backend server goes silent instead, only the first report of its next
// incarnation proves the crash. Truncated responses are not checked, because a faulty backend server may send many of them: a later attempt
// that is refused a connection, or the next incarnation, proves the crash, and a response to a later attempt disproves it. The same holds
// for attempts whose caller gave up; a connection disproves nothing of them, since a silent backend server may still accept some.
type Detector struct {
	running map[uint64]runningAttempt
	lost    []lostAttempt
}

// NewDetector returns a Detector without attempts.
func NewDetector() *Detector { return &Detector{running: map[uint64]runningAttempt{}} }

// Begin records that an attempt, identified by its number, is sent to the backend server.
func (d *Detector) Begin(now request.Instant, number uint64, f request.Fingerprint) {
	d.running[number] = runningAttempt{f, now}
}

// End records the end of an attempt and reports whether the driver has to check that the backend server accepts connections.
func (d *Detector) End(now request.Instant, number uint64, end End) (needsCheck bool) {
	attempt, ok := d.running[number]
	if !ok {
		return false
	}
	delete(d.running, number)
	switch end {
	case Responded:
		d.forget(attempt.began, Disconnected, Truncated, GivenUp)
		return false
	case Abandoned:
		return false
	}
	d.forgetOld(now)
	if len(d.lost) >= maxLost {
		d.lost = slices.Delete(d.lost, 0, 1)
	}
	d.lost = append(d.lost, lostAttempt{attempt.fingerprint, now, end})
	return end == Disconnected
}

// Alive records that a backend server that was checked at the given time accepted a connection, so that the attempts
// disconnected before did not crash it.
func (d *Detector) Alive(checked request.Instant) { d.forget(checked, Disconnected, Truncated) }

// forget forgets the attempts that had one of the given ends by the given time, at which the backend server was alive.
func (d *Detector) forget(alive request.Instant, ends ...End) {
	d.lost = slices.DeleteFunc(d.lost, func(l lostAttempt) bool { return slices.Contains(ends, l.end) && l.at <= alive })
}

// Crashed records a crash and returns the fingerprints of the requests that it may be due to: of the attempts in flight and
// of those that have lately ended without a whole response.
func (d *Detector) Crashed(now request.Instant) []request.Fingerprint {
	d.forgetOld(now)
	var out []request.Fingerprint
	for _, l := range d.lost {
		out = append(out, l.fingerprint)
	}
	for _, attempt := range d.running {
		out = append(out, attempt.fingerprint)
	}
	slices.Sort(out)
	d.Reset()
	return slices.Compact(out)
}

// Reset forgets all attempts, because their backend server was stopped as planned.
func (d *Detector) Reset() {
	clear(d.running)
	d.lost = nil
}

func (d *Detector) forgetOld(now request.Instant) {
	d.lost = slices.DeleteFunc(d.lost, func(l lostAttempt) bool { return now.Sub(l.at) > lossWindow })
}
