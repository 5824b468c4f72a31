package session

import (
	"net/netip"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// scope is a sequence space for effects: those of a ticket, or those nested under a call.
type scope struct {
	id           scopeID
	secret       secret // tickets only
	isTicket     bool   // whether the scope is a ticket's
	runningCount uint16 // effects that run
	highest      request.Sequence
	begunBits    uint64    // bit i is set if sequence highest-i was begun and not freed, even after its record was evicted
	records      []*record // sorted by sequence
	caller       netip.Addr
	lastUsed     request.Instant

	prev, next *scope // in order of lastUsed; tickets only
}

type recordState uint8

const (
	recordRunning recordState = iota
	recordEnded
	recordFreed // the last run ended not_run; the sequence may be begun again
)

// record is the state of one effect.
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

	prev, next *record // in order of endedAt
}

// search returns the index of the sequence in the records, or where to insert it, and whether it was found.
func (sc *scope) search(q request.Sequence) (int, bool) {
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
	if i, found := sc.search(q); found {
		return sc.records[i]
	}
	return nil
}

func (sc *scope) insert(r *record) {
	i, _ := sc.search(r.sequence)
	sc.records = slices.Insert(sc.records, i, r)
}

func (sc *scope) remove(r *record) {
	if i := slices.Index(sc.records, r); i >= 0 { // compares pointers only, whereas search reads each record
		sc.records = slices.Delete(sc.records, i, i+1)
	}
}

// belowWindow reports whether the sequence is below the window.
func (sc *scope) belowWindow(q request.Sequence) bool {
	return q <= sc.highest && sc.highest-q >= Window
}

// isBegun reports whether a sequence within the window was begun and not freed.
func (sc *scope) isBegun(q request.Sequence) bool {
	return q <= sc.highest && sc.begunBits&(1<<(sc.highest-q)) != 0
}

// markBegun records that the sequence was begun and advances the window to it if it is the highest.
func (sc *scope) markBegun(q request.Sequence) {
	if q > sc.highest {
		sc.begunBits <<= min(q-sc.highest, Window) // a shift by 64 gives 0
		sc.highest = q
	}
	sc.begunBits |= 1 << (sc.highest - q)
}

// markFreed allows the sequence to be begun again.
func (sc *scope) markFreed(q request.Sequence) {
	if q <= sc.highest && !sc.belowWindow(q) {
		sc.begunBits &^= 1 << (sc.highest - q)
	}
}

// decision returns the decision for a send of an effect that has ended.
func (r *record) decision() Decision {
	switch {
	case r.outcome == request.Unknown:
		return refuse(request.Unknown, r.reason)
	case r.response == nil:
		return refuse(request.Unknown, request.ResponseNotKept)
	}
	return Decision{Action: Replay, Outcome: r.outcome, Reason: r.reason, Response: r.response}
}

// ticketList is a linked list of tickets, the least recently used first.
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

// recordList is a linked list of ended records, the oldest first. No record before oldestKept has a response, so that the
// oldest response is found in constant time.
type recordList struct{ first, last, oldestKept *record }

func (l *recordList) push(r *record) {
	r.prev, r.next = l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	if l.oldestKept == nil {
		l.oldestKept = r
	}
}

func (l *recordList) remove(r *record) {
	if l.oldestKept == r {
		l.oldestKept = r.next
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
