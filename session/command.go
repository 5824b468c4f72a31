package session

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"

	"github.com/sapphiretack/sapphiretack/request"
)

// maxExpiredPerTick bounds the work of one Tick, and so how long the shell holds its lock.
const maxExpiredPerTick = 1000

// Sessions holds the tickets that this incarnation issued and the records of their effects. It is not safe for concurrent use.
type Sessions struct {
	settings Settings
	random   *rand.Rand
	scopes   map[scopeID]*scope
	secrets  map[secret]*scope  // tickets by secret, which saves Begin the hash of the scope
	callers  map[netip.Addr]int // open tickets per caller address
	tickets  ticketList
	ended    recordList
	unused   *record // dropped records, linked by next; never more than were held at once
	open     int
	records  int
	kept     int // bytes
}

// New returns Sessions without tickets. The secrets come from random, so its source must be seeded from crypto/rand in production.
func New(s Settings, random *rand.Rand) *Sessions {
	return &Sessions{
		settings: s.withDefaults(),
		random:   random,
		scopes:   map[scopeID]*scope{},
		secrets:  map[secret]*scope{},
		callers:  map[netip.Addr]int{},
	}
}

// Open issues a ticket to a caller; the error is of class Limit.
func (s *Sessions) Open(now request.Instant, caller netip.Addr) (Ticket, error) {
	s.expireTickets(now)
	if n := s.callers[caller]; n >= s.settings.TicketsPerCaller {
		return Ticket{}, Limit.New("%v has %d open tickets; close some or wait %v after their last use", caller, n, s.settings.IdleExpiry)
	}
	if s.open >= s.settings.Tickets {
		return Ticket{}, Limit.New("%d tickets are open here; open the session at another node", s.open)
	}
	t := Ticket{Instance: s.settings.Instance, Incarnation: s.settings.Incarnation}
	binary.BigEndian.PutUint64(t.Secret[:8], s.random.Uint64())
	binary.BigEndian.PutUint64(t.Secret[8:], s.random.Uint64())
	sc := &scope{id: t.scope(), secret: t.Secret, ticket: true, caller: caller, lastUsed: now}
	s.scopes[sc.id] = sc
	s.secrets[sc.secret] = sc
	s.tickets.push(sc)
	s.callers[caller]++
	s.open++
	return t, nil
}

// Close ends a ticket; it reports false, and leaves the ticket, while effects run under it.
func (s *Sessions) Close(t Ticket) bool {
	sc := s.secrets[t.Secret]
	if sc == nil || !s.issued(&t) {
		return true
	}
	if sc.running > 0 {
		return false
	}
	s.drop(sc)
	return true
}

// Begin decides about one send of an effect.
func (s *Sessions) Begin(now request.Instant, d Send) Decision {
	if !s.issued(&d.Ticket) {
		return s.elsewhere(&d)
	}
	sc := s.secrets[d.Ticket.Secret]
	if sc == nil || s.expired(now, sc) {
		return refuse(request.Unknown, request.TicketUnknown)
	}
	s.touch(now, sc)
	return s.begin(sc, send{d.Sequence, d.Attempt, d.Fingerprint, d.Waiter})
}

// OpenCall begins the numbering of nested effects under a call that is dispatched here; EndCall must follow.
func (s *Sessions) OpenCall(parent Effect) {
	id := parent.nested()
	if s.scopes[id] == nil {
		s.scopes[id] = &scope{id: id}
	}
}

// BeginNested decides about one send of a nested effect. After EndCall nothing is run under the parent any more.
func (s *Sessions) BeginNested(d NestedSend) Decision {
	sc := s.scopes[d.Parent.nested()]
	if sc == nil {
		return refuse(request.Unknown, request.CallerGone)
	}
	return s.begin(sc, send{d.Position, d.Attempt, d.Fingerprint, d.Waiter})
}

// EndCall drops the nested records of a call and returns the sends that still wait under it; they get unknown.
func (s *Sessions) EndCall(parent Effect) []Waiter {
	sc := s.scopes[parent.nested()]
	if sc == nil {
		return nil
	}
	var waiters []Waiter
	for _, r := range sc.records {
		waiters = append(waiters, r.waiters...)
	}
	s.drop(sc)
	return waiters
}

