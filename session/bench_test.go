package session_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// unlimited is a limit that no benchmark reaches.
const unlimited = 1 << 30

func newSessions() *session.Sessions {
	s := session.Settings{Instance: "racedesk-1", Incarnation: 1, MaxTickets: unlimited, MaxRecords: unlimited, MaxTicketsPerCaller: unlimited}
	return session.New(s, rand.New(rand.NewPCG(1, 2)))
}

func openTickets(b *testing.B, s *session.Sessions, n int) []session.Ticket {
	tickets := make([]session.Ticket, n)
	for i := range tickets {
		caller := netip.AddrFrom4([4]byte{10, 0, byte(i >> 14), byte(i >> 6)}) // 64 tickets per caller
		t, err := s.Open(0, caller)
		qt.Assert(b, err, qt.IsNil)
		tickets[i] = t
	}
	return tickets
}

// BenchmarkBeginFinish measures Begin and Finish of one effect with a small response, across many tickets.
func BenchmarkBeginFinish(b *testing.B) {
	response := &session.Response{Status: 200, Body: []byte("ok")}
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint("tickets=", n), func(b *testing.B) {
			s := newSessions()
			tickets := openTickets(b, s, n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				d := s.Begin(request.Instant(i), session.Send{Ticket: tickets[i%n], Sequence: request.Sequence(i/n + 1)})
				s.Finish(request.Instant(i), d.Effect, session.Completion{Outcome: request.Answered, Response: response})
				i++
			}
		})
	}
}

// BenchmarkBeginReplay measures a resend that gets the kept response.
func BenchmarkBeginReplay(b *testing.B) {
	s := newSessions()
	tickets := openTickets(b, s, 10_000)
	response := &session.Response{Status: 200, Body: []byte("ok")}
	for _, t := range tickets {
		d := s.Begin(0, session.Send{Ticket: t, Sequence: 1})
		s.Finish(0, d.Effect, session.Completion{Outcome: request.Answered, Response: response})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if s.Begin(0, session.Send{Ticket: tickets[i%len(tickets)], Sequence: 1}).Action != session.Replay {
			b.Fatal("the response was not replayed")
		}
		i++
	}
}

// BenchmarkBegin measures Begin of a new effect alone.
func BenchmarkBegin(b *testing.B) {
	s := newSessions()
	tickets := openTickets(b, s, b.N/32+1)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.Begin(0, session.Send{Ticket: tickets[i/32], Sequence: request.Sequence(i%32 + 1)})
	}
}

// BenchmarkFinish measures Finish alone; the effects are begun before the timer starts.
func BenchmarkFinish(b *testing.B) {
	s := newSessions()
	tickets := openTickets(b, s, b.N/32+1)
	effects := make([]session.Effect, b.N)
	for i := range effects {
		effects[i] = s.Begin(0, session.Send{Ticket: tickets[i/32], Sequence: request.Sequence(i%32 + 1)}).Effect
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.Finish(0, effects[i], session.Completion{Outcome: request.Answered})
	}
}

// BenchmarkBeginNested measures a call with one nested effect.
func BenchmarkBeginNested(b *testing.B) {
	s := newSessions()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		parent := session.Effect{Sequence: request.Sequence(i)}
		s.OpenCall(parent)
		d := s.BeginNested(session.NestedSend{Parent: parent, Position: 1})
		s.Finish(0, d.Effect, session.Completion{Outcome: request.Answered})
		s.CloseCall(parent)
	}
}

// heapBytes returns the bytes in live objects.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// retained keeps the measured objects reachable.
var retained []*session.Sessions

// BenchmarkMemory reports the memory per ticket without effects and per effect record without response. Run it with
// -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprint("tickets=", n), func(b *testing.B) {
			before := heapBytes()
			for range b.N {
				s := newSessions()
				openTickets(b, s, n)
				retained = append(retained, s)
			}
			b.ReportMetric((float64(heapBytes())-float64(before))/float64(n*b.N), "B/ticket")
			retained = nil
		})
	}
	for _, perTicket := range []int{1, 8, 64} {
		for _, n := range []int{8192, 131_072} {
			b.Run(fmt.Sprintf("records=%d/per_ticket=%d", n, perTicket), func(b *testing.B) {
				s := newSessions()
				tickets := openTickets(b, s, n/perTicket)
				before := heapBytes()
				for i := range n {
					d := s.Begin(0, session.Send{Ticket: tickets[i/perTicket], Sequence: request.Sequence(i%perTicket + 1)})
					s.Finish(0, d.Effect, session.Completion{Outcome: request.Answered})
				}
				b.ReportMetric((float64(heapBytes())-float64(before))/float64(n), "B/record")
				runtime.KeepAlive(s)
				runtime.KeepAlive(tickets)
			})
		}
	}
}

// addSeeds adds the lines of a file to the seed corpus.
func addSeeds(f *testing.F, path string) {
	data, err := os.ReadFile(path)
	qt.Assert(f, err, qt.IsNil)
	for line := range strings.Lines(string(data)) {
		f.Add(strings.TrimSuffix(line, "\n"))
	}
}

// FuzzTicket guards against a ticket text that causes a panic, or that another text also parses to, and against a guessed
// ticket that runs an effect.
func FuzzTicket(f *testing.F) {
	addSeeds(f, "testdata/tickets.txt")
	s := newSessions()
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := session.ParseTicket(text)
		if err != nil {
			qt.Assert(t, session.Malformed.Has(err), qt.IsTrue)
			return
		}
		qt.Assert(t, ticket.String(), qt.Equals, text)
		d := s.Begin(0, session.Send{Ticket: ticket, Sequence: 1})
		qt.Assert(t, d.Action, qt.Not(qt.Equals), session.Run)
	})
}

// FuzzEffect guards against an effect identity that causes a panic or does not survive a round trip through its text form.
func FuzzEffect(f *testing.F) {
	addSeeds(f, "testdata/effects.txt")
	f.Fuzz(func(t *testing.T, text string) {
		e, err := session.ParseEffect(text)
		if err != nil {
			qt.Assert(t, session.Malformed.Has(err), qt.IsTrue)
			return
		}
		again, err := session.ParseEffect(e.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, e)
		qt.Assert(t, e.Nested(1), qt.Not(qt.Equals), e.Nested(2))
	})
}
