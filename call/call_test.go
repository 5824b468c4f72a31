package call_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

// fixture is one call with instances i1, i2 and so on, which Pick returns in this order.
type fixture struct {
	call      *call.Call
	account   budget.Account
	limiter   budget.Limiter
	instances int
	result    route.PickResult
	attempts  uint64
}

func (f *fixture) Pick(_ request.Instant, _ request.ServiceID, _ request.Priority, excluded []request.InstanceID) (route.Choice, route.PickResult) {
	if len(excluded) >= f.instances {
		return route.Choice{RetryAfter: 70 * time.Millisecond}, f.result
	}
	return route.Choice{Instance: request.InstanceID("i" + strconv.Itoa(len(excluded)+1))}, route.Picked
}

func (f *fixture) nextAttempt() request.AttemptID {
	f.attempts++
	return request.AttemptID{Source: 1, Number: f.attempts}
}

func newFixture(t *testing.T, d *datadriven.TestData) *fixture {
	f := &fixture{instances: 3}
	extra, deadline, retries := 3, 1000, 3
	d.MaybeScanArgs(t, "extra", &extra)
	d.MaybeScanArgs(t, "deadline", &deadline)
	d.MaybeScanArgs(t, "instances", &f.instances)
	d.MaybeScanArgs(t, "retries", &retries)
	if d.HasArg("refused") {
		f.result = route.AllRefused
	}
	for range 3 - retries {
		f.limiter.Allow(0, "transfers")
	}
	f.account = budget.NewAccount(uint32(extra))
	plan := call.Plan{
		Service:     "transfers",
		Deadline:    request.Instant(time.Duration(deadline) * time.Millisecond),
		Idempotent:  !d.HasArg("effect"),
		Fingerprint: 7,
	}
	f.call = call.New(plan, call.Dependencies{Router: f, Account: &f.account, Limiter: &f.limiter, NextAttempt: f.nextAttempt})
	return f
}

// TestCall guards against retries of an effect that may have run, unproven outcomes, and responses that mix the parts of
// several attempts or lack parts; each script in testdata is one scenario.
func TestCall(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f *fixture
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			f = newFixture(t, d)
			for line := range strings.SplitSeq(d.Input, "\n") {
				now, e := parseEvent(t, line)
				var actions []string
				for _, a := range f.call.Handle(now, e, nil) {
					actions = append(actions, describe(a))
				}
				fmt.Fprintf(&out, "%s: %s\n", line, strings.Join(actions, ", "))
			}
			fmt.Fprintf(&out, "held %d\n", f.account.Held())
			return out.String()
		})
	})
}

func parseEvent(t *testing.T, line string) (request.Instant, call.Event) {
	fields := strings.Fields(line)
	ms, err := strconv.Atoi(fields[0])
	qt.Assert(t, err, qt.IsNil)
	now := request.Instant(time.Duration(ms) * time.Millisecond)
	number := func(i int) uint64 {
		if i >= len(fields) {
			return 0
		}
		n, err := strconv.ParseUint(fields[i], 10, 32)
		qt.Assert(t, err, qt.IsNil)
		return n
	}
	var id request.AttemptID
	if len(fields) > 2 {
		id = request.AttemptID{Source: 1, Number: number(2)}
	}
	switch fields[1] {
	case "start":
		return now, call.Start{}
	case "part":
		return now, call.Part{Attempt: id, Index: uint32(number(3))}
	case "refused":
		return now, call.Refused{Attempt: id, Reason: parseReason(t, fields[3]), RetryAfter: 50 * time.Millisecond}
	case "answered":
		return now, call.Finished{Attempt: id, Outcome: request.Answered, Parts: uint32(number(3)), Returned: uint32(number(4))}
	case "failed":
		return now, call.Finished{Attempt: id, Outcome: request.Failed, Parts: uint32(number(3)), Returned: uint32(number(4))}
	case "aborted":
		return now, call.Finished{Attempt: id, Reason: request.DeadlineExceeded}
	case "evicted":
		return now, call.Finished{Attempt: id, Outcome: request.NotRun, Reason: request.QueueFull}
	case "broken":
		return now, call.StreamLost{Attempt: id}
	case "crashed":
		return now, call.Crashed{Attempt: id, Incarnation: 5, Returned: uint32(number(3))}
	case "withdrawn":
		return now, call.WithdrawReply{Attempt: id, Result: call.Withdrawn}
	case "started":
		return now, call.WithdrawReply{Attempt: id, Result: call.AlreadyStarted}
	case "no-reply":
		return now, call.WithdrawReply{Attempt: id}
	case "timer":
		return now, call.Timer{}
	case "caller-gone":
		return now, call.CallerGone{}
	}
	t.Fatalf("unknown event %q", line)
	return 0, nil
}

func parseReason(t *testing.T, name string) request.Reason {
	for r := request.NoReason; r <= request.LimitReached; r++ {
		if r.String() == name {
			return r
		}
	}
	t.Fatalf("unknown reason %q", name)
	return 0
}

func describe(a call.Action) string {
	switch a := a.(type) {
	case call.Send:
		return fmt.Sprintf("send %d to %s remaining %v lent %d", a.Attempt.Number, a.Choice.Instance, a.Remaining, a.Lent)
	case call.Withdraw:
		return fmt.Sprintf("withdraw %d from %s", a.Attempt.Number, a.Choice.Instance)
	case call.Cancel:
		return fmt.Sprintf("cancel %d", a.Attempt.Number)
	case call.ForwardPart:
		return fmt.Sprintf("pass %d.%d", a.Attempt.Number, a.Index)
	case call.SetTimer:
		return fmt.Sprintf("timer %v", time.Duration(a.At))
	case call.ReportCrash:
		return fmt.Sprintf("report crash of %d on %s incarnation %d", a.Fingerprint, a.Instance, a.Incarnation)
	case call.ReportLoss:
		return fmt.Sprintf("report loss of %d on %s incarnation %d", a.Fingerprint, a.Instance, a.Incarnation)
	case call.End:
		s := fmt.Sprintf("end %v %v", a.Outcome, a.Reason)
		if a.RetryAfter > 0 {
			s += fmt.Sprintf(" retry after %v", a.RetryAfter)
		}
		if a.Truncated {
			s += " cut"
		}
		return s
	}
	return fmt.Sprintf("%T", a)
}

