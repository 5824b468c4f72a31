package faultmatrix

import (
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// One-way network delays, and the times after which a lost peer is detected.
const (
	localDelay     = 300 * time.Microsecond
	crossZoneDelay = time.Millisecond
	maxJitter      = 400 * time.Microsecond
	callerDelay    = time.Millisecond
	// A stream whose messages are lost is closed at both ends after this keepalive timeout.
	keepaliveTimeout = 400 * time.Millisecond
	// A process that does not read its streams for this time loses them.
	frozenKeepaliveTimeout = time.Second
)

// zonePair is an unordered pair of availability zones.
type zonePair struct{ a, b request.ZoneID }

func newZonePair(a, b request.ZoneID) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{a, b}
}

func (sim *Simulation) delay(from, to *node) time.Duration {
	d := crossZoneDelay
	if from.zone == to.zone {
		d = localDelay
	}
	return sim.randomDuration(d, d+maxJitter)
}

func (sim *Simulation) isCut(from, to *node) bool { return sim.cuts[newZonePair(from.zone, to.zone)] }

// deliver sends a message outside of any stream. The message is lost if the zones are partitioned, and
// messages may be reordered.
func (sim *Simulation) deliver(from, to *node, f func()) {
	sim.after(sim.delay(from, to), func() {
		if !sim.isCut(from, to) {
			to.receive(f)
		}
	})
}

// receive runs f at the node, once it is resumed if it is frozen. A process that has ended receives
// nothing.
func (n *node) receive(f func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

// after runs f at the node after d, unless its process has ended.
func (n *node) after(d time.Duration, f func()) {
	n.sim.after(d, func() { n.receive(f) })
}

// stream carries one attempt and its response. Its messages arrive in order or not at all.
type stream struct {
	id           request.AttemptID
	source, dest *node
	closed       bool
	// Arrival time of the last message in each direction. Later messages arrive no earlier, which
	// preserves the order.
	destArrival, sourceArrival request.Instant
	parts                      map[uint32]part
}

// send delivers a message of the stream to one of its ends.
func (s *stream) send(from, to *node, f func()) {
	sim := from.sim
	last := &s.sourceArrival
	if to == s.dest {
		last = &s.destArrival
	}
	*last = max(*last, sim.now.Add(sim.delay(from, to)))
	sim.after(last.Sub(sim.now), func() { s.arrive(from, to, f) })
}

func (s *stream) arrive(from, to *node, f func()) {
	sim := from.sim
	switch {
	case s.closed:
	case to.dead:
		sim.after(localDelay, s.disconnect)
	case sim.isCut(from, to):
		sim.after(keepaliveTimeout, s.disconnect)
	default:
		if to.frozen {
			sim.after(frozenKeepaliveTimeout, func() { s.disconnectIfFrozen(to) })
		}
		to.receive(func() {
			if !s.closed {
				f()
			}
		})
	}
}

func (s *stream) disconnectIfFrozen(n *node) {
	if n.frozen {
		s.disconnect()
	}
}

// disconnect closes the stream at both ends, as after a lost connection.
func (s *stream) disconnect() {
	if s.closed {
		return
	}
	s.closed = true
	s.source.receive(func() { s.source.attemptEvent(s, call.StreamLost{Attempt: s.id}, nil) })
	s.dest.receive(func() { s.dest.cancelAttempt(s.id) })
}

// close closes the stream at the source and cancels the attempt at the destination.
func (s *stream) close() {
	if s.closed {
		return
	}
	s.send(s.source, s.dest, func() {
		s.closed = true
		s.dest.cancelAttempt(s.id)
	})
}
