package session_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/session"
)

// world simulates several nodes in virtual time and counts how often each effect was dispatched.
type world struct {
	t        *testing.T
	now      request.Instant
	settings session.Settings
	nodes    map[string]*session.Sessions
	tickets  map[string]session.Ticket
	runs     map[string]int
	freed    map[string]int
	effects  map[string]session.Effect // by ticket and path
	random   *rand.Rand
}

func newWorld(t *testing.T) *world {
	return &world{
		t: t, nodes: map[string]*session.Sessions{}, tickets: map[string]session.Ticket{},
		runs: map[string]int{}, freed: map[string]int{}, effects: map[string]session.Effect{}, random: rand.New(rand.NewPCG(1, 2)),
	}
}

// start starts a node, or restarts it with a new incarnation and empty state.
func (w *world) start(d *datadriven.TestData) string {
	s := w.settings
	name := "n1"
	d.MaybeScanArgs(w.t, "node", &name)
	d.MaybeScanArgs(w.t, "kept_bytes", &s.MaxKeptBytes)
	d.MaybeScanArgs(w.t, "records", &s.MaxRecords)
	d.MaybeScanArgs(w.t, "tickets", &s.MaxTickets)
	d.MaybeScanArgs(w.t, "per_caller", &s.MaxTicketsPerCaller)
	d.MaybeScanArgs(w.t, "waiters", &s.MaxWaiters)
	s.Instance = request.InstanceID(name)
	s.Incarnation = request.Incarnation(w.random.Uint64())
	w.nodes[name] = session.New(s, w.random)
	return "ok"
}

func (w *world) node(d *datadriven.TestData) *session.Sessions {
	name := "n1"
	d.MaybeScanArgs(w.t, "node", &name)
	return w.nodes[name]
}

func (w *world) open(d *datadriven.TestData) string {
	caller := "10.0.0.1"
	d.MaybeScanArgs(w.t, "caller", &caller)
	var name string
	d.ScanArgs(w.t, "ticket", &name)
	ticket, err := w.node(d).Open(w.now, netip.MustParseAddr(caller))
	if err != nil {
		return err.Error()
	}
	parsed, err := session.ParseTicket(ticket.String())
	qt.Assert(w.t, err, qt.IsNil)
	qt.Assert(w.t, parsed, qt.Equals, ticket)
	w.tickets[name] = ticket
	return "ok"
}

type args struct {
	ticket   string
	sequence request.Sequence
	attempt  uint16
	body     string
	waiter   session.Waiter
	path     string // positions below the effect, for nested effects
}

func (w *world) args(d *datadriven.TestData) args {
	a := args{ticket: "t"}
	d.MaybeScanArgs(w.t, "ticket", &a.ticket)
	var seq, attempt, waiter int
	d.MaybeScanArgs(w.t, "seq", &seq)
	d.MaybeScanArgs(w.t, "attempt", &attempt)
	d.MaybeScanArgs(w.t, "waiter", &waiter)
	d.MaybeScanArgs(w.t, "body", &a.body)
	d.MaybeScanArgs(w.t, "under", &a.path)
	a.sequence, a.attempt, a.waiter = request.Sequence(seq), uint16(attempt), session.Waiter(waiter)
	return a
}

// effect returns the identity under which the effect was dispatched.
func (w *world) effect(a args) session.Effect { return w.effects[a.key()] }

func (a args) key() string { return fmt.Sprintf("%s%s/%d", a.ticket, a.path, a.sequence) }

func (w *world) begin(d *datadriven.TestData) string {
	a := w.args(d)
	fingerprint := request.FingerprintOf("", "", "", []byte(a.body))
	var decision session.Decision
	if a.path == "" {
		ticket := w.tickets[a.ticket]
		if d.HasArg("incarnation") {
			ticket.Incarnation++
		}
		decision = w.node(d).Begin(w.now, session.Send{
			Ticket: ticket, Sequence: a.sequence, Attempt: a.attempt, Fingerprint: fingerprint,
			Waiter: a.waiter, Forwarded: d.HasArg("forwarded"),
		})
	} else {
		decision = w.node(d).BeginNested(session.NestedSend{
			Parent: w.effects[a.ticket+a.path], Position: a.sequence, Attempt: a.attempt, Fingerprint: fingerprint, Waiter: a.waiter,
		})
	}
	if decision.Action == session.Run {
		id := decision.Effect.String()
		parsed, err := session.ParseEffect(id)
		qt.Assert(w.t, err, qt.IsNil)
		qt.Assert(w.t, parsed, qt.Equals, decision.Effect)
		w.effects[a.key()] = decision.Effect
		w.runs[id]++
		qt.Assert(w.t, w.runs[id], qt.Equals, w.freed[id]+1, qt.Commentf("effect %s runs twice", id))
	}
	return describe(decision)
}

func describe(d session.Decision) string {
	switch d.Action {
	case session.Refuse:
		return fmt.Sprintf("refuse %v %v", d.Outcome, d.Reason)
	case session.Replay:
		return fmt.Sprintf("replay %v %s", d.Outcome, d.Response.Body[:min(8, len(d.Response.Body))])
	}
	return d.Action.String()
}

