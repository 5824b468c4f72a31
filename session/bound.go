package session

import "github.com/sapphiretack/sapphiretack/request"

// issued reports whether this incarnation issued the ticket.
func (s *Sessions) issued(t *Ticket) bool {
	return t.Instance == s.settings.Instance && t.Incarnation == s.settings.Incarnation
}

// forwardOrRefuse handles a send whose ticket another incarnation issued; only that incarnation may dispatch it.
func (s *Sessions) forwardOrRefuse(d *Send) Decision {
	if d.Forwarded || d.Ticket.Instance == s.settings.Instance {
		return refuse(request.Unknown, request.TicketUnknown)
	}
	return Decision{Action: Forward}
}

// removeIfIdle removes the scope if it has no running effect and was idle for IdleExpiry; it reports whether it did. Each
// send makes the check, because a process that was paused may handle sends before its next Tick.
func (s *Sessions) removeIfIdle(now request.Instant, sc *scope) bool {
	if sc.runningCount > 0 || now.Sub(sc.lastUsed) < s.settings.IdleExpiry {
		return false
	}
	s.removeScope(sc)
	return true
}

func (s *Sessions) expireTickets(now request.Instant) {
	for range maxExpiredPerTick {
		sc := s.tickets.first
		if sc == nil || now.Sub(sc.lastUsed) < s.settings.IdleExpiry {
			return
		}
		if !s.removeIfIdle(now, sc) {
			s.touch(now, sc)
		}
	}
}

// touch records the use of a scope and moves its ticket to the end of the expiry order.
func (s *Sessions) touch(now request.Instant, sc *scope) {
	sc.lastUsed = now
	if sc.isTicket {
		s.tickets.remove(sc)
		s.tickets.push(sc)
	}
}

// removeScope removes a scope and its records.
func (s *Sessions) removeScope(sc *scope) {
	for len(sc.records) > 0 {
		s.removeRecord(sc.records[len(sc.records)-1])
	}
	delete(s.scopes, sc.id)
	if !sc.isTicket {
		return
	}
	delete(s.secrets, sc.secret)
	s.tickets.remove(sc)
	s.openTickets--
	if s.callers[sc.caller]--; s.callers[sc.caller] == 0 {
		delete(s.callers, sc.caller)
	}
}

// removeRecord removes a record. Its bit in scope.begunBits stays set, so that the effect is not run again.
func (s *Sessions) removeRecord(r *record) {
	s.dropResponse(r)
	if r.state != recordRunning {
		s.endedRecords.remove(r)
	}
	r.scope.remove(r)
	s.recordCount--
	*r = record{next: s.freeRecords}
	s.freeRecords = r
}

// newRecord returns an empty record, from the free list if possible.
func (s *Sessions) newRecord() *record {
	r := s.freeRecords
	if r == nil {
		return &record{}
	}
	s.freeRecords = r.next
	r.next = nil
	return r
}

// trimRecords removes the ended records that fall below the window when its highest sequence becomes highest.
func (s *Sessions) trimRecords(sc *scope, highest request.Sequence) {
	for i := 0; i < len(sc.records); {
		r := sc.records[i]
		if r.sequence > highest || highest-r.sequence < Window {
			return
		}
		if r.state == recordRunning {
			i++
			continue
		}
		s.removeRecord(r)
	}
}

// makeRoom evicts the oldest ended record if the limit on records is reached; it reports false if all are running.
func (s *Sessions) makeRoom() bool {
	if s.recordCount < s.settings.MaxRecords {
		return true
	}
	if s.endedRecords.first == nil {
		return false
	}
	s.removeRecord(s.endedRecords.first)
	return true
}

// keepResponse adds the response of a record that has just ended to the kept bytes, or drops it if it is too large. It
// evicts the oldest responses to stay within MaxKeptBytes.
func (s *Sessions) keepResponse(r *record) {
	if r.response == nil {
		return
	}
	size := r.response.size()
	if size > s.settings.MaxResponseBytes || size > s.settings.MaxKeptBytes {
		r.response = nil
		return
	}
	s.keptBytes += size
	for s.keptBytes > s.settings.MaxKeptBytes {
		oldest := s.endedRecords.oldestKept
		s.dropResponse(oldest)
		s.endedRecords.oldestKept = oldest.next
	}
}

// dropResponse drops the response of a record and subtracts it from the kept bytes.
func (s *Sessions) dropResponse(r *record) {
	if r.response != nil {
		s.keptBytes -= r.response.size()
		r.response = nil
	}
}
