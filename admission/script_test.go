package admission_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestScripts guards against decisions that differ from the scripts in testdata; the head of each script says which failure
// it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s script
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	controller *admission.Controller
	now        request.Instant
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = request.Instant(duration(t, d, "at", 0))
	}
	if d.Cmd == "new" {
		s.controller = admission.New(admission.Settings{
			Slots:          number(t, d, "slots", 1),
			QueueLimit:     number(t, d, "queue", 0),
			TombstoneLimit: number(t, d, "tombstones", 0),
			FinishedLimit:  number(t, d, "finished", 0),
			WarmUp:         duration(t, d, "ramp", 0),
		}, s.now)
		return ""
	}
	var out strings.Builder
	first := number(t, d, "n", 0)
	last := number(t, d, "to", first)
	kinds := make(map[string]int)
	for n := first; n <= last; n++ {
		for _, a := range s.controller.Handle(s.now, s.event(t, d, attempt(n)), nil) {
			if first == last {
				out.WriteString(format(a) + "\n")
			} else {
				kinds[fmt.Sprintf("%T", a)]++
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(&out, "%s %d times\n", kind, kinds[kind])
	}
	load := s.controller.Load()
	fmt.Fprintf(&out, "level=%d running=%d queued=%d\n", load.Level, load.InFlight, load.Queued)
	return out.String()
}

func (s *script) event(t *testing.T, d *datadriven.TestData, a request.AttemptID) admission.Event {
	switch d.Cmd {
	case "arrive":
		return admission.Arrive{
			Attempt:   a,
			Priority:  request.Priority(number(t, d, "p", 0)),
			Remaining: duration(t, d, "remaining", time.Second),
			Suspect:   d.HasArg("suspect"),
		}
	case "finish":
		return admission.Finish{Attempt: a, OwnTime: duration(t, d, "own", time.Hour)}
	case "withdraw":
		return admission.Withdraw{Attempt: a}
	case "cancel":
		return admission.Cancel{Attempt: a}
	case "tick":
		return admission.Tick{}
	case "drain":
		return admission.Drain{}
	case "restarted":
		return admission.BackendRestarted{}
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return nil
}

func attempt(n int) request.AttemptID { return request.AttemptID{Source: 1, Number: uint64(n)} }

func format(a admission.Action) string {
	switch a := a.(type) {
	case admission.Dispatch:
		return fmt.Sprintf("dispatch %d", a.Attempt.Number)
	case admission.Refuse:
		return fmt.Sprintf("refuse %d %v", a.Attempt.Number, a.Reason)
	case admission.Withdrawn:
		return fmt.Sprintf("withdrawn %d", a.Attempt.Number)
	case admission.AlreadyStarted:
		return fmt.Sprintf("already_started %d", a.Attempt.Number)
	case admission.Abort:
		return fmt.Sprintf("abort %d", a.Attempt.Number)
	default:
		return "drained"
	}
}

func number(t *testing.T, d *datadriven.TestData, key string, v int) int {
	d.MaybeScanArgs(t, key, &v)
	return v
}

func duration(t *testing.T, d *datadriven.TestData, key string, v time.Duration) time.Duration {
	var s string
	if !d.MaybeScanArgs(t, key, &s) {
		return v
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}