func (w *world) finish(d *datadriven.TestData) string {
	a := w.args(d)
	e := w.effect(a)
	end := session.Completion{Outcome: request.Answered}
	outcome := "answered"
	d.MaybeScanArgs(w.t, "outcome", &outcome)
	switch outcome {
	case "not_run":
		end = session.Completion{Outcome: request.NotRun, Reason: request.Overloaded}
		w.freed[e.String()]++
	case "failed":
		end.Outcome, end.Reason = request.Failed, request.BackendError
	case "unknown":
		end = session.Completion{Outcome: request.Unknown, Reason: request.ConnectionLost}
	}
	size := 8
	d.MaybeScanArgs(w.t, "size", &size)
	if size > 0 && outcome != "not_run" {
		end.Response = &session.Response{Status: 200, Body: []byte(strings.Repeat("x", size))}
	}
	ended := w.node(d).Finish(w.now, e, end)
	return fmt.Sprintf("waiters %v: %s", ended.Waiters, describe(ended.Decision))
}

// runLines runs scripts whose directives contain commands separated by ';'. For each line of commands it prints one line of
// results separated by '|'.
func runLines(t *testing.T, path string, run func(t *testing.T, d *datadriven.TestData) string) {
	datadriven.RunTest(t, path, func(t *testing.T, block *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(block.Input, "\n") {
			var results []string
			for command := range strings.SplitSeq(strings.TrimSuffix(line, ";"), ";") {
				cmd, args, err := datadriven.ParseLine(command)
				qt.Assert(t, err, qt.IsNil)
				result := strings.TrimSpace(run(t, &datadriven.TestData{Pos: block.Pos, Cmd: cmd, CmdArgs: args}))
				results = append(results, strings.ReplaceAll(result, "\n", ", "))
			}
			fmt.Fprintln(&out, strings.Join(results, " | "))
		}
		return out.String()
	})
}

// TestSessions guards against an effect that runs twice, and against a definite outcome where the real one is unknown, when
// sends are resent, delayed or forwarded by other nodes, or arrive after a pause, a restart or an eviction.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		w := newWorld(t)
		runLines(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.t = t
			switch d.Cmd {
			case "start":
				return w.start(d)
			case "open":
				return w.open(d)
			case "begin":
				return w.begin(d)
			case "finish":
				return w.finish(d)
			case "open-call":
				w.node(d).OpenCall(w.effect(w.args(d)))
				return "ok"
			case "end-call":
				return fmt.Sprintf("waiters %v", w.node(d).CloseCall(w.effect(w.args(d))))
			case "leave":
				a := w.args(d)
				w.node(d).RemoveWaiter(w.effect(a), a.waiter)
				return "ok"
			case "close":
				return fmt.Sprint(w.node(d).Close(w.tickets[w.args(d).ticket]))
			case "pause", "advance":
				duration, err := time.ParseDuration(d.CmdArgs[0].Key)
				qt.Assert(t, err, qt.IsNil)
				w.now = w.now.Add(duration)
				if d.Cmd == "advance" {
					w.node(d).Tick(w.now)
				}
				return "ok"
			case "stats":
				return fmt.Sprintf("%+v", w.node(d).Stats())
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

// TestSessionsRandomInterleavings guards against an effect that runs twice and against leaked records, responses and
// tickets, in interleavings that the scripts do not cover: 200 random runs with fixed seeds and small limits.
func TestSessionsRandomInterleavings(t *testing.T) {
	replays := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := session.New(session.Settings{Instance: "n1", Incarnation: 1, MaxRecords: 40, MaxKeptBytes: 1000, MaxWaiters: 2, MaxTickets: 6}, random)
		var now request.Instant
		var tickets []session.Ticket
		runs := map[session.Effect]int{} // minus those that ended not_run
		var running []session.Effect
		waiting := map[session.Waiter]bool{}
		for i := range 600 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Second)
			switch random.IntN(10) {
			case 0:
				if ticket, err := s.Open(now, netip.AddrFrom4([4]byte{10, 0, 0, byte(random.IntN(3))})); err == nil {
					tickets = append(tickets, ticket)
				}
			case 1:
				s.Tick(now)
			case 2, 3, 4:
				if len(running) == 0 {
					continue
				}
				j := random.IntN(len(running))
				e := running[j]
				running = append(running[:j], running[j+1:]...)
				end := session.Completion{Outcome: request.Outcome(random.IntN(4)), Reason: request.Overloaded}
				end.Response = &session.Response{Body: make([]byte, random.IntN(300))}
				if end.Outcome == request.NotRun {
					runs[e]--
				}
				for _, w := range s.Finish(now, e, end).Waiters {
					qt.Assert(t, waiting[w], qt.IsTrue)
					delete(waiting, w)
				}
			default:
				if len(tickets) == 0 {
					continue
				}
				ticket := tickets[max(0, len(tickets)-1-random.IntN(4))]
				w := session.Waiter(i)
				d := s.Begin(now, session.Send{Ticket: ticket, Sequence: request.Sequence(1 + random.IntN(6) + i/10), Waiter: w})
				switch d.Action {
				case session.Run:
					runs[d.Effect]++
					qt.Assert(t, runs[d.Effect], qt.Equals, 1, qt.Commentf("seed %d: effect runs twice", seed))
					running = append(running, d.Effect)
				case session.Wait:
					waiting[w] = true
				case session.Replay:
					replays++
				}
			}
			stats := s.Stats()
			qt.Assert(t, stats.KeptBytes >= 0 && stats.KeptBytes <= 1000 && stats.Records <= 40 && stats.Tickets <= 6, qt.IsTrue)
		}
		for _, e := range running {
			for _, w := range s.Finish(now, e, session.Completion{}).Waiters {
				delete(waiting, w)
			}
		}
		qt.Assert(t, waiting, qt.HasLen, 0, qt.Commentf("seed %d: a waiting send never got a result", seed))
		s.Tick(now.Add(time.Hour))
		qt.Assert(t, s.Stats(), qt.Equals, session.Stats{})
	}
	qt.Assert(t, replays > 1000, qt.IsTrue, qt.Commentf("%d replays", replays))
}