// send is what Send and NestedSend have in common.
type send struct {
	sequence    request.Sequence
	attempt     uint16
	fingerprint request.Fingerprint
	waiter      Waiter
}

func (s *Sessions) begin(sc *scope, d send) Decision {
	if d.sequence == 0 {
		return refuse(request.NotRun, request.Malformed)
	}
	if r := sc.find(d.sequence); r != nil {
		return s.again(sc, r, d)
	}
	switch {
	case sc.below(d.sequence):
		return refuse(request.Unknown, request.SequenceTooOld)
	case sc.begun(d.sequence):
		return refuse(request.Unknown, request.AnswerNotKept)
	case sc.running >= Window || !s.makeRoom():
		return refuse(request.NotRun, request.LimitReached)
	}
	r := s.newRecord()
	r.scope, r.sequence = sc, d.sequence
	s.records++
	sc.insert(r)
	s.trim(sc, d.sequence)
	return start(sc, r, d)
}

// again decides about a send of an effect that has a record.
func (s *Sessions) again(sc *scope, r *record, d send) Decision {
	same := r.fingerprint == d.fingerprint
	switch r.state {
	case running:
		if !same {
			return refuse(request.NotRun, request.Malformed)
		}
		if len(r.waiters) >= s.settings.Waiters {
			return refuse(request.Unknown, request.InProgress)
		}
		r.attempt = max(r.attempt, d.attempt)
		r.waiters = append(r.waiters, d.waiter)
		return Decision{Verdict: Wait, Effect: Effect{sc.id, r.sequence}}
	case ended:
		if !same {
			return refuse(request.NotRun, request.Malformed)
		}
		return r.decide()
	}
	// The caller was told not_run for all attempts up to r.attempt. A copy of one of them that arrives late is not run.
	if same && d.attempt != 0 && d.attempt <= r.attempt {
		return refuse(request.NotRun, request.Withdrawn)
	}
	if sc.below(r.sequence) {
		return refuse(request.Unknown, request.SequenceTooOld)
	}
	if sc.running >= Window {
		return refuse(request.NotRun, request.LimitReached)
	}
	s.ended.remove(r)
	return start(sc, r, d)
}

// start marks the record as running.
func start(sc *scope, r *record, d send) Decision {
	r.state = running
	if r.fingerprint != d.fingerprint {
		r.attempt = 0
	}
	r.fingerprint = d.fingerprint
	r.attempt = max(r.attempt, d.attempt)
	sc.running++
	sc.mark(r.sequence)
	return Decision{Verdict: Run, Effect: Effect{sc.id, r.sequence}}
}

// Finish ends a dispatched effect. With outcome not_run, which must be proven, the sequence is freed.
func (s *Sessions) Finish(now request.Instant, e Effect, end End) Ended {
	sc := s.scopes[e.Scope]
	if sc == nil {
		return Ended{}
	}
	r := sc.find(e.Sequence)
	if r == nil || r.state != running {
		return Ended{}
	}
	waiters := r.waiters
	r.waiters = nil
	r.endedAt = now
	r.outcome, r.reason = end.Outcome, end.Reason
	sc.running--
	s.touch(now, sc)
	s.ended.push(r)
	if end.Outcome == request.NotRun {
		r.state = freed
		sc.free(r.sequence)
		return Ended{Decision: refuse(request.NotRun, end.Reason), Waiters: waiters}
	}
	r.state = ended
	if end.Outcome != request.Unknown {
		r.response = end.Response
	}
	decision := r.decide()
	s.keep(r)
	if sc.below(r.sequence) {
		s.forget(r)
	}
	return Ended{Decision: decision, Waiters: waiters}
}

// Leave removes a waiter whose caller is gone or whose deadline passed.
func (s *Sessions) Leave(e Effect, w Waiter) {
	sc := s.scopes[e.Scope]
	if sc == nil {
		return
	}
	r := sc.find(e.Sequence)
	if r == nil {
		return
	}
	for i, other := range r.waiters {
		if other == w {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// Tick drops idle tickets and old records.
func (s *Sessions) Tick(now request.Instant) {
	s.expireTickets(now)
	for range maxExpiredPerTick {
		r := s.ended.first
		if r == nil || now.Sub(r.endedAt) < s.settings.RecordAge {
			return
		}
		s.forget(r)
	}
}
