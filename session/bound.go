package session

import "github.com/sapphiretack/sapphiretack/request"

// issued reports whether this incarnation issued the ticket.
func (s *Sessions) issued(t *Ticket) bool {
	return t.Instance == s.settings.Instance && t.Incarnation == s.settings.Incarnation
}

// elsewhere decides about a send under a ticket of another incarnation; only that incarnation may dispatch it.
func (s *Sessions) elsewhere(d *Send) Decision {
	if d.Forwarded || d.Ticket.Instance == s.settings.Instance {
		return refuse(request.Unknown, request.TicketUnknown)
	}
	return Decision{Verdict: Forward}
}

// expired drops a ticket that was idle for too long. The check is made with each send, because a process that was paused
// handles sends before its next Tick.
func (s *Sessions) expired(now request.Instant, sc *scope) bool {
	if sc.running > 0 || now.Sub(sc.lastUsed) < s.settings.IdleExpiry {
		return false
	}
	s.drop(sc)
	return true
}

func (s *Sessions) expireTickets(now request.Instant) {
	for range maxExpiredPerTick {
		sc := s.tickets.first
		if sc == nil || now.Sub(sc.lastUsed) < s.settings.IdleExpiry {
			return
		}
		if !s.expired(now, sc) {
			s.touch(now, sc)
		}
	}
}

// touch notes the use of a scope.
func (s *Sessions) touch(now request.Instant, sc *scope) {
	sc.lastUsed = now
	if sc.ticket {
		s.tickets.remove(sc)
		s.tickets.push(sc)
	}
}

// drop removes a scope with its records.
func (s *Sessions) drop(sc *scope) {
	for len(sc.records) > 0 {
		s.forget(sc.records[len(sc.records)-1])
	}
	delete(s.scopes, sc.id)
	if !sc.ticket {
		return
	}
	delete(s.secrets, sc.secret)
	s.tickets.remove(sc)
	s.open--
	if s.callers[sc.caller]--; s.callers[sc.caller] == 0 {
		delete(s.callers, sc.caller)
	}
}

// forget drops a record. The bit in its scope stays, so that the effect is not run again.
func (s *Sessions) forget(r *record) {
	s.discard(r)
	if r.state != running {
		s.ended.remove(r)
	}
	r.scope.remove(r)
	s.records--
	*r = record{next: s.unused}
	s.unused = r
}

// newRecord returns an empty record, one that was dropped if there is one.
func (s *Sessions) newRecord() *record {
	r := s.unused
	if r == nil {
		return &record{}
	}
	s.unused = r.next
	r.next = nil
	return r
}

// trim drops the ended records that the window leaves behind when it moves up to the sequence.
func (s *Sessions) trim(sc *scope, highest request.Sequence) {
	for i := 0; i < len(sc.records); {
		r := sc.records[i]
		if r.sequence > highest || highest-r.sequence < Window {
			return
		}
		if r.state == running {
			i++
			continue
		}
		s.forget(r)
	}
}

// makeRoom drops the oldest ended record if the bound on records is reached; it reports false if all are running.
func (s *Sessions) makeRoom() bool {
	if s.records < s.settings.Records {
		return true
	}
	if s.ended.first == nil {
		return false
	}
	s.forget(s.ended.first)
	return true
}

// keep counts the response of a record that has just ended, or drops it if it is too large. The oldest ones make room.
func (s *Sessions) keep(r *record) {
	if r.response == nil {
		return
	}
	size := r.response.size()
	if size > s.settings.ResponseBytes || size > s.settings.KeptBytes {
		r.response = nil
		return
	}
	s.kept += size
	for s.kept > s.settings.KeptBytes {
		oldest := s.ended.kept
		s.discard(oldest)
		s.ended.kept = oldest.next
	}
}

// discard drops the response of a record.
func (s *Sessions) discard(r *record) {
	if r.response != nil {
		s.kept -= r.response.size()
		r.response = nil
	}
}
