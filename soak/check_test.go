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
	// AfterMS is the time of an execution or of a departure, counted from the start.
	AfterMS int `json:"after_ms"`
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
				e.Ran.At = at
				h.AddExecution(*e.Ran)
			case e.Left != nil:
				e.Left.At = at
				h.AddDeparture(*e.Left)
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
	c.Check(kinds, qt.HasLen, 11)
}
