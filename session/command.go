package session

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"

	"github.com/sapphiretack/sapphiretack/request"
)

// maxExpiredPerTick limits the work of one Tick, and thereby how long the driver holds its lock.
const maxExpiredPerTick = 1000

// Sessions holds the tickets that this incarnation issued and the records of their effects. It is not safe for concurrent
// use.
type Sessions struct {
	settings     Settings
	random       *rand.Rand
	scopes       map[scopeID]*scope
	secrets      map[secret]*scope  // ticket scopes by secret, so that Begin need not hash the secret
	callers      map[netip.Addr]int // open tickets per caller address
	tickets      ticketList
	endedRecords recordList
	freeRecords  *record // free list linked by next; never longer than the peak number of records
	openTickets  int
	recordCount  int
	keptBytes    int // size of all kept responses
}

// New returns Sessions without tickets. The ticket secrets come from random, whose source must be seeded from crypto/rand in
// production.
func New(s Settings, random *rand.Rand) *Sessions {
	return &Sessions{
		settings: s.withDefaults(),
		random:   random,
		scopes:   map[scopeID]*scope{},
		secrets:  map[secret]*scope{},
		callers:  map[netip.Addr]int{},
	}
}

// Open issues a ticket to a caller. The error is of class LimitReached when the caller or this node has too many open tickets.
func (s *Sessions) Open(now request.Instant, caller netip.Addr) (Ticket, error) {
	s.expireTickets(now)
	if n := s.callers[caller]; n >= s.settings.MaxTicketsPerCaller {
		return Ticket{}, LimitReached.New("%v has %d open tickets; close some or wait %v after their last use", caller, n, s.settings.IdleExpiry)
	}
	if s.openTickets >= s.settings.MaxTickets {
		return Ticket{}, LimitReached.New("%d tickets are open here; open the session at another node", s.openTickets)
	}
	t := Ticket{Instance: s.settings.Instance, Incarnation: s.settings.Incarnation}
	binary.BigEndian.PutUint64(t.Secret[:8], s.random.Uint64())
	binary.BigEndian.PutUint64(t.Secret[8:], s.random.Uint64())
	sc := &scope{id: t.scopeID(), secret: t.Secret, isTicket: true, caller: caller, lastUsed: now}
	s.scopes[sc.id] = sc
	s.secrets[sc.secret] = sc
	s.tickets.push(sc)
	s.callers[caller]++
	s.openTickets++
	return t, nil
}

// Close ends a ticket. While effects run under the ticket it returns false and leaves the ticket open.
func (s *Sessions) Close(t Ticket) bool {
	sc := s.secrets[t.Secret]
	if sc == nil || !s.issued(&t) {
		return true
	}
	if sc.runningCount > 0 {
		return false
	}
	s.removeScope(sc)
	return true
}

// Begin registers one send of an effect and decides how to handle it.
func (s *Sessions) Begin(now request.Instant, d Send) Decision {
	if !s.issued(&d.Ticket) {
		return s.forwardOrRefuse(&d)
	}
	sc := s.secrets[d.Ticket.Secret]
	if sc == nil || s.removeIfIdle(now, sc) {
		return refuse(request.Unknown, request.TicketUnknown)
	}
	s.touch(now, sc)
	return s.begin(sc, send{d.Sequence, d.Attempt, d.Fingerprint, d.Waiter})
}

// OpenCall opens the scope of nested effects under a call that is dispatched here; CloseCall must follow.
func (s *Sessions) OpenCall(parent Effect) {
	id := parent.nestedScopeID()
	if s.scopes[id] == nil {
		s.scopes[id] = &scope{id: id}
	}
}

// BeginNested registers one send of a nested effect and decides how to handle it. After CloseCall it refuses all sends under
// the parent.
func (s *Sessions) BeginNested(d NestedSend) Decision {
	sc := s.scopes[d.Parent.nestedScopeID()]
	if sc == nil {
		return refuse(request.Unknown, request.CallerGone)
	}
	return s.begin(sc, send{d.Position, d.Attempt, d.Fingerprint, d.Waiter})
}

// CloseCall removes the nested records of a call and returns the sends that still wait under it; their outcome is unknown.
func (s *Sessions) CloseCall(parent Effect) []Waiter {
	sc := s.scopes[parent.nestedScopeID()]
	if sc == nil {
		return nil
	}
	var waiters []Waiter
	for _, r := range sc.records {
		waiters = append(waiters, r.waiters...)
	}
	s.removeScope(sc)
	return waiters
}