// TestRandomEvents guards against orders of events that forward a part twice, end the call twice, send an attempt after the
// end, or report not run without proof.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(5000) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := &fixture{instances: 4, account: budget.NewAccount(3)}
		idempotent := random.IntN(2) == 0
		plan := call.Plan{Service: "transfers", Deadline: request.Instant(time.Second), Idempotent: idempotent}
		f.call = call.New(plan, call.Dependencies{Router: f, Account: &f.account, Limiter: &f.limiter, NextAttempt: f.nextAttempt})
		c := checker{seed: seed, notRun: make(map[uint64]bool)}
		now := request.Instant(0)
		c.apply(t, f.call.Handle(now, call.Start{}, nil))
		for range 30 {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			id := request.AttemptID{Source: 1, Number: 1 + random.Uint64N(f.attempts)}
			c.apply(t, f.call.Handle(now, c.event(random, id), nil))
		}
		c.apply(t, f.call.Handle(now.Add(time.Hour), call.Timer{}, nil))
		c.apply(t, f.call.Handle(now.Add(2*time.Hour), call.Timer{}, nil))
		qt.Assert(t, c.ends, qt.Equals, 1, qt.Commentf("seed %d", seed))
	}
}

// checker checks the actions of one call; it records for each attempt whether an event proved that it did not run.
type checker struct {
	seed             uint64
	lastSent         uint64
	nextPart         uint32
	forwardedAttempt uint64
	ends             int
	notRun           map[uint64]bool
}

func (c *checker) event(random *rand.Rand, id request.AttemptID) call.Event {
	switch random.IntN(8) {
	case 0, 1:
		return call.Part{Attempt: id, Index: uint32(random.IntN(3))}
	case 2:
		return call.Finished{Attempt: id, Outcome: request.Outcome(random.IntN(2)), Parts: uint32(random.IntN(3))}
	case 3:
		return call.StreamLost{Attempt: id}
	case 4:
		return call.Crashed{Attempt: id}
	case 5:
		c.notRun[id.Number] = true
		return call.Refused{Attempt: id, Reason: request.Overloaded}
	case 6:
		c.notRun[id.Number] = true
		return call.WithdrawReply{Attempt: id, Result: call.Withdrawn}
	}
	return call.Timer{}
}

func (c *checker) apply(t *testing.T, actions []call.Action) {
	note := qt.Commentf("seed %d", c.seed)
	for _, a := range actions {
		switch a := a.(type) {
		case call.Send:
			qt.Assert(t, c.ends, qt.Equals, 0, note)
			qt.Assert(t, c.nextPart, qt.Equals, uint32(0), note)
			c.lastSent = a.Attempt.Number
			qt.Assert(t, c.lastSent <= 4, qt.IsTrue, note)
		case call.ForwardPart:
			qt.Assert(t, c.ends, qt.Equals, 0, note)
			qt.Assert(t, a.Index, qt.Equals, c.nextPart, note)
			if c.nextPart == 0 {
				c.forwardedAttempt = a.Attempt.Number
			}
			qt.Assert(t, a.Attempt.Number, qt.Equals, c.forwardedAttempt, note)
			c.nextPart++
		case call.End:
			c.ends++
			qt.Assert(t, a.Truncated, qt.Equals, c.nextPart > 0 && a.Outcome == request.Unknown, note)
			if a.Outcome == request.NotRun {
				for n := range c.lastSent {
					qt.Assert(t, c.notRun[n+1], qt.IsTrue, note)
				}
			}
		}
	}
}

// unlimited is a Limiter that permits every retry; the benchmarks of package budget measure budget.Limiter.
type unlimited struct{}

func (unlimited) Allow(request.Instant, request.ServiceID) bool    { return true }
func (unlimited) RecordSuccess(request.Instant, request.ServiceID) {}

// BenchmarkRetryDecision measures a refusal and the retry that follows, plus a third of the creation of a call, with a route table of four instances.
func BenchmarkRetryDecision(b *testing.B) {
	b.ReportAllocs()
	const retriesPerCall = 3
	f := &fixture{}
	table := route.New(route.DefaultSettings("i0", "z", "r"), rand.New(rand.NewPCG(1, 1)))
	var members []route.Member
	for i := range retriesPerCall + 1 {
		members = append(members, route.Member{Instance: request.InstanceID("i" + strconv.Itoa(i)), Service: "transfers", Zone: "z", Region: "r"})
	}
	table.Update(members)
	plan := call.Plan{Service: "transfers", Deadline: request.Instant(time.Hour), Idempotent: true}
	deps := call.Dependencies{Router: table, Account: &f.account, Limiter: unlimited{}, NextAttempt: f.nextAttempt}
	out := make([]call.Action, 0, 8)
	retries := retriesPerCall
	var c *call.Call
	for b.Loop() {
		if retries == retriesPerCall {
			f.account = budget.NewAccount(2 * retriesPerCall)
			c = call.New(plan, deps)
			c.Handle(0, call.Start{}, out[:0])
			retries = 0
		}
		c.Handle(0, call.Refused{Attempt: request.AttemptID{Source: 1, Number: f.attempts}, Reason: request.Overloaded}, out[:0])
		retries++
	}
}
