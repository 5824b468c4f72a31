package faultmatrix_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// response is the response to one attempt in a network that reorders, duplicates, delays and loses
// events.
type response struct {
	caller *streamCaller
	events []call.Event
}

// streamCaller is one caller with its call. It records which part of which attempt it received.
type streamCaller struct {
	streams  *streams
	call     *call.Call
	account  budget.Account
	parts    uint32
	received []call.ForwardPart
	ended    bool
}

// streams runs many calls at once, each of which may have several attempts in flight.
type streams struct {
	random      *rand.Rand
	now         request.Instant
	disorder    float64
	weakened    bool
	lastAttempt uint64
	inFlight    []*response

	whole, truncated, unanswered, wrong int
}

func (s *streams) nextAttempt() request.AttemptID {
	s.lastAttempt++
	return request.AttemptID{Source: 1, Number: s.lastAttempt}
}

func (c *streamCaller) act(actions []call.Action) {
	s := c.streams
	for _, a := range actions {
		switch a := a.(type) {
		case call.Send:
			s.inFlight = append(s.inFlight, &response{caller: c, events: responseEvents(a.Attempt, c.parts)})
		case call.ForwardPart:
			c.received = append(c.received, a)
		case call.End:
			c.end(a)
		}
	}
}

func responseEvents(id request.AttemptID, parts uint32) []call.Event {
	var out []call.Event
	for i := range parts {
		out = append(out, call.Part{Attempt: id, Index: i})
	}
	return append(out, call.Finished{Attempt: id, Outcome: request.Answered, Parts: parts})
}

func (c *streamCaller) end(e call.End) {
	s := c.streams
	c.ended = true
	switch {
	case e.Outcome == request.Answered && !c.isWhole():
		s.wrong++
	case e.Outcome == request.Answered:
		s.whole++
	case e.Truncated:
		s.truncated++
	default:
		s.unanswered++
	}
}

// isWhole reports whether the caller received each part of one attempt exactly once and in order.
func (c *streamCaller) isWhole() bool {
	if uint32(len(c.received)) != c.parts {
		return false
	}
	for i, p := range c.received {
		if p.Index != uint32(i) || p.Attempt != c.received[0].Attempt {
			return false
		}
	}
	return true
}

// step delivers one event of a random response. Some events are delivered out of order, twice, or
// after their stream was reported broken.
func (s *streams) step() {
	i := s.random.IntN(len(s.inFlight))
	r := s.inFlight[i]
	at := 0
	if s.random.Float64() < s.disorder {
		at = s.random.IntN(len(r.events))
	}
	e := r.events[at]
	if s.random.Float64() >= s.disorder {
		r.events = append(r.events[:at], r.events[at+1:]...)
	}
	if s.random.Float64() < s.disorder/2 {
		// The stream breaks. Events in flight still arrive afterwards.
		if p, ok := e.(call.Part); ok {
			r.caller.deliver(call.StreamLost{Attempt: p.Attempt})
		}
	}
	if len(r.events) == 0 || s.random.Float64() < s.disorder/8 {
		s.inFlight[i] = s.inFlight[len(s.inFlight)-1]
		s.inFlight = s.inFlight[:len(s.inFlight)-1]
	}
	r.caller.deliver(e)
}

func (c *streamCaller) deliver(e call.Event) {
	s := c.streams
	if !s.weakened {
		c.act(c.call.Handle(s.now, e, nil))
		return
	}
	// Without the state machine, every event is passed on as it arrives.
	switch e := e.(type) {
	case call.Part:
		c.received = append(c.received, call.ForwardPart(e))
	case call.Finished:
		if !c.ended {
			c.end(call.End{Outcome: e.Outcome})
		}
	case call.StreamLost:
		c.act(c.call.Handle(s.now, e, nil))
	}
}

// TestWholeAnswers guards against a response that is incomplete, or mixed from two attempts, when
// thousands of streams are reordered, duplicated, delayed and cut.
func TestWholeAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams", func(t *testing.T, d *datadriven.TestData) string {
		var count, disorder int
		d.ScanArgs(t, "streams", &count)
		d.ScanArgs(t, "disorder", &disorder)
		s := &streams{random: rand.New(rand.NewPCG(3, uint64(disorder))), disorder: float64(disorder) / 100, weakened: d.HasArg("weakened")}
		callers := make([]*streamCaller, count)
		for i := range callers {
			c := &streamCaller{streams: s, account: budget.NewAccount(3), parts: uint32(s.random.IntN(6))}
			callers[i] = c
			plan := call.Plan{Deadline: request.Instant(time.Hour), Idempotent: true}
			c.call = call.New(plan, call.Dependencies{Router: anyInstance{}, Account: &c.account, Limiter: anyInstance{}, NextAttempt: s.nextAttempt})
			c.act(c.call.Handle(0, call.Start{}, nil))
		}
		for len(s.inFlight) > 0 {
			s.step()
		}
		s.now = request.Instant(3 * time.Hour)
		for _, c := range callers {
			for range 2 {
				c.act(c.call.Handle(s.now, call.Timer{}, nil))
				s.now += request.Instant(time.Hour)
			}
		}
		ended := s.whole + s.truncated + s.unanswered + s.wrong
		if !s.weakened && ended != count {
			t.Errorf("%d of %d calls ended", ended, count)
		}
		return fmt.Sprintf("whole %d, cut %d, unanswered %d, wrong %v\n", s.whole, s.truncated, s.unanswered, s.wrong > 0)
	})
}