// send holds the parameters that Send and NestedSend have in common.
type send struct {
	sequence    request.Sequence
	attempt     uint16
	fingerprint request.Fingerprint
	waiter      Waiter
}

// begin decides about a send within a scope and creates a record for a new effect.
func (s *Sessions) begin(sc *scope, d send) Decision {
	if d.sequence == 0 {
		return refuse(request.NotRun, request.Malformed)
	}
	if r := sc.find(d.sequence); r != nil {
		return s.beginResend(sc, r, d)
	}
	switch {
	case sc.belowWindow(d.sequence):
		return refuse(request.Unknown, request.SequenceTooOld)
	case sc.isBegun(d.sequence):
		return refuse(request.Unknown, request.ResponseNotKept)
	case sc.runningCount >= Window || !s.makeRoom():
		return refuse(request.NotRun, request.LimitReached)
	}
	r := s.newRecord()
	r.scope, r.sequence = sc, d.sequence
	s.recordCount++
	sc.insert(r)
	s.trimRecords(sc, d.sequence)
	return start(sc, r, d)
}

// beginResend decides about a resend: a send of an effect that has a record.
func (s *Sessions) beginResend(sc *scope, r *record, d send) Decision {
	same := r.fingerprint == d.fingerprint
	switch r.state {
	case recordRunning:
		if !same {
			return refuse(request.NotRun, request.Malformed)
		}
		if len(r.waiters) >= s.settings.MaxWaiters {
			return refuse(request.Unknown, request.InProgress)
		}
		r.attempt = max(r.attempt, d.attempt)
		r.waiters = append(r.waiters, d.waiter)
		return Decision{Action: Wait, Effect: Effect{sc.id, r.sequence}}
	case recordEnded:
		if !same {
			return refuse(request.NotRun, request.Malformed)
		}
		return r.decision()
	}
	// The caller was told not_run for all attempts up to r.attempt, so a delayed duplicate of one of them must not run.
	if same && d.attempt != 0 && d.attempt <= r.attempt {
		return refuse(request.NotRun, request.Withdrawn)
	}
	if sc.belowWindow(r.sequence) {
		return refuse(request.Unknown, request.SequenceTooOld)
	}
	if sc.runningCount >= Window {
		return refuse(request.NotRun, request.LimitReached)
	}
	s.endedRecords.remove(r)
	return start(sc, r, d)
}

// start marks the record as running and the sequence as begun.
func start(sc *scope, r *record, d send) Decision {
	r.state = recordRunning
	if r.fingerprint != d.fingerprint {
		r.attempt = 0
	}
	r.fingerprint = d.fingerprint
	r.attempt = max(r.attempt, d.attempt)
	sc.runningCount++
	sc.markBegun(r.sequence)
	return Decision{Action: Run, Effect: Effect{sc.id, r.sequence}}
}

// Finish ends a dispatched effect. An outcome of not_run, which must be certain, frees the sequence for another attempt.
func (s *Sessions) Finish(now request.Instant, e Effect, end Completion) FinishResult {
	sc := s.scopes[e.Scope]
	if sc == nil {
		return FinishResult{}
	}
	r := sc.find(e.Sequence)
	if r == nil || r.state != recordRunning {
		return FinishResult{}
	}
	waiters := r.waiters
	r.waiters = nil
	r.endedAt = now
	r.outcome, r.reason = end.Outcome, end.Reason
	sc.runningCount--
	s.touch(now, sc)
	s.endedRecords.push(r)
	if end.Outcome == request.NotRun {
		r.state = recordFreed
		sc.markFreed(r.sequence)
		return FinishResult{Decision: refuse(request.NotRun, end.Reason), Waiters: waiters}
	}
	r.state = recordEnded
	if end.Outcome != request.Unknown {
		r.response = end.Response
	}
	decision := r.decision()
	s.keepResponse(r)
	if sc.belowWindow(r.sequence) {
		s.removeRecord(r)
	}
	return FinishResult{Decision: decision, Waiters: waiters}
}

// RemoveWaiter removes a waiter whose caller disconnected or whose deadline passed.
func (s *Sessions) RemoveWaiter(e Effect, w Waiter) {
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

// Tick removes idle tickets and expired records, a limited number of each.
func (s *Sessions) Tick(now request.Instant) {
	s.expireTickets(now)
	for range maxExpiredPerTick {
		r := s.endedRecords.first
		if r == nil || now.Sub(r.endedAt) < s.settings.RecordAge {
			return
		}
		s.removeRecord(r)
	}
}
