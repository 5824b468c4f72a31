package soak_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/soak"
)

// event is one line of a scripted history; exactly one of its pointers is set.
type event struct {
	Sent *soak.Request   `json:"sent"`
	Got  *soak.Outcome   `json:"got"`
	Ran  *soak.Execution `json:"ran"`
	Left *soak.Departure `json:"left"`
	// Limited is a rate limit that begins at AfterMS and ends ForMS later.
	Limited *soak.RateLimit `json:"limited"`
	// AfterMS is the time of an execution, a departure or a rate limit, counted from the start.
	AfterMS int `json:"after_ms"`
	ForMS   int `json:"for_ms"`
	// Times repeats an execution, under ids of its own, each EveryMS.
	Times   int `json:"times"`
	EveryMS int `json:"every_ms"`
}

// TestCheck guards against checks that miss a violation, and against checks that report allowed behavior.
func TestCheck(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		h := soak.NewHistory()
		for line := range strings.Lines(d.Input) {
			var e event
			qt.Assert(t, json.Unmarshal([]byte(line), &e), qt.IsNil, qt.Commentf("%s", line))
			at := start.Add(time.Duration(e.AfterMS) * time.Millisecond)
			switch {
			case e.Sent != nil:
				h.AddRequest(*e.Sent)
			case e.Got != nil:
				h.AddOutcome(*e.Got)
			case e.Ran != nil:
				for i := range max(1, e.Times) {
					run := *e.Ran
					run.At = at.Add(time.Duration(i*e.EveryMS) * time.Millisecond)
					if e.Times > 0 {
						run.ID = fmt.Sprint(run.ID, i)
						h.AddRequest(soak.Request{ID: run.ID, Method: run.Method, Path: run.Path})
					}
					h.AddExecution(run)
				}
			case e.Left != nil:
				e.Left.At = at
				h.AddDeparture(*e.Left)
			case e.Limited != nil:
				e.Limited.Begin, e.Limited.End = at, at.Add(time.Duration(e.ForMS)*time.Millisecond)
				h.AddRateLimit(*e.Limited)
			}
		}
		var out strings.Builder
		for _, v := range h.Check(soak.Guarantees{MaxAttempts: 2, DrainTime: 2 * time.Second}) {
			fmt.Fprintln(&out, v)
		}
		return out.String()
	})
}

// TestPlan guards against a seed that does not reproduce its faults, against kinds of faults that are never planned, and against
// faults in the last fifth of a run.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	c.Check(soak.NewPlan(7, 8, 10*time.Second), qt.DeepEquals, soak.NewPlan(7, 8, 10*time.Second))
	kinds := map[string]bool{}
	for seed := range uint64(50) {
		for _, s := range soak.NewPlan(seed, 8, 10*time.Second) {
			kinds[fmt.Sprintf("%T", s.Fault)] = true
			c.Check(s.At < 8*time.Second, qt.IsTrue)
		}
	}
	c.Check(kinds, qt.HasLen, 14)
}
