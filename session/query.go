package session

// Stats is what Sessions holds.
type Stats struct {
	Tickets   int
	Records   int
	KeptBytes int
}

// Stats returns what is held.
func (s *Sessions) Stats() Stats {
	return Stats{Tickets: s.open, Records: s.records, KeptBytes: s.kept}
}
