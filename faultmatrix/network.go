package faultmatrix

import (
	"time"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// The delays of the network and the times after which a lost peer is noticed.
const (
	nearDelay   = 300 * time.Microsecond
	farDelay    = time.Millisecond
	jitter      = 400 * time.Microsecond
	callerDelay = time.Millisecond
	// A stream whose messages are lost breaks on both sides after this keepalive timeout.
	keepalive = 400 * time.Millisecond
	// A process that does not read for this time loses its streams.
	frozenKeepalive = time.Second
)

// link is an unordered pair of availability zones.
type link struct{ a, b request.ZoneID }

func linkOf(a, b request.ZoneID) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

func (w *World) delay(from, to *node) time.Duration {
	d := farDelay
	if from.zone == to.zone {
		d = nearDelay
	}
	return w.between(d, d+jitter)
}

func (w *World) isCut(from, to *node) bool { return w.cuts[linkOf(from.zone, to.zone)] }

// deliver sends a message that is not part of a stream; it may be lost and may overtake others.
func (w *World) deliver(from, to *node, f func()) {
	w.after(w.delay(from, to), func() {
		if !w.isCut(from, to) {
			to.receive(f)
		}
	})
}

// receive runs f at the node, or when it is resumed; a process that has ended receives nothing.
func (n *node) receive(f func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

// after runs f at the node when d has passed, unless its process has ended.
func (n *node) after(d time.Duration, f func()) {
	n.world.after(d, func() { n.receive(f) })
}

// stream carries one attempt and its response; its messages arrive in order or not at all.
type stream struct {
	id           request.AttemptID
	source, dest *node
	closed       bool
	// The time before which no further message of a direction arrives, which keeps the order.
	toDest, toSource request.Instant
	parts            map[uint32]part
}

// send delivers a message of the stream to one of its ends.
func (s *stream) send(from, to *node, f func()) {
	w := from.world
	last := &s.toSource
	if to == s.dest {
		last = &s.toDest
	}
	*last = max(*last, w.now.Add(w.delay(from, to)))
	w.after(last.Sub(w.now), func() { s.arrive(from, to, f) })
}

func (s *stream) arrive(from, to *node, f func()) {
	w := from.world
	switch {
	case s.closed:
	case to.dead:
		w.after(nearDelay, s.breakUp)
	case w.isCut(from, to):
		w.after(keepalive, s.breakUp)
	default:
		if to.frozen {
			w.after(frozenKeepalive, func() { s.breakIfFrozen(to) })
		}
		to.receive(func() {
			if !s.closed {
				f()
			}
		})
	}
}

func (s *stream) breakIfFrozen(n *node) {
	if n.frozen {
		s.breakUp()
	}
}

// breakUp ends the stream at both ends.
func (s *stream) breakUp() {
	if s.closed {
		return
	}
	s.closed = true
	s.source.receive(func() { s.source.attemptEvent(s, call.Broken{Attempt: s.id}, nil) })
	s.dest.receive(func() { s.dest.cancelled(s.id) })
}

// close ends the stream at the source; the destination learns of it.
func (s *stream) close() {
	if s.closed {
		return
	}
	s.send(s.source, s.dest, func() {
		s.closed = true
		s.dest.cancelled(s.id)
	})
}
