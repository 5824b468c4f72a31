package session

import (
	"net/netip"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// scope numbers effects: under a ticket, or nested under a call.
type scope struct {
	id       scopeID
	secret   secret // of a ticket
	ticket   bool
	running  uint16
	highest  request.Sequence
	used     uint64    // bit i is set if sequence highest-i was begun and not freed, also when its record is gone
	records  []*record // in order of sequence
	caller   netip.Addr
	lastUsed request.Instant

	prev, next *scope // by lastUsed; tickets only
}

type recordState uint8

const (
	running recordState = iota
	ended
	freed // the last send ended not_run
)

// record is what is held about one effect.
type record struct {
	scope       *scope
	sequence    request.Sequence
	fingerprint request.Fingerprint
	attempt     uint16 // highest attempt seen
	state       recordState
	outcome     request.Outcome
	reason      request.Reason
	response    *Response
	waiters     []Waiter
	endedAt     request.Instant

	prev, next *record // by endedAt
}

// position returns where the sequence is or would be in the records.
func (sc *scope) position(q request.Sequence) (int, bool) {
	i := len(sc.records)
	if q > sc.highest {
		return i, false
	}
	for i > 0 && sc.records[i-1].sequence >= q {
		i--
	}
	return i, i < len(sc.records) && sc.records[i].sequence == q
}

func (sc *scope) find(q request.Sequence) *record {
	if i, found := sc.position(q); found {
		return sc.records[i]
	}
	return nil
}

func (sc *scope) insert(r *record) {
	i, _ := sc.position(r.sequence)
	sc.records = slices.Insert(sc.records, i, r)
}

func (sc *scope) remove(r *record) {
	if i := slices.Index(sc.records, r); i >= 0 { // compares pointers, where position would load each record
		sc.records = slices.Delete(sc.records, i, i+1)
	}
}

// below reports whether the sequence is below the window.
func (sc *scope) below(q request.Sequence) bool { return q <= sc.highest && sc.highest-q >= Window }

// begun reports whether a sequence within the window was begun and not freed.
func (sc *scope) begun(q request.Sequence) bool {
	return q <= sc.highest && sc.used&(1<<(sc.highest-q)) != 0
}

// mark notes that the sequence is begun and moves the window up to it.
func (sc *scope) mark(q request.Sequence) {
	if q > sc.highest {
		sc.used <<= min(q-sc.highest, Window) // a shift by 64 gives 0
		sc.highest = q
	}
	sc.used |= 1 << (sc.highest - q)
}

// free notes that the sequence may be begun again.
func (sc *scope) free(q request.Sequence) {
	if q <= sc.highest && !sc.below(q) {
		sc.used &^= 1 << (sc.highest - q)
	}
}

// decide returns what a send of the recorded effect gets.
func (r *record) decide() Decision {
	switch {
	case r.outcome == request.Unknown:
		return refuse(request.Unknown, r.reason)
	case r.response == nil:
		return refuse(request.Unknown, request.AnswerNotKept)
	}
	return Decision{Verdict: Replay, Outcome: r.outcome, Reason: r.reason, Response: r.response}
}

// ticketList orders tickets by their last use.
type ticketList struct{ first, last *scope }

func (l *ticketList) push(sc *scope) {
	sc.prev, sc.next = l.last, nil
	if l.last == nil {
		l.first = sc
	} else {
		l.last.next = sc
	}
	l.last = sc
}

func (l *ticketList) remove(sc *scope) {
	if sc.prev == nil {
		l.first = sc.next
	} else {
		sc.prev.next = sc.next
	}
	if sc.next == nil {
		l.last = sc.prev
	} else {
		sc.next.prev = sc.prev
	}
	sc.prev, sc.next = nil, nil
}

// recordList orders records by their end. No record before kept holds a response, so the oldest response is found at once.
type recordList struct{ first, last, kept *record }

func (l *recordList) push(r *record) {
	r.prev, r.next = l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	if l.kept == nil {
		l.kept = r
	}
}

func (l *recordList) remove(r *record) {
	if l.kept == r {
		l.kept = r.next
	}
	if r.prev == nil {
		l.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
