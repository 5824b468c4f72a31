package session

// Stats counts the open tickets, the effect records and the bytes of kept responses.
type Stats struct {
	Tickets   int
	Records   int
	KeptBytes int
}

// Stats returns the current counts.
func (s *Sessions) Stats() Stats {
	return Stats{Tickets: s.openTickets, Records: s.recordCount, KeptBytes: s.keptBytes}
}
